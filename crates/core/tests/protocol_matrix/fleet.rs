//! Three budget ledgers in two domains in virtual time, with one fault at one step.

mod check;
mod network;

use std::{collections::BTreeMap, time::Duration};

use cornelarch_core::{
    base::{BudgetName, DomainName, HolderId, InstanceName, MonotonicTime, TokenCount},
    budget::{
        BudgetLedger, BudgetMessage, DomainPeer, DrawPolicy, LedgerEffect, LedgerEvent,
        LedgerOptions, PeerTable, ReservationKey, ShardNumber, ShardValue,
    },
};

use crate::{BudgetStep as Step, Fault};

const TICK: Duration = Duration::from_millis(25);
const HOP: Duration = Duration::from_millis(5);
const ROUND_MS: u64 = 10_000;
const ROUNDS: u64 = 4;
/// Longer than every retry and resend delay of the ledger options below.
const SETTLE_MS: u64 = 20_000;
const FAULT_TIME: Duration = Duration::from_secs(8);
const SLOW_CALL: Duration = Duration::from_millis(1_500);
const LATE_WRITE: Duration = Duration::from_millis(1_500);
const RESTART_TIME: Duration = Duration::from_secs(2);
const PROBE: u64 = 100;
/// The design allows refusals below 20 requests' worth (section 12).
const PROBE_REST: u64 = 20 * PROBE;
const PROBE_TICKS: u32 = 80;
const SHARD: ShardNumber = ShardNumber(0);
const OWNER: usize = 0;
const NEIGHBOUR: usize = 1;
const REMOTE: usize = 2;

/// Lists the correct fleet and the deliberately broken one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetVariant {
    Correct,
    /// A sender whose acknowledgement is lost adds the tokens to its balance again.
    TakesBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    TopUp(u64),
    Release,
}

#[derive(Clone, Debug)]
enum Item {
    Message(HolderId, HolderId, BudgetMessage),
    Read(HolderId),
    Write {
        holder: Option<HolderId>,
        expected: u64,
        value: ShardValue,
        is_answered: bool,
    },
    Answer(HolderId, LedgerEvent),
    Operate(Operation, String),
}

/// Tells what becomes of the message or write at which a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Passage {
    Normal,
    Lost,
    AnswerLost,
    Late,
    Doubled,
}

struct Request {
    amount: u64,
    cost: u64,
    ends: MonotonicTime,
    reservation: Option<ReservationKey>,
}

struct Process {
    ledger: BudgetLedger,
    restart_at: Option<MonotonicTime>,
    paused_until: MonotonicTime,
    is_draining: bool,
    requests: Vec<Request>,
}

pub(crate) struct BudgetFleet {
    step: Step,
    fault: Fault,
    strikes: u32,
    variant: FleetVariant,
    names: Vec<InstanceName>,
    now: MonotonicTime,
    processes: Vec<Process>,
    ended: Vec<BudgetLedger>,
    version: u64,
    value: ShardValue,
    queue: Vec<(MonotonicTime, Item)>,
    /// The tokens that the platform granted to each holder, and those that it got back.
    granted: BTreeMap<HolderId, (i64, i64)>,
    /// The transfers that reached the incarnation to which they were sent.
    arrived: BTreeMap<(HolderId, HolderId, u64), u64>,
    hits: u32,
    epoch: u64,
    operations: u64,
    billed: u64,
    platform_cut_until: [MonotonicTime; 3],
    peer_cut_until: [MonotonicTime; 3],
    domain_cut_until: MonotonicTime,
    slow_until: MonotonicTime,
    violation: Option<String>,
}

fn budget() -> BudgetName {
    BudgetName::new("budget")
}

fn domain(index: usize) -> DomainName {
    DomainName::new(if index == REMOTE { "b" } else { "a" })
}

