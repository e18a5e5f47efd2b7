//! Upstream dispatcher: upstream selection, admission queues, retry budget and crash table behind
//! one mutex.

mod attempt;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use cornelarch_core::{
    base::{CustomerName, DomainName, InstanceName, MonotonicTime, UpstreamName},
    blocklist::{
        CrashEffect, CrashEntry, CrashOptions, CrashReport, CrashTable, CrashVerdict, Fingerprint,
        FlightKey,
        content::{
            BlockedContent, ContentKey, ContentOptions, ContentReport, ContentTable, CrashName,
        },
    },
    config::{Document, UpstreamKind, UpstreamState},
    error::ErrorKind,
    limit::{AdmissionQueue, QueueEffect, QueueOptions, QueueRequest, QueueSnapshot, TicketKey},
    retry::{
        AttemptOutcome, AttemptState, RetryBudget, RetryBudgetOptions, RetryDecision, RetryPolicy,
        spread_delay,
    },
    routing::{
        AttemptKey, InstanceState, LoadReport, RouteRequest, RouteTarget, RoutingOptions,
        SelectError, SubsetOptions, TableSnapshot, UpstreamSpec, UpstreamTable,
    },
};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

pub(crate) use attempt::UpstreamAttempt;

use crate::{
    process::{PollClass, PollPlan, RouterState},
    request::RequestRefusal,
};

/// Queued requests that one admission pass tries to start; bounds the time under the lock.
const ADMISSIONS_PER_CALL: usize = 64;

/// Describes a request that needs an upstream.
#[derive(Clone, Debug)]
pub(crate) struct DispatchRequest {
    /// Routing requirements of the request.
    pub(crate) route: RouteRequest,
    /// What crashes of upstreams are charged to.
    pub(crate) identity: RequestIdentity,
    /// Attributes that determine the position in the admission queue.
    pub(crate) queue: QueueRequest,
}

/// What crashes of upstreams are charged to.
#[derive(Clone, Debug)]
pub(crate) struct RequestIdentity {
    /// Stands for all equal requests of one customer.
    pub(crate) fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: Arc<[ContentKey]>,
}

/// Reports about crashes to the peers.
#[derive(Debug, Default)]
pub(crate) struct DispatchReports {
    pub(crate) crashes: Vec<CrashReport>,
    pub(crate) content: ContentReport,
}

/// Describes a started attempt, for use after the lock is released.
#[derive(Debug)]
struct StartedWork {
    work: AttemptKey,
    flight: FlightKey,
    upstream: UpstreamName,
    address: SocketAddr,
    losses: u64,
    parts: Arc<[ContentKey]>,
    cancel: CancellationToken,
}

/// Outcome of waiting in the admission queue.
type QueueResult = Result<UpstreamAttempt, RequestRefusal>;

/// Holds a queued request and the channel on which its task waits.
#[derive(Debug)]
struct QueuedRequest {
    request: DispatchRequest,
    answer: oneshot::Sender<QueueResult>,
}

/// Holds the admission queue of one model or service.
#[derive(Debug)]
struct TargetQueue {
    queue: AdmissionQueue,
    tickets: HashMap<TicketKey, QueuedRequest>,
}

/// Holds the address of an upstream and the number of times that it was lost.
#[derive(Clone, Copy, Debug)]
struct UpstreamEndpoint {
    address: SocketAddr,
    losses: u64,
}

#[derive(Debug)]
struct DispatcherState {
    table: UpstreamTable,
    configured: bool,
    endpoints: HashMap<UpstreamName, UpstreamEndpoint>,
    queues: HashMap<RouteTarget, TargetQueue>,
    queue_options: QueueOptions,
    retry: RetryBudget,
    policy: RetryPolicy,
    crash: CrashTable,
    content: ContentTable,
    /// Distinguishes the losses that this router counts from those of others.
    incarnation: u64,
    flights: HashMap<FlightKey, CancellationToken>,
    generator: StdRng,
}

