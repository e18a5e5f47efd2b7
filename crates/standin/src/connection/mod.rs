//! Listener that can refuse and abort connections, for faults below HTTP.

mod gate;
mod stream;

pub use gate::{GateListener, ListenerGate};
pub use stream::{AbortableStream, StreamAbortHandle};
