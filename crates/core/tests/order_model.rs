//! Model checker of orders: a breadth-first search over the production state machine.
//!
//! Three routers serve up to three attempts at one order. Writes are lost, duplicated or delayed,
//! answers are lost or delayed, the platform is unreachable, upstreams are lost or never reached,
//! routers crash or pause, and the record is removed after its retention. Every combination within
//! the limits of a run is explored.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    ops::Deref,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use cornelarch_core::{
    base::{HolderId, InstanceName, MonotonicTime},
    error::{ErrorKind, RunState},
    order::{
        ClaimId, ClaimTable, LocalClaim, OrderCall, OrderEffect, OrderEvent, OrderOptions,
        OrderRecord, OrderState, RequestDigest, StoredAnswer, VersionedRecord,
    },
};
use pathfinding::directed::bfs::bfs_reach;
use rstest::rstest;

const ROUTERS: usize = 3;

/// Time that passes when a router is paused or the record is removed after its retention.
const PAUSE: Duration = Duration::from_secs(7_200);

/// The correct protocol and deliberately broken variants of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// The platform ignores the expected version.
    UnconditionalWrites,
    /// An attempt takes every claim that it reads for its own.
    ClaimNotCompared,
    /// The loss of an upstream is reported as if the upstream was not reached.
    LostMeansNotRun,
    /// A claim of the same process is taken over although its call is in progress.
    RunningMeansNotRun,
    /// A paused attempt sends its call regardless of the age of its claim.
    ClaimNeverExpires,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Reply {
    Answer(u64),
    Refuse(ErrorKind),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    router: usize,
    /// The call with its next effect, until the call is done or the router crashes.
    active: Option<(OrderCall, OrderEffect)>,
    /// The delayed answer to a write that took effect.
    answer: Option<OrderEvent>,
    reply: Option<Reply>,
    /// The generation in which the attempt was started.
    opened: u64,
    executed: u64,
    /// The call was sent to an upstream that may still run it.
    sent_late: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    epoch: u64,
    table: ClaimTable,
    paused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LateWrite {
    expected_version: u64,
    record: OrderRecord,
}

/// Value shared between system states, because most transitions change only a small part of the
/// state. The hash is computed once per value.
#[derive(Clone, Debug, Eq)]
struct Shared<T> {
    hash: u64,
    value: Rc<T>,
}

impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.value, &other.value)
            || (self.hash == other.hash && self.value == other.value)
    }
}

impl<T: Hash> Shared<T> {
    fn new(value: T) -> Self {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Self {
            hash: hasher.finish(),
            value: Rc::new(value),
        }
    }
}

impl<T: Hash + Clone> Shared<T> {
    fn change(&mut self, change: impl FnOnce(&mut T)) {
        let mut value = T::clone(&self.value);
        change(&mut value);
        *self = Self::new(value);
    }
}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    record: Option<Shared<VersionedRecord>>,
    last_version: u64,
    late: Vec<LateWrite>,
    routers: Vec<Shared<Router>>,
    attempts: Vec<Shared<Attempt>>,
    /// Increases when the record is removed after its retention; the call may run once per
    /// generation.
    generation: u64,
    executions: u64,
    faults_left: u32,
    crashed: bool,
    /// A late claim write took effect after its attempt had ended.
    late_claim_applied: bool,
    violation: Option<&'static str>,
}

/// Parameters of a search.
struct Model {
    variant: Variant,
    options: Arc<OrderOptions>,
    digest: RequestDigest,
    max_attempts: usize,
}

impl Model {
    fn new(variant: Variant, max_attempts: usize) -> Self {
        let claim_validity = match variant {
            Variant::ClaimNeverExpires => Duration::MAX,
            _ => PAUSE / 2,
        };
        let options = OrderOptions {
            claim_writes: 2,
            settle_tries: 2,
            claim_validity,
            ..OrderOptions::default()
        };
        Self {
            variant,
            options: Arc::new(options),
            digest: RequestDigest::new("shop", "POST", "/orders", b"{}"),
            max_attempts,
        }
    }

    fn start(&self, faults: u32) -> SystemState {
        let router = Router {
            epoch: 0,
            table: ClaimTable::new(),
            paused: false,
        };
        SystemState {
            record: None,
            last_version: 0,
            late: Vec::new(),
            routers: vec![Shared::new(router); ROUTERS],
            attempts: Vec::new(),
            generation: 0,
            executions: 0,
            faults_left: faults,
            crashed: false,
            late_claim_applied: false,
            violation: None,
        }
    }

    fn successors(&self, system: &SystemState) -> Vec<SystemState> {
        // A violation ends the path; the search reports it.
        if system.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        self.open_attempts(system, &mut next);
        for index in 0..system.attempts.len() {
            self.step_attempt(system, index, &mut next);
        }
        self.step_late_effects(system, &mut next);
        self.step_faults(system, &mut next);
        for system in &mut next {
            self.check(system);
        }
        next
    }

