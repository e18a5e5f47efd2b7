//! Driver that runs one request through the state machines of the crate.

use std::time::Duration;

use cornelarch_core::{
    base::{CustomerName, ModelName, MonotonicTime, UpstreamName},
    blocklist::{CrashEffect, CrashOptions, CrashReport, CrashTable, CrashVerdict, Fingerprint},
    error::{ErrorKind, RunState},
    limit::{AdmissionQueue, Priority, QueueEffect, QueueOptions, QueueRequest},
    retry::{
        AttemptOutcome, AttemptState, RetryBudget, RetryBudgetOptions, RetryDecision, RetryOptions,
        RetryPolicy,
    },
    routing::{
        AttemptKey, InstanceState, LoadReport, RouteRequest, RouteTarget, RoutingOptions,
        Selection, UpstreamSpec, UpstreamTable,
    },
    stream::{
        AttemptNumber, StreamAssembler, StreamChunk, StreamEffect, StreamEvent, StreamId,
        StreamOptions,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    Fault, Step,
    script::{ANSWER_CHUNKS, AttemptScript, script},
};

/// Id of the request under test.
pub(crate) const TEST_REQUEST: u64 = 1;
/// Id of another request that is in flight at the same upstream.
const OTHER_REQUEST: u64 = 2;
/// Names of the upstreams that serve the model.
const UPSTREAMS: [&str; 4] = ["e1", "e2", "e3", "e4"];
/// Virtual time between two events.
const STEP_TIME: Duration = Duration::from_millis(5);

/// Properties of the request under test.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellOptions {
    pub(crate) idempotent: bool,
    pub(crate) resumable: bool,
    pub(crate) seed: u64,
}

/// Chunk that was delivered to the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delivered {
    pub(crate) request: u64,
    pub(crate) attempt: u32,
    pub(crate) sequence: u64,
}

/// Combines the state machines in the same way as the daemon.
pub(crate) struct RequestDriver {
    fault: Fault,
    step: Step,
    options: CellOptions,
    table: UpstreamTable,
    queue: AdmissionQueue,
    crashes: CrashTable,
    budget: RetryBudget,
    policy: RetryPolicy,
    assembler: StreamAssembler<Delivered>,
    rng: ChaCha8Rng,
    now: MonotonicTime,
    request: RouteRequest,
    customer: CustomerName,
    /// Chunks that were delivered to the caller.
    pub(crate) delivered: Vec<Delivered>,
    may_have_run: u32,
    crashed_upstreams: u32,
    completions: u32,
    late_chunks: Vec<StreamChunk<Delivered>>,
}

impl RequestDriver {
    pub(crate) fn new(fault: Fault, step: Step, options: CellOptions) -> Self {
        let model = ModelName::new("m");
        let target = RouteTarget::Model(model.clone());
        let now = MonotonicTime::from_millis(1);
        let mut table = UpstreamTable::new(RoutingOptions::new("d1".into()));
        let spec =
            |name: &&str| UpstreamSpec::engine((*name).into(), "d1".into(), vec![model.clone()]);
        table.apply(&UPSTREAMS.iter().map(spec).collect::<Vec<_>>(), now);
        let customer = CustomerName::new("c");
        let mut budget = RetryBudget::new(RetryBudgetOptions::default());
        for _ in 0..40 {
            budget.record_first_attempt(&customer, &target);
        }
        Self {
            fault,
            step,
            options,
            table,
            queue: AdmissionQueue::new(QueueOptions::default()),
            crashes: CrashTable::new(CrashOptions::default()),
            budget,
            policy: RetryPolicy::new(RetryOptions {
                attempts: 4,
                ..RetryOptions::default()
            }),
            assembler: StreamAssembler::new(StreamId(TEST_REQUEST), StreamOptions::default()),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            now,
            request: RouteRequest::new(target),
            customer,
            delivered: Vec::new(),
            may_have_run: 0,
            crashed_upstreams: 0,
            completions: 0,
            late_chunks: Vec::new(),
        }
    }

    /// Runs the request until it completes or fails.
    pub(crate) fn run(&mut self) -> Result<(), ErrorKind> {
        self.wait_in_queue()?;
        let target = self.request.target.clone();
        self.budget.record_first_attempt(&self.customer, &target);
        for attempt in 1.. {
            let outcome = self.attempt(attempt)?;
            let state = AttemptState {
                attempts: attempt,
                idempotent: self.options.idempotent,
                may_have_run: self.may_have_run > 0,
                delivered: self.assembler.next_sequence(),
                resumable: self.options.resumable,
                deadline: self.now + Duration::from_secs(30),
            };
            match self.policy.decide(outcome, &state, self.now, &mut self.rng) {
                RetryDecision::Done => break,
                RetryDecision::Retry { after } => {
                    if !self.budget.try_retry(&self.customer, &target) {
                        return Err(RetryPolicy::error(outcome, &state));
                    }
                    self.now = self.now + after;
                }
                RetryDecision::GiveUp(kind) => return Err(kind),
            }
        }
        self.inject_late_events();
        Ok(())
    }

