//! Reservation and settlement of one request.

use std::{pin::pin, sync::Arc};

use cornelarch_core::{
    base::{BudgetName, TokenCount},
    budget::{BudgetKey, LedgerEvent, ReservationKey, ReserveError},
    error::ErrorKind,
    placement::WorkSize,
};
use tokio::time::{Instant, timeout_at};

use crate::{
    process::{GatewayState, TOKEN_WAIT, log_event},
    request::RequestRefusal,
};

/// Holds the reservation of one request and settles it exactly once, at the latest when it is
/// dropped. A run of which the caller got nothing costs nothing.
pub(crate) struct RequestBill {
    state: Arc<GatewayState>,
    reservation: Option<ReservationKey>,
    prompt_tokens: u64,
    /// `None` until the caller gets a part of an answer.
    delivered_tokens: Option<u64>,
}

impl RequestBill {
    /// Creates the bill of a request that costs nothing.
    pub(crate) fn free(state: &Arc<GatewayState>) -> Self {
        Self {
            state: Arc::clone(state),
            reservation: None,
            prompt_tokens: 0,
            delivered_tokens: None,
        }
    }

    /// Reserves the largest possible cost of a request, and waits for tokens for a short time.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot be paid now; nothing is reserved then.
    pub(crate) async fn reserve(
        state: &Arc<GatewayState>,
        (id, customer): (&str, &str),
        size: &WorkSize,
        until: Instant,
    ) -> Result<Self, RequestRefusal> {
        let amount = TokenCount::new(size.total());
        let key = state.ledger.lock().register(BudgetName::new(customer));
        let until = until.min(Instant::now() + TOKEN_WAIT);
        let reservation = wait_for_tokens(state, key, amount, until).await;
        let reservation = reservation.inspect_err(|_| log_balance(state, id, key, amount))?;
        Ok(Self {
            state: Arc::clone(state),
            reservation: Some(reservation),
            prompt_tokens: size.prompt_tokens,
            delivered_tokens: None,
        })
    }

    /// Adds tokens that were delivered to the caller, 0 for an answer without generated tokens.
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
            log::error!("request is not settled: {error}");
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
        // Tokens that arrive between the attempt and the wait must not be missed.
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

/// Writes the inputs of a refusal to the log.
fn log_balance(state: &GatewayState, id: &str, key: BudgetKey, amount: TokenCount) {
    if let Some(account) = state.ledger.lock().account(key) {
        log_event!(
            BalanceInsufficient,
            "id={id} budget={} needed={amount} balance={} reserved={} available={:?} drawing={}",
            account.budget,
            account.balance,
            account.reserved,
            account.available.map(TokenCount::get),
            account.drawing
        );
    }
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
