//! Simulation of a fleet of ledgers in virtual time, with fixed delays for messages and store
//! calls.

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
    limit::CallerOptions,
    retry::WindowOptions,
};
use cornelarch_gateway::{GatewaySettings, ledger_options};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// One-way delay between two instances.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Round-trip time of a call to the store.
const STORE_CALL_TIME: Duration = Duration::from_millis(4);
/// Time until a call to an unavailable store fails.
const FAILURE_TIME: Duration = Duration::from_millis(300);
/// Interval between ticks, as in the ledger task.
const TICK: Duration = Duration::from_millis(200);
/// Time for which a request waits for tokens, as in the gateway.
const TOKEN_WAIT: Duration = Duration::from_millis(80);
/// Duration of a request.
const REQUEST_TIME: Duration = Duration::from_millis(800);

/// Configures the size and load of a fleet.
#[derive(Clone, Copy)]
pub(crate) struct FleetOptions {
    pub(crate) domains: usize,
    pub(crate) instances_per_domain: usize,
    pub(crate) shards: u32,
    pub(crate) customers: usize,
    /// Requests per second of the whole fleet.
    pub(crate) requests_per_s: f64,
    /// Tokens reserved by a request.
    pub(crate) reservation: u64,
    /// Tokens spent by a request.
    pub(crate) cost: u64,
    /// Paid amount of a customer, expressed as seconds of its average consumption.
    pub(crate) paid_s: u64,
    pub(crate) seconds: u64,
    /// Start and end of the store outage, in milliseconds.
    pub(crate) outage_ms: (u64, u64),
}

/// Statistics of a simulation run.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetStats {
    pub(crate) served: u64,
    pub(crate) refused: u64,
    /// Requests rejected during the outage.
    pub(crate) refused_in_outage: u64,
    pub(crate) requests_in_outage: u64,
    pub(crate) messages: BTreeMap<&'static str, u64>,
    /// Messages sent during the outage.
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
    StoreResponse(usize, LedgerEvent),
    Read(usize, ShardNumber),
    Write(usize, ShardNumber, u64, ShardValue),
    Settle(usize, ReservationKey),
    WaitDeadline(usize, u64),
}

struct WaitingRequest {
    number: u64,
    customer: usize,
}

struct Instance {
    ledger: BudgetLedger,
    keys: Vec<BudgetKey>,
    waiting: Vec<WaitingRequest>,
}

pub(crate) struct Fleet {
    options: FleetOptions,
    rng: StdRng,
    now: MonotonicTime,
    queue: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    events: HashMap<u64, Event>,
    next_number: u64,
    instances: Vec<Instance>,
    indices: HashMap<HolderId, usize>,
    store: Vec<(u64, ShardValue)>,
    billed: Vec<u64>,
    stats: FleetStats,
}

fn budget_name(customer: usize) -> BudgetName {
    BudgetName::new(&format!("customer-{customer}"))
}

fn domain_name(index: usize) -> DomainName {
    DomainName::new(&format!("domain-{index}"))
}

/// Returns the share of a customer in all requests. Shares follow a Zipf distribution, so that a
/// few customers are large.
fn request_share(customer: usize, customers: usize) -> f64 {
    let weight = |index: usize| 1.0 / (index + 1) as f64;
    weight(customer) / (0..customers).map(weight).sum::<f64>()
}

fn instance_options(options: &FleetOptions, domain: usize) -> LedgerOptions {
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
        ledger_shards: options.shards,
        domains: options.domains as u32,
        has_evacuations: false,
        cold_bound: None,
        regions: std::collections::BTreeMap::new(),
        callers: CallerOptions::default(),
    })
}

impl Fleet {
    pub(crate) fn new(options: FleetOptions, seed: u64) -> Self {
        let mut fleet = Self {
            options,
            rng: StdRng::seed_from_u64(seed),
            now: MonotonicTime::START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_number: 0,
            instances: Vec::new(),
            indices: HashMap::new(),
            store: vec![(0, ShardValue::default()); options.shards as usize],
            billed: vec![0; options.customers],
            stats: FleetStats::default(),
        };
        fleet.start();
        fleet
    }