    fn open_attempts(&self, system: &SystemState, next: &mut Vec<SystemState>) {
        if system.attempts.len() == self.max_attempts {
            return;
        }
        // Unused routers are interchangeable, so only the first of them is explored.
        let used = system
            .attempts
            .iter()
            .map(|attempt| attempt.router + 1)
            .max()
            .unwrap_or(0);
        for router in 0..ROUTERS.min(used + 1) {
            let mut system = system.clone();
            let claim = ClaimId(system.attempts.len() as u128);
            let name = InstanceName::new(["r0", "r1", "r2"][router]);
            let holder = HolderId::new(name, system.routers[router].epoch);
            let (options, digest) = (self.options.clone(), self.digest.clone());
            let now = router_clock(&system, router);
            let opened = OrderCall::open(options, holder, claim, digest, 0, now);
            system.routers[router].change(|router| router.table.track(&opened.0));
            system.attempts.push(Shared::new(Attempt {
                router,
                active: Some(opened),
                answer: None,
                reply: None,
                opened: system.generation,
                executed: 0,
                sent_late: false,
            }));
            next.push(system);
        }
    }

    /// Adds every possible outcome of the next effect of an attempt.
    fn step_attempt(&self, system: &SystemState, index: usize, next: &mut Vec<SystemState>) {
        let attempt = &system.attempts[index];
        let Some((_, effect)) = &attempt.active else {
            return;
        };
        if let Some(event) = &attempt.answer {
            next.push(self.deliver_event(system.clone(), index, event.clone()));
            return;
        }
        match effect.clone() {
            OrderEffect::WriteRecord {
                expected_version,
                record,
            } => {
                let write = LateWrite {
                    expected_version,
                    record,
                };
                self.step_write(system, index, &write, next);
            }
            OrderEffect::ReadRecord => {
                let event = self.read_record(system, index);
                next.push(self.deliver_event(system.clone(), index, event));
                if let Some(system) = spend_fault(system) {
                    next.push(self.deliver_event(system, index, OrderEvent::PlatformDown));
                }
            }
            OrderEffect::SendUpstream { .. } => self.step_send(system, index, next),
            OrderEffect::WaitClaim(claim) => {
                if system.routers[attempt.router].table.lookup(claim) != LocalClaim::Running {
                    next.push(self.deliver_event(system.clone(), index, OrderEvent::ClaimEnded));
                }
            }
            OrderEffect::Pause(_) => {
                next.push(self.deliver_event(system.clone(), index, OrderEvent::PauseEnded));
            }
            // `deliver_event` delivers replies and ends attempts immediately.
            OrderEffect::Answer(_) | OrderEffect::Refuse(_) | OrderEffect::Done => {}
        }
    }

    fn step_write(
        &self,
        system: &SystemState,
        index: usize,
        write: &LateWrite,
        next: &mut Vec<SystemState>,
    ) {
        let mut done = system.clone();
        let event = self.apply(&mut done, write);
        next.push(self.deliver_event(done.clone(), index, event.clone()));
        if let Some(mut slow) = spend_fault(&done) {
            slow.attempts[index].change(|attempt| attempt.answer = Some(event.clone()));
            next.push(slow);
        }
        if let Some(mut duplicated) = spend_fault(&done) {
            add_late_write(&mut duplicated, write);
            next.push(self.deliver_event(duplicated, index, event));
        }
        if let Some(lost) = spend_fault(&done) {
            next.push(self.deliver_event(lost, index, OrderEvent::WriteUnknown));
        }
        if let Some(mut late) = spend_fault(system) {
            add_late_write(&mut late, write);
            next.push(self.deliver_event(late, index, OrderEvent::WriteUnknown));
        }
        if let Some(down) = spend_fault(system) {
            next.push(self.deliver_event(down, index, OrderEvent::PlatformDown));
        }
    }

    fn step_send(&self, system: &SystemState, index: usize, next: &mut Vec<SystemState>) {
        let mut run = system.clone();
        let answer = execute(&mut run, index);
        let answered = OrderEvent::UpstreamAnswered(Arc::new(answer));
        next.push(self.deliver_event(run.clone(), index, answered));
        let lost = match self.variant {
            Variant::LostMeansNotRun => OrderEvent::UpstreamNotReached(ErrorKind::NoUpstream),
            _ => OrderEvent::UpstreamLost(ErrorKind::UpstreamLost),
        };
        if let Some(run) = spend_fault(&run) {
            next.push(self.deliver_event(run, index, lost.clone()));
        }
        if let Some(mut late) = spend_fault(system) {
            // The upstream may run the call later or never.
            late.attempts[index].change(|attempt| attempt.sent_late = true);
            next.push(self.deliver_event(late, index, lost));
        }
        if let Some(refused) = spend_fault(system) {
            let event = OrderEvent::UpstreamNotReached(ErrorKind::NoUpstream);
            next.push(self.deliver_event(refused, index, event));
        }
    }

