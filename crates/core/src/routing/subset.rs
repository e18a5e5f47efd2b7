//! Deterministic subsetting: the upstreams that one router normally uses.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    base::{DomainName, InstanceName, UpstreamName},
    membership::{choose_owners, rendezvous_score},
    routing::{RouteTarget, UpstreamSpec},
};

/// Maximum number of upstreams that a router without a subset polls at the shortest period,
/// regardless of the poll rate. It covers the 9 engines and 4 service instances of the larger of the
/// current deployments.
const UNPACED_MAX: usize = 13;

/// Configures the subset of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetOptions {
    /// Number of routers in the domain of each upstream that use it regularly.
    pub routers_per_upstream: usize,
    /// Mean number of upstreams per model and router below which more routers share each upstream.
    /// Also the number to which a small domain is filled up with upstreams of other domains.
    pub upstreams_min: usize,
    /// Maximum number of upstreams of one model, in all domains, that are used without a subset.
    pub full_set_max: usize,
    /// Maximum number of upstreams of other domains per model that are polled rarely.
    pub remote_max: usize,
    /// Minimum poll period of an upstream in the subset.
    pub load_poll: Duration,
    /// Maximum number of polls of the subset per second.
    pub polls_per_s: f64,
    /// Poll period of upstreams that are polled rarely.
    pub remote_poll: Duration,
}

impl Default for SubsetOptions {
    fn default() -> Self {
        Self {
            routers_per_upstream: 3,
            upstreams_min: 8,
            full_set_max: 32,
            remote_max: 2,
            load_poll: Duration::from_secs(2),
            polls_per_s: 4.0,
            remote_poll: Duration::from_secs(30),
        }
    }
}

/// The upstreams that a router uses or polls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamSubset {
    /// Upstreams that are selected first, with the number of routers that share each of them; `None`
    /// stands for all routers.
    pub regular: HashMap<UpstreamName, Option<u32>>,
    /// Upstreams of other domains that are polled rarely.
    pub rare: BTreeSet<UpstreamName>,
}

impl UpstreamSubset {
    /// Chooses the subset of `instance` in `domain`, whose live routers are `members`.
    ///
    /// Members with the same view of members and upstreams agree on the routers of each upstream.
    #[must_use]
    pub fn choose(
        options: &SubsetOptions,
        instance: &InstanceName,
        domain: &DomainName,
        members: &[InstanceName],
        specs: &[&UpstreamSpec],
    ) -> Self {
        let mut by_target: HashMap<RouteTarget, Vec<&UpstreamSpec>> = HashMap::new();
        for spec in specs {
            for target in spec.targets() {
                by_target.entry(target).or_default().push(spec);
            }
        }
        let mut subset = Self::default();
        for group in by_target.values() {
            subset.add_group(options, instance, domain, members, group);
        }
        let regular = &subset.regular;
        subset.rare.retain(|name| !regular.contains_key(name));
        subset
    }

    /// Returns the poll period of upstreams in the subset.
    #[must_use]
    pub fn poll_period(&self, options: &SubsetOptions) -> Duration {
        let is_full_set = self.rare.is_empty() && self.regular.values().all(Option::is_none);
        if is_full_set && self.regular.len() <= UNPACED_MAX {
            return options.load_poll;
        }
        let paced = self.regular.len() as f64 / options.polls_per_s.max(0.001);
        options.load_poll.max(Duration::from_secs_f64(paced))
    }

    /// Adds the upstreams of one model or service.
    fn add_group(
        &mut self,
        options: &SubsetOptions,
        instance: &InstanceName,
        domain: &DomainName,
        members: &[InstanceName],
        group: &[&UpstreamSpec],
    ) {
        let (local, mut remote): (Vec<&UpstreamSpec>, Vec<&UpstreamSpec>) =
            group.iter().partition(|spec| spec.domain == *domain);
        let sharing_routers = count_sharing_routers(options, members.len(), local.len());
        let is_full_set = sharing_routers.is_none() && group.len() <= options.full_set_max;
        for spec in &local {
            let is_chosen = sharing_routers.is_none_or(|count| {
                let owners = choose_owners(spec.name.as_str(), members.iter(), count);
                owners.contains(&instance)
            });
            if is_chosen {
                let all = (!is_full_set).then_some(members.len());
                self.add_regular(&spec.name, sharing_routers.or(all));
            }
        }
        if is_full_set {
            for spec in remote {
                self.add_regular(&spec.name, None);
            }
            return;
        }
        remote.sort_by_cached_key(|spec| {
            Reverse((
                rendezvous_score(spec.name.as_str(), instance),
                spec.name.clone(),
            ))
        });
        // A domain with few upstreams of a model also needs those of other domains.
        let missing = options.upstreams_min.saturating_sub(local.len());
        let missing = missing.min(remote.len());
        for spec in remote.drain(..missing) {
            self.add_regular(&spec.name, None);
        }
        let rare = remote.iter().take(options.remote_max);
        self.rare.extend(rare.map(|spec| spec.name.clone()));
    }

    fn add_regular(&mut self, name: &UpstreamName, sharing_routers: Option<usize>) {
        let sharing_routers = sharing_routers.map(|count| u32::try_from(count).unwrap_or(u32::MAX));
        let known = self.regular.entry(name.clone()).or_insert(sharing_routers);
        // An upstream that serves several models is shared by the most routers of any model.
        *known = match (*known, sharing_routers) {
            (Some(known), Some(sharing_routers)) => Some(known.max(sharing_routers)),
            _ => None,
        };
    }
}

/// Returns the number of the domain's routers that share each of its `upstreams` of one model, or
/// `None` if all routers do.
fn count_sharing_routers(
    options: &SubsetOptions,
    members: usize,
    upstreams: usize,
) -> Option<usize> {
    let needed = (options.upstreams_min * members).div_ceil(upstreams.max(1));
    let count = options.routers_per_upstream.max(needed);
    // A subset of more than half of the upstreams saves little, but hides the others.
    let is_full_set = members <= options.routers_per_upstream || needed > members / 2;
    (!is_full_set && count < members).then_some(count)
}
