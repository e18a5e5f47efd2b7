//! Simulation of one order at two routers in virtual time, with one fault at one step.

use std::{sync::Arc, time::Duration};

use cornelarch_core::{
    base::{HolderId, InstanceName, MonotonicTime},
    error::{ErrorKind, RunState},
    order::{
        ClaimId, ClaimTable, LocalClaim, OrderCall, OrderEffect, OrderEvent, OrderOptions,
        OrderRecord, OrderState, RequestDigest, StoredAnswer, VersionedRecord,
    },
};

use crate::{Cell, Delivery, Fault, OrderStep as Step, Variant};

const NETWORK_DELAY: Duration = Duration::from_millis(5);
const UPSTREAM_LATENCY: Duration = Duration::from_millis(50);
const FAULT_DURATION: Duration = Duration::from_secs(8);
const SLOW_CALL_DELAY: Duration = Duration::from_millis(1_500);
/// Delay of a late write: it arrives between the read after a lost answer and the following write.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(22);
/// Duration of a router pause; longer than the validity of a claim.
const PAUSE_DURATION: Duration = Duration::from_secs(7_200);
/// Times in milliseconds and routers at which the caller repeats the order.
const REPEATS: [(u64, usize); 2] = [(20_000, 1), (40_000, 0)];
/// Times in milliseconds and routers of the last repeats, after the end of every fault, including
/// two pauses.
const FINAL_REPEATS: [(u64, usize); 2] = [(18_000_000, 1), (18_060_000, 0)];

#[derive(Clone, Debug)]
enum Item {
    Open(usize),
    Event(usize, OrderEvent),
    Read(usize),
    Write(Option<usize>, u64, OrderRecord),
    Execute(usize, Delivery),
}

struct Attempt {
    router: usize,
    call: Option<OrderCall>,
    waits_for: Option<ClaimId>,
    reply: Option<Result<Vec<u8>, ErrorKind>>,
    executed: u32,
}

struct Router {
    epoch: u64,
    table: ClaimTable,
    paused_until: MonotonicTime,
    partitioned_until: MonotonicTime,
}

pub(crate) struct OrderSimulation {
    cell: Cell<Step>,
    variant: Variant,
    now: MonotonicTime,
    routers: Vec<Router>,
    attempts: Vec<Attempt>,
    queue: Vec<(MonotonicTime, Item)>,
    record: Option<VersionedRecord>,
    version: u64,
    slow_until: MonotonicTime,
    injected: u32,
    executions: u8,
}

impl OrderSimulation {
    pub(crate) fn new(cell: Cell<Step>, variant: Variant) -> Self {
        let start = MonotonicTime::START;
        let router = |epoch| Router {
            epoch,
            table: ClaimTable::new(),
            paused_until: start,
            partitioned_until: start,
        };
        let opened = REPEATS.iter().chain(&FINAL_REPEATS);
        let opened = opened.map(|(at, router)| (MonotonicTime::from_millis(*at), *router));
        let opened = std::iter::once((start, 0)).chain(opened);
        Self {
            cell,
            variant,
            now: start,
            routers: vec![router(1), router(2)],
            attempts: Vec::new(),
            queue: opened
                .map(|(at, router)| (at, Item::Open(router)))
                .collect(),
            record: None,
            version: 0,
            slow_until: start,
            injected: 0,
            executions: 0,
        }
    }