/// Selects upstreams for requests and records the outcomes of attempts.
#[derive(Debug)]
pub(crate) struct UpstreamDispatcher {
    inner: Mutex<DispatcherState>,
}

impl UpstreamDispatcher {
    /// Creates a dispatcher without upstreams.
    pub(crate) fn new(domain: DomainName, capacity: f64) -> Self {
        Self {
            inner: Mutex::new(DispatcherState {
                table: UpstreamTable::new(RoutingOptions::new(domain)),
                configured: false,
                endpoints: HashMap::new(),
                queues: HashMap::new(),
                queue_options: QueueOptions {
                    capacity,
                    ..QueueOptions::default()
                },
                retry: RetryBudget::new(RetryBudgetOptions::default()),
                policy: RetryPolicy::default(),
                crash: CrashTable::new(CrashOptions::default()),
                content: ContentTable::new(ContentOptions::default()),
                incarnation: rand::rng().random(),
                flights: HashMap::new(),
                generator: StdRng::from_os_rng(),
            }),
        }
    }

    /// Applies the upstreams and limits of a configuration document.
    pub(crate) fn apply(&self, document: &Document, now: MonotonicTime) {
        let specs: Vec<UpstreamSpec> = document
            .upstreams
            .iter()
            .map(|(name, section)| UpstreamSpec {
                name: name.clone(),
                domain: section.domain.clone(),
                kind: match section.kind {
                    UpstreamKind::Engine => cornelarch_core::routing::UpstreamKind::Engine,
                    UpstreamKind::Service => cornelarch_core::routing::UpstreamKind::Service,
                },
                models: section.models.clone(),
                service: section.service.clone(),
                concurrency: u32::try_from(section.concurrency).unwrap_or(u32::MAX),
                leaving: section.state == UpstreamState::Leaving,
            })
            .collect();
        let mut inner = self.inner.lock();
        if !std::mem::replace(&mut inner.configured, true) {
            inner.open_tables(document);
        }
        inner.table.apply(&specs, now);
        inner.queue_options.entries_max =
            usize::try_from(document.limits.queue_requests).unwrap_or(usize::MAX);
        inner.endpoints = document
            .upstreams
            .iter()
            .map(|(name, section)| {
                let losses = inner
                    .endpoints
                    .get(name)
                    .map_or(0, |endpoint| endpoint.losses);
                let endpoint = UpstreamEndpoint {
                    address: section.address,
                    losses,
                };
                (name.clone(), endpoint)
            })
            .collect();
        inner
            .retry
            .retain_customers(|customer| document.customers.contains_key(customer));
    }

    /// Sets the number of routers that share the upstreams.
    pub(crate) fn set_routers(&self, routers: usize) {
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        self.inner.lock().table.set_routers(routers);
    }

    /// Sets the live routers of the own domain.
    pub(crate) fn set_members(&self, instance: InstanceName, members: Vec<InstanceName>) {
        self.inner.lock().table.set_members(instance, members);
    }

    /// Returns the upstreams to poll and the poll period.
    pub(crate) fn poll_plan(&self, class: PollClass, load_poll: Duration) -> PollPlan {
        let inner = self.inner.lock();
        let subset = inner.table.subset();
        let options = SubsetOptions {
            load_poll,
            ..inner.table.options().subset.clone()
        };
        match class {
            PollClass::Regular => PollPlan {
                upstreams: subset.regular.keys().cloned().collect(),
                period: subset.poll_period(&options),
            },
            PollClass::Rare => PollPlan {
                upstreams: subset.rare.iter().cloned().collect(),
                period: options.remote_poll,
            },
        }
    }

    /// Returns the fingerprint of the request or of the part of its prompt that is blocked because
    /// it crashed upstreams.
    pub(crate) fn find_blocked(
        &self,
        identity: &RequestIdentity,
        now: MonotonicTime,
    ) -> Option<Fingerprint> {
        let mut inner = self.inner.lock();
        if inner.crash.verdict(identity.fingerprint, now) == CrashVerdict::Blocked {
            return Some(identity.fingerprint);
        }
        if inner.content.has_changed() {
            inner.content.evaluate(now);
        }
        let blocked = inner.content.find_blocked(&identity.parts);
        blocked.map(|content| content.key.fingerprint)
    }

