//! Simulation of three budget ledgers in two domains in virtual time, with one fault at one step.

mod check;
mod network;

use std::{collections::BTreeMap, ops::Range, time::Duration};

use cornelarch_core::{
    base::{BudgetName, DomainName, HolderId, InstanceName, MonotonicTime, TokenCount},
    budget::{
        AccountSnapshot, BudgetLedger, BudgetMessage, DomainPeer, DrawPolicy, LedgerEffect,
        LedgerEvent, LedgerOptions, PeerTable, ReservationKey, ShardNumber, ShardValue,
    },
};

use crate::{BudgetStep as Step, Cell, Delivery, Fault, Variant};

const TICK: Duration = Duration::from_millis(25);
const NETWORK_DELAY: Duration = Duration::from_millis(5);
const SLOW_CALL_DELAY: Duration = Duration::from_millis(1_500);
/// Delay of a late write: it arrives between the read after a lost answer and the following write,
/// both of which take whole ticks.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(78);
const OPERATOR_RETRY: Duration = Duration::from_millis(200);
const FAULT_DURATION: Duration = Duration::from_secs(8);
const RESTART_DURATION: Duration = Duration::from_secs(2);
const ROUND_MS: u64 = 10_000;
const ROUNDS: u64 = 4;
/// Longer than every retry and resend delay of the ledger options below.
const SETTLE_DURATION: Duration = Duration::from_secs(20);
const SHARD: ShardNumber = ShardNumber(0);
const OWNER: usize = 0;
const NEIGHBOUR: usize = 1;
const REMOTE: usize = 2;
const PROCESSES: usize = 3;

#[derive(Clone, Debug)]
enum Item {
    Message(HolderId, HolderId, BudgetMessage),
    Read(HolderId),
    /// A write with its expected version. The flag tells whether the sender receives the answer.
    Write(Option<HolderId>, u64, ShardValue, bool),
    Answer(HolderId, LedgerEvent),
    /// An operation ([`Step::TopUp`] or [`Step::Release`]) with its id.
    Operate(Step, String),
}

struct Request {
    amount: u64,
    cost: u64,
    ends: MonotonicTime,
    reservation: Option<ReservationKey>,
}

struct Process {
    ledger: BudgetLedger,
    unavailable_until: MonotonicTime,
    is_crashed: bool,
    is_draining: bool,
    requests: Vec<Request>,
}

pub(crate) struct BudgetSimulation {
    cell: Cell<Step>,
    variant: Variant,
    names: Vec<InstanceName>,
    now: MonotonicTime,
    processes: Vec<Process>,
    ended_ledgers: Vec<BudgetLedger>,
    version: u64,
    value: ShardValue,
    queue: Vec<(MonotonicTime, Item)>,
    /// The tokens granted to each holder, minus those that it returned.
    granted: BTreeMap<HolderId, i64>,
    /// The transfers received by the incarnation to which they were sent, with their amounts.
    arrived: BTreeMap<(HolderId, HolderId, u64), u64>,
    injected: u32,
    /// The last assigned epoch or operation id.
    last_id: u64,
    billed: u64,
    platform_partitioned_until: [MonotonicTime; PROCESSES],
    peer_partitioned_until: [MonotonicTime; PROCESSES],
    slow_until: MonotonicTime,
    violation: Option<&'static str>,
}

fn budget() -> BudgetName {
    BudgetName::new("budget")
}

fn find_account(ledger: &BudgetLedger) -> Option<AccountSnapshot> {
    ledger.snapshot().accounts.into_iter().next()
}

fn domain(index: usize) -> DomainName {
    DomainName::new(if index == REMOTE { "b" } else { "a" })
}

/// Returns the instance names, ordered so that the first one owns the shard in domain `a`.
fn instance_names() -> Vec<InstanceName> {
    let mut holders = ["r0", "r1", "r2"].map(|name| HolderId::new(InstanceName::new(name), 0));
    let (holder, domain) = (holders[NEIGHBOUR].clone(), domain(NEIGHBOUR));
    let peers = vec![DomainPeer { holder, domain }];
    let table = PeerTable::new(&holders[OWNER], &peers[0].domain, peers.clone());
    if table.owner(&peers[0].domain, SHARD) == Some(&holders[NEIGHBOUR]) {
        holders.swap(OWNER, NEIGHBOUR);
    }
    holders.map(|holder| holder.instance).to_vec()
}