    /// Runs the order and its repeats with the fault until no event is left.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        loop {
            let items = self.queue.iter().enumerate();
            let next = items.min_by_key(|(_, (at, item))| self.due(*at, item));
            let Some((position, _)) = next else {
                break;
            };
            let (at, item) = self.queue.remove(position);
            self.now = self.now.max(self.due(at, &item));
            self.handle_item(item);
            self.resume_waiting_attempts();
            self.check()?;
        }
        if self.injected == 0 {
            return Err("the step of the cell did not occur".into());
        }
        self.check_final_repeats()
    }

    /// Returns when an item is handled; items of a paused router are delayed until it resumes.
    fn due(&self, at: MonotonicTime, item: &Item) -> MonotonicTime {
        match item {
            Item::Event(attempt, _) => {
                at.max(self.routers[self.attempts[*attempt].router].paused_until)
            }
            Item::Open(router) => at.max(self.routers[*router].paused_until),
            Item::Read(_) | Item::Write(..) | Item::Execute(..) => at,
        }
    }

    fn push(&mut self, delay: Duration, item: Item) {
        self.queue.push((self.now + delay, item));
    }

    fn open(&mut self, router: usize) {
        let index = self.attempts.len();
        let holder = HolderId::new(
            InstanceName::new(["r0", "r1"][router]),
            self.routers[router].epoch,
        );
        let digest = RequestDigest::new("service", "POST", "/orders", b"one");
        let options = Arc::new(OrderOptions::default());
        let claim = ClaimId(index as u128 + 1);
        let (call, effect) = OrderCall::open(options, holder, claim, digest, 0, self.now);
        self.routers[router].table.track(&call);
        self.attempts.push(Attempt {
            router,
            call: Some(call),
            waits_for: None,
            reply: None,
            executed: 0,
        });
        self.execute_effect(index, effect);
    }

    fn handle_item(&mut self, item: Item) {
        match item {
            Item::Open(router) => self.open(router),
            Item::Event(attempt, event) => self.handle_event(attempt, event),
            Item::Read(attempt) => {
                let (record, local) = (self.record.clone(), LocalClaim::Unknown);
                let event = OrderEvent::RecordRead { record, local };
                self.push(NETWORK_DELAY, Item::Event(attempt, event));
            }
            Item::Write(attempt, expected, record) => {
                let event = self.write(expected, record);
                if let Some(attempt) = attempt {
                    self.push(NETWORK_DELAY, Item::Event(attempt, event));
                }
            }
            Item::Execute(attempt, delivery) => self.execute(attempt, delivery),
        }
    }

    fn write(&mut self, expected: u64, record: OrderRecord) -> OrderEvent {
        let current = self.record.as_ref().map_or(0, |found| found.version);
        if expected != current {
            return OrderEvent::Conflict;
        }
        self.version += 1;
        let version = self.version;
        self.record = Some(VersionedRecord { version, record });
        OrderEvent::Written { version }
    }

    fn execute(&mut self, index: usize, delivery: Delivery) {
        let mut event = OrderEvent::UpstreamLost(ErrorKind::UpstreamLost);
        if delivery != Delivery::Lost {
            self.executions += 1;
            self.attempts[index].executed += 1;
        }
        if delivery == Delivery::Normal {
            let (headers, body) = (Vec::new(), vec![self.executions]);
            let status = 200;
            let answer = StoredAnswer {
                status,
                headers,
                body,
            };
            event = OrderEvent::UpstreamAnswered(Arc::new(answer));
        }
        self.push(UPSTREAM_LATENCY, Item::Event(index, event));
    }

    /// Passes an event to an attempt, unless its router has crashed in the meantime.
    fn handle_event(&mut self, index: usize, mut event: OrderEvent) {
        let router = self.attempts[index].router;
        if self.attempts[index].call.is_none() {
            return;
        }
        let is_claiming =
            self.attempts[index].executed == 0 && self.attempts[index].reply.is_none();
        let step = match &event {
            OrderEvent::Written { .. } if is_claiming => Some(Step::ClaimConfirmed),
            OrderEvent::UpstreamAnswered(_) => Some(Step::Answered),
            _ => None,
        };
        // Like the daemon, looks up the claim when the result of the read arrives.
        if let OrderEvent::RecordRead { record, local } = &mut event
            && let Some(found) = record
        {
            *local = self.routers[router].table.lookup(found.record.claim);
        }
        let injected = self.injected;
        match self.inject_fault(step, index) {
            Delivery::AnswerLost => event = OrderEvent::WriteUnknown,
            Delivery::Lost => event = OrderEvent::UpstreamLost(ErrorKind::UpstreamLost),
            Delivery::Doubled => self.push(NETWORK_DELAY, Item::Event(index, event.clone())),
            Delivery::Normal | Delivery::Late => {}
        }
        if self.injected > injected && self.now < self.routers[router].paused_until {
            return self.push(NETWORK_DELAY, Item::Event(index, event));
        }
        let Some(mut call) = self.attempts[index].call.take() else {
            return;
        };
        let effect = call.handle(event, self.now);
        self.routers[router].table.track(&call);
        self.attempts[index].call = Some(call);
        self.execute_effect(index, effect);
    }

    fn execute_effect(&mut self, index: usize, effect: OrderEffect) {
        let router = self.attempts[index].router;
        let step = match &effect {
            OrderEffect::WriteRecord { record, .. } => match record.state {
                OrderState::Claimed if router == 1 && self.cell.step == Step::RepeatElsewhere => {
                    Some(Step::RepeatElsewhere)
                }
                OrderState::Claimed => Some(Step::ClaimSent),
                OrderState::Answered(_) => Some(Step::AnswerRecorded),
                OrderState::AnsweredTooLarge { .. } | OrderState::FailedBeforeSend => None,
            },
            OrderEffect::SendUpstream { .. } => Some(Step::SentUpstream),
            _ => None,
        };
        let delivery = self.inject_fault(step, index);
        let delay = match self.now < self.slow_until {
            true => SLOW_CALL_DELAY,
            false => NETWORK_DELAY,
        };
        let is_partitioned =
            self.now < self.routers[router].partitioned_until && delivery != Delivery::AnswerLost;
        match effect {
            OrderEffect::WriteRecord { .. } | OrderEffect::ReadRecord if is_partitioned => {
                self.push(NETWORK_DELAY, Item::Event(index, OrderEvent::PlatformDown));
            }
            OrderEffect::WriteRecord {
                expected_version: expected,
                record,
            } => self.send_write(index, expected, record, delivery, delay),
            OrderEffect::ReadRecord => self.push(delay, Item::Read(index)),
            OrderEffect::SendUpstream { .. } => {
                self.push(NETWORK_DELAY, Item::Execute(index, delivery))
            }
            OrderEffect::WaitClaim(claim) => self.attempts[index].waits_for = Some(claim),
            OrderEffect::Answer(answer) => {
                self.attempts[index].reply = Some(Ok(answer.body.clone()));
                self.push(NETWORK_DELAY, Item::Event(index, OrderEvent::Delivered));
            }
            OrderEffect::Refuse(kind) => {
                self.attempts[index].reply = Some(Err(kind));
                self.push(NETWORK_DELAY, Item::Event(index, OrderEvent::Delivered));
            }
            OrderEffect::Pause(pause) => {
                self.push(pause, Item::Event(index, OrderEvent::PauseEnded));
            }
            OrderEffect::Done => self.attempts[index].call = None,
        }
    }

    fn send_write(
        &mut self,
        index: usize,
        expected: u64,
        record: OrderRecord,
        delivery: Delivery,
        delay: Duration,
    ) {
        let is_lost = matches!(delivery, Delivery::AnswerLost | Delivery::Late);
        if is_lost {
            self.push(delay * 2, Item::Event(index, OrderEvent::WriteUnknown));
            if self.variant == Variant::Broken && record.state == OrderState::Claimed {
                self.executions += 1;
                self.attempts[index].executed += 1;
            }
        }
        let delay = match delivery {
            Delivery::Late if self.injected == 1 => LATE_WRITE_DELAY,
            Delivery::Late => SLOW_CALL_DELAY,
            _ => delay,
        };
        let attempt = (!is_lost).then_some(index);
        self.push(delay, Item::Write(attempt, expected, record));
    }

    /// Resumes attempts that waited for a claim whose call is no longer in progress.
    fn resume_waiting_attempts(&mut self) {
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            let table = &self.routers[attempt.router].table;
            let is_over = attempt
                .waits_for
                .is_some_and(|claim| table.lookup(claim) != LocalClaim::Running);
            if is_over {
                self.attempts[index].waits_for = None;
                self.push(NETWORK_DELAY, Item::Event(index, OrderEvent::ClaimEnded));
            }
        }
    }

    /// Injects the fault if this is the step of the cell.
    fn inject_fault(&mut self, step: Option<Step>, index: usize) -> Delivery {
        let is_over = self.now >= MonotonicTime::from_millis(FINAL_REPEATS[0].0);
        if step != Some(self.cell.step) || self.injected >= self.cell.occurrences || is_over {
            return Delivery::Normal;
        }
        self.injected += 1;
        let (until, router) = (self.now + FAULT_DURATION, self.attempts[index].router);
        match self.cell.fault {
            Fault::PlatformPartition => {
                self.routers[router].partitioned_until = until;
                // The write in transit takes effect, but its answer is lost.
                if self.cell.step.is_write() {
                    return Delivery::AnswerLost;
                }
            }
            Fault::PlatformOutage => {
                let routers = self.routers.iter_mut();
                routers.for_each(|router| router.partitioned_until = until);
            }
            Fault::RouterCrash => self.crash(router),
            Fault::ClientRetry | Fault::ConflictingWrite => self.open(1 - router),
            Fault::SlowPlatform => self.slow_until = until,
            Fault::LostWriteAnswer | Fault::UpstreamCrash => return Delivery::AnswerLost,
            Fault::LateWrite => return Delivery::Late,
            Fault::PausedHolder => self.routers[router].paused_until = self.now + PAUSE_DURATION,
            Fault::LostMessage => return Delivery::Lost,
            Fault::DoubledMessage => return Delivery::Doubled,
            Fault::DomainPartition
            | Fault::PeerPartition
            | Fault::DoubledTopUp
            | Fault::RacingRelease
            | Fault::OneSidedTopUp => {}
        }
        Delivery::Normal
    }

    fn crash(&mut self, router: usize) {
        self.routers[router].epoch += 10;
        self.routers[router].table = ClaimTable::new();
        let attempts = self.attempts.iter_mut();
        for attempt in attempts.filter(|attempt| attempt.router == router) {
            (attempt.call, attempt.waits_for) = (None, None);
        }
    }

    /// Checks that the order ran at most once and that every reply is correct.
    fn check(&self) -> Result<(), String> {
        if self.executions > 1 {
            return Err(format!("the order ran {} times", self.executions));
        }
        for attempt in &self.attempts {
            match &attempt.reply {
                Some(Err(kind))
                    if kind.answer().run == RunState::NotRun && attempt.executed > 0 =>
                {
                    return Err(format!("{kind:?} reports not_run for a call that ran"));
                }
                Some(Ok(body)) if *body != [1] => return Err(format!("answer {body:?}")),
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks that the repeats after the end of all faults get the answer, unless its only copy was
    /// lost.
    fn check_final_repeats(&self) -> Result<(), String> {
        let is_excused = matches!(
            self.cell.fault,
            Fault::RouterCrash | Fault::UpstreamCrash | Fault::LostMessage
        );
        for attempt in &self.attempts[self.attempts.len() - FINAL_REPEATS.len()..] {
            let unknown = Some(Err(ErrorKind::OrderStateUnknown));
            let is_answered = matches!(attempt.reply, Some(Ok(_)));
            if !(is_answered || is_excused && attempt.reply == unknown) {
                let reply = &attempt.reply;
                return Err(format!(
                    "a repeat after the end of all faults got {reply:?}"
                ));
            }
        }
        Ok(())
    }
}
