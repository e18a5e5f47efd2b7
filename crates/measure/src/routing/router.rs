//! Simulated router: a routing policy on top of the state machines of the core crate.

use std::{collections::HashMap, time::Duration};

use cornelarch_core::{
    base::{CustomerName, DomainName, ModelName, MonotonicTime, UpstreamName},
    limit::{AdmissionQueue, Priority, QueueOptions, QueueRequest, TicketKey},
    retry::{AttemptOutcome, RetryBudget, RetryBudgetOptions},
    routing::{
        AttemptKey, CacheEvent, LoadReport, PollSchedule, PrefixHint, RouteRequest, RouteTarget,
        RoutingOptions, UpstreamKey, UpstreamSpec, UpstreamTable,
    },
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::routing::{
    engine::{BATCH_MAX, RequestId},
    policy::PolicyKind,
    scenario::{Deployment, ViewKind},
    workload::RequestShape,
};

/// Smoothing factor of the moving average of request durations.
const DURATION_SMOOTHING: f64 = 0.05;

/// Decision of a router on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RouteChoice {
    /// Send it to the engine with this index.
    Send(usize),
    /// Hold it in the admission queue.
    Wait,
    /// Refuse it.
    Refuse,
}

/// A simulated router.
#[derive(Debug)]
pub(super) struct SimulatedRouter {
    pub(super) domain: usize,
    pub(super) table: UpstreamTable,
    pub(super) schedule: PollSchedule,
    pub(super) queue: AdmissionQueue,
    pub(super) budget: RetryBudget,
    pub(super) tickets: HashMap<TicketKey, RequestId>,
    pub(super) target: RouteTarget,
    names: Vec<UpstreamName>,
    own_in_flight: Vec<u32>,
    next_index: usize,
    mean_duration_s: f64,
}

impl SimulatedRouter {
    pub(super) fn new(index: usize, deployment: &Deployment) -> Self {
        let domain = index % deployment.domains;
        let model = ModelName::new("m");
        let names: Vec<UpstreamName> = (0..deployment.engines.len())
            .map(|engine| format!("e{engine}").into())
            .collect();
        let specs: Vec<UpstreamSpec> = deployment
            .engines
            .iter()
            .zip(&names)
            .map(|((_, domain), name)| UpstreamSpec {
                concurrency: BATCH_MAX as u32,
                ..UpstreamSpec::engine(name.clone(), domain_name(*domain), vec![model.clone()])
            })
            .collect();
        let mut table = UpstreamTable::new(RoutingOptions {
            routers: deployment.routers as u32,
            remote_penalty: deployment.one_way_latency * 2,
            ..RoutingOptions::new(domain_name(domain))
        });
        table.apply(&specs, MonotonicTime::START);
        if deployment.view == ViewKind::Subset {
            let name = |index: usize| format!("r{index}").into();
            let members = (0..deployment.routers).map(name).collect();
            table.set_members(name(index), members);
        }
        Self {
            domain,
            table,
            schedule: PollSchedule::default(),
            queue: AdmissionQueue::new(QueueOptions::default()),
            budget: RetryBudget::new(RetryBudgetOptions::default()),
            tickets: HashMap::new(),
            target: RouteTarget::Model(model),
            own_in_flight: vec![0; names.len()],
            names,
            next_index: index,
            mean_duration_s: 0.0,
        }
    }

    /// Chooses an engine by a policy that uses only the router's own state; `None` if all engines
    /// were tried.
    pub(super) fn choose_locally(
        &mut self,
        policy: PolicyKind,
        tried: &[usize],
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let untried: Vec<usize> = (0..self.own_in_flight.len())
            .filter(|engine| !tried.contains(engine))
            .collect();
        if untried.is_empty() {
            return None;
        }
        let mut draw = || untried[rng.random_range(0..untried.len())];
        match policy {
            PolicyKind::RoundRobin => {
                self.next_index += 1;
                Some(untried[self.next_index % untried.len()])
            }
            PolicyKind::TwoChoices => {
                let (first, second) = (draw(), draw());
                let is_first = self.own_in_flight[first] <= self.own_in_flight[second];
                Some(if is_first { first } else { second })
            }
            PolicyKind::Random
            | PolicyKind::Design
            | PolicyKind::ExactCounts
            | PolicyKind::Omniscient => Some(draw()),
        }
    }

    pub(super) fn route_request(&self, shape: &RequestShape, tried: &[usize]) -> RouteRequest {
        RouteRequest {
            excluded: tried
                .iter()
                .map(|engine| self.names[*engine].clone())
                .collect(),
            prompt_tokens: shape.prompt_tokens,
            answer_tokens: shape.answer_tokens,
            prefix: shape
                .prefix
                .map(|(digest, tokens)| PrefixHint { digest, tokens }),
            ..RouteRequest::new(self.target.clone())
        }
    }

    pub(super) fn queue_request(
        &self,
        shape: &RequestShape,
        deadline: MonotonicTime,
    ) -> QueueRequest {
        QueueRequest {
            customer: customer_name(shape.customer),
            weight: 1.0,
            priority: Priority::Normal,
            cost: u64::from(shape.prompt_tokens + shape.answer_tokens),
            deadline,
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        engine: usize,
        key: Option<UpstreamKey>,
        request: &RouteRequest,
        now: MonotonicTime,
    ) -> Option<AttemptKey> {
        self.own_in_flight[engine] += 1;
        key.map(|key| self.table.started(key, request, now))
    }

    pub(super) fn finish_attempt(
        &mut self,
        engine: usize,
        attempt_key: Option<AttemptKey>,
        outcome: AttemptOutcome,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        self.own_in_flight[engine] -= 1;
        if let Some(attempt_key) = attempt_key {
            self.table.finished(attempt_key, outcome, now);
        }
        if outcome == AttemptOutcome::Answered {
            let sample = elapsed.as_secs_f64();
            self.mean_duration_s += (sample - self.mean_duration_s) * DURATION_SMOOTHING;
            self.queue
                .set_service_time(Duration::from_secs_f64(self.mean_duration_s));
        }
    }

    /// Returns the engines that are due for a poll at this tick of the poll schedule.
    pub(super) fn due_polls(&mut self, tick: Duration, now: MonotonicTime) -> Vec<usize> {
        let subset = self.table.subset();
        let names = subset.regular.keys().cloned().collect();
        let period = subset.poll_period(&self.table.options().subset);
        let due = self.schedule.tick(names, period, tick, now);
        due.iter().map(|name| self.engine_index(name)).collect()
    }

    pub(super) fn load_report(&mut self, engine: usize, report: LoadReport, now: MonotonicTime) {
        self.table.load_report(&self.names[engine], report, now);
    }

    pub(super) fn cache_event(&mut self, engine: usize, event: CacheEvent) {
        self.table.cache_event(&self.names[engine], event);
    }

    pub(super) fn engine_index(&self, name: &UpstreamName) -> usize {
        self.names
            .iter()
            .position(|other| other == name)
            .expect("the engine is listed")
    }
}

fn domain_name(domain: usize) -> DomainName {
    format!("d{domain}").into()
}

pub(super) fn customer_name(customer: usize) -> CustomerName {
    format!("c{customer}").into()
}
