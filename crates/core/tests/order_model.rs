//! Model check of orders: a breadth-first search over the real transition functions.
//!
//! Three routers serve up to three attempts at one order. Writes are lost, duplicated or arrive
//! late, answers are lost or late, the platform is away, upstreams are lost or never reached,
//! routers crash or pause, and the record is removed after its retention. Every combination
//! within the limits of a run is explored.

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

/// Age that an attempt reaches when its router is paused or the retention passes.
const PAUSE: Duration = Duration::from_secs(7_200);

/// Lists the correct system and the deliberately broken ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// The platform ignores the expected version.
    UnconditionalWrites,
    /// A claim that was read back is taken for the own one.
    ClaimNotCompared,
    /// A lost upstream is reported as not reached.
    LostMeansNotRun,
    /// A claim of the own process is taken over although it runs.
    RunningMeansNotRun,
    /// A paused attempt sends however old its claim is.
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
    /// The call with its next effect, until it is done or its router crashes.
    active: Option<(OrderCall, OrderEffect)>,
    /// The answer to a write that is still on its way.
    answer: Option<OrderEvent>,
    reply: Option<Reply>,
    /// The generation in which the attempt was opened.
    opened: u64,
    executed: u64,
    /// The call was handed to an upstream that may still run it.
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

/// Shares a part of the world between states, because most steps change only one part. The hash
/// is computed once per value.
#[derive(Clone, Debug, Eq)]
struct Part<T> {
    hash: u64,
    value: Rc<T>,
}

impl<T: PartialEq> PartialEq for Part<T> {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.value, &other.value)
            || (self.hash == other.hash && self.value == other.value)
    }
}

impl<T: Hash> Part<T> {
    fn new(value: T) -> Self {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Self {
            hash: hasher.finish(),
            value: Rc::new(value),
        }
    }
}

impl<T: Hash + Clone> Part<T> {
    fn change(&mut self, change: impl FnOnce(&mut T)) {
        let mut value = T::clone(&self.value);
        change(&mut value);
        *self = Self::new(value);
    }
}

impl<T> Hash for Part<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

impl<T> Deref for Part<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    record: Option<Part<VersionedRecord>>,
    last_version: u64,
    late: Vec<LateWrite>,
    routers: Vec<Part<Router>>,
    attempts: Vec<Part<Attempt>>,
    /// Rises when the retention removes the record; each generation may run the call once.
    generation: u64,
    executions: u64,
    faults_left: u32,
    crashed: bool,
    /// A late claim took effect after its attempt had given up.
    orphaned: bool,
    violation: Option<&'static str>,
}

