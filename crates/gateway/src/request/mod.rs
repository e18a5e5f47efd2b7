//! Requests of callers, from the head to the end of the answer.

mod answer;
mod attempt;
mod bill;
mod call;
mod entry;
mod exchange;
mod flight;
mod head;
mod relay;

pub(crate) use answer::{RequestRefusal, ResponseBody, empty_response, full_body};
pub(crate) use entry::handle_request;