/// Returns the instance names such that the first one is the shard owner of domain `a`.
fn find_names() -> Vec<InstanceName> {
    let holder = |name| HolderId::new(InstanceName::new(name), 0);
    let peer = DomainPeer {
        holder: holder("r1"),
        domain: domain(NEIGHBOUR),
    };
    let table = PeerTable::new(&holder("r0"), &domain(OWNER), vec![peer]);
    let mut names = ["r0", "r1", "r2"];
    if table.owner(&domain(OWNER), SHARD) == Some(&holder("r1")) {
        names.swap(0, 1);
    }
    names.iter().map(|name| InstanceName::new(name)).collect()
}

impl BudgetFleet {
    pub(crate) fn new(step: Step, fault: Fault, strikes: u32, variant: FleetVariant) -> Self {
        let start = MonotonicTime::START;
        let mut fleet = Self {
            step,
            fault,
            strikes,
            variant,
            names: find_names(),
            now: start,
            processes: Vec::new(),
            ended: Vec::new(),
            version: 1,
            value: ShardValue::default(),
            queue: Vec::new(),
            granted: BTreeMap::new(),
            arrived: BTreeMap::new(),
            hits: 0,
            epoch: 0,
            operations: 0,
            billed: 0,
            platform_cut_until: [start; 3],
            peer_cut_until: [start; 3],
            domain_cut_until: start,
            slow_until: start,
            violation: None,
        };
        let paid = TokenCount::new(30_000);
        let is_set = fleet.value.set_initial_paid(&budget(), paid);
        assert_eq!(is_set, Ok(true));
        for index in 0..fleet.names.len() {
            let process = fleet.new_process(index);
            fleet.processes.push(process);
        }
        fleet.announce_peers();
        fleet
    }

    fn new_process(&mut self, index: usize) -> Process {
        self.epoch += 1;
        let options = LedgerOptions {
            shards: 1,
            domain: domain(index),
            domains: 2,
            policy: DrawPolicy::LowWater {
                low: TokenCount::new(200),
                high: TokenCount::new(1_000),
            },
            idle_flush: Duration::from_secs(2),
            idle_return: Duration::from_secs(1),
            resend_max: Duration::from_secs(2),
            ..LedgerOptions::default()
        };
        let holder = HolderId::new(self.names[index].clone(), self.epoch);
        let mut ledger = BudgetLedger::new(holder, options);
        ledger.register(budget());
        Process {
            ledger,
            restart_at: None,
            paused_until: self.now,
            is_draining: false,
            requests: Vec::new(),
        }
    }

    fn announce_peers(&mut self) {
        let live = self.processes.iter().enumerate();
        let live = live.filter(|(_, process)| !process.is_draining && process.restart_at.is_none());
        let peers: Vec<DomainPeer> = live
            .map(|(index, process)| DomainPeer {
                holder: process.ledger.holder().clone(),
                domain: domain(index),
            })
            .collect();
        for index in 0..self.processes.len() {
            self.feed(index, LedgerEvent::PeersChanged(peers.clone()));
        }
    }

