//! Choice of an upstream for each request.

mod entry;
mod group;
mod health;
mod load;
mod options;
mod prefix;
mod select;
mod snapshot;
mod spec;
mod speed;
mod table;

pub use options::RoutingOptions;
pub use snapshot::{TableSnapshot, UpstreamSnapshot, UseState};
pub use spec::{
    CacheEvent, InstanceState, LoadReport, PrefixHint, RouteRequest, RouteTarget, SelectError,
    Selection, UpstreamKind, UpstreamSpec,
};
pub use table::{UpstreamKey, UpstreamTable, WorkKey};
