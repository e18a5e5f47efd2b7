//! Settings of the upstream table.

use std::{collections::HashMap, time::Duration};

use crate::{
    base::{DomainName, InstanceName},
    routing::SubsetOptions,
};

/// Smallest number of candidates.
const CHOICES_MIN: usize = 2;

/// Configures [`UpstreamTable`](crate::routing::UpstreamTable).
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingOptions {
    /// Failure domain of this router.
    pub domain: DomainName,
    /// Name of this router.
    pub instance: InstanceName,
    /// Live routers of the domain. As long as there are none, every upstream is used.
    pub members: Vec<InstanceName>,
    /// Choice of the upstreams that this router works with.
    pub subset: SubsetOptions,
    /// Routers that share the upstreams, including this one.
    pub routers: u32,
    /// Additional time to an upstream of another domain.
    pub remote_penalty: Duration,
    /// Additional time to upstreams of particular domains, which replaces `remote_penalty`.
    pub domain_penalties: HashMap<DomainName, Duration>,
    /// Largest number of candidates that are drawn and compared for each request.
    pub choices: usize,
    /// Weight of other routers in the correction of load reports: 0 counts own requests only, and
    /// 1 assumes that every other router has acted in the same way.
    pub others_weight: f64,
    /// Load bound of prefix affinity relative to the mean load.
    pub affinity_bound: f64,
    /// Age after which a load report is ignored.
    pub report_max_age: Duration,
    /// Failures in a row that eject an upstream.
    pub eject_failures: u32,
    /// Failure rate that ejects an upstream.
    pub eject_rate: f64,
    /// Shortest ejection.
    pub eject_min: Duration,
    /// Longest ejection.
    pub eject_max: Duration,
    /// Largest share of a domain's upstreams for one model that is ejected at a time.
    pub eject_share: f64,
    /// Duration of the slow start of new and returned upstreams.
    pub slow_start: Duration,
}

impl RoutingOptions {
    /// Returns the number of candidates that are drawn from `size` upstreams that `routers` share.
    ///
    /// Many routers that share few upstreams see the same reports, and would all choose the same
    /// best upstream if they compared all of them. Two random candidates prevent that.
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
            others_weight: 0.5,
            affinity_bound: 1.6,
            report_max_age: Duration::from_secs(5),
            eject_failures: 3,
            eject_rate: 0.5,
            eject_min: Duration::from_secs(5),
            eject_max: Duration::from_secs(300),
            eject_share: 0.5,
            slow_start: Duration::from_secs(10),
        }
    }
}