/// Holds what does not change during a search.
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

    fn start(&self, faults: u32) -> World {
        let router = Router {
            epoch: 0,
            table: ClaimTable::new(),
            paused: false,
        };
        World {
            record: None,
            last_version: 0,
            late: Vec::new(),
            routers: vec![Part::new(router); ROUTERS],
            attempts: Vec::new(),
            generation: 0,
            executions: 0,
            faults_left: faults,
            crashed: false,
            orphaned: false,
            violation: None,
        }
    }

    fn successors(&self, world: &World) -> Vec<World> {
        // A broken promise is the end of a path; the search reports it.
        if world.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        self.open_attempts(world, &mut next);
        for index in 0..world.attempts.len() {
            self.step_attempt(world, index, &mut next);
        }
        self.step_late(world, &mut next);
        self.step_faults(world, &mut next);
        for world in &mut next {
            self.check(world);
        }
        next
    }

    fn open_attempts(&self, world: &World, next: &mut Vec<World>) {
        if world.attempts.len() == self.max_attempts {
            return;
        }
        // Unused routers are alike, so only the first of them is tried.
        let used = world
            .attempts
            .iter()
            .map(|attempt| attempt.router + 1)
            .max()
            .unwrap_or(0);
        for router in 0..ROUTERS.min(used + 1) {
            let mut world = world.clone();
            let claim = ClaimId(world.attempts.len() as u128);
            let name = InstanceName::new(["r0", "r1", "r2"][router]);
            let holder = HolderId::new(name, world.routers[router].epoch);
            let (options, digest) = (self.options.clone(), self.digest.clone());
            let now = clock(&world, router);
            let opened = OrderCall::open(options, holder, claim, digest, 0, now);
            world.routers[router].change(|router| router.table.track(&opened.0));
            world.attempts.push(Part::new(Attempt {
                router,
                active: Some(opened),
                answer: None,
                reply: None,
                opened: world.generation,
                executed: 0,
                sent_late: false,
            }));
            next.push(world);
        }
    }

    /// Carries out the effect of one attempt in every way.
    fn step_attempt(&self, world: &World, index: usize, next: &mut Vec<World>) {
        let attempt = &world.attempts[index];
        let Some((_, effect)) = &attempt.active else {
            return;
        };
        if let Some(event) = &attempt.answer {
            next.push(self.feed(world.clone(), index, event.clone()));
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
                self.step_write(world, index, &write, next);
            }
            OrderEffect::ReadRecord => {
                let event = self.read_record(world, index);
                next.push(self.feed(world.clone(), index, event));
                if let Some(world) = use_fault(world) {
                    next.push(self.feed(world, index, OrderEvent::PlatformDown));
                }
            }
            OrderEffect::SendUpstream { .. } => self.step_send(world, index, next),
            OrderEffect::WaitClaim(claim) => {
                if world.routers[attempt.router].table.lookup(claim) != LocalClaim::Running {
                    next.push(self.feed(world.clone(), index, OrderEvent::ClaimEnded));
                }
            }
            OrderEffect::Pause(_) => {
                next.push(self.feed(world.clone(), index, OrderEvent::PauseEnded));
            }
            // Replies are delivered and ended attempts are removed as soon as they appear.
            OrderEffect::Answer(_) | OrderEffect::Refuse(_) | OrderEffect::Done => {}
        }
    }

    fn step_write(&self, world: &World, index: usize, write: &LateWrite, next: &mut Vec<World>) {
        let mut done = world.clone();
        let event = self.apply(&mut done, write);
        next.push(self.feed(done.clone(), index, event.clone()));
        if let Some(mut slow) = use_fault(&done) {
            slow.attempts[index].change(|attempt| attempt.answer = Some(event.clone()));
            next.push(slow);
        }
        if let Some(mut copied) = use_fault(&done) {
            push_late(&mut copied, write);
            next.push(self.feed(copied, index, event));
        }
        if let Some(lost) = use_fault(&done) {
            next.push(self.feed(lost, index, OrderEvent::WriteUnknown));
        }
        if let Some(mut late) = use_fault(world) {
            push_late(&mut late, write);
            next.push(self.feed(late, index, OrderEvent::WriteUnknown));
        }
        if let Some(down) = use_fault(world) {
            next.push(self.feed(down, index, OrderEvent::PlatformDown));
        }
    }

    fn step_send(&self, world: &World, index: usize, next: &mut Vec<World>) {
        let mut run = world.clone();
        let answer = execute(&mut run, index);
        let answered = OrderEvent::UpstreamAnswered(Arc::new(answer));
        next.push(self.feed(run.clone(), index, answered));
        let lost = match self.variant {
            Variant::LostMeansNotRun => OrderEvent::UpstreamNotReached(ErrorKind::NoUpstream),
            _ => OrderEvent::UpstreamLost(ErrorKind::UpstreamLost),
        };
        if let Some(run) = use_fault(&run) {
            next.push(self.feed(run, index, lost.clone()));
        }
        if let Some(mut late) = use_fault(world) {
            // This includes the case that the upstream never runs it.
            late.attempts[index].change(|attempt| attempt.sent_late = true);
            next.push(self.feed(late, index, lost));
        }
        if let Some(refused) = use_fault(world) {
            let event = OrderEvent::UpstreamNotReached(ErrorKind::NoUpstream);
            next.push(self.feed(refused, index, event));
        }
    }

    /// Lets a late write or a late execution happen.
    fn step_late(&self, world: &World, next: &mut Vec<World>) {
        for index in 0..world.late.len() {
            let mut world = world.clone();
            let write = world.late.remove(index);
            let owner = &world.attempts[write.record.claim.0 as usize];
            let ended = owner.active.is_none();
            let event = self.apply(&mut world, &write);
            world.orphaned |= ended && event != OrderEvent::Conflict;
            next.push(world);
        }
        for index in 0..world.attempts.len() {
            if world.attempts[index].sent_late {
                let mut world = world.clone();
                world.attempts[index].change(|attempt| attempt.sent_late = false);
                execute(&mut world, index);
                next.push(world);
            }
        }
    }

    fn step_faults(&self, world: &World, next: &mut Vec<World>) {
        for router in 0..ROUTERS {
            let used = world
                .attempts
                .iter()
                .any(|attempt| attempt.router == router);
            let (true, Some(world)) = (used, use_fault(world)) else {
                continue;
            };
            let mut crashed = world.clone();
            crash(&mut crashed, router);
            next.push(crashed);
            if !world.routers[router].paused {
                let mut paused = world;
                paused.routers[router].change(|router| router.paused = true);
                next.push(paused);
            }
        }
        // A call that the daemon is about to send is assumed to be sent within the retention.
        let sending = world.attempts.iter().any(is_sending);
        if world.record.is_some()
            && !sending
            && let Some(mut world) = use_fault(world)
        {
            world.record = None;
            world.generation += 1;
            world.executions = 0;
            next.push(world);
        }
    }

    fn read_record(&self, world: &World, index: usize) -> OrderEvent {
        let attempt = &world.attempts[index];
        let mut record = world.record.as_deref().cloned();
        let mut local = LocalClaim::Unknown;
        if let Some(found) = &mut record {
            local = world.routers[attempt.router]
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

    /// Carries out a write at the platform.
    fn apply(&self, world: &mut World, write: &LateWrite) -> OrderEvent {
        let current = world.record.as_ref().map_or(0, |found| found.version);
        let matches = write.expected_version == current;
        if !matches && self.variant != Variant::UnconditionalWrites {
            return OrderEvent::Conflict;
        }
        world.last_version += 1;
        let version = world.last_version;
        let record = write.record.clone();
        world.record = Some(Part::new(VersionedRecord { version, record }));
        OrderEvent::Written { version }
    }

    /// Hands an event to an attempt and delivers its reply if there is one.
    fn feed(&self, mut world: World, index: usize, event: OrderEvent) -> World {
        let router = world.attempts[index].router;
        let now = clock(&world, router);
        let Some((mut call, _)) = world.attempts[index].active.clone() else {
            return world;
        };
        let mut effect = call.handle(event, now);
        let reply = match &effect {
            OrderEffect::Answer(answer) => Some(Reply::Answer(u64::from(answer.body[0]))),
            OrderEffect::Refuse(kind) => Some(Reply::Refuse(*kind)),
            _ => None,
        };
        if let Some(reply) = &reply {
            self.check_reply(&mut world, index, reply);
            effect = call.handle(OrderEvent::Delivered, now);
        }
        if world.routers[router].table.lookup(call.claim()) != call.local_claim() {
            world.routers[router].change(|router| router.table.track(&call));
        }
        let attempt = &world.attempts[index];
        let attempt = Attempt {
            router,
            active: (effect != OrderEffect::Done).then_some((call, effect)),
            answer: None,
            reply: reply.or_else(|| attempt.reply.clone()),
            ..**attempt
        };
        world.attempts[index] = Part::new(attempt);
        world
    }

    /// Checks that an answer is that of the only execution since the attempt was opened.
    fn check_reply(&self, world: &mut World, index: usize, reply: &Reply) {
        let opened = world.attempts[index].opened;
        if matches!(reply, Reply::Answer(body) if !(opened..=world.generation).contains(body)) {
            world.violation = Some("an attempt got another answer");
        }
    }

    /// Checks what holds in every state.
    fn check(&self, world: &mut World) {
        if world.executions > 1 {
            world.violation = Some("an order was run twice");
        }
        let may_have_run = world.executions > 0 || world.attempts.iter().any(|a| a.sent_late);
        let open = OrderState::FailedBeforeSend;
        if may_have_run && matches!(&world.record, Some(found) if found.record.state == open) {
            world.violation = Some("a record says that a call that was sent was not run");
        }
        for attempt in &world.attempts {
            let run = attempt.executed > 0 || attempt.sent_late;
            let refused = matches!(
                &attempt.reply,
                Some(Reply::Refuse(kind)) if kind.answer().run == RunState::NotRun
            );
            if refused && run {
                world.violation = Some("a refused attempt was run");
            }
        }
    }
}

fn clock(world: &World, router: usize) -> MonotonicTime {
    let pauses = u32::from(world.routers[router].paused) + world.generation as u32;
    MonotonicTime::START + PAUSE * pauses
}

fn use_fault(world: &World) -> Option<World> {
    let faults_left = world.faults_left.checked_sub(1)?;
    Some(World {
        faults_left,
        ..world.clone()
    })
}

fn push_late(world: &mut World, write: &LateWrite) {
    world.late.push(write.clone());
    world
        .late
        .sort_by_key(|write| (write.record.claim, write.expected_version));
}

/// Runs the call at an upstream. The answer tells the generation, and differs if it runs twice.
fn execute(world: &mut World, index: usize) -> StoredAnswer {
    world.executions += 1;
    world.attempts[index].change(|attempt| attempt.executed += 1);
    let body = world.generation + (world.executions - 1) * 100;
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![body as u8],
    }
}

