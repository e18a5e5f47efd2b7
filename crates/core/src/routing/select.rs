//! Selection of an upstream from a group.

use std::time::Duration;

use rand::Rng;

use crate::{
    base::MonotonicTime,
    routing::{
        RouteRequest, SelectError, Selection, UpstreamKey, UpstreamTable, UseState,
        entry::UpstreamEntry,
        group::{UpstreamGroup, UpstreamPool},
    },
};

/// Maximum size of a pool that is scanned; larger pools are sampled.
const SCAN_MAX: usize = 32;
/// Maximum number of draws from a large pool before it is scanned.
const DRAWS_MAX: usize = 32;
/// Fraction of draws from other domains, so that faster remote upstreams are found.
const REMOTE_SHARE: f64 = 0.25;
/// Number of upstreams sampled to estimate the mean utilisation of a large pool.
const MEAN_SAMPLES: usize = 8;
/// Maximum number of ring points tried for prefix affinity.
const RING_STEPS_MAX: usize = 8;

impl UpstreamTable {
    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns [`SelectError::Full`] if every usable upstream is at its limit, so that the request
    /// may queue, and another error if no upstream is usable.
    pub fn select(
        &self,
        request: &RouteRequest,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Result<Selection, SelectError> {
        let target = &request.target;
        let group = self
            .group(target)
            .ok_or_else(|| SelectError::UnknownTarget {
                target: target.clone(),
            })?;
        let (pool, mut candidates) = self.draw(group, request, now, rng)?;
        let bound = request
            .prefix
            .map(|_| self.options().affinity_bound * self.mean_utilisation(pool, now, rng));
        let preferred = bound.and_then(|bound| self.preferred(pool, request, bound, now));
        candidates.extend(preferred.filter(|key| !candidates.contains(key)));
        let scored = candidates.into_iter().map(|key| {
            let entry = &self.entries[key];
            let is_within = bound.is_some_and(|bound| entry.is_within(bound, self.options(), now));
            let cached = match preferred {
                Some(preferred) if preferred == key => entry.cached_tokens(request, true),
                _ if is_within => entry.cached_tokens(request, false),
                _ => 0.0,
            };
            let tokens = f64::from(request.prompt_tokens) - cached;
            (
                key,
                entry.score_s(tokens, &group.latency_model, self.options(), now),
            )
        });
        let best = scored.min_by(|left, right| left.1.total_cmp(&right.1));
        let (key, score_s) = best.ok_or_else(|| SelectError::Full {
            target: target.clone(),
        })?;
        let spec = &self.entries[key].spec;
        Ok(Selection {
            key,
            upstream: spec.name.clone(),
            domain: spec.domain.clone(),
            expected: Duration::from_secs_f64(score_s.clamp(0.0, 3600.0)),
        })
    }

    /// Draws candidates from the subset, or from all upstreams if no upstream of the subset has
    /// capacity.
    fn draw<'a>(
        &self,
        group: &'a UpstreamGroup,
        request: &RouteRequest,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Result<(&'a UpstreamPool, Vec<UpstreamKey>), SelectError> {
        if let Some(pool) = &group.subset
            && let Ok(candidates) = self.draw_pool(pool, request, now, rng)
            && !candidates.is_empty()
        {
            return Ok((pool, candidates));
        }
        let candidates = self.draw_pool(&group.all, request, now, rng)?;
        Ok((&group.all, candidates))
    }

    fn draw_pool(
        &self,
        pool: &UpstreamPool,
        request: &RouteRequest,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Result<Vec<UpstreamKey>, SelectError> {
        if pool.len() > SCAN_MAX {
            let candidates = self.sample(pool, request, now, rng);
            if !candidates.is_empty() {
                return Ok(candidates);
            }
        }
        self.scan(pool, request, now, rng)
    }

    /// Draws candidates from a large pool by random sampling.
    fn sample(
        &self,
        pool: &UpstreamPool,
        request: &RouteRequest,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Vec<UpstreamKey> {
        let mut candidates = Vec::with_capacity(self.candidates(pool));
        for _ in 0..DRAWS_MAX {
            let is_remote = pool.local.is_empty()
                || (!pool.remote.is_empty() && rng.random::<f64>() < REMOTE_SHARE);
            let keys = if is_remote { &pool.remote } else { &pool.local };
            let key = keys[rng.random_range(0..keys.len())];
            let entry = &self.entries[key];
            if !candidates.contains(&key) && self.accepts(entry, request, now) {
                candidates.push(key);
            }
            if candidates.len() >= self.candidates(pool) {
                break;
            }
        }
        candidates
    }

    /// Scans the whole pool and draws candidates by weight.
    fn scan(
        &self,
        pool: &UpstreamPool,
        request: &RouteRequest,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Result<Vec<UpstreamKey>, SelectError> {
        let mut weighted: Vec<(UpstreamKey, f64)> = Vec::with_capacity(pool.len());
        let mut is_full = false;
        let mut retry_after: Option<Duration> = None;
        for key in pool.keys() {
            let entry = &self.entries[key];
            if !is_permitted(entry, request) {
                continue;
            }
            match entry.use_state(self.options(), now) {
                UseState::Used | UseState::SlowStart => {
                    weighted.push((key, entry.weight(self.options(), now)));
                }
                UseState::Full => is_full = true,
                UseState::Ejected { remaining_ms } | UseState::Paused { remaining_ms } => {
                    let remaining = Duration::from_millis(remaining_ms);
                    retry_after = Some(retry_after.map_or(remaining, |old| old.min(remaining)));
                }
                UseState::Leaving | UseState::Removed => {}
            }
        }
        if weighted.is_empty() && !is_full {
            return Err(SelectError::Unusable {
                target: request.target.clone(),
                retry_after,
            });
        }
        Ok(draw_weighted(weighted, self.candidates(pool), rng))
    }

    /// Returns the preferred upstream of the prefix: the first on the ring within the load bound.
    fn preferred(
        &self,
        pool: &UpstreamPool,
        request: &RouteRequest,
        bound: f64,
        now: MonotonicTime,
    ) -> Option<UpstreamKey> {
        let digest = request.prefix?.digest;
        pool.ring.walk(digest).take(RING_STEPS_MAX).find(|key| {
            let entry = &self.entries[*key];
            entry.is_within(bound, self.options(), now) && self.accepts(entry, request, now)
        })
    }

    /// Returns the mean utilisation of the pool, estimated from a sample if the pool is large.
    fn mean_utilisation(&self, pool: &UpstreamPool, now: MonotonicTime, rng: &mut impl Rng) -> f64 {
        let utilisation = |key: UpstreamKey| self.entries[key].utilisation(self.options(), now);
        if pool.len() <= SCAN_MAX {
            return pool.keys().map(utilisation).sum::<f64>() / pool.len().max(1) as f64;
        }
        let sum: f64 = (0..MEAN_SAMPLES)
            .map(|_| utilisation(pool.at(rng.random_range(0..pool.len()))))
            .sum();
        sum / MEAN_SAMPLES as f64
    }

    fn candidates(&self, pool: &UpstreamPool) -> usize {
        let routers = match pool.routers {
            0 => self.options().routers,
            routers => routers,
        };
        self.options().candidates(pool.len(), routers)
    }

    fn accepts(&self, entry: &UpstreamEntry, request: &RouteRequest, now: MonotonicTime) -> bool {
        is_permitted(entry, request)
            && matches!(
                entry.use_state(self.options(), now),
                UseState::Used | UseState::SlowStart
            )
    }
}

/// Returns whether the request may use the upstream.
fn is_permitted(entry: &UpstreamEntry, request: &RouteRequest) -> bool {
    let name = &entry.spec.name;
    let is_allowed = request
        .allowed
        .as_ref()
        .is_none_or(|allowed| allowed.contains(name));
    is_allowed && !request.excluded.contains(name)
}

/// Draws up to `count` keys without replacement, with probabilities proportional to the weights.
fn draw_weighted(
    mut weighted: Vec<(UpstreamKey, f64)>,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<UpstreamKey> {
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count && !weighted.is_empty() {
        let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        let mut point = rng.random::<f64>() * total;
        let index = weighted.iter().position(|(_, weight)| {
            point -= weight;
            point < 0.0
        });
        let (key, _) = weighted.swap_remove(index.unwrap_or(0));
        drawn.push(key);
    }
    drawn
}
