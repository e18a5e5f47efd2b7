//! Bounded queue of one model, fair among customers.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::{
    base::{CustomerName, MonotonicTime},
    error::ErrorKind,
    limit::flow::CustomerFlow,
};

/// Waiting requests per queue.
const DEFAULT_ENTRIES_MAX: usize = 512;
/// Longest wait. With callers that wait for minutes, a longer queue only delays every answer.
const DEFAULT_WAIT_MAX: Duration = Duration::from_secs(10);
/// Virtual time per token at weight 1. Fractions matter for weights above 1.
const VIRTUAL_PER_TOKEN: f64 = 1_000.0;
/// Customers without waiting requests whose share is remembered.
const IDLE_FLOWS_MAX: usize = 64;
/// Smallest weight, so that no customer waits without end.
const WEIGHT_MIN: f64 = 0.01;
/// Time over which the drain rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(5);

new_key_type! {
    /// Identifies a waiting request.
    pub struct TicketKey;
}

/// Orders the waiting requests of one customer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Runs before the other requests of the customer.
    High,
    /// The default.
    #[default]
    Normal,
    /// Runs after the other requests of the customer.
    Low,
}

impl Priority {
    /// Number of priorities.
    pub(super) const COUNT: usize = 3;

    pub(super) const fn index(self) -> usize {
        match self {
            Self::High => 0,
            Self::Normal => 1,
            Self::Low => 2,
        }
    }
}

/// Configures [`AdmissionQueue`].
#[derive(Clone, Debug, PartialEq)]
pub struct QueueOptions {
    /// Largest number of waiting requests at capacity 1.
    pub entries_max: usize,
    /// Relative capacity of this instance, which scales the bound.
    pub capacity: f64,
    /// Time that a request needs after it leaves the queue; a request with less time is refused.
    pub service_time: Duration,
    /// Longest wait, whatever the deadline.
    pub wait_max: Duration,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self {
            entries_max: DEFAULT_ENTRIES_MAX,
            capacity: 1.0,
            service_time: Duration::ZERO,
            wait_max: DEFAULT_WAIT_MAX,
        }
    }
}

/// Describes a request that wants to wait.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRequest {
    /// The customer.
    pub customer: CustomerName,
    /// Share of the customer relative to others; 1 is usual.
    pub weight: f64,
    /// Order among the requests of the customer.
    pub priority: Priority,
    /// Expected cost in tokens.
    pub cost: u64,
    /// Moment by which the request must be answered.
    pub deadline: MonotonicTime,
}

/// Reports that a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// `Overloaded`, or `DeadlineExceeded` if the deadline has passed.
    pub kind: ErrorKind,
    /// Time after which the same request may be accepted.
    pub retry_after: Duration,
}

/// Lists what happens to waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEffect {
    /// The request runs now.
    Admit(TicketKey),
    /// The request is refused, and was not run.
    Refuse(TicketKey, AdmissionRefusal),
}

/// Describes a queue for the dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueueSnapshot {
    /// Waiting requests.
    pub waiting: usize,
    /// Largest number of waiting requests.
    pub bound: usize,
    /// Cost of the waiting requests, in tokens.
    pub cost: u64,
    /// Measured drain rate, in tokens per second.
    pub rate: f64,
    /// Waiting requests and their cost in tokens per customer.
    pub customers: Vec<(CustomerName, u64)>,
}

#[derive(Clone, Debug)]
struct Ticket {
    request: QueueRequest,
    /// Moment at which the request is given up unless it runs.
    expires: MonotonicTime,
}