    fn paid_tokens(&self, customer: usize) -> u64 {
        let rate = self.options.requests_per_s * request_share(customer, self.options.customers);
        (rate * self.options.cost as f64 * self.options.paid_s as f64) as u64
    }

    fn start(&mut self) {
        let options = self.options;
        let mut peers = Vec::new();
        for index in 0..options.domains * options.instances_per_domain {
            let domain = index % options.domains;
            let holder = HolderId::new(InstanceName::new(&format!("edge-{index}")), 1);
            let mut ledger = BudgetLedger::new(holder.clone(), instance_options(&options, domain));
            let keys = (0..options.customers)
                .map(|customer| {
                    let key = ledger.register(budget_name(customer));
                    let amount = TokenCount::new(self.paid_tokens(customer));
                    ledger.set_paid(key, PaidAmount { amount, version: 1 });
                    key
                })
                .collect();
            peers.push(DomainPeer {
                holder: holder.clone(),
                domain: domain_name(domain),
            });
            self.indices.insert(holder, index);
            self.instances.push(Instance {
                ledger,
                keys,
                waiting: Vec::new(),
            });
        }
        for index in 0..self.instances.len() {
            self.handle_ledger_event(index, LedgerEvent::PeersChanged(peers.clone()));
            let phase = Duration::from_micros(self.rng.random_range(0..200_000));
            self.push(self.now + phase, Event::Tick(index));
        }
        self.push(self.now + Duration::from_secs(4), Event::Arrival);
    }

    fn push(&mut self, at: MonotonicTime, event: Event) {
        self.queue.push(Reverse((at, self.next_number)));
        self.events.insert(self.next_number, event);
        self.next_number += 1;
    }

    fn is_store_down(&self) -> bool {
        let (from, to) = self.options.outage_ms;
        (from..to).contains(&(self.now.as_micros() / 1_000))
    }

