//! Conversions between the messages of the core crate and the wire types.

mod budget;
mod member;

pub use budget::{decode_budget_message, encode_budget_message};
pub use member::decode_member_event;
