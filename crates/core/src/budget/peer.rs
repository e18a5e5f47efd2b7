//! Live instances and the assignment of shard owners.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    base::{DomainName, HolderId},
    budget::{DomainPeer, ShardNumber},
};

/// The live instances of every domain.
///
/// The table is only a hint: a wrong table costs extra messages and writes, but never tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PeerTable {
    domains: BTreeMap<DomainName, Vec<HolderId>>,
}

impl PeerTable {
    /// Creates a table of the given peers and this instance.
    #[must_use]
    pub fn new(own: &HolderId, domain: &DomainName, peers: Vec<DomainPeer>) -> Self {
        let mut domains: BTreeMap<DomainName, Vec<HolderId>> = BTreeMap::new();
        for peer in peers {
            domains.entry(peer.domain).or_default().push(peer.holder);
        }
        domains.entry(domain.clone()).or_default().push(own.clone());
        for holders in domains.values_mut() {
            holders.sort();
            holders.dedup();
        }
        Self { domains }
    }

    /// Returns the owner of a shard in a domain by rendezvous hashing, or `None` if the domain has
    /// no live instance.
    #[must_use]
    pub fn owner(&self, domain: &DomainName, shard: ShardNumber) -> Option<&HolderId> {
        pick_owner(self.members(domain).iter(), shard)
    }

    /// Returns the owner of a shard in a domain once `leaving` is gone.
    #[must_use]
    pub fn successor(
        &self,
        domain: &DomainName,
        shard: ShardNumber,
        leaving: &HolderId,
    ) -> Option<&HolderId> {
        let members = self.members(domain).iter();
        pick_owner(members.filter(|holder| *holder != leaving), shard)
    }

    /// Returns the live instances of a domain.
    #[must_use]
    pub fn members(&self, domain: &DomainName) -> &[HolderId] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the owners of a shard in all domains except `domain`.
    pub fn other_owners<'a>(
        &'a self,
        domain: &'a DomainName,
        shard: ShardNumber,
    ) -> impl Iterator<Item = &'a HolderId> {
        let others = self.domains.keys().filter(move |other| *other != domain);
        others.filter_map(move |other| self.owner(other, shard))
    }

    /// Returns whether an incarnation is live.
    #[must_use]
    pub fn contains(&self, holder: &HolderId) -> bool {
        self.domains
            .values()
            .any(|holders| holders.contains(holder))
    }
}

/// Selects one of the holders by rendezvous hashing.
fn pick_owner<'a>(
    holders: impl Iterator<Item = &'a HolderId>,
    shard: ShardNumber,
) -> Option<&'a HolderId> {
    let seed = u64::from(shard.0);
    let hash = |holder: &HolderId| xxh3_64_with_seed(holder.instance.as_bytes(), seed);
    holders.max_by_key(|holder| (hash(holder), holder.epoch))
}
