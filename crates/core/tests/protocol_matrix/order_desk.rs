//! One order at two routers in virtual time, with one fault at one step.

use std::{sync::Arc, time::Duration};

use cornelarch_core::{
    base::{HolderId, InstanceName, MonotonicTime},
    error::{ErrorKind, RunState},
    order::{
        ClaimId, ClaimTable, LocalClaim, OrderCall, OrderEffect, OrderEvent, OrderOptions,
        OrderRecord, OrderState, RequestDigest, StoredAnswer, VersionedRecord,
    },
};

use crate::{Cell, Fault, OrderStep as Step, Passage, Variant};

const HOP: Duration = Duration::from_millis(5);
const ANSWER_TIME: Duration = Duration::from_millis(50);
const FAULT_TIME: Duration = Duration::from_secs(8);
const SLOW_CALL: Duration = Duration::from_millis(1_500);
/// Arrives between the read after a lost answer and the write that follows it.
const LATE_WRITE: Duration = Duration::from_millis(22);
/// Longer than the validity of a claim.
const PAUSE: Duration = Duration::from_secs(7_200);
/// When the caller repeats the order at the other router, and at the first one.
const REPEATS: [(u64, usize); 2] = [(20_000, 1), (40_000, 0)];
/// When every fault is over, even after two pauses, and the order is repeated at both routers.
const PROBES: [(u64, usize); 2] = [(18_000_000, 1), (18_060_000, 0)];

#[derive(Clone, Debug)]
enum Item {
    Open(usize),
    Event(usize, OrderEvent),
    Read(usize),
    Write(Option<usize>, u64, OrderRecord),
    Execute(usize, Passage),
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
    cut_until: MonotonicTime,
}

pub(crate) struct OrderDesk {
    cell: Cell<Step>,
    variant: Variant,
    now: MonotonicTime,
    routers: Vec<Router>,
    attempts: Vec<Attempt>,
    queue: Vec<(MonotonicTime, Item)>,
    record: Option<VersionedRecord>,
    version: u64,
    slow_until: MonotonicTime,
    hits: u32,
    executions: u8,
}

