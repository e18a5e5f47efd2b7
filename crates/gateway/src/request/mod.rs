//! Handling of requests, from the request head to the end of the response.

mod attempt;
mod bill;
mod body;
mod call;
mod entry;
mod exchange;
mod head;
mod in_flight;
mod lease;
mod limits;
mod relay;
mod response;

pub(crate) use entry::handle_request;
pub(crate) use lease::BufferPool;
pub(crate) use response::{RequestRefusal, ResponseBody, empty_response, full_body};
