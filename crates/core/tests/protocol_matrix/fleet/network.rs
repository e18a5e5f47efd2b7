//! Delivery of messages and platform calls, and recognition of the steps.

use super::*;

/// Returns the tokens granted and returned over all rows.
fn sum_rows(value: &ShardValue) -> (i64, i64) {
    let mut sums = (0, 0);
    for entry in value.budgets.values() {
        let mut folded = entry.folded;
        entry.rows.iter().for_each(|row| folded.add(row));
        sums.0 += folded.granted.get() as i64;
        sums.1 += folded.returned.get() as i64;
    }
    sums
}

impl BudgetFleet {
    pub(super) fn feed(&mut self, index: usize, event: LedgerEvent) {
        let effects = self.processes[index].ledger.handle(event, self.now);
        for effect in effects {
            self.route(index, effect);
        }
    }

    fn push(&mut self, delay: Duration, item: Item) {
        self.queue.push((self.now + delay, item));
    }

    /// Sends an effect on its way. The fault may strike right after it was sent.
    fn route(&mut self, index: usize, effect: LedgerEffect) {
        let step = self.find_step(index, &effect);
        let passage = match step.is_some_and(|step| self.hits(step)) {
            true => self.strike(index),
            false => Passage::Normal,
        };
        let holder = self.processes[index].ledger.holder().clone();
        let delay = match self.now < self.slow_until {
            true => SLOW_CALL,
            false => HOP,
        };
        let is_cut = self.now < self.platform_cut_until[index];
        match effect {
            LedgerEffect::Wake { .. } => {}
            LedgerEffect::Send { to, message } => {
                self.send(index, Item::Message(holder, to, message), passage);
            }
            LedgerEffect::ReadShard { shard } | LedgerEffect::WriteShard { shard, .. }
                if is_cut =>
            {
                self.push(
                    HOP,
                    Item::Answer(holder, LedgerEvent::PlatformDown { shard }),
                );
            }
            LedgerEffect::ReadShard { .. } => self.push(delay, Item::Read(holder)),
            LedgerEffect::WriteShard {
                shard,
                expected_version: expected,
                value,
            } => {
                let is_answered = !matches!(passage, Passage::AnswerLost | Passage::Late);
                if !is_answered {
                    let event = LedgerEvent::WriteUnknown { shard };
                    self.push(delay * 2, Item::Answer(holder.clone(), event));
                }
                let delay = match passage {
                    Passage::Late => LATE_WRITE,
                    _ => delay,
                };
                let holder = Some(holder);
                self.push(
                    delay,
                    Item::Write {
                        holder,
                        expected,
                        value,
                        is_answered,
                    },
                );
            }
        }
    }

    fn send(&mut self, index: usize, item: Item, passage: Passage) {
        let Item::Message(from, to, message) = &item else {
            return;
        };
        if passage == Passage::Doubled {
            self.push(Duration::from_millis(500), item.clone());
            self.push(Duration::from_secs(5), item.clone());
        }
        if passage != Passage::Lost {
            return self.push(HOP, item);
        }
        // The broken sender takes back what the lost acknowledgement would have confirmed.
        if let (FleetVariant::TakesBack, BudgetMessage::TransferAck { sequence }) =
            (self.variant, message)
            && let Some(amount) = self.arrived.get(&(to.clone(), from.clone(), *sequence))
        {
            let forged = BudgetMessage::Transfer {
                sequence: u64::MAX,
                budget: budget(),
                amount: TokenCount::new(*amount),
                spent: TokenCount::ZERO,
            };
            let receiver = self.find(to).unwrap_or(index);
            let (from, to) = (from.clone(), to.clone());
            let message = forged;
            self.feed(receiver, LedgerEvent::Received { from, to, message });
        }
    }

