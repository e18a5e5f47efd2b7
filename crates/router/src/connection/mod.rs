//! Peer connections between routers.

mod inbound;
mod link;

pub(crate) use inbound::serve_peers;
pub(crate) use link::PeerLinks;
