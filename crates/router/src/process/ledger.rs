//! Ledger actor: executes the effects of the budget ledger.
//!
//! The ledger itself is behind a mutex, because admission and settlement must not wait in the
//! mailbox of an actor.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::budget::{
    BudgetKey, BudgetLedger, LedgerEffect, LedgerEvent, ShardNumber, ShardValue,
};
use cornelarch_platform::{ObjectStore, StoreError};
use cornelarch_wire::encode_budget_message;
use kameo::{
    Actor,
    actor::ActorRef,
    message::{Context, Message},
};
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::Notify;

use crate::process::{MetricName, RouterState, log_event};

/// Tick period of the ledger.
pub(crate) const LEDGER_TICK: Duration = Duration::from_millis(100);

/// Shares the ledger between the actor and the request path, and wakes requests that wait for
/// tokens.
#[derive(Debug)]
pub(crate) struct SharedLedger {
    ledger: Mutex<BudgetLedger>,
    waiters: Mutex<HashMap<BudgetKey, Arc<Notify>>>,
}

impl SharedLedger {
    pub(crate) fn new(ledger: BudgetLedger) -> Self {
        Self {
            ledger: Mutex::new(ledger),
            waiters: Mutex::default(),
        }
    }

    /// Locks the ledger; the guard must not be held across an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BudgetLedger> {
        self.ledger.lock()
    }

    /// Returns the notification that tokens of a budget have arrived.
    pub(crate) fn token_notify(&self, key: BudgetKey) -> Arc<Notify> {
        Arc::clone(self.waiters.lock().entry(key).or_default())
    }

    fn wake(&self, key: BudgetKey) {
        if let Some(notify) = self.waiters.lock().get(&key) {
            notify.notify_waiters();
        }
    }
}

/// Feeds events to the ledger and executes the effects that it returns.
#[derive(Actor)]
pub(crate) struct LedgerActor {
    state: Arc<RouterState>,
    platform_up: bool,
}

impl LedgerActor {
    /// Creates the actor of a router.
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self {
            state,
            platform_up: true,
        }
    }

    fn apply(&mut self, event: LedgerEvent, actor: &ActorRef<Self>) {
        self.record_platform_state(&event);
        let now = self.state.clock.now();
        let effects = self.state.ledger.lock().handle(event, now);
        for effect in effects {
            self.run_effect(effect, actor);
        }
    }

    fn record_platform_state(&mut self, event: &LedgerEvent) {
        match event {
            LedgerEvent::PlatformDown { shard } if self.platform_up => {
                self.platform_up = false;
                log_event!(LedgerPlatformDown, "shard {shard}");
            }
            LedgerEvent::ShardRead { .. } | LedgerEvent::WriteAccepted { .. }
                if !self.platform_up =>
            {
                self.platform_up = true;
                log_event!(LedgerPlatformUp);
            }
            LedgerEvent::WriteUnknown { shard } => log_event!(LedgerWriteUnknown, "shard {shard}"),
            _ => {}
        }
    }

    fn run_effect(&self, effect: LedgerEffect, actor: &ActorRef<Self>) {
        let state = Arc::clone(&self.state);
        match effect {
            LedgerEffect::ReadShard { shard, .. } => {
                let actor = actor.clone();
                self.state.tasks.spawn(async move {
                    let event = read_shard(&state, shard).await;
                    // Sending fails only after the router has been closed.
                    let _ = actor.tell(event).await;
                });
            }
            LedgerEffect::WriteShard {
                shard,
                expected_version,
                value,
            } => {
                let actor = actor.clone();
                self.state.tasks.spawn(async move {
                    let event = write_shard(&state, shard, expected_version, &value).await;
                    let _ = actor.tell(event).await;
                });
            }
            LedgerEffect::Send { to, message } => {
                state.send_to(&to, encode_budget_message(message))
            }
            LedgerEffect::Wake { budget } => state.ledger.wake(budget),
        }
    }
}

impl Message<LedgerEvent> for LedgerActor {
    type Reply = ();

    async fn handle(&mut self, event: LedgerEvent, context: &mut Context<Self, ()>) {
        // Before the first configuration the ledger has no options and holds no tokens.
        if self.state.version.load().is_none() {
            return;
        }
        let actor = context.actor_ref().clone();
        self.apply(event, &actor);
    }
}

async fn read_shard(state: &RouterState, shard: ShardNumber) -> LedgerEvent {
    let key = shard.object_key(&state.settings.environment);
    state.metrics.count(MetricName::PlatformCalls);
    match state.store.get(&key).await {
        Ok(object) => match serde_json::from_slice(&object.value) {
            Ok(value) => LedgerEvent::ShardRead {
                shard,
                version: object.version,
                value,
            },
            Err(error) => {
                log_event!(LedgerRejected, "{key}: {error}");
                LedgerEvent::PlatformDown { shard }
            }
        },
        Err(StoreError::NotFound { .. }) => LedgerEvent::ShardRead {
            shard,
            version: 0,
            value: ShardValue::default(),
        },
        Err(_) => {
            state.metrics.count(MetricName::PlatformFailures);
            LedgerEvent::PlatformDown { shard }
        }
    }
}

async fn write_shard(
    state: &RouterState,
    shard: ShardNumber,
    expected_version: u64,
    value: &ShardValue,
) -> LedgerEvent {
    let key = shard.object_key(&state.settings.environment);
    let bytes = match serde_json::to_vec(value) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            log_event!(LedgerRejected, "{key}: {error}");
            return LedgerEvent::PlatformDown { shard };
        }
    };
    state.metrics.count(MetricName::PlatformCalls);
    let error = match state.store.put(&key, expected_version, bytes).await {
        Ok(version) => return LedgerEvent::WriteAccepted { shard, version },
        Err(error) => error,
    };
    match error {
        StoreError::Conflict { .. } | StoreError::NotFound { .. } => {
            LedgerEvent::WriteConflict { shard }
        }
        StoreError::Unknown { .. } => {
            state.metrics.count(MetricName::PlatformFailures);
            LedgerEvent::WriteUnknown { shard }
        }
        StoreError::TooLarge { .. } => {
            log_event!(LedgerRejected, "{error}");
            LedgerEvent::PlatformDown { shard }
        }
        StoreError::Unavailable { .. } | StoreError::RateLimited => {
            state.metrics.count(MetricName::PlatformFailures);
            LedgerEvent::PlatformDown { shard }
        }
    }
}
