//! Ledger task: carries out what the budget ledger wants done.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::{
    base::HolderId,
    budget::{
        BudgetKey, BudgetLedger, LedgerEffect, LedgerEvent, LedgerOptions, ReserveRate,
        ShardNumber, ShardValue,
    },
};
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{Notify, mpsc};

use crate::{
    edge::{EdgeError, PlatformEdge, ReadAge},
    process::{GatewaySettings, GatewayState, PeerCommand, PlatformCall, log_event},
};

/// Time between two ticks of the ledger.
const LEDGER_TICK: Duration = Duration::from_millis(200);
/// Time for which a balance should last beside the outage reserve.
const HORIZON: Duration = Duration::from_secs(2);
/// Time for which a balance that a neighbour lent should last; the lender is a millisecond away.
const BORROW_HORIZON: Duration = Duration::from_secs(1);
/// Requests that a draw covers at least. A budget may hold only a few dozen requests in all.
const DRAW_REQUESTS: u64 = 2;
/// Requests that a loan covers at least.
const LOAN_REQUESTS: u64 = 1;
/// Factor on the tokens that requests wait for. After an outage every instance asks at once.
const NEED_FACTOR: u64 = 2;
/// Time after a start until an instance knows the others: a few rounds of the membership protocol.
const WARM_UP: Duration = Duration::from_secs(3);
/// Largest part of the reachable tokens that an instance holds, times the number of domains.
const HOLD_CAP: f64 = 1.5;
/// Time after which a request for a loan is repeated; messages take a millisecond or two.
const BORROW_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest time between two sendings of a transfer. Tokens that were sent into a cut are usable only
/// after the next sending.
const RESEND_MAX: Duration = Duration::from_secs(1);
/// Requests to a shard owner that says that it looks for tokens before an instance draws for itself.
/// They cover a slow platform; an instance that draws for itself hides its burn from the owner, which
/// then holds no reserve for it.
const OWNER_ASKS: u8 = 20;
/// How long an instance then draws for itself.
const OWNER_SILENCE: Duration = Duration::from_secs(2);
/// Least time between two regular writes of an instance. Calls to the platform are limited.
const FLUSH_PERIOD: Duration = Duration::from_millis(1_000);
/// How long a request that does not fit waits for tokens: a loan, or two calls to a healthy
/// platform, several times over.
pub(crate) const TOKEN_WAIT: Duration = Duration::from_millis(80);
/// Longest time after which the platform is tried again.
const PLATFORM_RETRY_MAX: Duration = Duration::from_secs(1);
/// Time after which spent tokens are reported without a draw. A report lets the others tell a used
/// budget from a held one.
const IDLE_FLUSH: Duration = Duration::from_secs(2);

/// Returns the options of the ledger of an instance.
#[must_use]
pub fn ledger_options(settings: &GatewaySettings) -> LedgerOptions {
    let has_others = settings
        .seeds
        .iter()
        .any(|seed| *seed != settings.peer_listen);
    LedgerOptions {
        warm_up: if has_others { WARM_UP } else { Duration::ZERO },
        environment: settings.environment.clone(),
        domain: settings.domain.clone(),
        shards: settings.ledger_shards,
        domains: settings.domains,
        horizon: HORIZON,
        borrow_horizon: BORROW_HORIZON,
        draw_requests: DRAW_REQUESTS,
        loan_requests: LOAN_REQUESTS,
        need_factor: NEED_FACTOR,
        hold_cap: HOLD_CAP,
        borrow_timeout: BORROW_TIMEOUT,
        resend_max: RESEND_MAX,
        owner_asks: OWNER_ASKS,
        owner_silence: OWNER_SILENCE,
        outage_reserve: settings.outage_reserve,
        reserve_rate: ReserveRate::Recent,
        end_wait: TOKEN_WAIT,
        flush_period: FLUSH_PERIOD,
        idle_flush: IDLE_FLUSH,
        idle_return: settings.outage_reserve,
        platform_retry_max: PLATFORM_RETRY_MAX,
        ..LedgerOptions::default()
    }
}

/// Holds the ledger and the requests that wait for tokens.
#[derive(Debug)]
pub(crate) struct SharedLedger {
    ledger: Mutex<BudgetLedger>,
    waiters: Mutex<HashMap<BudgetKey, Arc<Notify>>>,
}

impl SharedLedger {
    /// Opens the ledger of one incarnation.
    pub(crate) fn open(settings: &GatewaySettings, holder: HolderId) -> Self {
        let options = ledger_options(settings);
        Self {
            ledger: Mutex::new(BudgetLedger::new(holder, options)),
            waiters: Mutex::default(),
        }
    }