    /// Adds a first attempt to the retry budget.
    pub(crate) fn first_attempt(&self, customer: &CustomerName, target: &RouteTarget) {
        self.inner
            .lock()
            .retry
            .record_first_attempt(customer, target);
    }

    /// Decides whether to retry a failed attempt, and charges the retry budget if so.
    pub(crate) fn decide(
        &self,
        outcome: AttemptOutcome,
        state: &AttemptState,
        customer: &CustomerName,
        target: &RouteTarget,
        now: MonotonicTime,
    ) -> RetryDecision {
        let mut inner = self.inner.lock();
        let inner = &mut *inner;
        let decision = inner
            .policy
            .decide(outcome, state, now, &mut inner.generator);
        match decision {
            RetryDecision::Retry { .. } if !inner.retry.try_retry(customer, target) => {
                RetryDecision::GiveUp(RetryPolicy::error(outcome, state))
            }
            decision => decision,
        }
    }

    /// Records a load report of an upstream.
    pub(crate) fn load_report(
        &self,
        upstream: &UpstreamName,
        report: LoadReport,
        now: MonotonicTime,
    ) {
        self.inner.lock().table.load_report(upstream, report, now);
    }

    /// Records the state of an upstream in the platform's instance list.
    pub(crate) fn instance_state(&self, upstream: &UpstreamName, state: InstanceState) {
        self.inner.lock().table.instance_state(upstream, state);
    }

    /// Merges the crash report of a peer.
    pub(crate) fn merge_report(&self, report: &CrashReport, now: MonotonicTime) {
        let mut inner = self.inner.lock();
        let effects = inner.crash.merge(report, now);
        inner.run_crash_effects(effects);
    }

    /// Merges the report of a peer about parts of prompts; returns the answer for the peers.
    pub(crate) fn merge_content(
        &self,
        report: &ContentReport,
        now: MonotonicTime,
    ) -> ContentReport {
        self.inner.lock().content.merge(report, now)
    }

    /// Clears the crash record of a request or of a part of a prompt; returns the reports for peers.
    pub(crate) fn unblock(&self, fingerprint: Fingerprint, now: MonotonicTime) -> DispatchReports {
        let mut inner = self.inner.lock();
        let effects = inner.crash.unblock(fingerprint, now);
        DispatchReports {
            crashes: inner.run_crash_effects(effects),
            content: inner.content.unblock(fingerprint, now),
        }
    }

    /// Removes expired entries of the crash tables.
    pub(crate) fn expire(&self, now: MonotonicTime) {
        let mut inner = self.inner.lock();
        inner.crash.expire(now);
        inner.content.expire(now);
    }

    /// Returns the blocked parts of prompts.
    pub(crate) fn blocked_content(&self, now: MonotonicTime) -> Vec<BlockedContent> {
        let mut inner = self.inner.lock();
        inner.content.evaluate(now);
        inner.content.blocked().cloned().collect()
    }

    /// Returns a snapshot of the upstream table.
    pub(crate) fn table_snapshot(&self, now: MonotonicTime) -> TableSnapshot {
        self.inner.lock().table.snapshot(now)
    }

    /// Returns the entries of suspected and blocked requests.
    pub(crate) fn crash_snapshot(&self, now: MonotonicTime) -> Vec<CrashEntry> {
        self.inner.lock().crash.snapshot(now)
    }

    /// Returns a snapshot of every admission queue with its target.
    pub(crate) fn queue_snapshots(&self) -> Vec<(String, QueueSnapshot)> {
        let inner = self.inner.lock();
        let queues = inner.queues.iter();
        queues
            .map(|(target, queue)| (target.to_string(), queue.queue.snapshot()))
            .collect()
    }

