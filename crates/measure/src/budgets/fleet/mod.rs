//! Discrete-event simulation of a fleet in virtual time: instances, peer messages, platform calls.

mod fault;
mod request;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use cornelarch_core::{
    base::{HolderId, MonotonicTime},
    budget::{BudgetMessage, LedgerEffect, LedgerEvent, ReservationKey, ShardNumber, ShardValue},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    instance::{Instance, budget_name},
    platform::FakePlatform,
    result::ResultRow,
    scenario::{PolicyCase, Scenario, ScenarioSettings},
    workload::{Request, Workload},
};

const TICK_PERIOD: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

/// Timeout of platform calls from a partitioned domain.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay until the instances detect the start or the end of a partition.
const DETECTION_DELAY: Duration = Duration::from_secs(6);

/// Fraction of write responses that are lost.
const RESPONSE_LOSS_RATE: f64 = 0.001;

/// Fraction of peer messages that are lost.
const MESSAGE_LOSS_RATE: f64 = 0.001;

/// Free balance from which a refusal counts against the target: a fraction of the paid amount, and
/// a number of mean reservations.
const TARGET_FRACTION: f64 = 0.02;
const TARGET_REQUESTS: u64 = 20;

/// Time allowed for the first draw of every instance.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// Time after the last arrival in which requests in progress complete.
const COMPLETION_PERIOD: Duration = Duration::from_secs(10);

enum Event {
    Arrival(Request),
    Completion {
        holder: HolderId,
        budget: usize,
        reservation: ReservationKey,
        request: Request,
    },
    Deadline {
        holder: HolderId,
    },
    Tick {
        holder: HolderId,
    },
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
    },
    PlatformResponse {
        holder: HolderId,
        event: LedgerEvent,
    },
    Crash,
    Restart,
    UpdatePeers,
    Partitioned(bool),
    Outage(bool),
    TopUp,
    Sample,
}

