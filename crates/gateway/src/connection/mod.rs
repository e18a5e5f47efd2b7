//! Connections from callers and to upstreams.

mod meter;
mod pool;
mod server;
mod socket;
mod state;

pub(crate) use pool::{PooledConnection, SendFailure, UpstreamPool, connection_options};
pub(crate) use server::{ConnectionOptions, ServerConnections};
pub(crate) use socket::{bind_listener, connect, set_stream_options};
pub(crate) use state::{ConnectionState, SiblingConnections};
