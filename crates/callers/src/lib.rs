//! Account of the memory and the connections that callers make a process hold, for both front ends.
//!
//! [`CallerAccount::admit`] wraps each connection, [`read_body`] reads a body within the account, and
//! [`AnswerBody`] charges an answer until it is written. The decisions are those of
//! `cornelarch_core::limit`.

mod account;
mod body;
mod entry;
mod stream;

pub use account::{CallerAccount, CallerCut, CutReason};
pub use body::{AnswerBody, BodyFailure, read_body};
pub use entry::CallerEntry;
pub use stream::CallerStream;