    /// Runs normal operation with the fault, heals, settles down and serves requests again.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        while self.now < MonotonicTime::from_millis(ROUNDS * ROUND_MS) {
            self.start_work();
            self.run_tick()?;
        }
        if self.hits < self.strikes {
            return Err(format!("the step occurred {} times only", self.hits));
        }
        self.heal();
        let settled = self.now + Duration::from_millis(SETTLE_MS);
        while self.now < settled {
            self.run_tick()?;
        }
        self.check_rest()?;
        self.probe()
    }

    /// Starts the work that the script of a round has at this moment.
    fn start_work(&mut self) {
        let at = self.now.as_micros() / 1_000 % ROUND_MS;
        let is_handing_over = self.step == Step::DrainHandOver;
        match at {
            0 => (0..3).for_each(|index| self.request(index, 50, 40, 9_000)),
            500 => self.request(OWNER, 4_000, 100, 2_000),
            1_500 => self.request(NEIGHBOUR, 1_500, 300, 1_000),
            3_000 => self.request(REMOTE, 600, 500, 1_000),
            5_000 => self.operate(Operation::TopUp(1_000)),
            6_000 if self.step == Step::Release => self.operate(Operation::Release),
            6_500 if is_handing_over && self.processes[OWNER].restart_at.is_none() => {
                self.cut_platform(&[OWNER, NEIGHBOUR], Duration::from_millis(2_500));
            }
            7_000 if is_handing_over || self.step == Step::DrainReturn => self.start_drain(OWNER),
            _ => {}
        }
    }

    fn request(&mut self, index: usize, amount: u64, cost: u64, length_ms: u64) {
        let ends = self.now + Duration::from_millis(length_ms);
        self.processes[index].requests.push(Request {
            amount,
            cost,
            ends,
            reservation: None,
        });
    }

    fn operate(&mut self, operation: Operation) {
        self.operations += 1;
        let id = format!("operation-{}", self.operations);
        self.queue.push((self.now, Item::Operate(operation, id)));
    }

    fn start_drain(&mut self, index: usize) {
        if self.is_stopped(index) || self.processes[index].is_draining {
            return;
        }
        let open: Vec<Request> = std::mem::take(&mut self.processes[index].requests);
        open.into_iter()
            .for_each(|request| self.settle(index, &request));
        self.processes[index].is_draining = true;
        self.announce_peers();
        self.feed(index, LedgerEvent::DrainStarted);
    }

    fn is_stopped(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.restart_at.is_some() || self.now < process.paused_until
    }

    fn run_tick(&mut self) -> Result<(), String> {
        self.now = self.now + TICK;
        for index in 0..self.processes.len() {
            self.run_process(index);
        }
        loop {
            let due = self.queue.iter().enumerate();
            let due = due.filter(|(_, (at, item))| *at <= self.now && !self.is_waiting(item));
            let Some((place, _)) = due.min_by_key(|(_, (at, _))| *at) else {
                break;
            };
            let (_, item) = self.queue.remove(place);
            self.handle_item(item);
            self.check()?;
        }
        self.check()
    }

    fn run_process(&mut self, index: usize) {
        let process = &self.processes[index];
        let is_over = process.is_draining && process.ledger.is_drained();
        if process.restart_at.is_some_and(|at| at <= self.now) || is_over {
            let fresh = self.new_process(index);
            let old = std::mem::replace(&mut self.processes[index], fresh);
            self.ended.push(old.ledger);
            self.announce_peers();
        }
        if self.is_stopped(index) {
            return;
        }
        let requests = std::mem::take(&mut self.processes[index].requests);
        for mut request in requests {
            if request.ends <= self.now {
                self.settle(index, &request);
                continue;
            }
            if request.reservation.is_none() {
                request.reservation = self.reserve(index, request.amount);
                let is_reserved = request.reservation.is_some();
                self.processes[index].requests.push(request);
                if is_reserved && self.hits(Step::Reserved) {
                    self.strike(index);
                }
            } else {
                self.processes[index].requests.push(request);
            }
            if self.is_stopped(index) {
                break;
            }
        }
        if !self.is_stopped(index) {
            self.feed(index, LedgerEvent::Tick);
        }
    }

    fn reserve(&mut self, index: usize, amount: u64) -> Option<ReservationKey> {
        let ledger = &mut self.processes[index].ledger;
        let key = ledger.register(budget());
        let reservation = ledger.reserve(key, TokenCount::new(amount), self.now).ok();
        if reservation.is_none() {
            self.feed(index, LedgerEvent::Tick);
        }
        reservation
    }

    /// Settles a request twice, of which only the first may bill.
    fn settle(&mut self, index: usize, request: &Request) {
        let Some(reservation) = request.reservation else {
            return;
        };
        let cost = TokenCount::new(request.cost);
        let ledger = &mut self.processes[index].ledger;
        match ledger.settle(reservation, cost, self.now) {
            Ok(settlement) => self.billed += settlement.billed.get(),
            Err(error) => {
                self.violation = Some(format!("an answered request was not billed: {error}"))
            }
        }
        if ledger.settle(reservation, cost, self.now).is_ok() {
            self.violation = Some("a request was billed twice".into());
        }
        if self.hits(Step::Settled) {
            self.strike(index);
        }
    }

    /// Counts an occurrence of a step; the first round is without fault.
    fn hits(&mut self, step: Step) -> bool {
        let is_armed = self.now >= MonotonicTime::from_millis(ROUND_MS);
        let is_over = self.now >= MonotonicTime::from_millis(ROUNDS * ROUND_MS);
        let is_hit = step == self.step && is_armed && !is_over && self.hits < self.strikes;
        self.hits += u32::from(is_hit);
        is_hit
    }

    fn cut_platform(&mut self, indexes: &[usize], time: Duration) {
        for index in indexes {
            let until = self.now + time;
            self.platform_cut_until[*index] = self.platform_cut_until[*index].max(until);
        }
    }

    /// Lets the fault of the cell happen, at a step of `index`.
    fn strike(&mut self, index: usize) -> Passage {
        let until = self.now + FAULT_TIME;
        match self.fault {
            Fault::DomainPartition => self.domain_cut_until = until,
            Fault::PeerPartition => self.peer_cut_until[index] = until,
            Fault::PlatformPartition => self.cut_platform(&[index], FAULT_TIME),
            Fault::RouterCrash => {
                self.processes[index].restart_at = Some(self.now + RESTART_TIME);
                self.processes[index].requests.clear();
            }
            Fault::ClientRetry => {
                self.end_request(index);
                self.request((index + 1) % 3, 50, 40, 1_000);
            }
            Fault::PlatformOutage => self.cut_platform(&[0, 1, 2], FAULT_TIME),
            Fault::SlowPlatform => self.slow_until = until,
            Fault::LostWriteAnswer => return Passage::AnswerLost,
            Fault::LateWrite => return Passage::Late,
            Fault::PausedHolder => self.processes[index].paused_until = until,
            Fault::DoubledTopUp => self.top_up_twice(500),
            Fault::RacingRelease => self.release_twice(index),
            Fault::ConflictingWrite => self.top_up_twice(1),
            Fault::OneSidedTopUp => {
                self.cut_platform(&[OWNER, NEIGHBOUR], FAULT_TIME);
                self.domain_cut_until = until;
                self.top_up_twice(5_000);
            }
            Fault::UpstreamCrash => self.end_request(index),
            Fault::LostMessage => return Passage::Lost,
            Fault::DoubledMessage => return Passage::Doubled,
        }
        Passage::Normal
    }

    /// Ends an open request part way, of which half of the cost is billed.
    fn end_request(&mut self, index: usize) {
        let open = |process: &Process| process.requests.iter().any(|r| r.reservation.is_some());
        let found = (0..3).map(|offset| (index + offset) % 3);
        let found = found
            .filter(|index| !self.is_stopped(*index))
            .find(|index| open(&self.processes[*index]));
        let Some(index) = found else {
            return;
        };
        let requests = &mut self.processes[index].requests;
        if let Some(place) = requests.iter().position(|r| r.reservation.is_some()) {
            let mut request = requests.remove(place);
            request.cost /= 2;
            self.settle(index, &request);
        }
    }

    fn top_up_twice(&mut self, amount: u64) {
        self.operations += 1;
        let id = format!("operation-{}", self.operations);
        let amount = TokenCount::new(amount);
        let first = self.value.top_up(&budget(), amount, &id);
        let second = self.value.top_up(&budget(), amount, &id);
        if (first, second) != (Ok(true), Ok(false)) {
            self.violation = Some("one operation id was applied twice".into());
        }
        self.version += 1;
    }

    fn release_twice(&mut self, index: usize) {
        self.operations += 1;
        let id = format!("operation-{}", self.operations);
        let holder = self.processes[index].ledger.holder().clone();
        let first = self.value.release(&budget(), &holder, &id, false);
        let second = self.value.release(&budget(), &holder, &id, false);
        if first != second {
            self.violation = Some("one operation id released twice".into());
        }
        self.version += 1;
    }
}
