//! Simulated fleet of ledgers in virtual time under a random schedule of requests and faults.

use std::time::Duration;

use cornelarch_core::{
    base::{BudgetName, DomainName, HolderId, InstanceName, MonotonicTime, TokenCount},
    budget::{
        BudgetLedger, BudgetMessage, DomainPeer, LedgerEffect, LedgerEvent, LedgerOptions,
        ReservationKey, ShardNumber, ShardValue,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const INSTANCES: usize = 6;
const DOMAINS: usize = 3;
const BUDGETS: usize = 8;
const SHARDS: u32 = 2;
const STEP: Duration = Duration::from_millis(50);

/// Probability of each fault, per step, message or write.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultRates {
    pub(crate) loss: f64,
    pub(crate) duplicate: f64,
    pub(crate) lost_answer: f64,
    pub(crate) crash: f64,
    pub(crate) restart: f64,
    pub(crate) outage: f64,
    pub(crate) partition: f64,
    pub(crate) top_up: f64,
    pub(crate) release: f64,
    pub(crate) pause: f64,
}

#[derive(Clone, Debug)]
enum QueuedItem {
    Message {
        from: HolderId,
        to: HolderId,
        message: BudgetMessage,
    },
    Read {
        holder: HolderId,
        shard: ShardNumber,
    },
    Write {
        holder: HolderId,
        shard: ShardNumber,
        expected: u64,
        value: ShardValue,
        is_lost: bool,
    },
    Answer {
        holder: HolderId,
        event: LedgerEvent,
    },
}

struct Process {
    ledger: BudgetLedger,
    domain: usize,
    open_reservations: Vec<(usize, ReservationKey, u64)>,
    paused_until: MonotonicTime,
    is_draining: bool,
}

pub(crate) struct RandomFleet {
    rng: ChaCha8Rng,
    rates: FaultRates,
    pub(crate) now: MonotonicTime,
    processes: Vec<Process>,
    shards: Vec<(u64, ShardValue)>,
    queue: Vec<(MonotonicTime, QueuedItem)>,
    epoch: u64,
    operations: u64,
    outage_until: MonotonicTime,
    partition: Option<(usize, MonotonicTime)>,
    pub(crate) billed: Vec<u64>,
    pub(crate) admitted: u64,
    pub(crate) crashes: u64,
}

fn budget(index: usize) -> BudgetName {
    BudgetName::new(&format!("budget-{index}"))
}

impl RandomFleet {
    pub(crate) fn new(seed: u64, rates: FaultRates) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rates,
            now: MonotonicTime::START,
            processes: Vec::new(),
            shards: vec![(0, ShardValue::default()); SHARDS as usize],
            queue: Vec::new(),
            epoch: 0,
            operations: 0,
            outage_until: MonotonicTime::START,
            partition: None,
            billed: vec![0; BUDGETS],
            admitted: 0,
            crashes: 0,
        };
        for index in 0..BUDGETS {
            let paid = TokenCount::new(fleet.rng.random_range(0..60_000));
            let (version, value) = fleet.shard_of(index);
            value
                .set_initial_paid(&budget(index), paid)
                .expect("amount fits");
            *version += 1;
        }
        for index in 0..INSTANCES {
            let process = fleet.new_process(index);
            fleet.processes.push(process);
        }
        fleet.announce_peers();
        fleet
    }

    fn shard_of(&mut self, index: usize) -> &mut (u64, ShardValue) {
        &mut self.shards[ShardNumber::of_budget(&budget(index), SHARDS).0 as usize]
    }

    fn new_process(&mut self, index: usize) -> Process {
        self.epoch += 1;
        let domain = index % DOMAINS;
        let options = LedgerOptions {
            shards: SHARDS,
            domain: DomainName::new(&format!("d{domain}")),
            domains: DOMAINS as u32,
            idle_flush: Duration::from_secs(20),
            idle_return: Duration::from_secs(10),
            ..LedgerOptions::default()
        };
        let instance = InstanceName::new(&format!("r{index}"));
        let mut ledger = BudgetLedger::new(HolderId::new(instance, self.epoch), options);
        (0..BUDGETS).for_each(|index| {
            ledger.register(budget(index));
        });
        Process {
            ledger,
            domain,
            open_reservations: Vec::new(),
            paused_until: self.now,
            is_draining: false,
        }
    }

    fn announce_peers(&mut self) {
        let live = self.processes.iter().filter(|process| !process.is_draining);
        let peers: Vec<DomainPeer> = live
            .map(|process| DomainPeer {
                holder: process.ledger.holder().clone(),
                domain: DomainName::new(&format!("d{}", process.domain)),
            })
            .collect();
        for index in 0..self.processes.len() {
            self.handle_event(index, LedgerEvent::PeersChanged(peers.clone()));
        }
    }

    fn is_platform_unreachable(&self, domain: usize) -> bool {
        self.now < self.outage_until
            || self
                .partition
                .is_some_and(|(partition, _)| partition == domain)
    }

    fn handle_event(&mut self, index: usize, event: LedgerEvent) {
        let effects = self.processes[index].ledger.handle(event, self.now);
        let holder = self.processes[index].ledger.holder().clone();
        let is_partitioned = self.is_platform_unreachable(self.processes[index].domain);
        for effect in effects {
            let delay = Duration::from_millis(self.rng.random_range(1..120));
            let due = self.now + delay;
            let holder = holder.clone();
            let item = match effect {
                LedgerEffect::Wake { .. } => continue,
                LedgerEffect::Send { to, message } => QueuedItem::Message {
                    from: holder,
                    to,
                    message,
                },
                LedgerEffect::ReadShard { shard, .. } | LedgerEffect::WriteShard { shard, .. }
                    if is_partitioned =>
                {
                    QueuedItem::Answer {
                        holder,
                        event: LedgerEvent::PlatformDown { shard },
                    }
                }
                LedgerEffect::ReadShard { shard, .. } => QueuedItem::Read { holder, shard },
                LedgerEffect::WriteShard {
                    shard,
                    expected_version: expected,
                    value,
                } => {
                    let is_lost = self.rng.random_bool(self.rates.lost_answer);
                    if is_lost {
                        let event = LedgerEvent::WriteUnknown { shard };
                        self.queue.push((
                            due,
                            QueuedItem::Answer {
                                holder: holder.clone(),
                                event,
                            },
                        ));
                    }
                    QueuedItem::Write {
                        holder,
                        shard,
                        expected,
                        value,
                        is_lost,
                    }
                }
            };
            // A write whose answer is lost may take effect long after its sender has read again.
            let is_late = matches!(item, QueuedItem::Write { is_lost: true, .. });
            let extra = if is_late {
                self.rng.random_range(0..2_000)
            } else {
                0
            };
            self.queue.push((due + Duration::from_millis(extra), item));
        }
    }

    fn process_index(&self, holder: &HolderId) -> Option<usize> {
        let mut processes = self.processes.iter();
        processes.position(|process| process.ledger.holder() == holder)
    }

    fn process_item(&mut self, item: QueuedItem) {
        let answer_at = self.now + Duration::from_millis(2);
        match item {
            QueuedItem::Message { from, to, message } => self.deliver(from, to, message),
            QueuedItem::Read { holder, shard } => {
                let (version, value) = self.shards[shard.0 as usize].clone();
                let event = LedgerEvent::ShardRead {
                    shard,
                    version,
                    value,
                };
                self.queue
                    .push((answer_at, QueuedItem::Answer { holder, event }));
            }
            QueuedItem::Write {
                holder,
                shard,
                expected,
                value,
                is_lost,
            } => {
                let place = &mut self.shards[shard.0 as usize];
                let event = if place.0 == expected {
                    *place = (expected + 1, value);
                    LedgerEvent::WriteAccepted {
                        shard,
                        version: expected + 1,
                    }
                } else {
                    LedgerEvent::WriteConflict { shard }
                };
                if !is_lost {
                    self.queue
                        .push((answer_at, QueuedItem::Answer { holder, event }));
                }
            }
            QueuedItem::Answer { holder, event } => {
                if let Some(index) = self.process_index(&holder) {
                    self.handle_event(index, event);
                }
            }
        }
    }

    fn deliver(&mut self, from: HolderId, to: HolderId, message: BudgetMessage) {
        let domain_of = |id: &HolderId| {
            let mut all = self.processes.iter();
            let found = all.find(|process| process.ledger.holder().instance == id.instance);
            found.map(|process| process.domain)
        };
        let is_partitioned = self.partition.is_some_and(|(partition, _)| {
            (domain_of(&from) == Some(partition)) != (domain_of(&to) == Some(partition))
        });
        if is_partitioned || self.rng.random_bool(self.rates.loss) {
            return;
        }
        if self.rng.random_bool(self.rates.duplicate) {
            let due = self.now + Duration::from_millis(self.rng.random_range(1..3_000));
            let copy = QueuedItem::Message {
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            };
            self.queue.push((due, copy));
        }
        let mut processes = self.processes.iter();
        let index = processes.position(|process| process.ledger.holder().instance == to.instance);
        if let Some(index) = index {
            self.handle_event(index, LedgerEvent::Received { from, to, message });
        }
    }

    /// Runs one step: injects faults, issues requests, processes due items and ticks.
    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        self.inject_faults();
        for index in 0..self.processes.len() {
            if self.now >= self.processes[index].paused_until {
                self.run_requests(index);
            }
        }
        self.run_due();
    }

    /// Runs one step without new faults or requests, and settles all open reservations.
    pub(crate) fn step_without_faults(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.processes.len() {
            self.settle_all(index);
        }
        self.run_due();
    }

    fn run_due(&mut self) {
        loop {
            let now = self.now;
            let due = self
                .queue
                .iter()
                .enumerate()
                .filter(|(_, (at, item))| *at <= now && !self.is_paused(item));
            let Some((place, _)) = due.min_by_key(|(_, (at, _))| *at) else {
                break;
            };
            let (_, item) = self.queue.swap_remove(place);
            self.process_item(item);
        }
        for index in 0..self.processes.len() {
            if self.now >= self.processes[index].paused_until {
                self.handle_event(index, LedgerEvent::Tick);
            }
        }
    }

    fn is_paused(&self, item: &QueuedItem) -> bool {
        let receiver = match item {
            QueuedItem::Message { to, .. } => to,
            QueuedItem::Answer { holder, .. } => holder,
            QueuedItem::Read { .. } | QueuedItem::Write { .. } => return false,
        };
        let process = self
            .process_index(receiver)
            .map(|index| &self.processes[index]);
        process.is_some_and(|process| self.now < process.paused_until)
    }

    fn run_requests(&mut self, index: usize) {
        if self.rng.random_bool(0.5) && !self.processes[index].is_draining {
            let number = self.rng.random_range(0..BUDGETS);
            let amount = self.rng.random_range(1..400);
            let now = self.now;
            let process = &mut self.processes[index];
            let key = process.ledger.register(budget(number));
            match process.ledger.reserve(key, TokenCount::new(amount), now) {
                Ok(reservation) => {
                    process
                        .open_reservations
                        .push((number, reservation, amount));
                    self.admitted += 1;
                }
                Err(_) => self.handle_event(index, LedgerEvent::Tick),
            }
        }
        if self.rng.random_bool(0.4) {
            self.settle_one(index);
        }
    }

    fn settle_one(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        if process.open_reservations.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..process.open_reservations.len());
        let (number, reservation, amount) = process.open_reservations.swap_remove(place);
        let actual = TokenCount::new(self.rng.random_range(0..amount + 20));
        let settlement = process
            .ledger
            .settle(reservation, actual, now)
            .expect("is open");
        assert!(process.ledger.settle(reservation, actual, now).is_err());
        self.billed[number] += settlement.billed.get();
    }

    fn settle_all(&mut self, index: usize) {
        while !self.processes[index].open_reservations.is_empty() {
            self.settle_one(index);
        }
    }

    fn inject_faults(&mut self) {
        let rates = self.rates;
        let index = self.rng.random_range(0..self.processes.len());
        if self.rng.random_bool(rates.crash) {
            self.crashes += 1;
            self.replace_process(index);
        }
        if self.rng.random_bool(rates.restart) && !self.processes[index].is_draining {
            self.start_drain(index);
            self.announce_peers();
        }
        if self.rng.random_bool(rates.pause) {
            let length = Duration::from_millis(self.rng.random_range(100..20_000));
            self.processes[index].paused_until = self.now + length;
        }
        if self.rng.random_bool(rates.outage) {
            let length = Duration::from_millis(self.rng.random_range(100..10_000));
            self.outage_until = self.now + length;
        }
        if self.rng.random_bool(rates.partition) {
            let length = Duration::from_millis(self.rng.random_range(100..10_000));
            let domain = self.rng.random_range(0..DOMAINS);
            self.partition = Some((domain, self.now + length));
        }
        if self.partition.is_some_and(|(_, until)| self.now >= until) {
            self.partition = None;
        }
        if self.rng.random_bool(rates.top_up) {
            self.top_up();
        }
        if self.rng.random_bool(rates.release) {
            self.release();
        }
        for index in 0..self.processes.len() {
            let process = &self.processes[index];
            if process.is_draining && process.ledger.is_drained() {
                self.replace_process(index);
            }
        }
    }

    /// Replaces a process by a new incarnation. Its last messages and writes stay in transit.
    fn replace_process(&mut self, index: usize) {
        let fresh = self.new_process(index);
        self.processes[index] = fresh;
        self.announce_peers();
    }

    fn start_drain(&mut self, index: usize) {
        self.processes[index].is_draining = true;
        self.settle_all(index);
        self.handle_event(index, LedgerEvent::DrainStarted);
    }

    fn top_up(&mut self) {
        let number = self.rng.random_range(0..BUDGETS);
        let amount = TokenCount::new(self.rng.random_range(1..5_000));
        self.operations += 1;
        let id = format!("top-up-{}", self.operations);
        let (version, value) = self.shard_of(number);
        for _ in 0..2 {
            value
                .top_up(&budget(number), amount, &id)
                .expect("amount fits");
        }
        *version += 1;
    }

    /// Seals the row of a random holder, live or not, without credit.
    fn release(&mut self) {
        let number = self.rng.random_range(0..BUDGETS);
        self.operations += 1;
        let id = format!("release-{}", self.operations);
        let pick: usize = self.rng.random_range(0..100);
        let is_folding = self.rng.random_bool(0.3);
        let (version, value) = self.shard_of(number);
        let rows = value
            .budgets
            .get(&budget(number))
            .map(|entry| entry.rows.clone());
        let rows = rows.unwrap_or_default();
        if let Some(row) = rows.get(pick % rows.len().max(1)) {
            // Releasing a row that is already sealed fails and leaves it unchanged.
            let _ = value.release(&budget(number), &row.holder, &id, false);
            if is_folding {
                value.fold_sealed(&budget(number), &row.holder);
            }
            *version += 1;
        }
    }

    pub(crate) fn heal(&mut self) {
        self.partition = None;
        self.outage_until = self.now;
        for process in &mut self.processes {
            process.paused_until = self.now;
        }
        self.rates.loss = 0.0;
        self.rates.lost_answer = 0.0;
    }

    pub(crate) fn drain_all(&mut self) {
        for index in 0..self.processes.len() {
            if !self.processes[index].is_draining {
                self.start_drain(index);
            }
        }
    }

    pub(crate) fn is_drained(&self) -> bool {
        self.processes
            .iter()
            .all(|process| process.ledger.is_drained())
    }

    pub(crate) fn describe(&self) -> String {
        let snapshots = self
            .processes
            .iter()
            .map(|process| process.ledger.snapshot());
        snapshots
            .map(|snapshot| format!("{snapshot:#?}\n"))
            .collect()
    }

    /// Checks the invariants of every budget, and returns its paid, spent and held tokens.
    pub(crate) fn check_invariants(&self) -> Vec<(u64, u64, u64)> {
        let check_one = |index: usize| {
            let shard = ShardNumber::of_budget(&budget(index), SHARDS);
            let entry = &self.shards[shard.0 as usize].1.budgets[&budget(index)];
            let rows = entry.rows.iter();
            let granted: u64 = rows.clone().map(|row| row.granted.get()).sum();
            let returned: u64 = rows.clone().map(|row| row.returned.get()).sum();
            let spent: u64 = rows.map(|row| row.spent.get()).sum();
            let granted = granted + entry.folded.granted.get();
            let returned = returned + entry.folded.returned.get();
            let spent = spent + entry.folded.spent.get();
            let (paid, billed) = (entry.paid.get(), self.billed[index]);
            assert!(
                granted - returned <= paid,
                "{granted} - {returned} drawn of {paid}"
            );
            assert!(
                returned + spent <= granted,
                "{returned} + {spent} exceed {granted}"
            );
            assert!(billed <= paid, "{billed} billed of {paid}");
            assert!(spent <= billed, "{spent} reported of {billed} billed");
            let totals = entry.totals();
            let sum = [totals.spent, totals.held, totals.available]
                .into_iter()
                .sum();
            assert_eq!(totals.paid, sum);
            (paid, spent, totals.held.get())
        };
        (0..BUDGETS).map(check_one).collect()
    }
}