    /// Selects an upstream, or waits in the admission queue until one is free.
    ///
    /// # Errors
    ///
    /// Returns [`RequestRefusal`] if the upstream table or the queue refuses the request.
    /// Nothing has been sent to an upstream in this case.
    pub(crate) async fn acquire(
        &self,
        state: &Arc<RouterState>,
        request: DispatchRequest,
    ) -> Result<UpstreamAttempt, RequestRefusal> {
        let target = request.route.target.clone();
        let (ticket, answer) = {
            let now = state.clock.now();
            let mut inner = self.inner.lock();
            let is_first = inner
                .queues
                .get(&target)
                .is_none_or(|queue| queue.queue.is_empty());
            let result = if is_first {
                inner.start(&request, now)
            } else {
                Err(SelectError::Full {
                    target: target.clone(),
                })
            };
            match result {
                Ok(started) => {
                    return Ok(UpstreamAttempt::new(state, target, started));
                }
                Err(SelectError::Full { .. }) => inner.enqueue(request, now)?,
                Err(error) => return Err(refuse_selection(&error)),
            }
        };
        // Admission outside of the lock answers the requests that this one displaced.
        self.admit_queued(state, &target);
        let guard = TicketGuard {
            dispatcher: self,
            target: &target,
            ticket,
        };
        let answer = answer.await;
        drop(guard);
        match answer {
            Ok(answer) => answer,
            Err(_) => Err(RequestRefusal::new(
                ErrorKind::Overloaded,
                "the queue gave the request up",
            )),
        }
    }

    /// Starts queued requests while upstreams are free, and refuses those that have timed out.
    pub(crate) fn admit_queued(&self, state: &Arc<RouterState>, target: &RouteTarget) {
        let now = state.clock.now();
        // Dropping an attempt locks the dispatcher, so attempts of disconnected callers are dropped
        // after the lock is released.
        let abandoned = self.inner.lock().admit_queued(state, target, now);
        drop(abandoned);
    }

    /// Runs [`admit_queued`](Self::admit_queued) for every target with queued requests.
    pub(crate) fn admit_all_queued(&self, state: &Arc<RouterState>) {
        let targets: Vec<RouteTarget> = {
            let inner = self.inner.lock();
            let waiting = inner
                .queues
                .iter()
                .filter(|(_, queue)| !queue.queue.is_empty());
            waiting.map(|(target, _)| target.clone()).collect()
        };
        for target in targets {
            self.admit_queued(state, &target);
        }
    }

    fn finish(
        &self,
        started: &StartedWork,
        outcome: AttemptOutcome,
        connection_lost: bool,
        now: MonotonicTime,
    ) -> DispatchReports {
        let mut inner = self.inner.lock();
        inner.table.finished(started.work, outcome, now);
        inner.flights.remove(&started.flight);
        let content = match outcome {
            AttemptOutcome::Answered => inner.content.record_answer(&started.parts, now),
            _ if connection_lost => {
                // Routers count the losses of an upstream for themselves.
                let number = inner.incarnation.wrapping_add(started.losses);
                let crash = CrashName::new(&started.upstream, Some(number));
                inner.content.record_crash(&crash, &started.parts, now)
            }
            _ => ContentReport::default(),
        };
        let effects = match outcome {
            AttemptOutcome::Answered => inner.crash.answered(started.flight, now),
            _ if connection_lost => inner.charge_loss(started, now),
            _ => {
                inner.crash.ended(started.flight);
                Vec::new()
            }
        };
        DispatchReports {
            crashes: inner.run_crash_effects(effects),
            content,
        }
    }
}

impl DispatcherState {
    /// Creates the tables with the options of the first configuration document. The options of a
    /// table are fixed, so later changes take effect at the next start.
    fn open_tables(&mut self, document: &Document) {
        let limits = &document.limits;
        self.table = UpstreamTable::new(RoutingOptions {
            remote_penalty: Duration::from_millis(limits.remote_penalty_ms),
            ..self.table.options().clone()
        });
        self.crash = CrashTable::new(CrashOptions {
            losses_max: u32::try_from(limits.block_losses).unwrap_or(u32::MAX),
            block: Duration::from_secs(limits.block_s),
            ..CrashOptions::default()
        });
        self.content = ContentTable::new(ContentOptions {
            block: Duration::from_secs(limits.block_s),
            ..ContentOptions::default()
        });
        self.retry = RetryBudget::new(RetryBudgetOptions {
            ratio: limits.retry_percent as f64 / 100.0,
            ..RetryBudgetOptions::default()
        });
    }

