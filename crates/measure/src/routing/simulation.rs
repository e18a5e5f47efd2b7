//! Discrete-event simulation of one run.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use cornelarch_core::{
    base::MonotonicTime,
    limit::QueueEffect,
    retry::{AttemptOutcome, AttemptState, RetryDecision, RetryPolicy},
    routing::{AttemptKey, CacheEvent, LoadReport, SelectError, UpstreamKey},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::routing::{
    engine::{EngineJob, EngineToken, RequestId, SimulatedEngine},
    policy::PolicyKind,
    router::{RouteChoice, SimulatedRouter, customer_name},
    scenario::{Deployment, Scenario, ViewKind},
    stats::RunStats,
    workload::{RequestShape, Workload},
};

/// Virtual duration of a run, in microseconds.
const RUN_US: u64 = 300_000_000;
/// Duration of the warm-up, which is excluded from the results, in microseconds.
const WARM_UP_US: u64 = 30_000_000;
/// Period of the load reports of an engine to a router, and of the poll ticks, in microseconds.
const REPORT_PERIOD_US: u64 = 2_000_000;
/// Time at which the fault of a scenario begins, in microseconds.
const FAULT_START_US: u64 = 80_000_000;
/// Time limit for the complete answer. The longest answer takes 58 s on the slowest engine with a
/// full batch.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Delivery delay of cache events, in microseconds.
const CACHE_EVENT_DELAY_US: u64 = 1_000_000;
/// Fraction of cache events that are lost.
const CACHE_EVENT_LOSS_RATE: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    StepEnd {
        engine: usize,
        epoch: u32,
    },
    Report {
        router: usize,
        engine: usize,
    },
    PollTick {
        router: usize,
    },
    CacheChanged {
        engine: usize,
        digest: u64,
        is_stored: bool,
    },
    Retry {
        request: RequestId,
    },
    Deadline {
        request: RequestId,
    },
    Crash,
    Restart,
    SlowDown,
    SpeedUp,
}

/// State of a simulated request.
#[derive(Clone, Debug)]
struct SimulatedRequest {
    shape: RequestShape,
    router: usize,
    arrived_us: u64,
    sent_us: u64,
    is_open: bool,
    has_first_token: bool,
    may_have_run: bool,
    attempts: u32,
    generated_tokens: u32,
    tried: Vec<usize>,
    engine: Option<usize>,
    attempt_key: Option<AttemptKey>,
}

/// Simulation of one policy in one scenario.
pub(super) struct Simulation {
    scenario: Scenario,
    policy: PolicyKind,
    view: ViewKind,
    workload: Workload,
    one_way_latency: Duration,
    engines: Vec<SimulatedEngine>,
    routers: Vec<SimulatedRouter>,
    requests: Vec<SimulatedRequest>,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    sequence: u64,
    now_us: u64,
    rng: ChaCha8Rng,
    arrival_rng: ChaCha8Rng,
    retry: RetryPolicy,
    stats: RunStats,
}

impl Simulation {
    pub(super) fn new(
        scenario: Scenario,
        policy: PolicyKind,
        deployment: &Deployment,
        seed: u64,
    ) -> Self {
        let routers = (0..deployment.routers).map(|index| SimulatedRouter::new(index, deployment));
        let engines = deployment.engines.iter();
        Self {
            scenario,
            policy,
            view: deployment.view,
            workload: Workload::new(scenario, deployment),
            one_way_latency: deployment.one_way_latency,
            engines: engines
                .map(|(speed, domain)| SimulatedEngine::new(*speed, *domain))
                .collect(),
            routers: routers.collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now_us: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            // Arrivals use a separate generator, so that all policies see the same requests.
            arrival_rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            retry: RetryPolicy::default(),
            stats: RunStats::new(
                (RUN_US - WARM_UP_US) as f64 / 1e6 - REQUEST_TIMEOUT.as_secs_f64(),
                (RUN_US - WARM_UP_US) as f64 / 1e6,
            ),
        }
    }

