//! Budget reservation and settlement for one request.

use std::{pin::pin, sync::Arc, time::Duration};

use cornelarch_core::{
    base::{BudgetName, TokenCount},
    budget::{BudgetKey, LedgerEvent, ReservationKey, ReserveError},
    error::ErrorKind,
    placement::RequestSize,
};
use tokio::time::{Instant, timeout_at};

use crate::{
    process::{GatewayState, TOKEN_WAIT, log_event},
    request::RequestRefusal,
};

/// Budget reservation of one request, settled exactly once when it is dropped. A run of which the
/// caller received nothing is not charged.
pub(crate) struct RequestBill {
    state: Arc<GatewayState>,
    reservation: Option<ReservationKey>,
    prompt_tokens: u64,
    /// `None` until a part of a response is delivered to the caller.
    delivered_tokens: Option<u64>,
}

impl RequestBill {
    /// Creates the bill of a request that is not charged.
    pub(crate) fn free(state: &Arc<GatewayState>) -> Self {
        Self {
            state: Arc::clone(state),
            reservation: None,
            prompt_tokens: 0,
            delivered_tokens: None,
        }
    }

    /// Reserves the maximum cost of a request; waits for a short time if the balance is too small.
    ///
    /// # Errors
    ///
    /// Returns why the budget does not cover the request now; nothing is reserved in that case.
    pub(crate) async fn reserve(
        state: &Arc<GatewayState>,
        (id, customer): (&str, &str),
        size: &RequestSize,
        until: Instant,
    ) -> Result<Self, RequestRefusal> {
        let amount = TokenCount::new(size.total());
        let key = state.ledger.lock().register(BudgetName::new(customer));
        let began = Instant::now();
        let reservation = wait_for_tokens(state, key, amount, until.min(began + TOKEN_WAIT)).await;
        let reservation =
            reservation.inspect_err(|_| log_shortage(state, id, key, amount, began.elapsed()))?;
        Ok(Self {
            state: Arc::clone(state),
            reservation: Some(reservation),
            prompt_tokens: size.prompt_tokens,
            delivered_tokens: None,
        })
    }

    /// Adds tokens that were delivered to the caller; 0 for a response without generated tokens.
    pub(crate) fn add_delivered(&mut self, tokens: u64) {
        let delivered = self.delivered_tokens.unwrap_or(0);
        self.delivered_tokens = Some(delivered.saturating_add(tokens));
    }
}

impl Drop for RequestBill {
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let cost = match self.delivered_tokens {
            None => 0,
            Some(delivered) => self.prompt_tokens.saturating_add(delivered),
        };
        let now = self.state.now();
        let mut ledger = self.state.ledger.lock();
        if let Err(error) = ledger.settle(reservation, TokenCount::new(cost), now) {
            log::error!("cannot settle the reservation of a request: {error}");
        }
    }
}

async fn wait_for_tokens(
    state: &Arc<GatewayState>,
    key: BudgetKey,
    amount: TokenCount,
    until: Instant,
) -> Result<ReservationKey, RequestRefusal> {
    let arrival = state.ledger.token_notify(key);
    loop {
        let mut notified = pin!(arrival.notified());
        // Registers before the attempt, so that tokens arriving before the wait are not missed.
        notified.as_mut().enable();
        let result = state.ledger.lock().reserve(key, amount, state.now());
        let error = match result {
            Ok(reservation) => return Ok(reservation),
            Err(error) => error,
        };
        let is_waiting = matches!(error, ReserveError::Insufficient { retry: true, .. });
        state.notify_ledger(LedgerEvent::Tick);
        if !is_waiting || timeout_at(until, notified).await.is_err() {
            state.ledger.lock().cancel_demand(key, amount);
            return Err(refuse(error));
        }
    }
}

/// Logs what the ledger knew when a request was refused for its budget. Times are in milliseconds;
/// `-` stands for an unknown value.
fn log_shortage(
    state: &GatewayState,
    id: &str,
    key: BudgetKey,
    amount: TokenCount,
    waited: Duration,
) {
    let ledger = state.ledger.lock();
    let shortage = ledger.shortage(key, state.now());
    let (Some(account), Some(shortage)) = (ledger.account(key), shortage) else {
        return;
    };
    let millis = |time: Option<Duration>| {
        time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
    };
    log_event!(
        BalanceInsufficient,
        "id={id} budget={} needed={amount} balance={} reserved={} available={:?} drawing={} \
         wanted={} held={:?} waited_ms={} uptime_ms={} owner={} heard_ms={} away={} read_ms={} \
         asked={} searches={} scarce={}",
        account.budget,
        account.balance,
        account.reserved,
        account.available.map(TokenCount::get),
        account.drawing,
        account.wanted,
        shortage.held.map(TokenCount::get),
        waited.as_millis(),
        shortage.uptime.as_millis(),
        shortage.is_owner,
        millis(shortage.owner_heard),
        shortage.is_platform_away,
        millis(shortage.read_age),
        shortage.owner_requests,
        shortage.searches,
        shortage.is_scarce
    );
}

fn refuse(error: ReserveError) -> RequestRefusal {
    let kind = match error {
        ReserveError::Insufficient { kind, .. } => kind,
        ReserveError::Draining => ErrorKind::Draining,
        ReserveError::UnknownBudget => {
            log_event!(ObjectRejected, "budget of a customer is not registered");
            ErrorKind::Internal
        }
    };
    kind.into()
}
