//! A fleet of ledgers in virtual time: messages of a millisecond, a store that answers in four.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

use cornelarch_core::{
    base::{
        BudgetName, DomainName, EnvironmentName, HolderId, InstanceName, MonotonicTime, TokenCount,
    },
    budget::{
        BudgetKey, BudgetLedger, BudgetMessage, DomainPeer, LedgerEffect, LedgerEvent,
        LedgerOptions, PaidAmount, ReservationKey, ReserveError, ShardNumber, ShardValue,
    },
    retry::WindowOptions,
};
use cornelarch_gateway::{GatewaySettings, ledger_options};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// One way between two instances.
const MESSAGE_TIME: Duration = Duration::from_millis(1);
/// From a call to the store to its answer.
const CALL_TIME: Duration = Duration::from_millis(4);
/// From a call to a store that is away to its failure.
const FAIL_TIME: Duration = Duration::from_millis(300);
/// Time between two ticks, as in the ledger task.
const TICK: Duration = Duration::from_millis(200);
/// How long a request waits for tokens, as in the gateway.
const TOKEN_WAIT: Duration = Duration::from_millis(80);
/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(800);

/// Describes a fleet and its load.
#[derive(Clone, Copy)]
pub(crate) struct FleetPlan {
    pub(crate) domains: usize,
    pub(crate) instances_per_domain: usize,
    pub(crate) shards: u32,
    pub(crate) customers: usize,
    /// Requests a second of the whole fleet.
    pub(crate) requests_per_s: f64,
    /// Tokens that a request reserves.
    pub(crate) reservation: u64,
    /// Tokens that it uses.
    pub(crate) cost: u64,
    /// The paid amount in seconds of a customer's use.
    pub(crate) paid_s: u64,
    pub(crate) seconds: u64,
    /// When the store is away, in milliseconds.
    pub(crate) outage_ms: (u64, u64),
}

/// Counts what happened.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetCount {
    pub(crate) served: u64,
    pub(crate) refused: u64,
    /// Requests refused while the store was away.
    pub(crate) refused_in_outage: u64,
    pub(crate) requests_in_outage: u64,
    pub(crate) messages: BTreeMap<&'static str, u64>,
    /// Messages while the store was away.
    pub(crate) messages_in_outage: u64,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) conflicts: u64,
    pub(crate) overspend: u64,
}

enum Event {
    Tick(usize),
    Arrival,
    Message {
        from: HolderId,
        to: usize,
        message: BudgetMessage,
    },
    Answer(usize, LedgerEvent),
    Read(usize, ShardNumber),
    Write(usize, ShardNumber, u64, ShardValue),
    Settle(usize, ReservationKey),
    Deadline(usize, u64),
}

struct Waiting {
    number: u64,
    customer: usize,
}

struct Instance {
    ledger: BudgetLedger,
    keys: Vec<BudgetKey>,
    waiting: Vec<Waiting>,
}

pub(crate) struct Fleet {
    plan: FleetPlan,
    rng: StdRng,
    now: MonotonicTime,
    queue: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    events: HashMap<u64, Event>,
    numbers: u64,
    instances: Vec<Instance>,
    indexes: HashMap<HolderId, usize>,
    store: Vec<(u64, ShardValue)>,
    billed: Vec<u64>,
    count: FleetCount,
}

fn budget(customer: usize) -> BudgetName {
    BudgetName::new(&format!("customer-{customer}"))
}

fn domain_name(index: usize) -> DomainName {
    DomainName::new(&format!("domain-{index}"))
}

/// Returns the part of the requests that a customer sends: a few are large.
fn share(customer: usize, customers: usize) -> f64 {
    let weight = |index: usize| 1.0 / (index + 1) as f64;
    weight(customer) / (0..customers).map(weight).sum::<f64>()
}

