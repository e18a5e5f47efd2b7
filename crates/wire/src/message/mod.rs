//! Conversions between the messages of the core crate and the wire types.

mod budget;
mod content;
mod departure;
mod document;
mod failure;
mod limit;
mod member;

pub use budget::{decode_budget_message, encode_budget_message};
pub use content::{decode_content_report, encode_content_report};
pub use departure::{decode_departure_report, encode_departure_report};
pub use document::{
    decode_document_part, decode_document_request, encode_document_part, encode_document_request,
};
pub use failure::{decode_failure_report, encode_failure_report};
pub use limit::{decode_limit_report, encode_limit_report};
pub use member::decode_member_event;
