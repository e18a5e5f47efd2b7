//! Delivery of messages and platform calls, and detection of the protocol steps.

use super::*;

/// Returns the tokens granted minus those returned, summed over all rows, and the sealed rows.
fn sum_rows(value: &ShardValue) -> (i64, Vec<String>) {
    let (mut sum, mut sealed) = (0, Vec::new());
    for entry in value.budgets.values() {
        let mut folded = entry.folded;
        entry.rows.iter().for_each(|row| folded.add(row));
        sum += folded.granted.get() as i64 - folded.returned.get() as i64;
        let rows = entry.rows.iter().filter(|row| row.sealed);
        sealed.extend(rows.map(|row| format!("{row:?}")));
    }
    (sum, sealed)
}

impl BudgetSimulation {
    pub(super) fn handle_event(&mut self, index: usize, event: LedgerEvent) {
        for effect in self.processes[index].ledger.handle(event, self.now) {
            self.dispatch(index, effect);
        }
    }

    pub(super) fn push(&mut self, delay: Duration, item: Item) {
        self.queue.push((self.now + delay, item));
    }

    /// Dispatches an effect. A fault at its step is injected right after it was sent.
    fn dispatch(&mut self, index: usize, effect: LedgerEffect) {
        let step = self.find_step(index, &effect);
        let delivery = step.map_or(Delivery::Normal, |step| {
            self.inject_fault(step, true, index)
        });
        let holder = self.processes[index].ledger.holder().clone();
        let delay = match delivery {
            Delivery::Late if self.injected == 1 => LATE_WRITE_DELAY,
            Delivery::Late => SLOW_CALL_DELAY,
            _ if self.now < self.slow_until => SLOW_CALL_DELAY,
            _ => NETWORK_DELAY,
        };
        let is_partitioned =
            self.now < self.platform_partitioned_until[index] && delivery != Delivery::AnswerLost;
        match effect {
            LedgerEffect::Wake { .. } => {}
            LedgerEffect::Send { to, message } => self.send((holder, to, message), delivery),
            LedgerEffect::ReadShard { shard, .. } | LedgerEffect::WriteShard { shard, .. }
                if is_partitioned =>
            {
                self.push(
                    NETWORK_DELAY,
                    Item::Answer(holder, LedgerEvent::PlatformDown { shard }),
                );
            }
            LedgerEffect::ReadShard { .. } => self.push(delay, Item::Read(holder)),
            LedgerEffect::WriteShard {
                shard,
                expected_version: expected,
                value,
            } => {
                let is_answered = delivery == Delivery::Normal;
                if !is_answered {
                    let event = LedgerEvent::WriteUnknown { shard };
                    self.push(NETWORK_DELAY, Item::Answer(holder.clone(), event));
                }
                self.push(
                    delay,
                    Item::Write(Some(holder), expected, value, is_answered),
                );
            }
        }
    }

    fn send(
        &mut self,
        (from, to, message): (HolderId, HolderId, BudgetMessage),
        delivery: Delivery,
    ) {
        let item = Item::Message(from.clone(), to.clone(), message.clone());
        match (delivery, message) {
            (Delivery::Lost, BudgetMessage::TransferAck { sequence })
                if self.variant == Variant::Broken =>
            {
                // The sender takes back, as a transfer, tokens that the receiver already owns.
                let amount = self.arrived[&(to.clone(), from.clone(), sequence)];
                let (sequence, budget) = (u64::MAX, budget());
                let (amount, spent) = (TokenCount::new(amount), TokenCount::ZERO);
                let message = BudgetMessage::Transfer {
                    sequence,
                    budget,
                    amount,
                    spent,
                };
                let sender = self.find(&to).expect("sender is running");
                self.handle_event(sender, LedgerEvent::Received { from, to, message });
            }
            (Delivery::Lost, _) => {}
            (Delivery::Doubled, _) => [NETWORK_DELAY, TICK * 20, TICK * 200]
                .into_iter()
                .for_each(|delay| self.push(delay, item.clone())),
            _ => self.push(NETWORK_DELAY, item),
        }
    }

    /// Returns the protocol step of an effect. A write that belongs to several steps counts as the
    /// step of the cell.
    fn find_step(&self, index: usize, effect: &LedgerEffect) -> Option<Step> {
        let is_draining = self.processes[index].is_draining;
        let account = find_account(&self.processes[index].ledger)?;
        match effect {
            LedgerEffect::ReadShard { .. } => (!account.wanted.is_zero()).then_some(Step::DrawRead),
            LedgerEffect::WriteShard { .. } if is_draining => Some(Step::DrainReturn),
            LedgerEffect::WriteShard { .. } => match self.cell.step {
                Step::DrawSent if !account.drawing.is_zero() => Some(Step::DrawSent),
                Step::ReportWritten if !account.reporting.is_zero() => Some(Step::ReportWritten),
                Step::IdleReturned if !account.returning.is_zero() => Some(Step::IdleReturned),
                _ => None,
            },
            LedgerEffect::Send { to, message } => match message {
                BudgetMessage::BorrowRequest { .. } => Some(Step::BorrowRequested),
                BudgetMessage::Transfer { .. } if is_draining => Some(Step::DrainHandOver),
                BudgetMessage::Transfer { .. } => Some(Step::TransferSent),
                // A transfer that only reports spending moves no tokens that could be taken back.
                BudgetMessage::TransferAck { sequence: 1.. } => self
                    .transferred_tokens(to, index, message)
                    .then_some(Step::TransferAcknowledged),
                BudgetMessage::TransferAck { .. } | BudgetMessage::ReturnIdle { .. } => None,
            },
            LedgerEffect::Wake { .. } => None,
        }
    }