fn options(plan: &FleetPlan, domain: usize) -> LedgerOptions {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    ledger_options(&GatewaySettings {
        instance: InstanceName::new("any"),
        domain: domain_name(domain),
        environment: EnvironmentName::new("main"),
        listen: address(1),
        ready_listen: address(2),
        ready_path: "/ready".to_owned(),
        metrics_listen: None,
        peer_listen: address(3),
        seeds: vec![address(4)],
        grace: Duration::from_secs(8),
        retry_budget: WindowOptions {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        outage_reserve: Duration::from_secs(9),
        ledger_shards: plan.shards,
        domains: plan.domains as u32,
    })
}

impl Fleet {
    pub(crate) fn new(plan: FleetPlan, seed: u64) -> Self {
        let mut fleet = Self {
            plan,
            rng: StdRng::seed_from_u64(seed),
            now: MonotonicTime::START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            numbers: 0,
            instances: Vec::new(),
            indexes: HashMap::new(),
            store: vec![(0, ShardValue::default()); plan.shards as usize],
            billed: vec![0; plan.customers],
            count: FleetCount::default(),
        };
        fleet.open();
        fleet
    }

    /// Returns the paid amount of a customer, in tokens.
    fn paid(&self, customer: usize) -> u64 {
        let rate = self.plan.requests_per_s * share(customer, self.plan.customers);
        (rate * self.plan.cost as f64 * self.plan.paid_s as f64) as u64
    }

    fn open(&mut self) {
        let plan = self.plan;
        let mut peers = Vec::new();
        for index in 0..plan.domains * plan.instances_per_domain {
            let domain = index % plan.domains;
            let holder = HolderId::new(InstanceName::new(&format!("edge-{index}")), 1);
            let mut ledger = BudgetLedger::new(holder.clone(), options(&plan, domain));
            let keys = (0..plan.customers)
                .map(|customer| {
                    let key = ledger.register(budget(customer));
                    let amount = TokenCount::new(self.paid(customer));
                    ledger.set_paid(key, PaidAmount { amount, version: 1 });
                    key
                })
                .collect();
            peers.push(DomainPeer {
                holder: holder.clone(),
                domain: domain_name(domain),
            });
            self.indexes.insert(holder, index);
            self.instances.push(Instance {
                ledger,
                keys,
                waiting: Vec::new(),
            });
        }
        for index in 0..self.instances.len() {
            self.feed(index, LedgerEvent::PeersChanged(peers.clone()));
            let phase = Duration::from_micros(self.rng.random_range(0..200_000));
            self.push(self.now + phase, Event::Tick(index));
        }
        self.push(self.now + Duration::from_secs(4), Event::Arrival);
    }

    fn push(&mut self, at: MonotonicTime, event: Event) {
        self.queue.push(Reverse((at, self.numbers)));
        self.events.insert(self.numbers, event);
        self.numbers += 1;
    }

    fn is_away(&self) -> bool {
        let (from, to) = self.plan.outage_ms;
        (from..to).contains(&(self.now.as_micros() / 1_000))
    }

    /// Runs the fleet to its end, or until more than `most` messages were sent while the store was
    /// away.
    pub(crate) fn run(mut self, most: u64) -> FleetCount {
        let end = MonotonicTime::START + Duration::from_secs(self.plan.seconds);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end || self.count.messages_in_outage > most {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        for (customer, billed) in self.billed.iter().enumerate() {
            self.count.overspend += billed.saturating_sub(self.paid(customer));
        }
        self.count
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                self.push(self.now + TICK, Event::Tick(index));
                self.feed(index, LedgerEvent::Tick);
            }
            Event::Arrival => self.arrive(),
            Event::Message { from, to, message } => {
                let to_holder = self.instances[to].ledger.holder().clone();
                let event = LedgerEvent::Received {
                    from,
                    to: to_holder,
                    message,
                };
                self.feed(to, event);
            }
            Event::Answer(index, event) => self.feed(index, event),
            Event::Read(index, shard) => {
                self.count.reads += 1;
                let (version, value) = self.store[shard.0 as usize].clone();
                let event = LedgerEvent::ShardRead {
                    shard,
                    version,
                    value,
                };
                self.push(self.now + CALL_TIME / 2, Event::Answer(index, event));
            }
            Event::Write(index, shard, expected, value) => {
                self.count.writes += 1;
                let place = &mut self.store[shard.0 as usize];
                let event = if place.0 == expected {
                    *place = (expected + 1, value);
                    let version = expected + 1;
                    LedgerEvent::WriteAccepted { shard, version }
                } else {
                    self.count.conflicts += 1;
                    LedgerEvent::WriteConflict { shard }
                };
                self.push(self.now + CALL_TIME / 2, Event::Answer(index, event));
            }
            Event::Settle(index, reservation) => {
                let cost = TokenCount::new(self.plan.cost);
                let ledger = &mut self.instances[index].ledger;
                let settled = ledger.settle(reservation, cost, self.now);
                settled.expect("a request ends once");
            }
            Event::Deadline(index, number) => self.expire(index, number),
        }
    }

    fn arrive(&mut self) {
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.plan.requests_per_s;
        self.push(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        let mut draw = self.rng.random_range(0.0..1.0);
        let mut customer = 0;
        while customer + 1 < self.plan.customers && draw >= share(customer, self.plan.customers) {
            draw -= share(customer, self.plan.customers);
            customer += 1;
        }
        let index = self.rng.random_range(0..self.instances.len());
        self.count.requests_in_outage += u64::from(self.is_away());
        match self.reserve(index, customer) {
            Ok(()) => {}
            Err(ReserveError::Insufficient { retry: true, .. }) => {
                let number = self.numbers;
                let waiting = Waiting { number, customer };
                self.instances[index].waiting.push(waiting);
                self.push(self.now + TOKEN_WAIT, Event::Deadline(index, number));
                self.feed(index, LedgerEvent::Tick);
            }
            Err(_) => {
                self.refuse(index, customer);
                self.feed(index, LedgerEvent::Tick);
            }
        }
    }

    fn reserve(&mut self, index: usize, customer: usize) -> Result<(), ReserveError> {
        let instance = &mut self.instances[index];
        let amount = TokenCount::new(self.plan.reservation);
        let reservation = instance
            .ledger
            .reserve(instance.keys[customer], amount, self.now)?;
        self.count.served += 1;
        self.billed[customer] += self.plan.cost;
        self.push(self.now + RUN_TIME, Event::Settle(index, reservation));
        Ok(())
    }

    fn refuse(&mut self, index: usize, customer: usize) {
        let instance = &mut self.instances[index];
        let amount = TokenCount::new(self.plan.reservation);
        instance
            .ledger
            .cancel_demand(instance.keys[customer], amount);
        self.count.refused += 1;
        self.count.refused_in_outage += u64::from(self.is_away());
    }

    fn expire(&mut self, index: usize, number: u64) {
        let waiting = &mut self.instances[index].waiting;
        if let Some(place) = waiting.iter().position(|waiting| waiting.number == number) {
            let customer = waiting.remove(place).customer;
            self.refuse(index, customer);
        }
    }

    fn feed(&mut self, index: usize, event: LedgerEvent) {
        let effects = self.instances[index].ledger.handle(event, self.now);
        let is_away = self.is_away();
        for effect in effects {
            match effect {
                LedgerEffect::ReadShard { shard, .. } | LedgerEffect::WriteShard { shard, .. }
                    if is_away =>
                {
                    let event = LedgerEvent::PlatformDown { shard };
                    self.push(self.now + FAIL_TIME, Event::Answer(index, event));
                }
                LedgerEffect::ReadShard { shard, .. } => {
                    self.push(self.now + CALL_TIME / 2, Event::Read(index, shard));
                }
                LedgerEffect::WriteShard {
                    shard,
                    expected_version,
                    value,
                } => {
                    let event = Event::Write(index, shard, expected_version, value);
                    self.push(self.now + CALL_TIME / 2, event);
                }
                LedgerEffect::Send { to, message } => self.send(index, &to, message),
                LedgerEffect::Wake { budget } => self.wake(index, budget),
            }
        }
    }

    fn send(&mut self, from: usize, to: &HolderId, message: BudgetMessage) {
        let kind = match &message {
            BudgetMessage::BorrowRequest { .. } => "borrow",
            BudgetMessage::Transfer { .. } => "transfer",
            BudgetMessage::TransferAck { .. } => "ack",
            BudgetMessage::ReturnIdle { .. } => "return_idle",
        };
        *self.count.messages.entry(kind).or_default() += 1;
        self.count.messages_in_outage += u64::from(self.is_away());
        let from = self.instances[from].ledger.holder().clone();
        let to = self.indexes[to];
        self.push(
            self.now + MESSAGE_TIME,
            Event::Message { from, to, message },
        );
    }

    fn wake(&mut self, index: usize, budget: BudgetKey) {
        let waiting = std::mem::take(&mut self.instances[index].waiting);
        let mut is_short = false;
        for request in waiting {
            if self.instances[index].keys[request.customer] != budget {
                self.instances[index].waiting.push(request);
            } else if self.reserve(index, request.customer).is_err() {
                self.instances[index].waiting.push(request);
                is_short = true;
            }
        }
        if is_short {
            self.feed(index, LedgerEvent::Tick);
        }
    }
}
