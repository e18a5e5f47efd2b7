//! Budget reservation and billing of a request.

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

/// Budget reservation of a request, which is settled or cancelled exactly once.
///
/// If the request ends early, for example because its caller disconnects, dropping the bill charges
/// the partial cost, or cancels the reservation if no upstream can have run the request.
#[derive(Debug)]
pub(crate) struct RequestBill {
    state: Arc<RouterState>,
    reservation: Option<ReservationKey>,
    may_have_run: bool,
    partial: PartialCost,
}

/// Cost of a request whose response is incomplete.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PartialCost {
    /// The prompt plus the tokens delivered so far.
    Tokens {
        /// Prompt tokens, estimated until an engine has reported the count.
        prompt: u64,
        /// Tokens delivered to the caller.
        delivered: u64,
    },
    /// The fixed cost of a service call.
    Fixed(TokenCount),
}

impl PartialCost {
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
    /// Reserves the maximum cost, and waits up to `wait` for tokens if the balance is too small.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ledger rejects the reservation; nothing is reserved then.
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
            Err(error) => return Err(reserve_refusal(state, error, amount)),
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
            // Register before the attempt, so that tokens arriving in between are not missed.
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
                return Err(reserve_refusal(state, error, amount));
            }
            state.notify_ledger();
            // After a timeout, the next iteration makes the final attempt.
            let _ = tokio::time::timeout_at(state.clock.instant(until), notified).await;
        }
    }

    /// Records that the request is about to be sent, so an upstream may run it from now on.
    pub(crate) fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Records that no upstream has run the request.
    pub(crate) fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Updates the cost that is billed if the response stays incomplete.
    pub(crate) fn set_partial(&mut self, partial: PartialCost) {
        self.partial = partial;
    }

    /// Bills the actual cost of a complete response.
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
                        "actual cost is {} tokens above the {} reserved",
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

fn reserve_refusal(state: &RouterState, error: ReserveError, amount: TokenCount) -> RequestRefusal {
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
