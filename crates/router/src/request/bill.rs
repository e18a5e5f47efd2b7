//! Reservation and settlement of one request.

use std::{sync::Arc, time::Duration};

use cornelarch_core::{
    base::{MonotonicTime, TokenCount},
    budget::{BudgetKey, ReservationKey, ReserveError},
    error::ErrorKind,
};

use crate::{
    process::{MetricName, RouterState, log_event},
    request::RequestRefusal,
};

/// Holds the reservation of one request, and settles it exactly once.
///
/// If the request ends early, for example because its caller disconnects, the drop bills what was
/// delivered, or frees the reservation if nothing may have run.
#[derive(Debug)]
pub(crate) struct RequestBill {
    state: Arc<RouterState>,
    reservation: Option<ReservationKey>,
    may_have_run: bool,
    partial: PartialCost,
}

/// Tells what a request costs if its answer is incomplete.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PartialCost {
    /// The prompt and the tokens delivered so far.
    Tokens {
        /// The prompt tokens, estimated until an engine has counted them.
        prompt: u64,
        /// The tokens delivered to the caller.
        delivered: u64,
    },
    /// The fixed cost of a service call.
    Fixed(TokenCount),
}

impl PartialCost {
    /// Returns the cost in tokens.
    pub(crate) fn amount(self) -> TokenCount {
        match self {
            Self::Tokens { prompt, delivered } => {
                TokenCount::new(prompt).saturating_add(TokenCount::new(delivered))
            }
            Self::Fixed(amount) => amount,
        }
    }
}

impl RequestBill {
    /// Reserves the highest possible cost, and waits up to `wait` if the balance is too small.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the ledger; nothing is reserved then.
    pub(crate) async fn reserve(
        state: &Arc<RouterState>,
        budget: BudgetKey,
        amount: TokenCount,
        partial: PartialCost,
        wait: Duration,
    ) -> Result<Self, RequestRefusal> {
        let started = state.now();
        let result = state.ledger.lock().reserve(budget, amount, started);
        let reservation = match result {
            Ok(reservation) => reservation,
            Err(ReserveError::Insufficient { retry: true, .. }) => {
                Self::wait_for_tokens(state, budget, amount, started + wait).await?
            }
            Err(error) => return Err(refuse_reserve(state, error, amount)),
        };
        Ok(Self {
            state: Arc::clone(state),
            reservation: Some(reservation),
            may_have_run: false,
            partial,
        })
    }

    async fn wait_for_tokens(
        state: &Arc<RouterState>,
        budget: BudgetKey,
        amount: TokenCount,
        until: MonotonicTime,
    ) -> Result<ReservationKey, RequestRefusal> {
        let token_notify = state.ledger.token_notify(budget);
        loop {
            let mut notified = std::pin::pin!(token_notify.notified());
            // Tokens that arrive between the attempt and the wait must not be missed.
            notified.as_mut().enable();
            let now = state.now();
            let result = state.ledger.lock().reserve(budget, amount, now);
            let error = match result {
                Ok(reservation) => return Ok(reservation),
                Err(error) => error,
            };
            let may_wait = matches!(error, ReserveError::Insufficient { retry: true, .. });
            if !may_wait || now >= until {
                state.ledger.lock().cancel_demand(budget, amount);
                return Err(refuse_reserve(state, error, amount));
            }
            state.notify_ledger();
            // After the time is up, the next attempt decides.
            let _ = tokio::time::timeout_at(state.clock.instant(until), notified).await;
        }
    }

    /// Records that an upstream may run the request from now on.
    pub(crate) fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Records that no upstream has run the request after all.
    pub(crate) fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Updates the cost of an incomplete answer.
    pub(crate) fn set_partial(&mut self, partial: PartialCost) {
        self.partial = partial;
    }

    /// Bills the actual cost of a complete answer.
    pub(crate) fn settle(mut self, actual: TokenCount) {
        self.settle_once(actual);
    }

    fn settle_once(&mut self, actual: TokenCount) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let now = self.state.now();
        let result = self.state.ledger.lock().settle(reservation, actual, now);
        match result {
            Ok(settlement) => {
                let metrics = &self.state.metrics;
                metrics.add(MetricName::BilledTokens, settlement.billed.get());
                if !settlement.excess.is_zero() {
                    log_event!(
                        ReservationExceeded,
                        "{} tokens above the reserved {}",
                        settlement.excess,
                        settlement.reserved
                    );
                }
            }
            Err(error) => {
                self.state.metrics.count(MetricName::InvariantViolations);
                log_event!(SettlementRefused, "{error}");
            }
        }
    }
}

impl Drop for RequestBill {
    fn drop(&mut self) {
        if self.may_have_run {
            self.settle_once(self.partial.amount());
        } else if let Some(reservation) = self.reservation.take() {
            let now = self.state.now();
            self.state.ledger.lock().cancel(reservation, now);
        }
    }
}

fn refuse_reserve(state: &RouterState, error: ReserveError, amount: TokenCount) -> RequestRefusal {
    let kind = error.kind();
    let message = match kind {
        ErrorKind::BudgetExhausted => {
            format!("the budget does not cover the highest cost of {amount} tokens")
        }
        ErrorKind::BudgetUnavailable => {
            format!("{amount} tokens of the budget cannot be reached now")
        }
        ErrorKind::Draining => "the instance is shutting down".to_owned(),
        _ => error.to_string(),
    };
    if matches!(
        kind,
        ErrorKind::BudgetExhausted | ErrorKind::BudgetUnavailable
    ) {
        state.metrics.count(MetricName::BudgetRefusals);
    }
    RequestRefusal::new(kind, message)
}
