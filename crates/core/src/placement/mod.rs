//! Placement of requests on upstreams by predicted time to the first token or answer.
//!
//! Each load pattern has one rule: shared prompt parts go to the engine that probably holds them,
//! unless its queue costs more than reading them again; requests in flight count at once, long
//! before a load report shows them; failing and slow upstreams are avoided in proportion; a request
//! that cannot begin in time is refused before it is sent.

mod entry;
mod missing;
mod options;
mod request;
mod table;

pub use missing::MissingUpstreams;
pub use options::PlacementOptions;
pub use request::{
    FlightOutcome, Placement, PlacementRefusal, PlacementRequest, PromptPart, RequestSize,
    UpstreamRecord,
};
pub use table::{FlightKey, PlacementKey, PlacementTable};
