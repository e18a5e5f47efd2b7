//! Rendezvous hashing, which reassigns only the keys of a member that joins or fails.

use std::cmp::Reverse;

use xxhash_rust::xxh3::Xxh3;

use crate::base::InstanceName;

/// Returns the score of an instance for a key; the highest one owns the key.
#[must_use]
pub fn rendezvous_score(key: &str, instance: &InstanceName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    // The separator distinguishes `ab` + `c` from `a` + `bc`.
    hasher.update(&[0]);
    hasher.update(instance.as_bytes());
    hasher.digest()
}

/// Returns the owner of a key among `instances`, or `None` if there are none.
#[must_use]
pub fn choose_owner<'a>(
    key: &str,
    instances: impl Iterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    instances.max_by_key(|instance| (rendezvous_score(key, instance), Reverse(*instance)))
}

/// Returns the `count` instances with the highest scores for a key, the owner first.
#[must_use]
pub fn choose_owners<'a>(
    key: &str,
    instances: impl Iterator<Item = &'a InstanceName>,
    count: usize,
) -> Vec<&'a InstanceName> {
    let mut instances: Vec<&InstanceName> = instances.collect();
    instances.sort_by_cached_key(|instance| {
        (
            Reverse(rendezvous_score(key, instance)),
            (*instance).clone(),
        )
    });
    instances.dedup();
    instances.truncate(count);
    instances
}