    fn fingerprint() -> Fingerprint {
        Fingerprint::from_bits(u128::from(TEST_REQUEST))
    }

    fn wait_in_queue(&mut self) -> Result<(), ErrorKind> {
        let request = QueueRequest {
            customer: self.customer.clone(),
            weight: 1.0,
            priority: Priority::Normal,
            cost: 100,
            deadline: self.now + Duration::from_secs(30),
        };
        let (ticket, _) = self
            .queue
            .offer(request, self.now)
            .map_err(|refusal| refusal.kind)?;
        if self.step == Step::Queued {
            self.inject_queued_fault();
        }
        let free = self.table.free_slots(&self.request.target, self.now);
        let effects = self.queue.poll(free, self.now);
        assert_eq!(effects, [QueueEffect::Admit(ticket)]);
        Ok(())
    }

    /// Injects faults that occur while the request is waiting.
    fn inject_queued_fault(&mut self) {
        if self.fault == Fault::Leaving {
            let report = LoadReport {
                leaving: true,
                ..LoadReport::default()
            };
            for upstream in ["e1", "e3"] {
                self.table.load_report(&upstream.into(), report, self.now);
            }
            self.table
                .instance_state(&"e2".into(), InstanceState::Leaving);
        }
        if self.fault == Fault::CrashByRequest {
            for upstream in ["e1", "e2"] {
                let report = CrashReport {
                    fingerprint: Self::fingerprint(),
                    upstream: upstream.into(),
                    losses: 1,
                };
                self.crashes.merge(&report, self.now);
            }
        }
    }

    fn attempt(&mut self, attempt: u32) -> Result<AttemptOutcome, ErrorKind> {
        let selection = self.select(attempt)?;
        let name = selection.upstream;
        if self.fault == Fault::Leaving && self.step == Step::Queued {
            assert_eq!(name, "e4".into(), "a leaving upstream was selected");
        }
        let script = script(
            self.fault,
            self.step,
            attempt,
            self.assembler.next_sequence(),
        );
        let work = self.table.started(selection.key, &self.request, self.now);
        if let Some(outcome) = script.before_send {
            self.finish(work, &name, outcome);
            return Ok(outcome);
        }
        let flight = self.crashes.started(Self::fingerprint(), &name, self.now);
        if attempt == 1 {
            let other_request = Fingerprint::from_bits(u128::from(OTHER_REQUEST));
            self.crashes.started(other_request, &name, self.now);
        }
        let outcome = self.play(attempt, &script, work);
        if outcome.run_state() != RunState::NotRun {
            self.may_have_run += 1;
        }
        self.finish(work, &name, outcome);
        if script.loses_upstream {
            self.lose_upstream(&name);
        } else if outcome == AttemptOutcome::Answered {
            self.crashes.answered(flight, self.now);
        } else {
            self.crashes.ended(flight);
        }
        Ok(outcome)
    }

    fn select(&mut self, attempt: u32) -> Result<Selection, ErrorKind> {
        let fingerprint = Self::fingerprint();
        // If the request may have run before it was blocked, the error must not say `not_run`.
        if self.crashes.verdict(fingerprint, self.now) == CrashVerdict::Blocked {
            return Err(match self.may_have_run {
                0 => ErrorKind::RequestBlocked,
                _ => ErrorKind::UpstreamLost,
            });
        }
        let tried = &self.request.excluded;
        let usable = self.table.usable(&self.request.target, self.now);
        let usable = usable.filter(|name| !tried.contains(name));
        let forbidden = self.crashes.excluded(fingerprint, usable, self.now);
        let mut request = self.request.clone();
        request.excluded.extend(forbidden);
        let selection = self.table.select(&request, self.now, &mut self.rng);
        let selection = selection.unwrap_or_else(|error| panic!("attempt {attempt}: {error}"));
        if self.fault == Fault::Leaving && attempt == 1 && self.step >= Step::Sent {
            self.table
                .instance_state(&selection.upstream, InstanceState::Leaving);
        }
        Ok(selection)
    }