    /// Adds the states in which a late write or a late execution takes effect.
    fn step_late_effects(&self, system: &SystemState, next: &mut Vec<SystemState>) {
        for index in 0..system.late.len() {
            let mut system = system.clone();
            let write = system.late.remove(index);
            let owner = &system.attempts[write.record.claim.0 as usize];
            let ended = owner.active.is_none();
            let event = self.apply(&mut system, &write);
            system.late_claim_applied |= ended && event != OrderEvent::Conflict;
            next.push(system);
        }
        for index in 0..system.attempts.len() {
            if system.attempts[index].sent_late {
                let mut system = system.clone();
                system.attempts[index].change(|attempt| attempt.sent_late = false);
                execute(&mut system, index);
                next.push(system);
            }
        }
    }

    fn step_faults(&self, system: &SystemState, next: &mut Vec<SystemState>) {
        for router in 0..ROUTERS {
            let used = system
                .attempts
                .iter()
                .any(|attempt| attempt.router == router);
            let (true, Some(system)) = (used, spend_fault(system)) else {
                continue;
            };
            let mut crashed = system.clone();
            crash(&mut crashed, router);
            next.push(crashed);
            if !system.routers[router].paused {
                let mut paused = system;
                paused.routers[router].change(|router| router.paused = true);
                next.push(paused);
            }
        }
        // The model assumes that a call that is about to be sent is sent within the retention.
        let sending = system.attempts.iter().any(is_sending);
        if system.record.is_some()
            && !sending
            && let Some(mut system) = spend_fault(system)
        {
            system.record = None;
            system.generation += 1;
            system.executions = 0;
            next.push(system);
        }
    }

    fn read_record(&self, system: &SystemState, index: usize) -> OrderEvent {
        let attempt = &system.attempts[index];
        let mut record = system.record.as_deref().cloned();
        let mut local = LocalClaim::Unknown;
        if let Some(found) = &mut record {
            local = system.routers[attempt.router]
                .table
                .lookup(found.record.claim);
            if self.variant == Variant::ClaimNotCompared {
                found.record.claim = ClaimId(index as u128);
            }
        }
        if self.variant == Variant::RunningMeansNotRun && local == LocalClaim::Running {
            local = LocalClaim::NotRun;
        }
        OrderEvent::RecordRead { record, local }
    }

    /// Applies a write at the platform.
    fn apply(&self, system: &mut SystemState, write: &LateWrite) -> OrderEvent {
        let current = system.record.as_ref().map_or(0, |found| found.version);
        let matches = write.expected_version == current;
        if !matches && self.variant != Variant::UnconditionalWrites {
            return OrderEvent::Conflict;
        }
        system.last_version += 1;
        let version = system.last_version;
        let record = write.record.clone();
        system.record = Some(Shared::new(VersionedRecord { version, record }));
        OrderEvent::Written { version }
    }

    /// Passes an event to an attempt and delivers its reply if there is one.
    fn deliver_event(
        &self,
        mut system: SystemState,
        index: usize,
        event: OrderEvent,
    ) -> SystemState {
        let router = system.attempts[index].router;
        let now = router_clock(&system, router);
        let Some((mut call, _)) = system.attempts[index].active.clone() else {
            return system;
        };
        let mut effect = call.handle(event, now);
        let reply = match &effect {
            OrderEffect::Answer(answer) => Some(Reply::Answer(u64::from(answer.body[0]))),
            OrderEffect::Refuse(kind) => Some(Reply::Refuse(*kind)),
            _ => None,
        };
        if let Some(reply) = &reply {
            self.check_reply(&mut system, index, reply);
            effect = call.handle(OrderEvent::Delivered, now);
        }
        if system.routers[router].table.lookup(call.claim()) != call.local_claim() {
            system.routers[router].change(|router| router.table.track(&call));
        }
        let attempt = &system.attempts[index];
        let attempt = Attempt {
            router,
            active: (effect != OrderEffect::Done).then_some((call, effect)),
            answer: None,
            reply: reply.or_else(|| attempt.reply.clone()),
            ..**attempt
        };
        system.attempts[index] = Shared::new(attempt);
        system
    }

    /// Checks that an answer is that of the single execution of a generation since the attempt was
    /// started.
    fn check_reply(&self, system: &mut SystemState, index: usize, reply: &Reply) {
        let opened = system.attempts[index].opened;
        if matches!(reply, Reply::Answer(body) if !(opened..=system.generation).contains(body)) {
            system.violation = Some("an attempt got a different answer");
        }
    }

