//! Ledger task: executes the effects of the budget ledger.

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
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};

use crate::{
    edge::{EdgeError, PlatformEdge, ReadAge},
    process::{GatewaySettings, GatewayState, PeerCommand, PlatformCall, log_event},
};

/// Interval between ticks of the ledger.
const LEDGER_TICK: Duration = Duration::from_millis(200);
/// Interval between ticks while requests wait for tokens, so that lost messages are repeated within
/// the wait.
const DEMAND_TICK: Duration = BORROW_TIMEOUT;
/// Time after which an unacknowledged transfer is first resent.
const RESEND_INITIAL: Duration = Duration::from_millis(40);
/// Time for which a balance should last in addition to the outage reserve.
const HORIZON: Duration = Duration::from_secs(2);
/// Time for which a loan from a peer should last. It is short because a lender is only about a
/// millisecond away.
const BORROW_HORIZON: Duration = Duration::from_secs(1);
/// Minimum number of requests that a draw covers. It is small because a whole budget may cover only
/// a few dozen requests.
const DRAW_REQUESTS: u64 = 2;
/// Minimum number of requests that a loan covers.
const LOAN_REQUESTS: u64 = 1;
/// Factor by which an instance requests more tokens than its waiting requests need. After an outage
/// every instance requests tokens at once.
const NEED_FACTOR: u64 = 2;
/// Time after a start until an instance knows its peers: a few rounds of the membership protocol.
const WARM_UP: Duration = Duration::from_secs(3);
/// Largest share of the reachable tokens that an instance may hold, multiplied by the number of
/// domains.
const HOLD_CAP_FACTOR: f64 = 1.5;
/// Time after which a loan request is retried; a message takes one or two milliseconds.
const BORROW_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest interval between resends of an unacknowledged transfer. Tokens sent during a network
/// partition become usable only with the first resend after it.
const RESEND_MAX: Duration = Duration::from_secs(1);
/// Requests sent to a shard owner that reports a draw in progress before an instance draws directly
/// from the platform. The number covers a slow platform. Direct draws are a last resort because
/// they hide the burn rate of the instance from the owner, which then holds no reserve for it.
const MAX_OWNER_REQUESTS: u8 = 20;
/// Time for which an instance then draws directly from the platform.
const DIRECT_DRAW_PERIOD: Duration = Duration::from_secs(2);
/// Minimum interval between regular writes of an instance. Calls to the platform are rate limited.
const FLUSH_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which a request waits for tokens when the balance is too small: several times the
/// duration of a loan or of two calls to a healthy platform.
pub(crate) const TOKEN_WAIT: Duration = Duration::from_millis(80);
/// Upper limit of the delay before a failed platform call is retried.
const PLATFORM_RETRY_MAX: Duration = Duration::from_secs(1);
/// Time after which spent tokens are reported without a draw. The report lets other instances
/// distinguish spent tokens from held ones.
const IDLE_FLUSH: Duration = Duration::from_secs(2);

/// Returns the ledger options for the settings of an instance.
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
        hold_cap: HOLD_CAP_FACTOR,
        borrow_timeout: BORROW_TIMEOUT,
        resend_initial: RESEND_INITIAL,
        resend_max: RESEND_MAX,
        max_owner_requests: MAX_OWNER_REQUESTS,
        direct_draw_period: DIRECT_DRAW_PERIOD,
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

/// Budget ledger shared by the request handlers and the ledger task, with notifications for
/// requests that wait for tokens.
#[derive(Debug)]
pub(crate) struct SharedLedger {
    ledger: Mutex<BudgetLedger>,
    waiters: Mutex<HashMap<BudgetKey, Arc<Notify>>>,
}

impl SharedLedger {
    /// Creates an empty ledger for one incarnation of the instance.
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

    /// Returns the notification for newly available tokens of a budget.
    pub(crate) fn token_notify(&self, key: BudgetKey) -> Arc<Notify> {
        Arc::clone(self.waiters.lock().entry(key).or_default())
    }

    fn wake(&self, key: BudgetKey) {
        if let Some(notify) = self.waiters.lock().get(&key) {
            notify.notify_waiters();
        }
    }
}

/// Feeds events to the ledger and executes its effects until the task is dropped.
pub(crate) async fn run_ledger<P: PlatformEdge>(
    state: Arc<GatewayState>,
    edge: Arc<P>,
    mut events: mpsc::UnboundedReceiver<LedgerEvent>,
) {
    let mut next_tick = Instant::now();
    loop {
        let event = tokio::select! {
            event = events.recv() => match event {
                Some(event) => event,
                None => return,
            },
            () = tokio::time::sleep_until(next_tick) => LedgerEvent::Tick,
        };
        let is_tick = event == LedgerEvent::Tick;
        let (effects, has_demand) = {
            let mut ledger = state.ledger.lock();
            (ledger.handle(event, state.now()), ledger.has_demand())
        };
        let now = Instant::now();
        if is_tick {
            next_tick = now + LEDGER_TICK;
        }
        if has_demand {
            next_tick = next_tick.min(now + DEMAND_TICK);
        }
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

/// Logs the totals of all budgets at debug level, for diagnosing rejected requests.
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