    /// Selects an upstream and records the start of an attempt. Upstreams that the crash table
    /// excludes for a suspected request are left out.
    fn start(
        &mut self,
        request: &DispatchRequest,
        now: MonotonicTime,
    ) -> Result<StartedWork, SelectError> {
        let route = &request.route;
        let usable = self.table.usable(&route.target, now).filter(|name| {
            let allowed = route.allowed.as_ref();
            allowed.is_none_or(|allowed| allowed.contains(name)) && !route.excluded.contains(name)
        });
        let suspects = self
            .crash
            .excluded(request.identity.fingerprint, usable, now);
        let selection = if suspects.is_empty() {
            self.table
                .select(&request.route, now, &mut self.generator)?
        } else {
            let mut route = request.route.clone();
            route.excluded.extend(suspects);
            self.table.select(&route, now, &mut self.generator)?
        };
        let endpoint = self.endpoints.get(&selection.upstream).copied();
        let endpoint = endpoint.ok_or_else(|| SelectError::UnknownTarget {
            target: request.route.target.clone(),
        })?;
        let work = self.table.started(selection.key, &request.route, now);
        let flight = self
            .crash
            .started(request.identity.fingerprint, &selection.upstream, now);
        let cancel = CancellationToken::new();
        self.flights.insert(flight, cancel.clone());
        if let Some(queue) = self.queues.get_mut(&request.route.target) {
            queue.queue.record_start(request.queue.cost, now);
        }
        Ok(StartedWork {
            work,
            flight,
            upstream: selection.upstream,
            address: endpoint.address,
            losses: endpoint.losses,
            parts: Arc::clone(&request.identity.parts),
            cancel,
        })
    }

    fn enqueue(
        &mut self,
        request: DispatchRequest,
        now: MonotonicTime,
    ) -> Result<(TicketKey, oneshot::Receiver<QueueResult>), RequestRefusal> {
        let options = &self.queue_options;
        let entry = self
            .queues
            .entry(request.route.target.clone())
            .or_insert_with(|| TargetQueue {
                queue: AdmissionQueue::new(options.clone()),
                tickets: HashMap::new(),
            });
        let offer = entry.queue.offer(request.queue.clone(), now);
        let (ticket, effects) = offer.map_err(|refusal| {
            RequestRefusal::new(refusal.kind, "every upstream is busy and the queue is long")
                .retry_after(refusal.retry_after.as_secs())
        })?;
        entry.refuse(effects);
        let (answer, receiver) = oneshot::channel();
        entry
            .tickets
            .insert(ticket, QueuedRequest { request, answer });
        Ok((ticket, receiver))
    }

    /// Starts queued requests; returns the attempts whose caller has disconnected.
    fn admit_queued(
        &mut self,
        state: &Arc<RouterState>,
        target: &RouteTarget,
        now: MonotonicTime,
    ) -> Vec<UpstreamAttempt> {
        let (mut abandoned, mut ineligible) = (Vec::new(), Vec::new());
        for _ in 0..ADMISSIONS_PER_CALL {
            let free = self.table.free_slots(target, now).min(1);
            let Some(ticket) = self.take_ticket(target, free, now) else {
                break;
            };
            match self.start(&ticket.request, now) {
                Ok(started) => {
                    let attempt = UpstreamAttempt::new(state, target.clone(), started);
                    abandoned.extend(ticket.answer.send(Ok(attempt)).err().and_then(Result::ok));
                }
                // The request may not use the free upstream, so the next request is tried.
                Err(SelectError::Full { .. }) => ineligible.push(ticket),
                // Sending fails only if the caller has disconnected.
                Err(error) => drop(ticket.answer.send(Err(refuse_selection(&error)))),
            }
        }
        for ticket in ineligible {
            self.requeue(ticket, now);
        }
        abandoned
    }

