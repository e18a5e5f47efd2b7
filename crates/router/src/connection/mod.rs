//! Connections of callers, and between routers.

mod callers;
mod inbound;
mod link;

pub(crate) use callers::{CallerListener, CallerReference, track_caller};
pub(crate) use inbound::serve_peers;
pub(crate) use link::PeerLinks;
