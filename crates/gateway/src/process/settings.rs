//! Settings of a gateway.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use cornelarch_core::{
    base::{DomainName, EnvironmentName, InstanceName, RegionName},
    limit::CallerOptions,
    notice::ColdBound,
    retry::WindowOptions,
};

/// Configures a [`Gateway`](crate::Gateway).
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Identifies the process to its peers, together with an epoch chosen at random on each start.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Environment; part of the names of stored objects.
    pub environment: EnvironmentName,
    /// Listen address for requests of callers.
    pub listen: SocketAddr,
    /// Listen address of the readiness endpoint for the load balancer.
    pub ready_listen: SocketAddr,
    /// Path of the readiness endpoint.
    pub ready_path: String,
    /// Listen address of the metrics endpoint `/metrics`; `None` disables it.
    pub metrics_listen: Option<SocketAddr>,
    /// UDP and TCP address for messages from other instances.
    pub peer_listen: SocketAddr,
    /// Peer addresses of some instances, through which all others are discovered.
    pub seeds: Vec<SocketAddr>,
    /// Time from the start of a shutdown until the process must have exited.
    pub grace: Duration,
    /// Limit of retries per service over the whole fleet.
    pub retry_budget: WindowOptions,
    /// Time for which balances should last without the platform: the longest outage during which
    /// customers must still be served.
    pub outage_reserve: Duration,
    /// Number of ledger objects at the platform. It must not change once budgets exist.
    pub ledger_shards: u32,
    /// Number of failure domains.
    pub domains: u32,
    /// Whether operators may evacuate failure domains on this platform.
    pub has_evacuations: bool,
    /// Bound of the requests to a cold upstream; `None` if cold upstreams need no care.
    pub cold_bound: Option<ColdBound>,
    /// Regions of the failure domains, for requests that are bound to regions.
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Limits of the memory and the connections of callers.
    pub callers: CallerOptions,
}