    /// Dequeues the next request whose caller is still connected, and refuses those that have timed
    /// out.
    fn take_ticket(
        &mut self,
        target: &RouteTarget,
        free: usize,
        now: MonotonicTime,
    ) -> Option<QueuedRequest> {
        let entry = self.queues.get_mut(target)?;
        loop {
            let effects = entry.queue.poll(free, now);
            let admitted = effects.iter().find_map(|effect| match effect {
                QueueEffect::Admit(ticket) => Some(*ticket),
                QueueEffect::Refuse(..) => None,
            });
            entry.refuse(effects);
            let ticket = entry.tickets.remove(&admitted?)?;
            if !ticket.answer.is_closed() {
                return Some(ticket);
            }
        }
    }

    /// Puts a request that may not use the free upstream back into the queue.
    fn requeue(&mut self, ticket: QueuedRequest, now: MonotonicTime) {
        let Some(entry) = self.queues.get_mut(&ticket.request.route.target) else {
            return;
        };
        match entry.queue.offer(ticket.request.queue.clone(), now) {
            Ok((key, effects)) => {
                entry.refuse(effects);
                entry.tickets.insert(key, ticket);
            }
            Err(refusal) => {
                let _ = ticket.answer.send(Err(RequestRefusal::new(
                    refusal.kind,
                    "no permitted upstream is free",
                )));
            }
        }
    }

    /// Records the loss of an upstream, unless another attempt has already reported the same loss.
    fn charge_loss(&mut self, started: &StartedWork, now: MonotonicTime) -> Vec<CrashEffect> {
        let endpoint = self.endpoints.get_mut(&started.upstream);
        match endpoint {
            Some(endpoint) if endpoint.losses == started.losses => endpoint.losses += 1,
            _ => {
                self.crash.ended(started.flight);
                return Vec::new();
            }
        }
        self.crash.upstream_lost(&started.upstream, now)
    }

    /// Cancels the attempts of blocked requests and returns the reports for peers.
    fn run_crash_effects(&mut self, effects: Vec<CrashEffect>) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for effect in effects {
            match effect {
                CrashEffect::Report(report) => reports.push(report),
                CrashEffect::Cancel(flight) => {
                    if let Some(cancel) = self.flights.get(&flight) {
                        cancel.cancel();
                    }
                }
            }
        }
        reports
    }
}

impl TargetQueue {
    /// Sends the refusals of the queue to the waiting tasks.
    fn refuse(&mut self, effects: Vec<QueueEffect>) {
        for effect in effects {
            if let QueueEffect::Refuse(ticket, refusal) = effect
                && let Some(ticket) = self.tickets.remove(&ticket)
            {
                let refusal = RequestRefusal::new(refusal.kind, "the request waited too long")
                    .retry_after(refusal.retry_after.as_secs());
                // Sending fails only if the caller has disconnected.
                let _ = ticket.answer.send(Err(refusal));
            }
        }
    }
}

fn refuse_selection(error: &SelectError) -> RequestRefusal {
    let refusal = RequestRefusal::new(error.kind(), error.to_string());
    match error {
        SelectError::Unusable {
            retry_after: Some(delay),
            ..
        } => {
            let delay = spread_delay(*delay, rand::rng().random());
            refusal.retry_after(delay.as_secs_f64().ceil() as u64)
        }
        _ => refusal,
    }
}

/// Removes a request from the queue if its caller disconnects while it waits.
struct TicketGuard<'a> {
    dispatcher: &'a UpstreamDispatcher,
    target: &'a RouteTarget,
    ticket: TicketKey,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.dispatcher.inner.lock();
        let ticket = inner.queues.get_mut(self.target).and_then(|entry| {
            entry.queue.cancel(self.ticket);
            entry.tickets.remove(&self.ticket)
        });
        drop(inner);
        drop(ticket);
    }
}