fn is_sending(attempt: &Part<Attempt>) -> bool {
    let sends = matches!(&attempt.active, Some((_, OrderEffect::SendUpstream { .. })));
    sends || attempt.sent_late
}

fn crash(world: &mut World, router: usize) {
    world.crashed = true;
    world.routers[router].change(|router| {
        router.epoch += 1;
        router.table = ClaimTable::new();
    });
    for attempt in &mut world.attempts {
        if attempt.router == router {
            attempt.change(|attempt| attempt.active = None);
        }
    }
}

/// Explores every state and returns their number and the first broken promise.
fn explore(model: &Model, faults: u32) -> (usize, Option<&'static str>) {
    let mut states = 0;
    for world in bfs_reach(model.start(faults), |world| model.successors(world)) {
        states += 1;
        if world.violation.is_some() {
            return (states, world.violation);
        }
    }
    (states, None)
}

/// Guards against a call that runs twice, a refusal that lies, and repeats that differ.
#[rstest]
#[case::more_attempts(3, 2)]
#[case::more_faults(2, 3)]
fn every_order_runs_at_most_once(#[case] attempts: usize, #[case] faults: u32) {
    let (states, violation) = explore(&Model::new(Variant::Correct, attempts), faults);
    println!("order model: {states} states explored, {attempts} attempts, {faults} faults");
    assert_eq!(violation, None);
}

/// Guards against a model that cannot find faults.
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

/// Guards against an order that stays claimed although nobody ran it and every process is alive.
#[test]
fn abandoned_claims_are_released() {
    let model = Model::new(Variant::Correct, 2);
    let mut states = 0;
    let mut released = 0;
    for world in bfs_reach(model.start(2), |world| model.successors(world)) {
        states += 1;
        let Some(found) = &world.record else {
            continue;
        };
        if world
            .attempts
            .iter()
            .any(|attempt| attempt.active.is_some())
        {
            continue;
        }
        released += u64::from(found.record.state == OrderState::FailedBeforeSend);
        let lost = Some(Reply::Refuse(ErrorKind::UpstreamLost));
        let sent = world.attempts.iter().any(|attempt| attempt.reply == lost);
        let excused =
            world.crashed || sent || world.orphaned || world.executions > 0 || world.generation > 0;
        assert!(
            excused || found.record.state != OrderState::Claimed,
            "{world:#?}"
        );
    }
    println!("order model: {states} states explored, {released} with a released claim");
    assert!(released > 0);
}