    /// Locks the ledger; the guard must not be held across an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BudgetLedger> {
        self.ledger.lock()
    }

    /// Returns the signal that tokens of a budget have arrived.
    pub(crate) fn token_notify(&self, key: BudgetKey) -> Arc<Notify> {
        Arc::clone(self.waiters.lock().entry(key).or_default())
    }

    fn wake(&self, key: BudgetKey) {
        if let Some(notify) = self.waiters.lock().get(&key) {
            notify.notify_waiters();
        }
    }
}

/// Carries out the effects of the ledger until the task is dropped.
pub(crate) async fn run_ledger<P: PlatformEdge>(
    state: Arc<GatewayState>,
    edge: Arc<P>,
    mut events: mpsc::UnboundedReceiver<LedgerEvent>,
) {
    let mut interval = tokio::time::interval(LEDGER_TICK);
    loop {
        let event = tokio::select! {
            event = events.recv() => match event {
                Some(event) => event,
                None => return,
            },
            _ = interval.tick() => LedgerEvent::Tick,
        };
        let effects = state.ledger.lock().handle(event, state.now());
        for effect in effects {
            run_effect(&state, &edge, effect);
        }
    }
}

fn run_effect<P: PlatformEdge>(state: &Arc<GatewayState>, edge: &Arc<P>, effect: LedgerEffect) {
    let (state, edge) = (Arc::clone(state), Arc::clone(edge));
    match effect {
        LedgerEffect::ReadShard { is_latest, shard } => {
            let age = match is_latest {
                true => ReadAge::Latest,
                false => ReadAge::Any,
            };
            tokio::spawn(async move {
                let event = read_shard(&state, &*edge, shard, age).await;
                state.notify_ledger(event);
            });
        }
        LedgerEffect::WriteShard {
            shard,
            expected_version,
            value,
        } => {
            tokio::spawn(async move {
                let event = write_shard(&state, &*edge, shard, expected_version, &value).await;
                state.notify_ledger(event);
            });
        }
        LedgerEffect::Send { to, message } => {
            state.send_peer_command(PeerCommand::Send { to, message })
        }
        LedgerEffect::Wake { budget } => state.ledger.wake(budget),
    }
}

fn object_name(state: &GatewayState, shard: ShardNumber) -> String {
    format!("{}-{shard}", state.settings.environment)
}

async fn read_shard<P: PlatformEdge>(
    state: &GatewayState,
    edge: &P,
    shard: ShardNumber,
    age: ReadAge,
) -> LedgerEvent {
    let name = object_name(state, shard);
    let result = edge.read_object(&name, age).await;
    state.metrics.count_call(PlatformCall::LedgerRead, &result);
    match result {
        Ok(object) if object.revision == 0 => LedgerEvent::ShardRead {
            shard,
            version: 0,
            value: ShardValue::default(),
        },
        Ok(object) => match serde_json::from_slice(&object.value) {
            Ok(value) => {
                log_totals(&value);
                LedgerEvent::ShardRead {
                    shard,
                    version: object.revision,
                    value,
                }
            }
            Err(error) => {
                log_event!(ObjectRejected, "object=ledger/{name} error={error}");
                LedgerEvent::PlatformDown { shard }
            }
        },
        Err(error) => {
            log::debug!("ledger object {name} cannot be read: {error}");
            LedgerEvent::PlatformDown { shard }
        }
    }
}

/// Writes the state of the budgets to the log, for the analysis of refusals.
fn log_totals(value: &ShardValue) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    for (budget, entry) in &value.budgets {
        let totals = entry.totals();
        log::debug!(
            "budget {budget}: paid={} spent={} held={} available={} rows={}",
            totals.paid,
            totals.spent,
            totals.held,
            totals.available,
            entry.rows.len()
        );
    }
}

async fn write_shard<P: PlatformEdge>(
    state: &GatewayState,
    edge: &P,
    shard: ShardNumber,
    expected_version: u64,
    value: &ShardValue,
) -> LedgerEvent {
    let name = object_name(state, shard);
    let bytes = match serde_json::to_vec(value) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            log_event!(ObjectRejected, "object=ledger/{name} error={error}");
            return LedgerEvent::PlatformDown { shard };
        }
    };
    let result = edge.write_object(&name, expected_version, bytes).await;
    state.metrics.count_call(PlatformCall::LedgerWrite, &result);
    match result {
        Ok(version) => LedgerEvent::WriteAccepted { shard, version },
        Err(EdgeError::Conflict) => LedgerEvent::WriteConflict { shard },
        Err(EdgeError::Unknown { reason }) => {
            log_event!(LedgerWriteUnknown, "object=ledger/{name} reason={reason}");
            LedgerEvent::WriteUnknown { shard }
        }
        Err(error) => {
            log::debug!("ledger object {name} cannot be written: {error}");
            LedgerEvent::PlatformDown { shard }
        }
    }
}
