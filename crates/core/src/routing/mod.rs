//! Upstream selection: load estimates, health, prefix affinity and subsetting.

mod entry;
mod group;
mod health;
mod load;
mod options;
mod prefix;
mod schedule;
mod select;
mod snapshot;
mod spec;
mod speed;
mod subset;
mod table;

pub use options::RoutingOptions;
pub use schedule::PollSchedule;
pub use snapshot::{TableSnapshot, UpstreamSnapshot, UseState};
pub use spec::{
    CacheEvent, InstanceState, LoadReport, PrefixHint, RouteRequest, RouteTarget, SelectError,
    Selection, UpstreamKind, UpstreamSpec,
};
pub use subset::{SubsetOptions, UpstreamSubset};
pub use table::{AttemptKey, UpstreamKey, UpstreamTable};
