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
/// Interval between ticks, as in the ledger task.
const TICK: Duration = Duration::from_millis(200);
/// Interval between ticks while requests wait for tokens, as in the ledger task.
const DEMAND_TICK: Duration = Duration::from_millis(20);
/// Time for which a request waits for tokens, as in the gateway.
const TOKEN_WAIT: Duration = Duration::from_millis(80);
/// Time that a restarted instance drains, and until it and its peers know each other.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// Time until the others notice that an instance is gone.
const NOTICE_TIME: Duration = Duration::from_millis(2_000);
const JOIN_TIME: Duration = Duration::from_millis(700);
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
    /// Start and end of each store outage, in milliseconds.
    pub(crate) outages_ms: &'static [(u64, u64)],
    /// Every this many requests one is small: a tenth of the usual tokens. Zero means that all have
    /// the same size.
    pub(crate) small_requests: u64,
    /// The largest customers, this many, each call a single instance.
    pub(crate) pinned_customers: usize,
    /// Time until a call to the unavailable store fails, in milliseconds.
    pub(crate) failure_ms: u64,
    /// One in this many messages is lost; zero means none.
    pub(crate) loss: u64,
    /// When instances begin to restart in turn, and the time between two restarts, in milliseconds.
    pub(crate) restarts_ms: Option<(u64, u64)>,
    /// When the shard owners of the first domain are killed, in milliseconds. The others notice it
    /// after `NOTICE_TIME`.
    pub(crate) kills_ms: &'static [u64],
    /// When all instances lose power, in milliseconds.
    pub(crate) power_loss_ms: Option<u64>,
}

/// Statistics of a simulation run.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetStats {
    pub(crate) served: u64,
    pub(crate) refused: u64,
    /// Requests rejected although the customer had unspent tokens for them, by second.
    pub(crate) refused_falsely: BTreeMap<u64, u64>,
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
    DemandTick(HolderId),
    Arrival,
    Message {
        from: HolderId,
        to: HolderId,
        message: BudgetMessage,
    },
    StoreResponse(HolderId, LedgerEvent),
    Read(HolderId, ShardNumber),
    Write(HolderId, ShardNumber, u64, ShardValue),
    Settle(HolderId, ReservationKey, u64),
    WaitDeadline(usize, u64),
    /// The next instance in turn begins its drain.
    Drain(usize),
    /// The process ends and a new one starts.
    Restart(usize),
    /// The other instances know the new process, and it knows them.
    Join(HolderId),
    PowerLoss,
    KillOwners,
    /// The other instances notice which ones are gone.
    Notice,
}

struct WaitingRequest {
    number: u64,
    customer: usize,
    size: RequestSize,
}

/// Tokens reserved and spent by a request.
#[derive(Clone, Copy)]
struct RequestSize {
    reservation: u64,
    cost: u64,
}

struct Instance {
    ledger: BudgetLedger,
    keys: Vec<BudgetKey>,
    waiting: Vec<WaitingRequest>,
    domain: usize,
    has_demand_tick: bool,
    /// Whether the other instances know this one.
    is_member: bool,
}

