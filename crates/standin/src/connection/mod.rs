//! Listener whose connections can be refused or cut, for faults below HTTP.

mod gate;
mod stream;

pub use gate::{GateListener, ListenerGate};
pub use stream::{AbortableStream, StreamAbortHandle};