    /// Runs the simulation to its end, or until more than `message_limit` messages were sent during
    /// the outage.
    pub(crate) fn run(mut self, message_limit: u64) -> FleetStats {
        let end = MonotonicTime::START + Duration::from_secs(self.options.seconds);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end || self.stats.messages_in_outage > message_limit {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        for (customer, billed) in self.billed.iter().enumerate() {
            self.stats.overspend += billed.saturating_sub(self.paid_tokens(customer));
        }
        self.stats
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                self.push(self.now + TICK, Event::Tick(index));
                self.handle_ledger_event(index, LedgerEvent::Tick);
            }
            Event::Arrival => self.handle_arrival(),
            Event::Message { from, to, message } => {
                let to_holder = self.instances[to].ledger.holder().clone();
                let event = LedgerEvent::Received {
                    from,
                    to: to_holder,
                    message,
                };
                self.handle_ledger_event(to, event);
            }
            Event::StoreResponse(index, event) => self.handle_ledger_event(index, event),
            Event::Read(index, shard) => {
                self.stats.reads += 1;
                let (version, value) = self.store[shard.0 as usize].clone();
                let event = LedgerEvent::ShardRead {
                    shard,
                    version,
                    value,
                };
                self.push(
                    self.now + STORE_CALL_TIME / 2,
                    Event::StoreResponse(index, event),
                );
            }
            Event::Write(index, shard, expected, value) => {
                self.stats.writes += 1;
                let slot = &mut self.store[shard.0 as usize];
                let event = if slot.0 == expected {
                    *slot = (expected + 1, value);
                    let version = expected + 1;
                    LedgerEvent::WriteAccepted { shard, version }
                } else {
                    self.stats.conflicts += 1;
                    LedgerEvent::WriteConflict { shard }
                };
                self.push(
                    self.now + STORE_CALL_TIME / 2,
                    Event::StoreResponse(index, event),
                );
            }
            Event::Settle(index, reservation) => {
                let cost = TokenCount::new(self.options.cost);
                let ledger = &mut self.instances[index].ledger;
                let settled = ledger.settle(reservation, cost, self.now);
                settled.expect("a request ends once");
            }
            Event::WaitDeadline(index, number) => self.handle_deadline(index, number),
        }
    }

    fn handle_arrival(&mut self) {
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.options.requests_per_s;
        self.push(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        let mut draw = self.rng.random_range(0.0..1.0);
        let mut customer = 0;
        while customer + 1 < self.options.customers
            && draw >= request_share(customer, self.options.customers)
        {
            draw -= request_share(customer, self.options.customers);
            customer += 1;
        }
        let index = self.rng.random_range(0..self.instances.len());
        self.stats.requests_in_outage += u64::from(self.is_store_down());
        match self.reserve(index, customer) {
            Ok(()) => {}
            Err(ReserveError::Insufficient { retry: true, .. }) => {
                let number = self.next_number;
                let waiting = WaitingRequest { number, customer };
                self.instances[index].waiting.push(waiting);
                self.push(self.now + TOKEN_WAIT, Event::WaitDeadline(index, number));
                self.handle_ledger_event(index, LedgerEvent::Tick);
            }
            Err(_) => {
                self.refuse(index, customer);
                self.handle_ledger_event(index, LedgerEvent::Tick);
            }
        }
    }

    fn reserve(&mut self, index: usize, customer: usize) -> Result<(), ReserveError> {
        let instance = &mut self.instances[index];
        let amount = TokenCount::new(self.options.reservation);
        let reservation = instance
            .ledger
            .reserve(instance.keys[customer], amount, self.now)?;
        self.stats.served += 1;
        self.billed[customer] += self.options.cost;
        self.push(self.now + REQUEST_TIME, Event::Settle(index, reservation));
        Ok(())
    }

    fn refuse(&mut self, index: usize, customer: usize) {
        let instance = &mut self.instances[index];
        let amount = TokenCount::new(self.options.reservation);
        instance
            .ledger
            .cancel_demand(instance.keys[customer], amount);
        self.stats.refused += 1;
        self.stats.refused_in_outage += u64::from(self.is_store_down());
    }

    fn handle_deadline(&mut self, index: usize, number: u64) {
        let waiting = &mut self.instances[index].waiting;
        if let Some(slot) = waiting.iter().position(|waiting| waiting.number == number) {
            let customer = waiting.remove(slot).customer;
            self.refuse(index, customer);
        }
    }

    fn handle_ledger_event(&mut self, index: usize, event: LedgerEvent) {
        let effects = self.instances[index].ledger.handle(event, self.now);
        let is_store_down = self.is_store_down();
        for effect in effects {
            match effect {
                LedgerEffect::ReadShard { shard, .. } | LedgerEffect::WriteShard { shard, .. }
                    if is_store_down =>
                {
                    let event = LedgerEvent::PlatformDown { shard };
                    self.push(self.now + FAILURE_TIME, Event::StoreResponse(index, event));
                }
                LedgerEffect::ReadShard { shard, .. } => {
                    self.push(self.now + STORE_CALL_TIME / 2, Event::Read(index, shard));
                }
                LedgerEffect::WriteShard {
                    shard,
                    expected_version,
                    value,
                } => {
                    let event = Event::Write(index, shard, expected_version, value);
                    self.push(self.now + STORE_CALL_TIME / 2, event);
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
        *self.stats.messages.entry(kind).or_default() += 1;
        self.stats.messages_in_outage += u64::from(self.is_store_down());
        let from = self.instances[from].ledger.holder().clone();
        let to = self.indices[to];
        self.push(
            self.now + MESSAGE_DELAY,
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
            self.handle_ledger_event(index, LedgerEvent::Tick);
        }
    }
}