pub(crate) struct Fleet {
    options: FleetOptions,
    rng: StdRng,
    now: MonotonicTime,
    queue: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    events: HashMap<u64, Event>,
    next_number: u64,
    instances: Vec<Instance>,
    indices: HashMap<InstanceName, usize>,
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
        let mean_cost = match self.options.small_requests {
            0 => self.options.cost as f64,
            every => self.options.cost as f64 * (1.0 - 0.9 / every as f64),
        };
        (rate * mean_cost * self.options.paid_s as f64) as u64
    }

    fn start(&mut self) {
        let options = self.options;
        for index in 0..options.domains * options.instances_per_domain {
            let domain = index % options.domains;
            let name = InstanceName::new(&format!("edge-{index}"));
            self.indices.insert(name.clone(), index);
            let instance = self.new_instance(HolderId::new(name, 1), domain);
            self.instances.push(instance);
        }
        for index in 0..self.instances.len() {
            self.instances[index].is_member = true;
            let phase = Duration::from_micros(self.rng.random_range(0..200_000));
            self.push(self.now + phase, Event::Tick(index));
        }
        self.announce_peers();
        self.push(self.now + Duration::from_secs(4), Event::Arrival);
        if let Some((from, _)) = options.restarts_ms {
            self.push(MonotonicTime::from_millis(from), Event::Drain(0));
        }
        for at in options.kills_ms {
            self.push(MonotonicTime::from_millis(*at), Event::KillOwners);
        }
        if let Some(at) = options.power_loss_ms {
            self.push(MonotonicTime::from_millis(at), Event::PowerLoss);
        }
    }

    fn new_instance(&self, holder: HolderId, domain: usize) -> Instance {
        let mut ledger = BudgetLedger::new(holder, instance_options(&self.options, domain));
        let keys = (0..self.options.customers)
            .map(|customer| {
                let key = ledger.register(budget_name(customer));
                let amount = TokenCount::new(self.paid_tokens(customer));
                ledger.set_paid(key, PaidAmount { amount, version: 1 });
                key
            })
            .collect();
        Instance {
            ledger,
            keys,
            waiting: Vec::new(),
            domain,
            has_demand_tick: false,
            is_member: false,
        }
    }

    fn announce_peers(&mut self) {
        let members = self.instances.iter().filter(|instance| instance.is_member);
        let peers: Vec<DomainPeer> = members
            .map(|instance| DomainPeer {
                holder: instance.ledger.holder().clone(),
                domain: domain_name(instance.domain),
            })
            .collect();
        for index in 0..self.instances.len() {
            if self.instances[index].is_member {
                self.handle_ledger_event(index, LedgerEvent::PeersChanged(peers.clone()));
            }
        }
    }

    fn kill_owners(&mut self) {
        let owners: Vec<usize> = (0..self.instances.len())
            .filter(|index| {
                let instance = &self.instances[*index];
                let mut keys = instance.keys.iter();
                instance.domain == 0
                    && instance.is_member
                    && keys.any(|key| {
                        let shortage = instance.ledger.shortage(*key, self.now);
                        shortage.is_some_and(|shortage| shortage.is_owner)
                    })
            })
            .collect();
        for index in owners {
            self.restart(index);
        }
        self.push(self.now + NOTICE_TIME, Event::Notice);
    }

    fn restart(&mut self, index: usize) {
        let old = self.instances[index].ledger.holder().clone();
        let holder = HolderId::new(old.instance.clone(), old.epoch + 1);
        let waiting = std::mem::take(&mut self.instances[index].waiting);
        self.stats.refused += waiting.len() as u64;
        self.instances[index] = self.new_instance(holder.clone(), self.instances[index].domain);
        self.push(self.now + NOTICE_TIME + JOIN_TIME, Event::Join(holder));
    }

    /// Returns the index of an instance if the given process of it still runs.
    fn find(&self, holder: &HolderId) -> Option<usize> {
        let index = *self.indices.get(&holder.instance)?;
        let is_current = self.instances[index].ledger.holder() == holder;
        is_current.then_some(index)
    }

    fn holder(&self, index: usize) -> HolderId {
        self.instances[index].ledger.holder().clone()
    }

    fn push(&mut self, at: MonotonicTime, event: Event) {
        self.queue.push(Reverse((at, self.next_number)));
        self.events.insert(self.next_number, event);
        self.next_number += 1;
    }

    fn is_store_down(&self) -> bool {
        let now = self.now.as_micros() / 1_000;
        let mut outages = self.options.outages_ms.iter();
        outages.any(|(from, to)| (*from..*to).contains(&now))
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
            Event::DemandTick(holder) => {
                if let Some(index) = self.find(&holder) {
                    self.instances[index].has_demand_tick = false;
                    self.handle_ledger_event(index, LedgerEvent::Tick);
                }
            }
            Event::Arrival => self.handle_arrival(),
            Event::Message { from, to, message } => {
                if let Some(index) = self.find(&to) {
                    self.handle_ledger_event(index, LedgerEvent::Received { from, to, message });
                }
            }
            Event::StoreResponse(holder, event) => {
                if let Some(index) = self.find(&holder) {
                    self.handle_ledger_event(index, event);
                }
            }
            Event::Read(holder, shard) => {
                self.stats.reads += 1;
                let (version, value) = self.store[shard.0 as usize].clone();
                let event = LedgerEvent::ShardRead {
                    shard,
                    version,
                    value,
                };
                self.push(
                    self.now + STORE_CALL_TIME / 2,
                    Event::StoreResponse(holder, event),
                );
            }
            Event::Write(holder, shard, expected, value) => {
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
                    Event::StoreResponse(holder, event),
                );
            }
            Event::Settle(holder, reservation, cost) => {
                let Some(index) = self.find(&holder) else {
                    return;
                };
                let ledger = &mut self.instances[index].ledger;
                let settled = ledger.settle(reservation, TokenCount::new(cost), self.now);
                settled.expect("a request ends once");
            }
            Event::WaitDeadline(index, number) => self.handle_deadline(index, number),
            Event::Drain(index) => {
                let (_, gap) = self.options.restarts_ms.unwrap_or_default();
                let next = (index + 1) % self.instances.len();
                let gap = Duration::from_millis(gap);
                self.push(self.now + gap, Event::Drain(next));
                self.push(self.now + DRAIN_TIME, Event::Restart(index));
                self.instances[index].is_member = false;
                self.announce_peers();
                self.handle_ledger_event(index, LedgerEvent::DrainStarted);
            }
            Event::Restart(index) => self.restart(index),
            Event::Join(holder) => {
                if let Some(index) = self.find(&holder) {
                    self.instances[index].is_member = true;
                    self.announce_peers();
                }
            }
            Event::KillOwners => self.kill_owners(),
            Event::Notice => self.announce_peers(),
            Event::PowerLoss => {
                for index in 0..self.instances.len() {
                    self.restart(index);
                }
            }
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
        let mut index = match customer < self.options.pinned_customers {
            true => customer,
            false => self.rng.random_range(0..self.instances.len()),
        };
        // A restarted instance takes requests once it has joined.
        while !self.instances[index].is_member {
            index = self.rng.random_range(0..self.instances.len());
        }
        let size = self.draw_size();
        self.stats.requests_in_outage += u64::from(self.is_store_down());
        match self.reserve(index, customer, size) {
            Ok(()) => {}
            Err(ReserveError::Insufficient { retry: true, .. }) => {
                let number = self.next_number;
                let waiting = WaitingRequest {
                    number,
                    customer,
                    size,
                };
                self.instances[index].waiting.push(waiting);
                self.push(self.now + TOKEN_WAIT, Event::WaitDeadline(index, number));
                self.handle_ledger_event(index, LedgerEvent::Tick);
            }
            Err(_) => {
                self.refuse(index, customer, size);
                self.handle_ledger_event(index, LedgerEvent::Tick);
            }
        }
    }

    fn draw_size(&mut self) -> RequestSize {
        let options = &self.options;
        let is_small =
            options.small_requests > 0 && self.rng.random_range(0..options.small_requests) == 0;
        let divisor = if is_small { 10 } else { 1 };
        RequestSize {
            reservation: options.reservation / divisor,
            cost: options.cost / divisor,
        }
    }

    fn reserve(
        &mut self,
        index: usize,
        customer: usize,
        size: RequestSize,
    ) -> Result<(), ReserveError> {
        let holder = self.holder(index);
        let instance = &mut self.instances[index];
        let amount = TokenCount::new(size.reservation);
        let reservation = instance
            .ledger
            .reserve(instance.keys[customer], amount, self.now)?;
        self.stats.served += 1;
        self.billed[customer] += size.cost;
        let event = Event::Settle(holder, reservation, size.cost);
        self.push(self.now + REQUEST_TIME, event);
        Ok(())
    }

    fn refuse(&mut self, index: usize, customer: usize, size: RequestSize) {
        let instance = &mut self.instances[index];
        let amount = TokenCount::new(size.reservation);
        instance
            .ledger
            .cancel_demand(instance.keys[customer], amount);
        self.stats.refused += 1;
        if self.billed[customer] + size.reservation <= self.paid_tokens(customer) {
            let second = self.now.as_micros() / 1_000_000;
            *self.stats.refused_falsely.entry(second).or_default() += 1;
        }
        self.stats.refused_in_outage += u64::from(self.is_store_down());
    }

    fn handle_deadline(&mut self, index: usize, number: u64) {
        let waiting = &mut self.instances[index].waiting;
        if let Some(slot) = waiting.iter().position(|waiting| waiting.number == number) {
            let WaitingRequest { customer, size, .. } = waiting.remove(slot);
            self.refuse(index, customer, size);
        }
    }

    fn handle_ledger_event(&mut self, index: usize, event: LedgerEvent) {
        let instance = &mut self.instances[index];
        let effects = instance.ledger.handle(event, self.now);
        let needs_tick = instance.ledger.has_demand() && !instance.has_demand_tick;
        let holder = instance.ledger.holder().clone();
        if needs_tick {
            instance.has_demand_tick = true;
            self.push(self.now + DEMAND_TICK, Event::DemandTick(holder.clone()));
        }
        let is_store_down = self.is_store_down();
        for effect in effects {
            match effect {
                LedgerEffect::ReadShard { shard, .. } | LedgerEffect::WriteShard { shard, .. }
                    if is_store_down =>
                {
                    let event = LedgerEvent::PlatformDown { shard };
                    let event = Event::StoreResponse(holder.clone(), event);
                    let delay = Duration::from_millis(self.options.failure_ms);
                    self.push(self.now + delay, event);
                }
                LedgerEffect::ReadShard { shard, .. } => {
                    let event = Event::Read(holder.clone(), shard);
                    self.push(self.now + STORE_CALL_TIME / 2, event);
                }
                LedgerEffect::WriteShard {
                    shard,
                    expected_version,
                    value,
                } => {
                    let event = Event::Write(holder.clone(), shard, expected_version, value);
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
        let loss = self.options.loss;
        if loss > 0 && self.rng.random_range(0..loss) == 0 {
            return;
        }
        let from = self.instances[from].ledger.holder().clone();
        let to = to.clone();
        let event = Event::Message { from, to, message };
        self.push(self.now + MESSAGE_DELAY, event);
    }

    fn wake(&mut self, index: usize, budget: BudgetKey) {
        let waiting = std::mem::take(&mut self.instances[index].waiting);
        let mut is_short = false;
        for request in waiting {
            if self.instances[index].keys[request.customer] != budget {
                self.instances[index].waiting.push(request);
            } else if self.reserve(index, request.customer, request.size).is_err() {
                self.instances[index].waiting.push(request);
                is_short = true;
            }
        }
        if is_short {
            self.handle_ledger_event(index, LedgerEvent::Tick);
        }
    }
}