    /// Returns the step that an effect of a process is.
    fn find_step(&self, index: usize, effect: &LedgerEffect) -> Option<Step> {
        let is_draining = self.processes[index].is_draining;
        match effect {
            LedgerEffect::ReadShard { .. } => {
                let snapshot = self.processes[index].ledger.snapshot();
                let is_needed = snapshot.accounts.iter().any(|a| !a.wanted.is_zero());
                is_needed.then_some(Step::DrawRead)
            }
            LedgerEffect::Wake { .. } => None,
            LedgerEffect::WriteShard { .. } if is_draining => Some(Step::DrainReturn),
            LedgerEffect::WriteShard { .. } => self.find_write_step(index),
            LedgerEffect::Send { message, .. } => match message {
                BudgetMessage::BorrowRequest { .. } => Some(Step::BorrowRequested),
                BudgetMessage::Transfer { .. } if is_draining => Some(Step::DrainHandOver),
                BudgetMessage::Transfer { .. } => Some(Step::TransferSent),
                BudgetMessage::TransferAck { sequence: 1.. } => Some(Step::TransferAcknowledged),
                BudgetMessage::TransferAck { .. } | BudgetMessage::ReturnIdle { .. } => None,
            },
        }
    }

    /// A write may draw and report at once; the step under test counts.
    fn find_write_step(&self, index: usize) -> Option<Step> {
        let snapshot = self.processes[index].ledger.snapshot();
        let account = snapshot.accounts.first()?;
        let parts = [
            (Step::DrawSent, account.drawing),
            (Step::ReportWritten, account.reporting),
            (Step::IdleReturned, account.returning),
        ];
        let steps = parts.into_iter().filter(|(_, amount)| !amount.is_zero());
        let mut steps = steps.map(|(step, _)| step);
        steps.find(|step| *step == self.step)
    }

    pub(super) fn find(&self, holder: &HolderId) -> Option<usize> {
        let mut processes = self.processes.iter();
        processes.position(|process| process.ledger.holder() == holder)
    }

    /// Returns whether an item waits until its paused receiver goes on.
    pub(super) fn is_waiting(&self, item: &Item) -> bool {
        let (Item::Message(_, holder, _) | Item::Answer(holder, _)) = item else {
            return false;
        };
        let index = self.find(holder);
        index.is_some_and(|index| self.now < self.processes[index].paused_until)
    }

    pub(super) fn handle_item(&mut self, item: Item) {
        let shard = SHARD;
        match item {
            Item::Message(from, to, message) => self.deliver(from, to, message),
            Item::Read(holder) => {
                let (version, value) = (self.version, self.value.clone());
                let event = LedgerEvent::ShardRead {
                    shard,
                    version,
                    value,
                };
                self.push(HOP, Item::Answer(holder, event));
            }
            Item::Write {
                holder,
                expected,
                value,
                is_answered,
            } => {
                let event = self.write(holder.as_ref(), expected, value);
                if let Some(holder) = holder.filter(|_| is_answered) {
                    self.push(HOP, Item::Answer(holder, event));
                }
            }
            Item::Answer(holder, event) => self.answer(&holder, event),
            Item::Operate(operation, id) => self.run_operation(operation, id),
        }
    }

    /// Writes the shard object if it has the expected version. Whatever the write grants and
    /// returns belongs to the holder that sent it.
    fn write(
        &mut self,
        holder: Option<&HolderId>,
        expected: u64,
        value: ShardValue,
    ) -> LedgerEvent {
        let shard = SHARD;
        if expected != self.version {
            return LedgerEvent::WriteConflict { shard };
        }
        let (before, after) = (sum_rows(&self.value), sum_rows(&value));
        let change = (after.0 - before.0, after.1 - before.1);
        match holder {
            Some(holder) => {
                let sum = self.granted.entry(holder.clone()).or_default();
                sum.0 += change.0;
                sum.1 += change.1;
            }
            None if change != (0, 0) => {
                self.violation = Some("an operation changed a holder's tokens".into());
            }
            None => {}
        }
        self.value = value;
        self.version += 1;
        let version = self.version;
        LedgerEvent::WriteAccepted { shard, version }
    }