impl BudgetSimulation {
    pub(crate) fn new(cell: Cell<Step>, variant: Variant) -> Self {
        let now = MonotonicTime::START;
        let mut fleet = Self {
            cell,
            variant,
            names: instance_names(),
            now,
            processes: Vec::new(),
            ended_ledgers: Vec::new(),
            version: 1,
            value: ShardValue::default(),
            queue: Vec::new(),
            granted: BTreeMap::new(),
            arrived: BTreeMap::new(),
            injected: 0,
            last_id: 0,
            billed: 0,
            platform_partitioned_until: [now; PROCESSES],
            peer_partitioned_until: [now; PROCESSES],
            slow_until: now,
            violation: None,
        };
        let paid = TokenCount::new(30_000);
        let is_set = fleet.value.set_initial_paid(&budget(), paid);
        assert_eq!(is_set, Ok(true));
        fleet.processes = (0..PROCESSES)
            .map(|index| fleet.new_process(index))
            .collect();
        fleet.announce_peers();
        fleet
    }

    fn new_process(&mut self, index: usize) -> Process {
        self.last_id += 1;
        let (low, high) = (TokenCount::new(200), TokenCount::new(1_000));
        let options = LedgerOptions {
            shards: 1,
            domain: domain(index),
            domains: 2,
            policy: DrawPolicy::LowWater { low, high },
            idle_flush: Duration::from_secs(2),
            idle_return: Duration::from_secs(1),
            resend_max: Duration::from_secs(2),
            ..LedgerOptions::default()
        };
        let holder = HolderId::new(self.names[index].clone(), self.last_id);
        let mut ledger = BudgetLedger::new(holder, options);
        ledger.register(budget());
        Process {
            ledger,
            unavailable_until: self.now,
            is_crashed: false,
            is_draining: false,
            requests: Vec::new(),
        }
    }

    fn announce_peers(&mut self) {
        let live = self.processes.iter().enumerate();
        let live = live.filter(|(_, process)| !process.is_draining && !process.is_crashed);
        let peers = live.map(|(index, process)| {
            let (holder, domain) = (process.ledger.holder().clone(), domain(index));
            DomainPeer { holder, domain }
        });
        let peers: Vec<DomainPeer> = peers.collect();
        for index in 0..self.processes.len() {
            if !self.processes[index].is_crashed {
                self.handle_event(index, LedgerEvent::PeersChanged(peers.clone()));
            }
        }
    }

    fn is_fault_enabled(&self) -> bool {
        let (first, end) = (ROUND_MS * 1_000, ROUNDS * ROUND_MS * 1_000);
        (first..end).contains(&self.now.as_micros())
    }

