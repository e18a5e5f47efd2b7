//! Regions to which requests are bound.

use std::collections::{BTreeMap, BTreeSet};

use crate::base::{DomainName, RegionName};

/// Failure domains whose upstreams may get a request.
pub type HomeDomains = BTreeSet<DomainName>;

/// Returns the domains whose upstreams may get a request, or `None` if all may. `homes` are the
/// regions that its route and its customer are bound to; each binds unless it is empty. A domain
/// whose region is unknown is no home.
#[must_use]
pub fn find_home_domains<'a>(
    homes: impl IntoIterator<Item = &'a BTreeSet<RegionName>>,
    regions: &BTreeMap<DomainName, RegionName>,
) -> Option<HomeDomains> {
    let homes = homes.into_iter();
    let binding: Vec<_> = homes.filter(|homes| !homes.is_empty()).collect();
    if binding.is_empty() {
        return None;
    }
    let is_home = |region: &RegionName| binding.iter().all(|homes| homes.contains(region));
    let domains = regions.iter().filter(|(_, region)| is_home(region));
    Some(domains.map(|(domain, _)| domain.clone()).collect())
}