    fn answer(&mut self, holder: &HolderId, event: LedgerEvent) {
        let Some(index) = self.find(holder) else {
            return;
        };
        if self.processes[index].restart_at.is_some() {
            return;
        }
        let snapshot = self.processes[index].ledger.snapshot();
        let is_draw = snapshot.accounts.iter().any(|a| !a.drawing.is_zero());
        let is_accepted = matches!(event, LedgerEvent::WriteAccepted { .. });
        let mut event = event;
        if is_draw && is_accepted && self.hits(Step::DrawConfirmed) {
            if self.strike(index) == Passage::AnswerLost {
                event = LedgerEvent::WriteUnknown { shard: SHARD };
            }
            if self.is_stopped(index) {
                // A crashed process ignores the answer, a paused one handles it later.
                return self.push(HOP, Item::Answer(holder.clone(), event));
            }
        }
        self.feed(index, event);
    }

    fn deliver(&mut self, from: HolderId, to: HolderId, message: BudgetMessage) {
        let place = |holder: &HolderId| {
            let mut names = self.names.iter();
            names.position(|name| *name == holder.instance)
        };
        let (Some(source), Some(index)) = (place(&from), place(&to)) else {
            return;
        };
        let is_crossing = (source == REMOTE) != (index == REMOTE);
        let is_cut = self.now < self.peer_cut_until[source]
            || self.now < self.peer_cut_until[index]
            || (is_crossing && self.now < self.domain_cut_until);
        if is_cut || self.processes[index].restart_at.is_some() {
            return;
        }
        let is_addressed = *self.processes[index].ledger.holder() == to;
        let transfer = match &message {
            BudgetMessage::Transfer {
                sequence, amount, ..
            } if is_addressed => Some((*sequence, amount.get())),
            _ => None,
        };
        let mut is_new = false;
        if let Some((sequence, amount)) = transfer {
            let key = (from.clone(), to.clone(), sequence);
            is_new = self.arrived.insert(key, amount).is_none();
        }
        self.feed(index, LedgerEvent::Received { from, to, message });
        if is_new && self.processes[index].restart_at.is_none() && self.hits(Step::TransferApplied)
        {
            self.strike(index);
        }
    }

    /// Carries out an operation; the operator repeats it with the same id until it is answered.
    fn run_operation(&mut self, operation: Operation, id: String) {
        let step = match operation {
            Operation::TopUp(_) => Step::TopUp,
            Operation::Release => Step::Release,
        };
        let passage = match self.hits(step) {
            true => self.strike(OWNER),
            false => Passage::Normal,
        };
        let again = Item::Operate(operation, id.clone());
        if self.now < self.platform_cut_until[OWNER] && self.fault != Fault::OneSidedTopUp {
            return self.push(Duration::from_millis(500), again);
        }
        let mut value = self.value.clone();
        let holder = self.processes[OWNER].ledger.holder().clone();
        match operation {
            Operation::TopUp(amount) => {
                let result = value.top_up(&budget(), TokenCount::new(amount), &id);
                assert!(result.is_ok(), "{result:?}");
            }
            Operation::Release => {
                // A holder without an open row has nothing to release.
                let _ = value.release(&budget(), &holder, &id, false);
            }
        }
        let expected = self.version;
        let is_late = passage == Passage::Late;
        if !is_late {
            self.write(None, expected, value.clone());
        }
        if is_late {
            let item = Item::Write {
                holder: None,
                expected,
                value,
                is_answered: false,
            };
            self.push(LATE_WRITE, item);
        }
        if is_late || passage == Passage::AnswerLost {
            self.push(Duration::from_millis(200), again);
        }
    }

    pub(super) fn heal(&mut self) {
        let now = self.now;
        self.platform_cut_until = [now; 3];
        self.peer_cut_until = [now; 3];
        self.domain_cut_until = now;
        self.slow_until = now;
        for process in &mut self.processes {
            process.paused_until = now;
        }
    }
}