    /// Runs the simulation to its end and returns the results.
    pub(super) fn run(mut self) -> RunStats {
        self.schedule_start();
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > RUN_US {
                break;
            }
            self.now_us = time;
            self.handle(event);
        }
        self.stats
    }

    fn schedule_start(&mut self) {
        self.schedule(1, SimulationEvent::Arrival);
        for router in 0..self.routers.len() {
            if self.view != ViewKind::Whole {
                let phase = self.rng.random_range(0..REPORT_PERIOD_US);
                self.schedule(phase, SimulationEvent::PollTick { router });
                continue;
            }
            for engine in 0..self.engines.len() {
                let phase = self.rng.random_range(0..REPORT_PERIOD_US);
                self.schedule(phase, SimulationEvent::Report { router, engine });
            }
        }
        match self.scenario {
            Scenario::EngineCrash => {
                self.schedule(FAULT_START_US, SimulationEvent::Crash);
                self.schedule(FAULT_START_US + 15_000_000, SimulationEvent::Restart);
            }
            Scenario::SlowEngine => {
                self.schedule(FAULT_START_US, SimulationEvent::SlowDown);
                self.schedule(FAULT_START_US + 60_000_000, SimulationEvent::SpeedUp);
            }
            _ => {}
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.handle_arrival(),
            SimulationEvent::StepEnd { engine, epoch } => self.end_step(engine, epoch),
            SimulationEvent::Report { router, engine } => {
                self.schedule(
                    self.now_us + REPORT_PERIOD_US,
                    SimulationEvent::Report { router, engine },
                );
                self.report(router, engine);
            }
            SimulationEvent::PollTick { router } => self.poll_tick(router),
            SimulationEvent::CacheChanged {
                engine,
                digest,
                is_stored,
            } => {
                let event = if is_stored {
                    CacheEvent::Stored(digest)
                } else {
                    CacheEvent::Evicted(digest)
                };
                for router in &mut self.routers {
                    router.cache_event(engine, event);
                }
            }
            SimulationEvent::Retry { request } => self.route(request),
            SimulationEvent::Deadline { request } => self.time_out(request),
            SimulationEvent::Crash => {
                for job in self.engines[0].crash(self.now_us) {
                    self.fail_lost_job(&job);
                }
            }
            SimulationEvent::Restart => self.engines[0].is_down = false,
            SimulationEvent::SlowDown => self.engines[0].speed /= 5.0,
            SimulationEvent::SpeedUp => self.engines[0].speed *= 5.0,
        }
    }

    fn handle_arrival(&mut self) {
        let gap = self
            .workload
            .interarrival_us(self.now_us, &mut self.arrival_rng);
        self.schedule(self.now_us + gap, SimulationEvent::Arrival);
        let shape = self.workload.next_request(&mut self.arrival_rng);
        let router = self.arrival_rng.random_range(0..self.routers.len());
        let request = self.requests.len();
        self.requests.push(SimulatedRequest {
            shape,
            router,
            arrived_us: self.now_us,
            sent_us: self.now_us,
            is_open: true,
            has_first_token: false,
            may_have_run: false,
            attempts: 0,
            generated_tokens: 0,
            tried: Vec::new(),
            engine: None,
            attempt_key: None,
        });
        if self.is_measured(request) {
            self.stats.requests += 1;
            self.stats.small_requests += u64::from(shape.customer != 0);
        }
        let target = self.routers[router].target.clone();
        self.routers[router]
            .budget
            .record_first_attempt(&customer_name(shape.customer), &target);
        let deadline = self.now_us + REQUEST_TIMEOUT.as_micros() as u64;
        self.schedule(deadline, SimulationEvent::Deadline { request });
        self.route(request);
    }

    fn route(&mut self, request: RequestId) {
        if !self.requests[request].is_open {
            return;
        }
        let (choice, key) = match self.policy {
            PolicyKind::Design => self.choose_design(request),
            PolicyKind::ExactCounts => (self.choose_central(request, false), None),
            PolicyKind::Omniscient => (self.choose_central(request, true), None),
            policy => {
                let SimulatedRequest { router, tried, .. } = &self.requests[request];
                let router = &mut self.routers[*router];
                let engine = router.choose_locally(policy, tried, &mut self.rng);
                (engine.map_or(RouteChoice::Refuse, RouteChoice::Send), None)
            }
        };
        match choice {
            RouteChoice::Send(engine) => self.send(request, engine, key),
            RouteChoice::Wait => {}
            RouteChoice::Refuse => self.refuse(request),
        }
    }

    fn choose_central(&self, request: RequestId, knows_prompts: bool) -> RouteChoice {
        let request_id = request;
        let request = &self.requests[request_id];
        let job = engine_job(request_id, request);
        let free = (0..self.engines.len()).filter(|engine| !request.tried.contains(engine));
        let scored = free.map(|engine| {
            (
                engine,
                self.engines[engine].expected_first_token_us(&job, knows_prompts, self.now_us),
            )
        });
        let best = scored.min_by(|left, right| left.1.total_cmp(&right.1));
        best.map_or(RouteChoice::Refuse, |(engine, _)| RouteChoice::Send(engine))
    }

    fn choose_design(&mut self, request: RequestId) -> (RouteChoice, Option<UpstreamKey>) {
        let now = self.now();
        let SimulatedRequest {
            shape,
            router,
            tried,
            arrived_us,
            ..
        } = &self.requests[request];
        let router = &mut self.routers[*router];
        let must_wait = !router.queue.is_empty() && tried.is_empty();
        let selection = if must_wait {
            Err(SelectError::Full {
                target: router.target.clone(),
            })
        } else {
            router
                .table
                .select(&router.route_request(shape, tried), now, &mut self.rng)
        };
        match selection {
            Ok(selection) => {
                let engine = router.engine_index(&selection.upstream);
                (RouteChoice::Send(engine), Some(selection.key))
            }
            Err(SelectError::Full { .. }) => {
                let deadline = MonotonicTime::from_micros(*arrived_us) + REQUEST_TIMEOUT;
                let offer = router
                    .queue
                    .offer(router.queue_request(shape, deadline), now);
                let Ok((ticket, effects)) = offer else {
                    return (RouteChoice::Refuse, None);
                };
                router.tickets.insert(ticket, request);
                let index = self.requests[request].router;
                self.apply_queue(index, effects);
                (RouteChoice::Wait, None)
            }
            Err(_) => (RouteChoice::Refuse, None),
        }
    }

    /// Admits queued requests of a router while its engines have free slots.
    fn drain_queue(&mut self, router: usize) {
        if self.policy != PolicyKind::Design {
            return;
        }
        loop {
            let now = self.now();
            let simulated = &mut self.routers[router];
            if simulated.queue.is_empty() {
                return;
            }
            let free = simulated.table.free_slots(&simulated.target, now).min(1);
            let effects = simulated.queue.poll(free, now);
            if effects.is_empty() {
                return;
            }
            self.apply_queue(router, effects);
        }
    }

    fn apply_queue(&mut self, router: usize, effects: Vec<QueueEffect>) {
        let now = self.now();
        for effect in effects {
            let simulated = &mut self.routers[router];
            match effect {
                QueueEffect::Admit(ticket) => {
                    let request = simulated
                        .tickets
                        .remove(&ticket)
                        .expect("ticket of a waiting request");
                    let SimulatedRequest { shape, tried, .. } = &self.requests[request];
                    let route = simulated.route_request(shape, tried);
                    match simulated.table.select(&route, now, &mut self.rng) {
                        Ok(selection) => {
                            let engine = simulated.engine_index(&selection.upstream);
                            self.send(request, engine, Some(selection.key));
                        }
                        Err(_) => self.refuse(request),
                    }
                }
                QueueEffect::Refuse(ticket, _) => {
                    let request = simulated
                        .tickets
                        .remove(&ticket)
                        .expect("ticket of a waiting request");
                    self.refuse(request);
                }
            }
        }
    }

    fn send(&mut self, request: RequestId, engine: usize, key: Option<UpstreamKey>) {
        let now = self.now();
        let entry = &mut self.requests[request];
        entry.attempts += 1;
        entry.engine = Some(engine);
        entry.sent_us = self.now_us;
        let router = &mut self.routers[entry.router];
        let route = router.route_request(&entry.shape, &entry.tried);
        entry.attempt_key = router.start_attempt(engine, key, &route, now);
        entry.tried.push(engine);
        let cost = u64::from(entry.shape.prompt_tokens + entry.shape.answer_tokens);
        router.queue.record_start(cost, now);
        let job = engine_job(request, entry);
        if self.engines[engine].is_down {
            self.end_attempt(request, AttemptOutcome::NotReached);
        } else if !self.engines[engine].push(job, self.now_us) {
            self.end_attempt(request, AttemptOutcome::Refused);
        } else if self.engines[engine].is_idle() {
            self.start_step(engine);
        }
    }

    fn start_step(&mut self, engine: usize) {
        let epoch = self.engines[engine].epoch;
        if let Some(end) = self.engines[engine].start_step(self.now_us) {
            self.schedule(end, SimulationEvent::StepEnd { engine, epoch });
        }
        for (digest, is_stored) in self.engines[engine].take_cache_events() {
            if self.rng.random::<f64>() < CACHE_EVENT_LOSS_RATE {
                continue;
            }
            let event = SimulationEvent::CacheChanged {
                engine,
                digest,
                is_stored,
            };
            self.schedule(self.now_us + CACHE_EVENT_DELAY_US, event);
        }
    }

    fn end_step(&mut self, engine: usize, epoch: u32) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        let tokens = self.engines[engine].end_step(self.now_us);
        self.start_step(engine);
        let mut routers = BTreeMap::new();
        for token in tokens {
            self.receive(engine, &token);
            if token.is_last {
                routers.insert(self.requests[token.job.request].router, ());
            }
        }
        for router in routers.into_keys() {
            self.drain_queue(router);
        }
    }

    fn receive(&mut self, engine: usize, token: &EngineToken) {
        let now = self.now();
        let request_id = token.job.request;
        let is_measured = self.is_measured(request_id);
        let entry = &mut self.requests[request_id];
        if !entry.is_open || entry.attempts != token.job.attempt {
            return;
        }
        entry.generated_tokens = token.job.generated_tokens;
        let router = &mut self.routers[entry.router];
        if token.is_first {
            if let Some(attempt_key) = entry.attempt_key {
                router.table.first_token(attempt_key, now);
            }
            if !std::mem::replace(&mut entry.has_first_token, true) && is_measured {
                let is_remote = router.domain != self.engines[engine].domain;
                let network = if is_remote {
                    self.one_way_latency * 2
                } else {
                    Duration::ZERO
                };
                let latency = self.now_us - entry.arrived_us + network.as_micros() as u64;
                self.stats
                    .record_first_token(latency, entry.shape.customer != 0);
            }
        }
        if token.is_last {
            self.end_attempt(request_id, AttemptOutcome::Answered);
        }
    }

    fn fail_lost_job(&mut self, job: &EngineJob) {
        self.stats.wasted_tokens += job.processed_tokens;
        let outcome = match self.requests[job.request].generated_tokens {
            0 => AttemptOutcome::LostBeforeFirst,
            _ => AttemptOutcome::LostMidStream,
        };
        self.end_attempt(job.request, outcome);
    }

    /// Records the outcome of an attempt, then completes, retries or fails the request.
    fn end_attempt(&mut self, request_id: RequestId, outcome: AttemptOutcome) {
        let now = self.now();
        let is_measured = self.is_measured(request_id);
        let entry = &mut self.requests[request_id];
        let Some(engine) = entry.engine.take() else {
            return;
        };
        let router = &mut self.routers[entry.router];
        let elapsed = Duration::from_micros(self.now_us - entry.sent_us);
        router.finish_attempt(engine, entry.attempt_key.take(), outcome, elapsed, now);
        if !entry.is_open {
            return;
        }
        entry.may_have_run |= !matches!(
            outcome,
            AttemptOutcome::NotReached | AttemptOutcome::Refused
        );
        let state = AttemptState {
            attempts: entry.attempts,
            idempotent: true,
            may_have_run: entry.may_have_run,
            delivered: u64::from(entry.generated_tokens),
            resumable: true,
            deadline: MonotonicTime::from_micros(entry.arrived_us) + REQUEST_TIMEOUT,
        };
        let customer = customer_name(entry.shape.customer);
        match self.retry.decide(outcome, &state, now, &mut self.rng) {
            RetryDecision::Done => self.complete(request_id),
            RetryDecision::Retry { after }
                if router.budget.try_retry(&customer, &router.target) =>
            {
                self.stats.retries += u64::from(is_measured);
                let due = self.now_us + after.as_micros() as u64;
                self.schedule(
                    due,
                    SimulationEvent::Retry {
                        request: request_id,
                    },
                );
            }
            RetryDecision::Retry { .. } | RetryDecision::GiveUp(_) => {
                entry.is_open = false;
                let is_refused = !entry.may_have_run;
                self.stats.refused += u64::from(is_measured && is_refused);
                self.stats.failed += u64::from(is_measured && !is_refused);
            }
        }
    }

    fn complete(&mut self, request_id: RequestId) {
        let is_measured = self.is_measured(request_id);
        let entry = &mut self.requests[request_id];
        entry.is_open = false;
        if is_measured {
            self.stats.answered += 1;
            self.stats.small_answered += u64::from(entry.shape.customer != 0);
            self.stats.goodput_tokens += u64::from(entry.shape.answer_tokens);
        }
    }

    fn refuse(&mut self, request_id: RequestId) {
        if !std::mem::replace(&mut self.requests[request_id].is_open, false) {
            return;
        }
        self.stats.refused += u64::from(self.is_measured(request_id));
    }

    fn time_out(&mut self, request_id: RequestId) {
        let now = self.now();
        if !self.requests[request_id].is_open {
            return;
        }
        self.requests[request_id].is_open = false;
        self.stats.late += u64::from(self.is_measured(request_id));
        if let Some(engine) = self.requests[request_id].engine {
            self.stats.wasted_tokens += self.engines[engine].cancel(request_id, self.now_us);
            self.end_attempt(request_id, AttemptOutcome::Cancelled);
        }
        let router = self.requests[request_id].router;
        let effects = self.routers[router].queue.poll(0, now);
        self.apply_queue(router, effects);
        self.drain_queue(router);
    }

    fn poll_tick(&mut self, router: usize) {
        self.schedule(
            self.now_us + REPORT_PERIOD_US,
            SimulationEvent::PollTick { router },
        );
        let now = self.now();
        let tick = Duration::from_micros(REPORT_PERIOD_US);
        for engine in self.routers[router].due_polls(tick, now) {
            self.report(router, engine);
        }
    }

    fn report(&mut self, router: usize, engine: usize) {
        self.stats.polls += u64::from(self.now_us >= WARM_UP_US);
        let lag = self.scenario.report_lag();
        let at = self.now_us.saturating_sub(lag.as_micros() as u64);
        if self.engines[engine].is_down {
            return;
        }
        let (running, queued) = self.engines[engine].load_at(at);
        let report = LoadReport {
            running,
            queued,
            age: lag,
            leaving: false,
        };
        let now = self.now();
        self.routers[router].load_report(engine, report, now);
        self.drain_queue(router);
    }

    fn schedule(&mut self, time_us: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.events.push(Reverse((time_us, self.sequence, event)));
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.now_us)
    }

    /// Returns whether a request counts in the results. Requests that arrive during the warm-up, or
    /// less than the time limit before the end of the run, do not.
    fn is_measured(&self, request_id: RequestId) -> bool {
        let arrived = self.requests[request_id].arrived_us;
        (WARM_UP_US..RUN_US - REQUEST_TIMEOUT.as_micros() as u64).contains(&arrived)
    }
}

fn engine_job(request_id: RequestId, request: &SimulatedRequest) -> EngineJob {
    let shape = &request.shape;
    EngineJob::new(
        request_id,
        request.attempts,
        shape.prompt_tokens,
        shape.prefix,
        request.generated_tokens,
        shape.answer_tokens,
    )
}