/// Holds the waiting requests of one model.
///
/// Customers share by start-time fair queueing over token costs: the request with the smallest
/// virtual start runs next, and moves the start of its customer's next request by cost / weight.
/// A customer below its share therefore never waits for the backlog of another. If the queue is full, the
/// customer with the largest weighted backlog gives up its last request.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    options: QueueOptions,
    tickets: SlotMap<TicketKey, Ticket>,
    flows: HashMap<CustomerName, CustomerFlow>,
    /// Customers with waiting requests by virtual start.
    turns: BTreeSet<(u64, CustomerName)>,
    /// Virtual start of the request that ran last.
    virtual_now: u64,
    deadlines: BTreeSet<(MonotonicTime, TicketKey)>,
    cost: u64,
    rate: DrainRate,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(options: QueueOptions) -> Self {
        Self {
            options,
            tickets: SlotMap::with_key(),
            flows: HashMap::new(),
            turns: BTreeSet::new(),
            virtual_now: 0,
            deadlines: BTreeSet::new(),
            cost: 0,
            rate: DrainRate::default(),
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the moment at which [`AdmissionQueue::poll`] is due even without free capacity.
    #[must_use]
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Adds a request, and returns its key with the requests that give way to it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the deadline cannot be met, or if the queue is full and no other
    /// customer has a larger weighted backlog.
    pub fn offer(
        &mut self,
        request: QueueRequest,
        now: MonotonicTime,
    ) -> Result<(TicketKey, Vec<QueueEffect>), AdmissionRefusal> {
        if now + self.options.service_time >= request.deadline {
            return Err(AdmissionRefusal {
                kind: ErrorKind::DeadlineExceeded,
                retry_after: self.expected_drain(),
            });
        }
        let wait = self.expected_wait(&request);
        let is_late = now + wait + self.options.service_time > request.deadline;
        if is_late || wait > self.options.wait_max {
            return Err(self.refuse(wait));
        }
        let mut effects = Vec::new();
        if self.tickets.len() >= self.bound() {
            let victim = self.find_victim(&request);
            let Some(victim) = victim else {
                return Err(self.refuse(self.expected_drain()));
            };
            let refusal = self.refuse(self.expected_drain());
            self.remove(victim);
            effects.push(QueueEffect::Refuse(victim, refusal));
        }
        Ok((self.insert(request, now), effects))
    }

    /// Admits up to `free` requests and refuses those whose deadline cannot be met any more.
    pub fn poll(&mut self, free: usize, now: MonotonicTime) -> Vec<QueueEffect> {
        let mut effects = self.expire(now);
        for _ in 0..free {
            let Some(key) = self.take_next() else {
                break;
            };
            effects.push(QueueEffect::Admit(key));
        }
        effects
    }

    /// Records that a request of `cost` tokens started, whether or not it had waited.
    ///
    /// The drain rate is measured while requests wait only, because without a queue it equals the
    /// demand and would make a flash crowd look hopeless.
    pub fn record_start(&mut self, cost: u64, now: MonotonicTime) {
        if self.tickets.is_empty() {
            self.rate.pause();
        } else {
            self.rate.record(cost, now);
        }
    }

    /// Removes a waiting request whose caller has gone. Returns whether it was waiting.
    pub fn cancel(&mut self, key: TicketKey) -> bool {
        self.remove(key).is_some()
    }

    /// Changes the time that a request needs after it leaves the queue.
    pub fn set_service_time(&mut self, service_time: Duration) {
        self.options.service_time = service_time;
    }

    /// Returns the state of the queue for the dump.
    #[must_use]
    pub fn snapshot(&self) -> QueueSnapshot {
        let mut customers: Vec<_> = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.is_empty())
            .map(|(customer, flow)| (customer.clone(), flow.cost))
            .collect();
        customers.sort();
        QueueSnapshot {
            waiting: self.tickets.len(),
            bound: self.bound(),
            cost: self.cost,
            rate: self.rate.per_second(),
            customers,
        }
    }

    /// Returns the time that a new request is expected to wait.
    #[must_use]
    pub fn expected_wait(&self, request: &QueueRequest) -> Duration {
        let rate = self.rate.per_second();
        if self.tickets.is_empty() || rate <= 0.0 {
            return Duration::ZERO;
        }
        // Until its own backlog is served, each other customer gets at most its share of the same
        // time, and at most its own backlog.
        let weight = request.weight.max(WEIGHT_MIN);
        let own = self
            .flows
            .get(&request.customer)
            .map_or(0.0, |flow| flow.cost as f64);
        let others = self
            .flows
            .iter()
            .filter(|(customer, _)| **customer != request.customer);
        let ahead: f64 = others
            .map(|(_, flow)| (own * flow.weight / weight).min(flow.cost as f64))
            .sum();
        Duration::from_secs_f64(((own + ahead) / rate).min(3600.0))
    }

    fn bound(&self) -> usize {
        ((self.options.entries_max as f64 * self.options.capacity) as usize).max(1)
    }

    fn expected_drain(&self) -> Duration {
        let rate = self.rate.per_second();
        if rate <= 0.0 {
            return Duration::from_secs(1);
        }
        Duration::from_secs_f64((self.cost as f64 / rate).clamp(0.1, 60.0))
    }

    fn refuse(&self, retry_after: Duration) -> AdmissionRefusal {
        AdmissionRefusal {
            kind: ErrorKind::Overloaded,
            retry_after,
        }
    }

    fn find_victim(&self, request: &QueueRequest) -> Option<TicketKey> {
        let own = self
            .flows
            .get(&request.customer)
            .map_or(0, |flow| flow.cost);
        let own = (own + request.cost) as f64 / request.weight.max(WEIGHT_MIN);
        let waiting = self.flows.iter().filter(|(_, flow)| !flow.is_empty());
        let (customer, flow) = waiting.max_by(|left, right| {
            let by_cost = left.1.weighted_cost().total_cmp(&right.1.weighted_cost());
            by_cost.then_with(|| left.0.cmp(right.0))
        })?;
        if *customer == request.customer || flow.weighted_cost() <= own {
            return None;
        }
        flow.last()
    }

    fn insert(&mut self, request: QueueRequest, now: MonotonicTime) -> TicketKey {
        let customer = request.customer.clone();
        let (weight, cost) = (request.weight.max(WEIGHT_MIN), request.cost);
        let priority = request.priority;
        let expires = request
            .deadline
            .min(now + self.options.wait_max + self.options.service_time);
        let key = self.tickets.insert(Ticket { request, expires });
        self.deadlines.insert((expires, key));
        self.cost += cost;
        self.forget_idle();
        let flow = self.flows.entry(customer.clone()).or_default();
        if flow.is_empty() {
            flow.start = flow.start.max(self.virtual_now);
            self.turns.insert((flow.start, customer));
        }
        flow.weight = weight;
        flow.push(priority, key, cost);
        key
    }

    /// Takes the request with the smallest virtual start.
    fn take_next(&mut self) -> Option<TicketKey> {
        let (start, customer) = self.turns.pop_first()?;
        self.virtual_now = self.virtual_now.max(start);
        let flow = self.flows.get_mut(&customer)?;
        let key = flow.first()?;
        let cost = self.tickets[key].request.cost as f64;
        flow.start = start.saturating_add((cost * VIRTUAL_PER_TOKEN / flow.weight) as u64);
        self.turns.insert((flow.start, customer));
        self.remove(key);
        Some(key)
    }

    /// Forgets customers without waiting requests that are owed or owe nothing.
    fn forget_idle(&mut self) {
        let idle = self.flows.len().saturating_sub(self.turns.len());
        if idle > IDLE_FLOWS_MAX {
            let virtual_now = self.virtual_now;
            self.flows
                .retain(|_, flow| !flow.is_empty() || flow.start > virtual_now);
        }
    }

    fn expire(&mut self, now: MonotonicTime) -> Vec<QueueEffect> {
        let mut effects = Vec::new();
        while let Some(&(expires, key)) = self.deadlines.first() {
            let ready = now + self.options.service_time;
            if ready < expires {
                break;
            }
            let request = self.remove(key);
            let is_late = request.is_some_and(|request| request.deadline <= ready);
            let refusal = AdmissionRefusal {
                kind: if is_late {
                    ErrorKind::DeadlineExceeded
                } else {
                    ErrorKind::Overloaded
                },
                retry_after: self.expected_drain(),
            };
            effects.push(QueueEffect::Refuse(key, refusal));
        }
        effects
    }

    fn remove(&mut self, key: TicketKey) -> Option<QueueRequest> {
        let Ticket { request, expires } = self.tickets.remove(key)?;
        self.deadlines.remove(&(expires, key));
        self.cost = self.cost.saturating_sub(request.cost);
        if let Some(flow) = self.flows.get_mut(&request.customer) {
            flow.remove(request.priority, key, request.cost);
            if flow.is_empty() {
                self.turns.remove(&(flow.start, request.customer.clone()));
            }
        }
        Some(request)
    }
}

/// Measures the drain rate as an exponential average.
#[derive(Clone, Debug, Default)]
struct DrainRate {
    rate: f64,
    pending: u64,
    since: Option<MonotonicTime>,
}

impl DrainRate {
    /// Shortest time over which a new value is formed.
    const STEP: Duration = Duration::from_millis(250);

    fn record(&mut self, cost: u64, now: MonotonicTime) {
        let since = *self.since.get_or_insert(now);
        self.pending += cost;
        let elapsed = now.since(since);
        if elapsed < Self::STEP {
            return;
        }
        let sample = self.pending as f64 / elapsed.as_secs_f64();
        let keep = (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
        self.rate = if self.rate > 0.0 {
            self.rate * keep + sample * (1.0 - keep)
        } else {
            sample
        };
        self.pending = 0;
        self.since = Some(now);
    }

    fn pause(&mut self) {
        self.pending = 0;
        self.since = None;
    }

    fn per_second(&self) -> f64 {
        self.rate
    }
}