    /// Checks the invariants of every state.
    fn check(&self, system: &mut SystemState) {
        if system.executions > 1 {
            system.violation = Some("an order was run twice");
        }
        let may_have_run = system.executions > 0 || system.attempts.iter().any(|a| a.sent_late);
        let open = OrderState::FailedBeforeSend;
        if may_have_run && matches!(&system.record, Some(found) if found.record.state == open) {
            system.violation = Some("a record marks a call as not run although it was sent");
        }
        for attempt in &system.attempts {
            let run = attempt.executed > 0 || attempt.sent_late;
            let refused = matches!(
                &attempt.reply,
                Some(Reply::Refuse(kind)) if kind.answer().run == RunState::NotRun
            );
            if refused && run {
                system.violation = Some("an attempt was refused as not run although it was sent");
            }
        }
    }
}

fn router_clock(system: &SystemState, router: usize) -> MonotonicTime {
    let pauses = u32::from(system.routers[router].paused) + system.generation as u32;
    MonotonicTime::START + PAUSE * pauses
}

fn spend_fault(system: &SystemState) -> Option<SystemState> {
    let faults_left = system.faults_left.checked_sub(1)?;
    Some(SystemState {
        faults_left,
        ..system.clone()
    })
}

fn add_late_write(system: &mut SystemState, write: &LateWrite) {
    system.late.push(write.clone());
    system
        .late
        .sort_by_key(|write| (write.record.claim, write.expected_version));
}

/// Runs the call at an upstream. The answer contains the generation, and differs if the call runs
/// twice.
fn execute(system: &mut SystemState, index: usize) -> StoredAnswer {
    system.executions += 1;
    system.attempts[index].change(|attempt| attempt.executed += 1);
    let body = system.generation + (system.executions - 1) * 100;
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![body as u8],
    }
}

fn is_sending(attempt: &Shared<Attempt>) -> bool {
    let sends = matches!(&attempt.active, Some((_, OrderEffect::SendUpstream { .. })));
    sends || attempt.sent_late
}

fn crash(system: &mut SystemState, router: usize) {
    system.crashed = true;
    system.routers[router].change(|router| {
        router.epoch += 1;
        router.table = ClaimTable::new();
    });
    for attempt in &mut system.attempts {
        if attempt.router == router {
            attempt.change(|attempt| attempt.active = None);
        }
    }
}

/// Explores all states and returns their number and the first violation.
fn explore(model: &Model, faults: u32) -> (usize, Option<&'static str>) {
    let mut states = 0;
    for system in bfs_reach(model.start(faults), |system| model.successors(system)) {
        states += 1;
        if system.violation.is_some() {
            return (states, system.violation);
        }
    }
    (states, None)
}

/// Guards against a call that runs twice, a call that runs although it was refused as not run, and
/// repeated requests that get different answers.
#[rstest]
#[case::more_attempts(3, 2)]
#[case::more_faults(2, 3)]
fn every_order_runs_at_most_once(#[case] attempts: usize, #[case] faults: u32) {
    let (states, violation) = explore(&Model::new(Variant::Correct, attempts), faults);
    println!("order model: {states} states explored, {attempts} attempts, {faults} faults");
    assert_eq!(violation, None);
}

/// Guards against a model that cannot detect violations.
#[rstest]
#[case(Variant::UnconditionalWrites)]
#[case(Variant::ClaimNotCompared)]
#[case(Variant::LostMeansNotRun)]
#[case(Variant::RunningMeansNotRun)]
#[case(Variant::ClaimNeverExpires)]
fn broken_variants_are_caught(#[case] variant: Variant) {
    let (states, violation) = explore(&Model::new(variant, 2), 2);
    println!("order model: {states} states explored, variant {variant:?}: {violation:?}");
    assert!(violation.is_some());
}

/// Guards against an order that stays claimed although its call was never sent and no process
/// crashed.
#[test]
fn abandoned_claims_are_released() {
    let model = Model::new(Variant::Correct, 2);
    let mut states = 0;
    let mut released = 0;
    for system in bfs_reach(model.start(2), |system| model.successors(system)) {
        states += 1;
        let Some(found) = &system.record else {
            continue;
        };
        if system
            .attempts
            .iter()
            .any(|attempt| attempt.active.is_some())
        {
            continue;
        }
        released += u64::from(found.record.state == OrderState::FailedBeforeSend);
        let lost = Some(Reply::Refuse(ErrorKind::UpstreamLost));
        let sent = system.attempts.iter().any(|attempt| attempt.reply == lost);
        let may_stay_claimed = system.crashed
            || sent
            || system.late_claim_applied
            || system.executions > 0
            || system.generation > 0;
        assert!(
            may_stay_claimed || found.record.state != OrderState::Claimed,
            "{system:#?}"
        );
    }
    println!("order model: {states} states explored, {released} with a released claim");
    assert!(released > 0);
}
