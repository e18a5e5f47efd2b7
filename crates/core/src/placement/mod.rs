//! Load balancing of requests by predicted time to the first token (engines) or to the answer (plain
//! services).
//!
//! - Prompts with a shared prefix go to the engine that probably has it cached, unless its queue
//!   costs more than prefilling the prefix again.
//! - Requests in flight count at once, before a load report includes them.
//! - Failing and slow upstreams get less traffic in proportion to their cost.
//! - A request that cannot start within its latency limit is refused before it is sent.

mod departure;
mod entry;
mod former;
mod missing;
mod observation;
mod options;
mod prompt_line;
mod reach;
mod request;
mod selection;
mod slowness;
mod table;

pub use departure::UpstreamDeparture;
pub use missing::MissingUpstreams;
pub use observation::{LoadFigures, UpstreamFailure};
pub use options::PlacementOptions;
pub use request::{
    FlightOutcome, LimitReport, NoticeNews, Placement, PlacementRefusal, PlacementRequest,
    PromptPart, RequestSize, UpstreamIncarnation, UpstreamRecord, shared_parts,
};
pub use table::{FlightKey, PlacementKey, PlacementTable};