impl OrderDesk {
    pub(crate) fn new(cell: Cell<Step>, variant: Variant) -> Self {
        let start = MonotonicTime::START;
        let router = |epoch| Router {
            epoch,
            table: ClaimTable::new(),
            paused_until: start,
            cut_until: start,
        };
        let opened = REPEATS.iter().chain(&PROBES);
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
            hits: 0,
            executions: 0,
        }
    }

    /// Runs the order, its repeats and the fault to the end.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        loop {
            let items = self.queue.iter().enumerate();
            let next = items.min_by_key(|(_, (at, item))| self.due(*at, item));
            let Some((place, _)) = next else {
                break;
            };
            let (at, item) = self.queue.remove(place);
            self.now = self.now.max(self.due(at, &item));
            self.handle_item(item);
            self.end_waits();
            self.check()?;
        }
        if self.hits == 0 {
            return Err("the step did not occur".into());
        }
        self.check_end()
    }

    /// Returns when an item is handled: a paused router handles nothing.
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
        self.carry_out(index, effect);
    }

    fn handle_item(&mut self, item: Item) {
        match item {
            Item::Open(router) => self.open(router),
            Item::Event(attempt, event) => self.feed(attempt, event),
            Item::Read(attempt) => {
                let (record, local) = (self.record.clone(), LocalClaim::Unknown);
                let event = OrderEvent::RecordRead { record, local };
                self.push(HOP, Item::Event(attempt, event));
            }
            Item::Write(attempt, expected, record) => {
                let event = self.write(expected, record);
                if let Some(attempt) = attempt {
                    self.push(HOP, Item::Event(attempt, event));
                }
            }
            Item::Execute(attempt, passage) => self.execute(attempt, passage),
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

    fn execute(&mut self, index: usize, passage: Passage) {
        let mut event = OrderEvent::UpstreamLost(ErrorKind::UpstreamLost);
        if passage != Passage::Lost {
            self.executions += 1;
            self.attempts[index].executed += 1;
        }
        if passage == Passage::Normal {
            let (headers, body) = (Vec::new(), vec![self.executions]);
            let status = 200;
            let answer = StoredAnswer {
                status,
                headers,
                body,
            };
            event = OrderEvent::UpstreamAnswered(Arc::new(answer));
        }
        self.push(ANSWER_TIME, Item::Event(index, event));
    }

    /// Hands an event to an attempt, unless its router crashed since.
    fn feed(&mut self, index: usize, mut event: OrderEvent) {
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
        // The claim is looked up at the moment when the read arrives, as the daemon does.
        if let OrderEvent::RecordRead { record, local } = &mut event
            && let Some(found) = record
        {
            *local = self.routers[router].table.lookup(found.record.claim);
        }
        let hits = self.hits;
        match self.reach(step, index) {
            Passage::AnswerLost => event = OrderEvent::WriteUnknown,
            Passage::Lost => event = OrderEvent::UpstreamLost(ErrorKind::UpstreamLost),
            Passage::Doubled => self.push(HOP, Item::Event(index, event.clone())),
            Passage::Normal | Passage::Late => {}
        }
        if self.hits > hits && self.now < self.routers[router].paused_until {
            return self.push(HOP, Item::Event(index, event));
        }
        let Some(mut call) = self.attempts[index].call.take() else {
            return;
        };
        let effect = call.handle(event, self.now);
        self.routers[router].table.track(&call);
        self.attempts[index].call = Some(call);
        self.carry_out(index, effect);
    }

    fn carry_out(&mut self, index: usize, effect: OrderEffect) {
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
        let passage = self.reach(step, index);
        let delay = match self.now < self.slow_until {
            true => SLOW_CALL,
            false => HOP,
        };
        let is_cut = self.now < self.routers[router].cut_until && passage != Passage::AnswerLost;
        match effect {
            OrderEffect::WriteRecord { .. } | OrderEffect::ReadRecord if is_cut => {
                self.push(HOP, Item::Event(index, OrderEvent::PlatformDown));
            }
            OrderEffect::WriteRecord {
                expected_version: expected,
                record,
            } => self.send_write(index, expected, record, passage, delay),
            OrderEffect::ReadRecord => self.push(delay, Item::Read(index)),
            OrderEffect::SendUpstream { .. } => self.push(HOP, Item::Execute(index, passage)),
            OrderEffect::WaitClaim(claim) => self.attempts[index].waits_for = Some(claim),
            OrderEffect::Answer(answer) => {
                self.attempts[index].reply = Some(Ok(answer.body.clone()));
                self.push(HOP, Item::Event(index, OrderEvent::Delivered));
            }
            OrderEffect::Refuse(kind) => {
                self.attempts[index].reply = Some(Err(kind));
                self.push(HOP, Item::Event(index, OrderEvent::Delivered));
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
        passage: Passage,
        delay: Duration,
    ) {
        let is_lost = matches!(passage, Passage::AnswerLost | Passage::Late);
        if is_lost {
            self.push(delay * 2, Item::Event(index, OrderEvent::WriteUnknown));
            if self.variant == Variant::Broken && record.state == OrderState::Claimed {
                self.executions += 1;
                self.attempts[index].executed += 1;
            }
        }
        let delay = match passage {
            Passage::Late if self.hits == 1 => LATE_WRITE,
            Passage::Late => SLOW_CALL,
            _ => delay,
        };
        let attempt = (!is_lost).then_some(index);
        self.push(delay, Item::Write(attempt, expected, record));
    }

    /// Lets attempts go on whose claim is no longer running.
    fn end_waits(&mut self) {
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            let table = &self.routers[attempt.router].table;
            let is_over = attempt
                .waits_for
                .is_some_and(|claim| table.lookup(claim) != LocalClaim::Running);
            if is_over {
                self.attempts[index].waits_for = None;
                self.push(HOP, Item::Event(index, OrderEvent::ClaimEnded));
            }
        }
    }

    /// Lets the fault strike if this is the step of the cell.
    fn reach(&mut self, step: Option<Step>, index: usize) -> Passage {
        let is_over = self.now >= MonotonicTime::from_millis(PROBES[0].0);
        if step != Some(self.cell.step) || self.hits >= self.cell.strikes || is_over {
            return Passage::Normal;
        }
        self.hits += 1;
        let (until, router) = (self.now + FAULT_TIME, self.attempts[index].router);
        match self.cell.fault {
            Fault::PlatformPartition => {
                self.routers[router].cut_until = until;
                // The write on its way takes effect, but its answer is cut off.
                if self.cell.step.is_write() {
                    return Passage::AnswerLost;
                }
            }
            Fault::PlatformOutage => {
                let routers = self.routers.iter_mut();
                routers.for_each(|router| router.cut_until = until);
            }
            Fault::RouterCrash => self.crash(router),
            Fault::ClientRetry | Fault::ConflictingWrite => self.open(1 - router),
            Fault::SlowPlatform => self.slow_until = until,
            Fault::LostWriteAnswer | Fault::UpstreamCrash => return Passage::AnswerLost,
            Fault::LateWrite => return Passage::Late,
            Fault::PausedHolder => self.routers[router].paused_until = self.now + PAUSE,
            Fault::LostMessage => return Passage::Lost,
            Fault::DoubledMessage => return Passage::Doubled,
            Fault::DomainPartition
            | Fault::PeerPartition
            | Fault::DoubledTopUp
            | Fault::RacingRelease
            | Fault::OneSidedTopUp => {}
        }
        Passage::Normal
    }

    fn crash(&mut self, router: usize) {
        self.routers[router].epoch += 10;
        self.routers[router].table = ClaimTable::new();
        let attempts = self.attempts.iter_mut();
        for attempt in attempts.filter(|attempt| attempt.router == router) {
            (attempt.call, attempt.waits_for) = (None, None);
        }
    }

    /// Checks that the order ran at most once and that every reply is true.
    fn check(&self) -> Result<(), String> {
        if self.executions > 1 {
            return Err(format!("the order ran {} times", self.executions));
        }
        for attempt in &self.attempts {
            match &attempt.reply {
                Some(Err(kind))
                    if kind.answer().run == RunState::NotRun && attempt.executed > 0 =>
                {
                    return Err(format!("{kind:?} says not_run for a call that ran"));
                }
                Some(Ok(body)) if *body != [1] => return Err(format!("answer {body:?}")),
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks that the repeats after healing get the answer, unless its only holder is lost.
    fn check_end(&self) -> Result<(), String> {
        let is_excused = matches!(
            self.cell.fault,
            Fault::RouterCrash | Fault::UpstreamCrash | Fault::LostMessage
        );
        for attempt in &self.attempts[self.attempts.len() - PROBES.len()..] {
            let unknown = Some(Err(ErrorKind::OrderStateUnknown));
            let is_answered = matches!(attempt.reply, Some(Ok(_)));
            if !(is_answered || is_excused && attempt.reply == unknown) {
                let reply = &attempt.reply;
                return Err(format!("after healing a repeat got {reply:?}"));
            }
        }
        Ok(())
    }
}
