//! Claims and rate limit of the orders of one process.

use std::{sync::Arc, time::Duration};

use cornelarch_core::{
    base::MonotonicTime,
    order::{ClaimId, ClaimTable, LocalClaim, OrderCall, OrderLimiter, OrderOptions},
};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::watch;

/// Tracks the claims of this process and limits the rate of new orders.
#[derive(Debug)]
pub(crate) struct OrderRegistry {
    claims: Mutex<ClaimTable>,
    limiter: Mutex<Option<OrderLimiter>>,
    changed: watch::Sender<()>,
    options: Arc<OrderOptions>,
    generator: Mutex<StdRng>,
}

impl OrderRegistry {
    /// Creates a registry that admits no order until its share is set.
    pub(crate) fn new() -> Self {
        Self {
            claims: Mutex::default(),
            limiter: Mutex::default(),
            changed: watch::Sender::new(()),
            options: Arc::default(),
            generator: Mutex::new(StdRng::from_os_rng()),
        }
    }

    /// Generates the random id of a new claim.
    pub(crate) fn new_claim_id(&self) -> ClaimId {
        ClaimId(self.generator.lock().random())
    }

    /// Returns the options that all order calls share.
    pub(crate) fn options(&self) -> Arc<OrderOptions> {
        Arc::clone(&self.options)
    }

    /// Sets the rate limit of the fleet in orders per second, which the live instances share.
    pub(crate) fn set_share(&self, fleet_per_s: f64, instances: usize, now: MonotonicTime) {
        let mut limiter = self.limiter.lock();
        limiter
            .get_or_insert_with(|| OrderLimiter::new(fleet_per_s, now))
            .set_share(fleet_per_s, instances, now);
    }

    /// Charges one order to the rate limit; returns whether it may proceed.
    pub(crate) fn take(&self, now: MonotonicTime) -> bool {
        let mut limiter = self.limiter.lock();
        limiter.as_mut().is_some_and(|limiter| limiter.take(now))
    }

    /// Records the state of a call; to be called after it is opened and after each event.
    pub(crate) fn track(&self, call: &OrderCall) {
        self.claims.lock().track(call);
        self.changed.send_replace(());
    }

    /// Returns the state of a claim as known to this process.
    pub(crate) fn lookup(&self, claim: ClaimId) -> LocalClaim {
        self.claims.lock().lookup(claim)
    }

    /// Waits until a claim of this process has ended; returns `false` after `timeout`.
    pub(crate) async fn wait_claim(&self, claim: ClaimId, timeout: Duration) -> bool {
        let mut changed = self.changed.subscribe();
        let ended = async {
            while self.lookup(claim) == LocalClaim::Running {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(timeout, ended).await.is_ok()
    }
}
