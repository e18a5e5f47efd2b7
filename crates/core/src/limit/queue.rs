//! Bounded admission queue of one model with fair queueing among customers.

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

/// Default limit on the number of waiting requests.
const DEFAULT_ENTRIES_MAX: usize = 512;
/// Default limit on the waiting time. Some callers wait for minutes; a longer queue would only
/// delay every response.
const DEFAULT_WAIT_MAX: Duration = Duration::from_secs(10);
/// Virtual time per token at weight 1; greater than 1 to keep precision at weights above 1.
const VIRTUAL_PER_TOKEN: f64 = 1_000.0;
/// Number of flows without waiting requests that are kept.
const IDLE_FLOWS_MAX: usize = 64;
/// Minimum weight, which prevents starvation.
const WEIGHT_MIN: f64 = 0.01;
/// Time constant of the average drain rate.
const RATE_WINDOW: Duration = Duration::from_secs(5);

new_key_type! {
    /// Identifies a waiting request.
    pub struct TicketKey;
}

/// Priority among the waiting requests of one customer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Admitted before the other requests of the customer.
    High,
    /// The default priority.
    #[default]
    Normal,
    /// Admitted after the other requests of the customer.
    Low,
}

impl Priority {
    pub(super) const COUNT: usize = 3;

    pub(super) const fn index(self) -> usize {
        match self {
            Self::High => 0,
            Self::Normal => 1,
            Self::Low => 2,
        }
    }
}

/// Options of [`AdmissionQueue`].
#[derive(Clone, Debug, PartialEq)]
pub struct QueueOptions {
    /// Maximum number of waiting requests at capacity 1.
    pub entries_max: usize,
    /// Relative capacity of this instance, which scales `entries_max`.
    pub capacity: f64,
    /// Expected time from admission to completion; a request with less time left is refused.
    pub service_time: Duration,
    /// Maximum waiting time, regardless of the deadline.
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

/// Request that is offered to an [`AdmissionQueue`].
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRequest {
    /// The customer whose fair share of the queue the request counts against.
    pub customer: CustomerName,
    /// Weight of the customer relative to others; normally 1.
    pub weight: f64,
    /// Priority among the requests of the customer.
    pub priority: Priority,
    /// Expected cost, in tokens.
    pub cost: u64,
    /// Time by which the response must be complete.
    pub deadline: MonotonicTime,
}

/// Refusal of a request by an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// `Overloaded`, or `DeadlineExceeded` if the deadline cannot be met even without waiting.
    pub kind: ErrorKind,
    /// Estimated time after which the same request may be accepted.
    pub retry_after: Duration,
}

/// Outcome of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEffect {
    /// The request is admitted and must be started.
    Admit(TicketKey),
    /// The request is refused without having run.
    Refuse(TicketKey, AdmissionRefusal),
}

/// Snapshot of an [`AdmissionQueue`] for the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueueSnapshot {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Maximum number of waiting requests.
    pub bound: usize,
    /// Total cost of the waiting requests, in tokens.
    pub cost: u64,
    /// Measured drain rate, in tokens per second.
    pub rate: f64,
    /// Total cost of the waiting requests by customer, in tokens.
    pub customers: Vec<(CustomerName, u64)>,
}

#[derive(Clone, Debug)]
struct Ticket {
    request: QueueRequest,
    /// Deadline, or the end of the longest wait if that is earlier.
    expires: MonotonicTime,
}

