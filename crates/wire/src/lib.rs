//! Messages between router instances, encoded in the thrift compact protocol and sent in
//! length-prefixed frames.

pub mod connection;
mod message;
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]
#[path = "generated/peer.rs"]
pub mod peer;

pub use connection::{FrameCodec, FrameError, MAX_FRAME_BYTES, decode_envelope, encode_envelope};
pub use message::{
    decode_budget_message, decode_content_report, decode_departure_report, decode_document_part,
    decode_document_request, decode_failure_report, decode_limit_report, decode_member_event,
    encode_budget_message, encode_content_report, encode_departure_report, encode_document_part,
    encode_document_request, encode_failure_report, encode_limit_report,
};