/// Simulation of one scenario under one policy.
pub(crate) struct Fleet {
    settings: ScenarioSettings,
    policy: PolicyCase,
    rng: ChaCha8Rng,
    workload: Workload,
    now: MonotonicTime,
    end: MonotonicTime,
    /// Due times and numbers of pending events. The number keeps events due at the same time in
    /// the order in which they were scheduled.
    queue: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    platform: FakePlatform,
    instances: Vec<Instance>,
    epoch: u64,
    is_partitioned: bool,
    /// Whether the instances have detected the partition of the first domain.
    is_partition_detected: bool,
    billed: Vec<u64>,
    reserved: Vec<u64>,
    lost: Vec<u64>,
    row: ResultRow,
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario, policy: PolicyCase, seed: u64) -> Self {
        let settings = scenario.settings();
        let mut fleet = Self {
            settings,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            workload: Workload::new(settings, seed),
            now: MonotonicTime::START,
            end: MonotonicTime::START + Duration::from_secs(settings.seconds),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            platform: FakePlatform::new(policy.options(&settings).shards),
            instances: Vec::new(),
            epoch: 0,
            is_partitioned: false,
            is_partition_detected: false,
            billed: vec![0; settings.budgets],
            reserved: vec![0; settings.budgets],
            lost: vec![0; settings.budgets],
            row: ResultRow::new(scenario, policy),
        };
        fleet.initialize();
        fleet
    }

    fn initialize(&mut self) {
        let settings = self.settings;
        for budget in 0..settings.budgets {
            let name = budget_name(budget);
            self.platform
                .top_up(&name, settings.paid(budget), &format!("initial/{name}"));
        }
        for index in 0..settings.instances() {
            let instance = self.new_instance(index);
            self.instances.push(instance);
        }
        self.update_peers();
        let at = |seconds: u64| MonotonicTime::START + Duration::from_secs(seconds);
        if let Some((from, to)) = settings.partition {
            self.schedule(at(from), Event::Partitioned(true));
            self.schedule(at(to), Event::Partitioned(false));
        }
        if let Some((from, to)) = settings.outage {
            self.schedule(at(from), Event::Outage(true));
            self.schedule(at(to), Event::Outage(false));
        }
        if let Some(time) = settings.top_up_at {
            self.schedule(at(time), Event::TopUp);
        }
        for (period, is_crash) in [
            (settings.crash_period, true),
            (settings.restart_period, false),
        ] {
            let times = period.into_iter().flat_map(|period| {
                (1..settings.seconds / period).map(move |number| number * period)
            });
            for time in times {
                let event = if is_crash {
                    Event::Crash
                } else {
                    Event::Restart
                };
                self.schedule(at(time), event);
            }
        }
        self.schedule(at(1), Event::Sample);
        self.schedule_arrival();
    }

    fn new_instance(&mut self, index: usize) -> Instance {
        self.epoch += 1;
        let settings = self.settings;
        let domain = index / settings.instances_per_domain;
        let options = self.policy.options(&settings);
        let instance = Instance::new(index, self.epoch, domain, settings.budgets, options);
        let holder = instance.ledger.holder().clone();
        // A random phase spreads the ticks of the instances over the tick period.
        let phase = Duration::from_micros(self.rng.random_range(0..100_000));
        self.schedule(self.now + phase, Event::Tick { holder });
        instance
    }

    fn schedule(&mut self, at: MonotonicTime, event: Event) {
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn schedule_arrival(&mut self) {
        let (gap, request) = self.workload.next_request();
        let at = self.now + gap;
        if at < self.end {
            self.schedule(at, Event::Arrival(request));
        }
    }

    /// Runs the scenario to its end and returns its counters.
    pub(crate) fn run(mut self) -> ResultRow {
        let stop = self.end + COMPLETION_PERIOD;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > stop {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.finish()
    }

    fn finish(mut self) -> ResultRow {
        let seconds = self.settings.seconds as f64;
        self.row.writes_per_s = self.platform.writes as f64 / seconds;
        self.row.reads_per_s = self.platform.reads as f64 / seconds;
        self.row.conflicts = self.platform.conflicts;
        for (budget, billed) in self.billed.iter().enumerate() {
            let paid = self.platform.totals(&budget_name(budget)).paid.get();
            self.row.overspend += billed.saturating_sub(paid);
        }
        self.row
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => {
                self.schedule_arrival();
                self.admit(request);
            }
            Event::Completion {
                holder,
                budget,
                reservation,
                request,
            } => {
                self.settle(&holder, budget, reservation, request);
            }
            Event::Deadline { holder } => self.expire_waiting(&holder),
            Event::Tick { holder } => self.tick(holder),
            Event::Message { from, to, message } => self.deliver(from, to, message),
            Event::Read { holder, shard } => {
                let event = self.platform.read(shard, self.now);
                self.respond(holder, event);
            }
            Event::Write {
                holder,
                shard,
                expected,
                value,
            } => {
                let event = self.platform.write(shard, expected, value, self.now);
                let is_lost = self.rng.random_bool(RESPONSE_LOSS_RATE);
                let event = match is_lost {
                    true => LedgerEvent::WriteUnknown { shard },
                    false => event,
                };
                self.respond(holder, event);
            }
            Event::PlatformResponse { holder, event } => self.apply_event_to(&holder, event),
            Event::Crash => self.crash(),
            Event::Restart => self.restart(),
            Event::UpdatePeers => self.update_peers(),
            Event::Partitioned(is_partitioned) => {
                self.is_partitioned = is_partitioned;
                self.schedule(self.now + DETECTION_DELAY, Event::UpdatePeers);
            }
            Event::Outage(is_unavailable) => self.platform.is_unavailable = is_unavailable,
            Event::TopUp => self.top_up(),
            Event::Sample => self.sample(),
        }
    }

    fn find_holder(&self, holder: &HolderId) -> Option<usize> {
        let mut instances = self.instances.iter();
        instances.position(|instance| instance.is_live && instance.ledger.holder() == holder)
    }

    fn apply_event_to(&mut self, holder: &HolderId, event: LedgerEvent) {
        if let Some(index) = self.find_holder(holder) {
            self.apply_event(index, event);
        }
    }

    fn apply_event(&mut self, index: usize, event: LedgerEvent) {
        let effects = self.instances[index].ledger.handle(event, self.now);
        let holder = self.instances[index].ledger.holder().clone();
        let domain = self.instances[index].domain;
        let arrival = self.now + self.settings.platform_delay(domain);
        let timeout = self.now + CALL_TIMEOUT;
        let is_partitioned = self.is_partitioned && domain == 0;
        for effect in effects {
            let holder = holder.clone();
            match effect {
                LedgerEffect::ReadShard { shard, .. } if is_partitioned => {
                    let event = LedgerEvent::PlatformDown { shard };
                    self.schedule(timeout, Event::PlatformResponse { holder, event });
                }
                LedgerEffect::WriteShard { shard, .. } if is_partitioned => {
                    let event = LedgerEvent::WriteUnknown { shard };
                    self.schedule(timeout, Event::PlatformResponse { holder, event });
                }
                LedgerEffect::ReadShard { shard, .. } => {
                    self.schedule(arrival, Event::Read { holder, shard });
                }
                LedgerEffect::WriteShard {
                    shard,
                    expected_version: expected,
                    value,
                } => {
                    self.schedule(
                        arrival,
                        Event::Write {
                            holder,
                            shard,
                            expected,
                            value,
                        },
                    );
                }
                LedgerEffect::Send { to, message } => self.send(domain, holder, to, message),
                LedgerEffect::Wake { budget } => self.retry_waiting(index, budget),
            }
        }
    }

    fn respond(&mut self, holder: HolderId, event: LedgerEvent) {
        if let Some(index) = self.find_holder(&holder) {
            let delay = self.settings.platform_delay(self.instances[index].domain);
            self.schedule(self.now + delay, Event::PlatformResponse { holder, event });
        }
    }

    fn send(&mut self, domain: usize, from: HolderId, to: HolderId, message: BudgetMessage) {
        let Some(index) = self.find_instance(&to) else {
            return;
        };
        let other = self.instances[index].domain;
        let is_partitioned = self.is_partitioned && (domain == 0) != (other == 0);
        if !is_partitioned && !self.rng.random_bool(MESSAGE_LOSS_RATE) {
            let at = self.now + self.settings.delay(domain, other);
            self.schedule(at, Event::Message { from, to, message });
        }
    }

    fn find_instance(&self, holder: &HolderId) -> Option<usize> {
        let mut instances = self.instances.iter();
        instances.position(|instance| {
            instance.is_live && instance.ledger.holder().instance == holder.instance
        })
    }

    fn deliver(&mut self, from: HolderId, to: HolderId, message: BudgetMessage) {
        if let Some(index) = self.find_instance(&to) {
            self.apply_event(index, LedgerEvent::Received { from, to, message });
        }
    }

    fn tick(&mut self, holder: HolderId) {
        let Some(index) = self.find_holder(&holder) else {
            return;
        };
        self.apply_event(index, LedgerEvent::Tick);
        let has_drained =
            self.instances[index].is_draining && self.instances[index].ledger.is_drained();
        if has_drained {
            self.instances[index] = self.new_instance(index);
            self.update_peers();
            return;
        }
        self.schedule(self.now + TICK_PERIOD, Event::Tick { holder });
    }

    /// Samples the held tokens: those that are neither available at the platform nor spent.
    fn sample(&mut self) {
        let held: u64 = (0..self.settings.budgets)
            .map(|budget| {
                let totals = self.platform.totals(&budget_name(budget));
                let unavailable = totals.paid.saturating_sub(totals.available);
                unavailable.get().saturating_sub(self.billed[budget])
            })
            .sum();
        self.row.max_held_tokens = self.row.max_held_tokens.max(held);
        if self.now < self.end {
            self.schedule(self.now + SECOND, Event::Sample);
        }
    }
}
