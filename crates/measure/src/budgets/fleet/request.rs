//! Requests: admission, waiting, settlement and refusal.

use cornelarch_core::{
    base::{HolderId, MonotonicTime, TokenCount},
    budget::{BudgetKey, LedgerEvent, ReservationKey, ReserveError},
};

use super::{
    super::{
        instance::{Waiting, budget_name},
        scenario::{MEAN_RESERVATION, PolicyCase},
        workload::Request,
    },
    Event, Fleet, START, TARGET_PART, TARGET_REQUESTS,
};

impl Fleet {
    /// Gives a request to its instance, or to the next one that takes requests.
    pub(super) fn admit(&mut self, request: Request) {
        let count = self.instances.len();
        let mut order = (0..count).map(|offset| (request.instance + offset) % count);
        let takes = |index: &usize| {
            let instance = &self.instances[*index];
            instance.is_live && !instance.is_draining
        };
        let Some(index) = order.find(takes) else {
            return;
        };
        match self.reserve(index, request) {
            Ok(()) => {}
            Err(ReserveError::Insufficient { retry: true, .. }) => {
                self.row.requests_waited += 1;
                let deadline = self.now + self.policy.options(&self.settings).end_wait;
                self.instances[index]
                    .waiting
                    .push(Waiting { request, deadline });
                let holder = self.instances[index].ledger.holder().clone();
                self.push(deadline, Event::Deadline { holder });
                self.feed(index, LedgerEvent::Tick);
            }
            Err(_) => {
                self.refuse(index, request);
                self.feed(index, LedgerEvent::Tick);
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
        let event = Event::Finish {
            holder,
            budget,
            reservation,
            request,
        };
        self.push(self.now + request.duration, event);
        Ok(())
    }

    pub(super) fn settle(
        &mut self,
        holder: &HolderId,
        budget: usize,
        reservation: ReservationKey,
        request: Request,
    ) {
        let Some(index) = self.find(holder) else {
            return;
        };
        let now = self.now;
        let cost = TokenCount::new(request.cost);
        let settlement = self.instances[index].ledger.settle(reservation, cost, now);
        let settlement = settlement.expect("a request ends once");
        self.billed[budget] += settlement.billed.get();
        self.reserved[budget] -= request.reservation;
        if self.policy == PolicyCase::PerRequest {
            self.feed(index, LedgerEvent::Tick);
        }
    }

    pub(super) fn wake(&mut self, index: usize, budget: BudgetKey) {
        let key = |waiting: &Waiting| self.instances[index].keys[waiting.request.budget];
        let (woken, kept): (Vec<Waiting>, Vec<Waiting>) = self.instances[index]
            .waiting
            .iter()
            .partition(|waiting| key(waiting) == budget);
        self.instances[index].waiting = kept;
        for waiting in woken {
            if self.reserve(index, waiting.request).is_err() {
                self.instances[index].waiting.push(waiting);
            }
        }
    }

    pub(super) fn expire(&mut self, holder: &HolderId) {
        let Some(index) = self.find(holder) else {
            return;
        };
        let now = self.now;
        let (over, kept): (Vec<Waiting>, Vec<Waiting>) = self.instances[index]
            .waiting
            .iter()
            .partition(|waiting| waiting.deadline <= now);
        self.instances[index].waiting = kept;
        for waiting in over {
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
        let part = (paid as f64 * TARGET_PART) as u64;
        let few = TARGET_REQUESTS * MEAN_RESERVATION;
        let is_cut = self.is_cut && self.instances[index].domain == 0;
        let is_reachable = !is_cut && !self.platform.is_away;
        let is_free = |bound: u64| is_reachable && free >= bound.max(request.reservation);
        let is_start = self.now < MonotonicTime::START + START;
        self.row.refusals += 1;
        self.row.false_refusals += u64::from(unspent >= request.reservation);
        self.row.target_refusals += u64::from(is_free(part.min(few)));
        self.row.wide_refusals += u64::from(is_free(part.max(few)));
        self.row.start_refusals += u64::from(is_free(part.max(few)) && is_start);
    }
}