    /// Runs the load with the fault, ends the fault, waits until the ledgers settle and checks that
    /// requests are served again.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        while self.now < MonotonicTime::from_millis(ROUNDS * ROUND_MS) {
            self.start_scheduled_requests();
            self.run_tick()?;
        }
        if self.injected < self.cell.occurrences {
            return Err(format!(
                "the step of the cell occurred only {} times",
                self.injected
            ));
        }
        (self.platform_partitioned_until, self.peer_partitioned_until) =
            ([self.now; PROCESSES], [self.now; PROCESSES]);
        self.slow_until = self.now;
        let processes = self.processes.iter_mut();
        processes.for_each(|process| process.unavailable_until = self.now);
        let settled = self.now + SETTLE_DURATION;
        while self.now < settled {
            self.run_tick()?;
        }
        self.check_settled()?;
        self.check_refusals()
    }

    /// Starts the requests and operations that are scheduled at this time of a round.
    fn start_scheduled_requests(&mut self) {
        let is_handing_over = self.cell.step == Step::DrainHandOver;
        match self.now.as_micros() / 1_000 % ROUND_MS {
            0 => (0..PROCESSES).for_each(|index| self.request(index, 50, 40, 9_000)),
            500 => self.request(OWNER, 4_000, 100, 2_000),
            1_500 => self.request(NEIGHBOUR, 1_500, 300, 1_000),
            3_000 => self.request(REMOTE, 600, 500, 1_000),
            5_000 => self.operate(Step::TopUp),
            6_000 if self.cell.step == Step::Release => self.operate(Step::Release),
            6_500 if is_handing_over => {
                let until = self.now + Duration::from_millis(2_500);
                self.partition_platform(OWNER..REMOTE, until);
            }
            7_000 if is_handing_over || self.cell.step == Step::DrainReturn => self.start_drain(),
            _ => {}
        }
    }

    fn request(&mut self, index: usize, amount: u64, cost: u64, length_ms: u64) {
        self.processes[index].requests.push(Request {
            amount,
            cost,
            ends: self.now + Duration::from_millis(length_ms),
            reservation: None,
        });
    }

    fn operate(&mut self, operation: Step) {
        self.last_id += 1;
        let id = format!("operation-{}", self.last_id);
        self.push(Duration::ZERO, Item::Operate(operation, id));
    }

    fn partition_platform(&mut self, indexes: Range<usize>, until: MonotonicTime) {
        let deadlines = self.platform_partitioned_until[indexes].iter_mut();
        deadlines.for_each(|deadline| *deadline = until.max(*deadline));
    }

    fn start_drain(&mut self) {
        if self.is_unavailable(OWNER) || self.processes[OWNER].is_draining {
            return;
        }
        for request in std::mem::take(&mut self.processes[OWNER].requests) {
            self.settle(OWNER, request.reservation, request.cost);
        }
        self.processes[OWNER].is_draining = true;
        self.announce_peers();
        self.handle_event(OWNER, LedgerEvent::DrainStarted);
    }

    fn is_unavailable(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.is_crashed || self.now < process.unavailable_until
    }

    fn run_tick(&mut self) -> Result<(), String> {
        self.now = self.now + TICK;
        (0..PROCESSES).for_each(|index| self.run_process(index));
        loop {
            let due = self.queue.iter().enumerate();
            let due = due.filter(|(_, (at, item))| *at <= self.now && !self.is_waiting(item));
            let Some((position, _)) = due.min_by_key(|(_, (at, _))| *at) else {
                return self.check();
            };
            let (_, item) = self.queue.remove(position);
            self.handle_item(item);
            self.check()?;
        }
    }

    fn run_process(&mut self, index: usize) {
        let process = &self.processes[index];
        let is_restarting = process.is_crashed && process.unavailable_until <= self.now;
        if is_restarting || process.ledger.is_drained() {
            let fresh = self.new_process(index);
            let old = std::mem::replace(&mut self.processes[index], fresh);
            self.ended_ledgers.push(old.ledger);
            self.announce_peers();
        }
        for mut request in std::mem::take(&mut self.processes[index].requests) {
            if self.processes[index].is_crashed {
                return;
            }
            let is_unavailable = self.is_unavailable(index);
            if !is_unavailable && request.ends <= self.now {
                self.settle(index, request.reservation, request.cost);
                continue;
            }
            let is_open = request.reservation.is_some();
            if !is_unavailable && !is_open {
                request.reservation = self.reserve(index, request.amount);
            }
            let is_new = !is_open && request.reservation.is_some();
            self.processes[index].requests.push(request);
            self.inject_fault(Step::Reserved, is_new, index);
        }
        if !self.is_unavailable(index) {
            self.handle_event(index, LedgerEvent::Tick);
        }
    }

    fn reserve(&mut self, index: usize, amount: u64) -> Option<ReservationKey> {
        let ledger = &mut self.processes[index].ledger;
        let key = ledger.register(budget());
        let reservation = ledger.reserve(key, TokenCount::new(amount), self.now);
        if reservation.is_err() {
            self.handle_event(index, LedgerEvent::Tick);
        }
        reservation.ok()
    }

    /// Settles a request twice; only the first settlement may bill.
    fn settle(&mut self, index: usize, key: Option<ReservationKey>, cost: u64) {
        let Some(key) = key else {
            return;
        };
        let ledger = &mut self.processes[index].ledger;
        let settled = [0, 1].map(|_| ledger.settle(key, TokenCount::new(cost), self.now));
        match settled {
            [Ok(settlement), Err(_)] => self.billed += settlement.billed.get(),
            [Ok(_), Ok(_)] => self.violation = Some("a request was billed twice"),
            [Err(_), _] => self.violation = Some("an answered request was not billed"),
        }
        self.inject_fault(Step::Settled, true, index);
    }

    /// Injects the fault if this is the step of the cell. The first round runs without faults.
    fn inject_fault(&mut self, step: Step, occurred: bool, index: usize) -> Delivery {
        let is_selected = occurred && step == self.cell.step && self.is_fault_enabled();
        if !is_selected || self.injected >= self.cell.occurrences {
            return Delivery::Normal;
        }
        self.injected += 1;
        let until = self.now + FAULT_DURATION;
        match self.cell.fault {
            Fault::DomainPartition => self.peer_partitioned_until[REMOTE] = until,
            Fault::PeerPartition => self.peer_partitioned_until[index] = until,
            Fault::PlatformPartition => {
                self.partition_platform(index..index + 1, until);
                // The write in transit takes effect, but its answer is lost.
                if step.is_process_write() || step == Step::DrawConfirmed {
                    return Delivery::AnswerLost;
                }
            }
            Fault::RouterCrash => {
                let process = &mut self.processes[index];
                process.unavailable_until = self.now + RESTART_DURATION;
                process.is_crashed = true;
                process.requests.clear();
            }
            Fault::ClientRetry => {
                self.end_request(index);
                self.request((index + 1) % PROCESSES, 50, 40, 1_000);
            }
            Fault::PlatformOutage => self.platform_partitioned_until = [until; PROCESSES],
            Fault::SlowPlatform => self.slow_until = until,
            Fault::LostWriteAnswer => return Delivery::AnswerLost,
            Fault::LateWrite => return Delivery::Late,
            Fault::PausedHolder => self.processes[index].unavailable_until = until,
            Fault::DoubledTopUp => self.operate_concurrently(Step::TopUp, 500, index),
            Fault::RacingRelease => self.operate_concurrently(Step::Release, 0, index),
            Fault::ConflictingWrite => self.operate_concurrently(Step::TopUp, 1, index),
            Fault::OneSidedTopUp => {
                self.partition_platform(OWNER..REMOTE, until);
                self.peer_partitioned_until[REMOTE] = until;
                self.operate_concurrently(Step::TopUp, 5_000, index);
            }
            Fault::UpstreamCrash => self.end_request(index),
            Fault::LostMessage => return Delivery::Lost,
            Fault::DoubledMessage => return Delivery::Doubled,
        }
        Delivery::Normal
    }

    /// Ends an open request early and bills half of its cost.
    fn end_request(&mut self, index: usize) {
        for index in (0..PROCESSES).map(|offset| (index + offset) % PROCESSES) {
            if self.is_unavailable(index) {
                continue;
            }
            let requests = &mut self.processes[index].requests;
            let position = requests.iter().position(|r| r.reservation.is_some());
            if let Some(position) = position {
                let request = requests.remove(position);
                return self.settle(index, request.reservation, request.cost / 2);
            }
        }
    }

    /// Applies the same operation of two concurrent operators.
    fn operate_concurrently(&mut self, operation: Step, amount: u64, index: usize) {
        self.last_id += 1;
        let id = format!("operation-{}", self.last_id);
        let mut value = self.value.clone();
        let first = self.apply(&mut value, operation, amount, &id, index);
        let once = value.clone();
        let second = self.apply(&mut value, operation, amount, &id, index);
        if value != once || first != second {
            self.violation = Some("an operation id took effect twice");
        }
        self.write(None, self.version, value);
    }

    /// Applies an operation. Returns whether it succeeds; a release fails if the holder has no open
    /// row.
    fn apply(
        &self,
        value: &mut ShardValue,
        step: Step,
        tokens: u64,
        id: &str,
        index: usize,
    ) -> bool {
        let holder = self.processes[index].ledger.holder();
        match step {
            Step::Release => value.release(&budget(), holder, id, false).is_ok(),
            _ => value.top_up(&budget(), TokenCount::new(tokens), id).is_ok(),
        }
    }
}
