//! Settings of the upstream table.

use std::{collections::HashMap, time::Duration};

use crate::{
    base::{DomainName, InstanceName},
    notice::PAUSE_MAX_DEFAULT,
    routing::SubsetOptions,
};

/// Minimum number of candidates.
const CHOICES_MIN: usize = 2;

/// Configures [`UpstreamTable`](crate::routing::UpstreamTable).
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingOptions {
    /// Failure domain of this router.
    pub domain: DomainName,
    /// Name of this router.
    pub instance: InstanceName,
    /// Live routers of the domain. While the list is empty, every upstream is used.
    pub members: Vec<InstanceName>,
    /// Settings of the subset of upstreams that this router uses.
    pub subset: SubsetOptions,
    /// Number of routers that share the upstreams, including this one.
    pub routers: u32,
    /// Latency penalty of an upstream in another domain.
    pub remote_penalty: Duration,
    /// Latency penalties of upstreams in particular domains, overriding `remote_penalty`.
    pub domain_penalties: HashMap<DomainName, Duration>,
    /// Maximum number of candidates sampled and compared per request.
    pub choices: usize,
    /// Weight of other routers in the correction of load reports: 0 counts only requests of this
    /// router, and 1 assumes that every other router has sent as many.
    pub peer_weight: f64,
    /// Load bound of prefix affinity, relative to the mean load.
    pub affinity_bound: f64,
    /// Age after which a load report is ignored.
    pub report_max_age: Duration,
    /// Consecutive failures that eject an upstream.
    pub eject_failures: u32,
    /// Failure rate that ejects an upstream.
    pub eject_rate: f64,
    /// Shortest ejection.
    pub eject_min: Duration,
    /// Longest ejection.
    pub eject_max: Duration,
    /// Maximum fraction of a domain's upstreams for one model that may be ejected at a time.
    pub eject_share: f64,
    /// Longest pause of an upstream, whatever time it asks for.
    pub pause_max: Duration,
    /// Duration of the slow start of new and recovered upstreams.
    pub slow_start: Duration,
}

impl RoutingOptions {
    /// Returns the number of candidates to sample from `size` upstreams shared by `routers` routers.
    ///
    /// When many routers share few upstreams, they see the same reports and would all choose the
    /// same best upstream if they compared all of them. Sampling as few as two random candidates
    /// prevents this herding.
    #[must_use]
    pub fn candidates(&self, size: usize, routers: u32) -> usize {
        let routers = usize::try_from(routers).unwrap_or(usize::MAX).max(1);
        let fair = self.choices.saturating_mul(size) / routers;
        fair.clamp(CHOICES_MIN, self.choices.max(CHOICES_MIN))
    }

    /// Creates the default settings for a router in `domain`.
    #[must_use]
    pub fn new(domain: DomainName) -> Self {
        Self {
            domain,
            instance: InstanceName::new(""),
            members: Vec::new(),
            subset: SubsetOptions::default(),
            routers: 1,
            remote_penalty: Duration::from_millis(2),
            domain_penalties: HashMap::new(),
            choices: 9,
            peer_weight: 0.5,
            affinity_bound: 1.6,
            report_max_age: Duration::from_secs(5),
            eject_failures: 3,
            eject_rate: 0.5,
            eject_min: Duration::from_secs(5),
            eject_max: Duration::from_secs(300),
            eject_share: 0.5,
            pause_max: PAUSE_MAX_DEFAULT,
            slow_start: Duration::from_secs(10),
        }
    }
}