/// Bounded queue of the requests that wait for one model.
///
/// Capacity is shared among customers by start-time fair queueing over token costs: the request
/// with the smallest virtual start time is admitted next, and advances the start time of its
/// customer's next request by cost / weight. A customer below its share therefore never waits for
/// the backlog of another. If the queue is full, the last request of the customer with the largest
/// weighted backlog is evicted.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    options: QueueOptions,
    tickets: SlotMap<TicketKey, Ticket>,
    flows: HashMap<CustomerName, CustomerFlow>,
    /// Customers with waiting requests, by virtual start time.
    active_flows: BTreeSet<(u64, CustomerName)>,
    /// Virtual start time of the request that was admitted last.
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
            active_flows: BTreeSet::new(),
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

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the time at which [`AdmissionQueue::poll`] must be called even without free
    /// capacity.
    #[must_use]
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Adds a request, and returns its key with the request that is evicted for it, if any.
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

    /// Admits up to `free` requests, and refuses those whose deadline cannot be met any more or
    /// that have waited too long.
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

    /// Records that a request of `cost` tokens was started, whether or not it had waited.
    ///
    /// The drain rate is measured only while requests are waiting. Without a queue it equals the
    /// arrival rate, which would lead to false refusals in a sudden load spike.
    pub fn record_start(&mut self, cost: u64, now: MonotonicTime) {
        if self.tickets.is_empty() {
            self.rate.discard_sample();
        } else {
            self.rate.record(cost, now);
        }
    }

    /// Removes a waiting request whose caller has disconnected. Returns whether it was waiting.
    pub fn cancel(&mut self, key: TicketKey) -> bool {
        self.remove(key).is_some()
    }

    /// Sets the expected time from admission to completion.
    pub fn set_service_time(&mut self, service_time: Duration) {
        self.options.service_time = service_time;
    }

    /// Returns a snapshot for the state dump.
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

    /// Returns the expected waiting time of a new request.
    #[must_use]
    pub fn expected_wait(&self, request: &QueueRequest) -> Duration {
        let rate = self.rate.per_second();
        if self.tickets.is_empty() || rate <= 0.0 {
            return Duration::ZERO;
        }
        // Until the backlog of this customer is served, every other customer is served at most its
        // weighted share, and at most its own backlog.
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
        self.remove_idle_flows();
        let flow = self.flows.entry(customer.clone()).or_default();
        if flow.is_empty() {
            flow.start = flow.start.max(self.virtual_now);
            self.active_flows.insert((flow.start, customer));
        }
        flow.weight = weight;
        flow.push(priority, key, cost);
        key
    }

    /// Removes the request with the smallest virtual start time.
    fn take_next(&mut self) -> Option<TicketKey> {
        let (start, customer) = self.active_flows.pop_first()?;
        self.virtual_now = self.virtual_now.max(start);
        let flow = self.flows.get_mut(&customer)?;
        let key = flow.first()?;
        let cost = self.tickets[key].request.cost as f64;
        flow.start = start.saturating_add((cost * VIRTUAL_PER_TOKEN / flow.weight) as u64);
        self.active_flows.insert((flow.start, customer));
        self.remove(key);
        Some(key)
    }

    /// Removes flows that have no waiting requests and are not ahead of the virtual time.
    fn remove_idle_flows(&mut self) {
        let idle = self.flows.len().saturating_sub(self.active_flows.len());
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
                self.active_flows
                    .remove(&(flow.start, request.customer.clone()));
            }
        }
        Some(request)
    }
}

/// Drain rate as an exponential moving average.
#[derive(Clone, Debug, Default)]
struct DrainRate {
    rate: f64,
    pending: u64,
    since: Option<MonotonicTime>,
}

impl DrainRate {
    /// Minimum duration of one sample.
    const STEP: Duration = Duration::from_millis(250);

    fn record(&mut self, cost: u64, now: MonotonicTime) {
        let since = *self.since.get_or_insert(now);
        self.pending += cost;
        let elapsed = now.since(since);
        if elapsed < Self::STEP {
            return;
        }
        let sample = self.pending as f64 / elapsed.as_secs_f64();
        let decay = (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
        self.rate = if self.rate > 0.0 {
            self.rate * decay + sample * (1.0 - decay)
        } else {
            sample
        };
        self.pending = 0;
        self.since = Some(now);
    }

    fn discard_sample(&mut self) {
        self.pending = 0;
        self.since = None;
    }

    fn per_second(&self) -> f64 {
        self.rate
    }
}