    /// Runs the script of the upstream and returns the outcome of the attempt.
    fn play(&mut self, attempt: u32, script: &AttemptScript, work: AttemptKey) -> AttemptOutcome {
        let mut outcome = None;
        self.handle(
            StreamEvent::AttemptStarted(AttemptNumber(attempt)),
            &mut outcome,
        );
        for sequence in &script.chunks {
            self.now = self.now + STEP_TIME;
            self.table.first_token(work, self.now);
            self.handle(
                StreamEvent::Chunk(chunk(OTHER_REQUEST, attempt, *sequence)),
                &mut outcome,
            );
            self.handle(
                StreamEvent::Chunk(chunk(TEST_REQUEST, attempt, *sequence)),
                &mut outcome,
            );
            // Late chunks of the previous attempt are interleaved with those of this one.
            if let Some(late_chunk) = self.late_chunks.pop() {
                self.handle(StreamEvent::Chunk(late_chunk), &mut outcome);
            }
        }
        self.late_chunks.extend(
            script
                .late_chunks
                .iter()
                .map(|sequence| chunk(TEST_REQUEST, attempt, *sequence)),
        );
        self.now = self.now + STEP_TIME;
        if self.assembler.is_closed() {
            return AttemptOutcome::Answered;
        }
        let ended = StreamEvent::Ended {
            attempt: AttemptNumber(attempt),
            outcome: script.end,
        };
        self.handle(ended, &mut outcome);
        outcome.expect("an ended attempt has an outcome")
    }

    fn handle(&mut self, event: StreamEvent<Delivered>, outcome: &mut Option<AttemptOutcome>) {
        for effect in self.assembler.handle(event, self.now) {
            match effect {
                StreamEffect::Deliver { payload, .. } => self.delivered.push(payload),
                StreamEffect::Complete => self.completions += 1,
                StreamEffect::Cancel(_) => {}
                StreamEffect::AttemptLost { outcome: lost, .. } => *outcome = Some(lost),
            }
        }
    }

    fn finish(&mut self, work: AttemptKey, name: &UpstreamName, outcome: AttemptOutcome) {
        self.table.finished(work, outcome, self.now);
        self.table.finished(work, outcome, self.now);
        self.request.excluded.push(name.clone());
    }

    /// Reports the loss of the upstream twice, as happens with two connections.
    fn lose_upstream(&mut self, name: &UpstreamName) {
        self.crashed_upstreams += 1;
        for _ in 0..2 {
            for effect in self.crashes.upstream_lost(name, self.now) {
                assert!(matches!(effect, CrashEffect::Report(_)));
            }
        }
    }

    /// Injects events that arrive after the response is complete.
    fn inject_late_events(&mut self) {
        let mut outcome = None;
        let last = StreamEvent::Chunk(chunk(TEST_REQUEST, 1, ANSWER_CHUNKS - 1));
        self.handle(last, &mut outcome);
        self.handle(StreamEvent::Tick, &mut outcome);
        let ended = StreamEvent::Ended {
            attempt: AttemptNumber(1),
            outcome: AttemptOutcome::LostMidStream,
        };
        self.handle(ended, &mut outcome);
        assert_eq!(outcome, None, "a complete response was reported as lost");
    }

    /// Checks that an error does not misreport whether the request ran.
    pub(crate) fn check_error(&self, kind: ErrorKind) {
        if kind.answer().run == RunState::NotRun {
            assert_eq!(self.may_have_run, 0, "{kind:?} was reported as not_run");
            assert!(self.delivered.is_empty());
        }
        assert_eq!(self.completions, 0, "a failed response was completed");
    }

    /// Checks the invariants that hold for every combination of fault and step.
    pub(crate) fn check_invariants(&self) {
        if !self.options.idempotent {
            assert!(self.may_have_run <= 1, "a non-idempotent request ran again");
        }
        assert!(self.completions <= 1, "the response was completed twice");
        assert!(
            self.crashed_upstreams <= 2,
            "{} upstreams were lost",
            self.crashed_upstreams
        );
        let other_request = Fingerprint::from_bits(u128::from(OTHER_REQUEST));
        let verdict = self.crashes.verdict(other_request, self.now);
        assert_ne!(
            verdict,
            CrashVerdict::Blocked,
            "a request that did not cause the crashes was blocked"
        );
        if self.crashed_upstreams == 2 {
            assert_eq!(
                verdict,
                CrashVerdict::Clear,
                "a request is still under suspicion although the loss is explained"
            );
        }
        assert_eq!(
            self.table.snapshot(self.now).in_flight,
            0,
            "an attempt was not finished"
        );
        assert!(self.queue.is_empty());
    }
}

fn chunk(request: u64, attempt: u32, sequence: u64) -> StreamChunk<Delivered> {
    StreamChunk {
        stream: StreamId(request),
        attempt: AttemptNumber(attempt),
        sequence,
        payload: Delivered {
            request,
            attempt,
            sequence,
        },
        last: sequence == ANSWER_CHUNKS - 1,
    }
}
