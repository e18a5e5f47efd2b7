//! Request life cycle: admission, waiting for tokens, settlement and refusal.

use cornelarch_core::{
    base::{HolderId, MonotonicTime, TokenCount},
    budget::{BudgetKey, LedgerEvent, ReservationKey, ReserveError},
};

use super::{
    super::{
        instance::{WaitingRequest, budget_name},
        scenario::{MEAN_RESERVATION, PolicyCase},
        workload::Request,
    },
    Event, Fleet, STARTUP_PERIOD, TARGET_FRACTION, TARGET_REQUESTS,
};

impl Fleet {
    /// Routes a request to its instance, or to the next one that accepts requests.
    pub(super) fn admit(&mut self, request: Request) {
        let count = self.instances.len();
        let mut order = (0..count).map(|offset| (request.instance + offset) % count);
        let accepts_requests = |index: &usize| {
            let instance = &self.instances[*index];
            instance.is_live && !instance.is_draining
        };
        let Some(index) = order.find(accepts_requests) else {
            return;
        };
        match self.reserve(index, request) {
            Ok(()) => {}
            Err(ReserveError::Insufficient { retry: true, .. }) => {
                self.row.requests_waited += 1;
                let deadline = self.now + self.policy.options(&self.settings).end_wait;
                self.instances[index]
                    .waiting
                    .push(WaitingRequest { request, deadline });
                let holder = self.instances[index].ledger.holder().clone();
                self.schedule(deadline, Event::Deadline { holder });
                self.apply_event(index, LedgerEvent::Tick);
            }
            Err(_) => {
                self.refuse(index, request);
                self.apply_event(index, LedgerEvent::Tick);
            }
        }
    }

    fn reserve(&mut self, index: usize, request: Request) -> Result<(), ReserveError> {
        let now = self.now;
        let instance = &mut self.instances[index];
        let amount = TokenCount::new(request.reservation);
        let reservation = instance
            .ledger
            .reserve(instance.keys[request.budget], amount, now)?;
        let holder = instance.ledger.holder().clone();
        self.row.admitted += 1;
        self.reserved[request.budget] += request.reservation;
        let budget = request.budget;
        let event = Event::Completion {
            holder,
            budget,
            reservation,
            request,
        };
        self.schedule(self.now + request.duration, event);
        Ok(())
    }

    pub(super) fn settle(
        &mut self,
        holder: &HolderId,
        budget: usize,
        reservation: ReservationKey,
        request: Request,
    ) {
        let Some(index) = self.find_holder(holder) else {
            return;
        };
        let now = self.now;
        let cost = TokenCount::new(request.cost);
        let settlement = self.instances[index].ledger.settle(reservation, cost, now);
        let settlement = settlement.expect("a reservation is settled only once");
        self.billed[budget] += settlement.billed.get();
        self.reserved[budget] -= request.reservation;
        if self.policy == PolicyCase::PerRequest {
            self.apply_event(index, LedgerEvent::Tick);
        }
    }

    pub(super) fn retry_waiting(&mut self, index: usize, budget: BudgetKey) {
        let key = |waiting: &WaitingRequest| self.instances[index].keys[waiting.request.budget];
        let (woken, remaining): (Vec<WaitingRequest>, Vec<WaitingRequest>) = self.instances[index]
            .waiting
            .iter()
            .partition(|waiting| key(waiting) == budget);
        self.instances[index].waiting = remaining;
        for waiting in woken {
            if self.reserve(index, waiting.request).is_err() {
                self.instances[index].waiting.push(waiting);
            }
        }
    }

    pub(super) fn expire_waiting(&mut self, holder: &HolderId) {
        let Some(index) = self.find_holder(holder) else {
            return;
        };
        let now = self.now;
        let (expired, remaining): (Vec<WaitingRequest>, Vec<WaitingRequest>) = self.instances
            [index]
            .waiting
            .iter()
            .partition(|waiting| waiting.deadline <= now);
        self.instances[index].waiting = remaining;
        for waiting in expired {
            if self.reserve(index, waiting.request).is_err() {
                self.refuse(index, waiting.request);
            }
        }
    }

    fn refuse(&mut self, index: usize, request: Request) {
        let budget = request.budget;
        let paid = self.platform.totals(&budget_name(budget)).paid.get();
        let unspent = paid - self.billed[budget];
        let free = unspent.saturating_sub(self.reserved[budget] + self.lost[budget]);
        let target_fraction = (paid as f64 * TARGET_FRACTION) as u64;
        let target_tokens = TARGET_REQUESTS * MEAN_RESERVATION;
        let is_partitioned = self.is_partitioned && self.instances[index].domain == 0;
        let is_reachable = !is_partitioned && !self.platform.is_unavailable;
        let has_free = |bound: u64| is_reachable && free >= bound.max(request.reservation);
        let is_startup = self.now < MonotonicTime::START + STARTUP_PERIOD;
        self.row.refusals += 1;
        self.row.false_refusals += u64::from(unspent >= request.reservation);
        self.row.target_refusals += u64::from(has_free(target_fraction.min(target_tokens)));
        self.row.ample_balance_refusals += u64::from(has_free(target_fraction.max(target_tokens)));
        self.row.startup_refusals +=
            u64::from(has_free(target_fraction.max(target_tokens)) && is_startup);
    }
}