    /// Returns whether an acknowledgement belongs to a transfer of tokens.
    fn transferred_tokens(&self, sender: &HolderId, index: usize, message: &BudgetMessage) -> bool {
        let BudgetMessage::TransferAck { sequence } = message else {
            return false;
        };
        let receiver = self.processes[index].ledger.holder().clone();
        let key = (sender.clone(), receiver, *sequence);
        self.arrived.get(&key).is_some_and(|amount| *amount > 0)
    }

    pub(super) fn find(&self, holder: &HolderId) -> Option<usize> {
        let mut processes = self.processes.iter();
        processes.position(|process| process.ledger.holder() == holder)
    }

    /// Returns whether an item is delayed until its paused receiver resumes.
    pub(super) fn is_waiting(&self, item: &Item) -> bool {
        let (Item::Message(_, holder, _) | Item::Answer(holder, _)) = item else {
            return false;
        };
        let process = self.find(holder).map(|index| &self.processes[index]);
        process.is_some_and(|process| !process.is_crashed && self.now < process.unavailable_until)
    }

    pub(super) fn handle_item(&mut self, item: Item) {
        match item {
            Item::Message(from, to, message) => self.deliver(from, to, message),
            Item::Read(holder) => {
                let event = LedgerEvent::ShardRead {
                    shard: SHARD,
                    version: self.version,
                    value: self.value.clone(),
                };
                self.push(NETWORK_DELAY, Item::Answer(holder, event));
            }
            Item::Write(holder, expected, value, is_answered) => {
                let event = self.write(holder.as_ref(), expected, value);
                if let Some(holder) = holder.filter(|_| is_answered) {
                    self.push(NETWORK_DELAY, Item::Answer(holder, event));
                }
            }
            Item::Answer(holder, event) => self.answer(&holder, event),
            Item::Operate(operation, id) => self.run_operation(operation, id),
        }
    }

    /// Writes the shard object if it has the expected version. The tokens that the write grants or
    /// returns are accounted to the holder that sent it.
    pub(super) fn write(
        &mut self,
        holder: Option<&HolderId>,
        expected: u64,
        value: ShardValue,
    ) -> LedgerEvent {
        let shard = SHARD;
        if expected != self.version {
            return LedgerEvent::WriteConflict { shard };
        }
        let ((before, sealed), (after, still)) = (sum_rows(&self.value), sum_rows(&value));
        match holder {
            Some(holder) => *self.granted.entry(holder.clone()).or_default() += after - before,
            None if before != after => self.violation = Some("an operation moved tokens"),
            None => {}
        }
        if !sealed.iter().all(|row| still.contains(row)) {
            self.violation = Some("a sealed row was changed or removed");
        }
        (self.value, self.version) = (value, expected + 1);
        let version = self.version;
        LedgerEvent::WriteAccepted { shard, version }
    }

    fn answer(&mut self, holder: &HolderId, mut event: LedgerEvent) {
        let index = self.find(holder);
        let Some(index) = index.filter(|index| !self.processes[*index].is_crashed) else {
            return;
        };
        let is_accepted = matches!(event, LedgerEvent::WriteAccepted { .. });
        let account = find_account(&self.processes[index].ledger);
        let is_draw = account.is_some_and(|account| !account.drawing.is_zero());
        let delivery = self.inject_fault(Step::DrawConfirmed, is_accepted && is_draw, index);
        if delivery == Delivery::AnswerLost {
            event = LedgerEvent::WriteUnknown { shard: SHARD };
        }
        match self.is_unavailable(index) {
            // A crashed process drops the answer, and a paused one handles it later.
            true => self.push(NETWORK_DELAY, Item::Answer(holder.clone(), event)),
            false => self.handle_event(index, event),
        }
    }

    fn deliver(&mut self, from: HolderId, to: HolderId, message: BudgetMessage) {
        let index_of = |holder: &HolderId| {
            let position = self.names.iter().position(|name| *name == holder.instance);
            position.expect("instance exists")
        };
        let (source, index) = (index_of(&from), index_of(&to));
        let partitioned_until =
            self.peer_partitioned_until[source].max(self.peer_partitioned_until[index]);
        if self.now < partitioned_until || self.processes[index].is_crashed {
            return;
        }
        let mut is_new = false;
        if let BudgetMessage::Transfer {
            sequence, amount, ..
        } = &message
            && *self.processes[index].ledger.holder() == to
        {
            let key = (from.clone(), to.clone(), *sequence);
            is_new = self.arrived.insert(key, amount.get()).is_none();
        }
        self.handle_event(index, LedgerEvent::Received { from, to, message });
        self.inject_fault(Step::TransferApplied, is_new, index);
    }

    /// Executes an operation. The operator repeats it with the same id until it is answered.
    fn run_operation(&mut self, operation: Step, id: String) {
        let delivery = self.inject_fault(operation, true, OWNER);
        let (expected, mut value) = (self.version, self.value.clone());
        self.apply(&mut value, operation, 1_000, &id, OWNER);
        let is_partitioned = self.now < self.platform_partitioned_until[OWNER];
        if is_partitioned || delivery != Delivery::Normal {
            self.push(OPERATOR_RETRY, Item::Operate(operation, id));
        }
        match delivery {
            _ if is_partitioned => {}
            Delivery::Late => self.push(SLOW_CALL_DELAY, Item::Write(None, expected, value, false)),
            _ => drop(self.write(None, expected, value)),
        }
    }
}
