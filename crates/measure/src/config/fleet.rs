//! Simulated fleet with a simulated platform.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use cornelarch_core::{
    base::{DomainName, HolderId, InstanceName, MonotonicTime},
    config::{
        ConfigEffect, ConfigEvent, ConfigMessage, ConfigOptions, ConfigState, Delta, HeadObject,
    },
    membership::{InstanceHint, MemberEffect, MemberEvent, MemberOptions, MemberTable},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config::{
    document::{build_text, change_customer},
    network::{PeerMessage, frame_bytes},
};

/// Time between two ticks of a member table, as in the daemon.
const MEMBER_TICK: Duration = Duration::from_millis(100);
/// Time between two ticks of the configuration, as in the daemon.
const CONFIG_TICK: Duration = Duration::from_millis(250);
/// Longest wait of one watch call, as in the daemon.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// One way inside a domain.
const DOMAIN_DELAY: Duration = Duration::from_micros(250);
/// One way between domains of one region.
const REGION_DELAY: Duration = Duration::from_millis(1);
/// One way between regions, which fleets of more than four domains span.
const REMOTE_DELAY: Duration = Duration::from_millis(40);
/// Answer time of the platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
/// Headers of one platform call, request and answer, in bytes; an estimate.
const PLATFORM_CALL_BYTES: u64 = 300;
/// Budgets of the document; the size of the base matters only at the start.
const BUDGETS: usize = 10;

/// Describes one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetPlan {
    pub(super) instances: usize,
    pub(super) domains: usize,
    /// Mean time between two changes.
    pub(super) change_interval: Duration,
    /// Time that is measured, after the start.
    pub(super) duration: Duration,
    /// Probability that a peer message is lost or a platform call fails.
    pub(super) loss: f64,
}

/// Time before the measurement, in which the members find each other.
const WARM_UP: Duration = Duration::from_secs(240);
/// Time after the last change.
const COOL_DOWN: Duration = Duration::from_secs(60);

/// Bytes of one instance, sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ByteCount {
    pub(super) member: u64,
    pub(super) config: u64,
    pub(super) platform: u64,
}

impl ByteCount {
    pub(super) fn total(self) -> u64 {
        self.member + self.config + self.platform
    }
}

/// Results of one run.
#[derive(Debug)]
pub(super) struct FleetResult {
    /// Time per change until it was in force everywhere, sorted; `None` counts as never.
    pub(super) delays: Vec<Option<Duration>>,
    /// Bytes per instance over the measured time.
    pub(super) bytes: Vec<ByteCount>,
    /// The measured time, in seconds.
    pub(super) seconds: f64,
    /// Instances that a live member was declared dead at.
    pub(super) false_deaths: u64,
}

struct Node {
    holder: HolderId,
    domain: usize,
    config: ConfigState,
    table: MemberTable,
    /// The number of the open watch and the version after which it waits.
    watch: Option<(u64, u64)>,
    bytes: ByteCount,
    /// The newest version per time in force.
    in_force: Vec<(u64, Duration)>,
}

enum Event {
    MemberTick(usize),
    ConfigTick(usize),
    Deliver(usize, HolderId, PeerMessage),
    Platform(usize, ConfigEvent),
    WatchEnd(usize, u64),
    Publish,
}

/// Holds the simulation.
pub(super) struct Fleet {
    plan: FleetPlan,
    rng: ChaCha8Rng,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    nodes: Vec<Node>,
    by_address: HashMap<String, usize>,
    by_holder: HashMap<HolderId, usize>,
    object_version: u64,
    head: HeadObject,
    bases: HashMap<String, String>,
    published: Vec<(u64, Duration)>,
    false_deaths: u64,
}

fn address(index: usize) -> String {
    format!("10.{}.{}.{}:7100", index % 12, index / 250, index % 250)
}

impl Fleet {
    pub(super) fn new(plan: FleetPlan, seed: u64) -> Self {
        let text = build_text(BUDGETS);
        let first = Delta {
            operation_id: "first".to_owned(),
            ..change_customer(0)
        };
        let head = HeadObject::initial(first, 1);
        let mut fleet = Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            nodes: Vec::new(),
            by_address: HashMap::new(),
            by_holder: HashMap::new(),
            object_version: 1,
            bases: HashMap::from([(head.base_id.clone(), text)]),
            head,
            published: Vec::new(),
            false_deaths: 0,
        };
        (0..plan.instances).for_each(|index| fleet.add_node(index));
        fleet
    }

    fn add_node(&mut self, index: usize) {
        let instance = InstanceName::from(format!("router-{index:03}"));
        let holder = HolderId::new(instance.clone(), self.rng.random());
        let domain = index % self.plan.domains;
        let name = DomainName::from(format!("domain-{domain:02}"));
        let seeds = (0..self.plan.domains).map(address).collect();
        let options = MemberOptions::default();
        let table = MemberTable::new(holder.clone(), name, address(index), seeds, options);
        let config = ConfigState::new(
            "production".into(),
            instance,
            ConfigOptions::default(),
            MonotonicTime::START,
        );
        self.by_address.insert(address(index), index);
        self.by_holder.insert(holder.clone(), index);
        self.nodes.push(Node {
            holder,
            domain,
            config,
            table,
            watch: None,
            bytes: ByteCount::default(),
            in_force: Vec::new(),
        });
        let phase = self
            .rng
            .random_range(Duration::ZERO..Duration::from_secs(1));
        self.schedule(phase, Event::MemberTick(index));
        self.schedule(phase, Event::ConfigTick(index));
    }

    /// Runs the plan and returns the result.
    pub(super) fn run(mut self) -> FleetResult {
        self.send_hints();
        self.run_until(WARM_UP);
        for node in &mut self.nodes {
            node.bytes = ByteCount::default();
        }
        self.false_deaths = 0;
        let end = WARM_UP + self.plan.duration;
        self.schedule(self.plan.change_interval / 2, Event::Publish);
        self.run_until(end);
        let bytes = self.nodes.iter().map(|node| node.bytes).collect();
        self.run_until(end + COOL_DOWN);
        FleetResult {
            delays: self.collect_delays(),
            bytes,
            seconds: self.plan.duration.as_secs_f64(),
            false_deaths: self.false_deaths,
        }
    }

    /// Gives every instance the platform's instance list.
    fn send_hints(&mut self) {
        let hints: Vec<InstanceHint> = (0..self.nodes.len())
            .map(|index| InstanceHint {
                instance: self.nodes[index].holder.instance.clone(),
                address: address(index),
            })
            .collect();
        for index in 0..self.nodes.len() {
            self.feed_member(index, MemberEvent::InstanceList(hints.clone()));
        }
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((time, number))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue
            .push(Reverse((self.now + delay, self.next_event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::MemberTick(index) => {
                self.schedule(MEMBER_TICK, Event::MemberTick(index));
                self.feed_member(index, MemberEvent::Tick);
            }
            Event::ConfigTick(index) => {
                self.schedule(CONFIG_TICK, Event::ConfigTick(index));
                self.feed_config(index, ConfigEvent::Tick);
            }
            Event::Deliver(index, from, PeerMessage::Member(message)) => {
                self.feed_member(index, MemberEvent::Received { from, message });
            }
            Event::Deliver(index, from, PeerMessage::Config(message)) => {
                self.feed_config(index, ConfigEvent::Received { from, message });
            }
            Event::Platform(index, event) => self.feed_config(index, event),
            Event::WatchEnd(index, number) => {
                if self.nodes[index]
                    .watch
                    .take_if(|(open, _)| *open == number)
                    .is_some()
                {
                    self.nodes[index].bytes.platform += PLATFORM_CALL_BYTES;
                    self.feed_config(index, ConfigEvent::HeadUnchanged);
                }
            }
            Event::Publish => self.publish(),
        }
    }

    fn feed_member(&mut self, index: usize, event: MemberEvent) {
        let now = to_time(self.now);
        let effects = self.nodes[index].table.handle(event, now, &mut self.rng);
        for effect in effects {
            match effect {
                MemberEffect::Send {
                    address,
                    to,
                    message,
                } => {
                    if let Some(target) = self.by_address.get(&address).copied() {
                        let message = PeerMessage::Member(message);
                        self.send(index, target, to.as_ref(), message);
                    }
                }
                MemberEffect::MembersChanged { domain } => {
                    self.feed_config(index, ConfigEvent::MembersChanged(domain));
                }
                MemberEffect::PeerVersion { peer, version } => {
                    self.feed_config(index, ConfigEvent::PeerVersion { peer, version });
                }
                MemberEffect::StateChanged { state, .. } => {
                    let dead = state == cornelarch_core::membership::MemberState::Dead;
                    self.false_deaths += u64::from(dead);
                }
            }
        }
    }

    fn feed_config(&mut self, index: usize, event: ConfigEvent) {
        let effects = self.nodes[index].config.handle(event, to_time(self.now));
        for effect in effects {
            match effect {
                ConfigEffect::ReadHead => self.answer_head(index),
                ConfigEffect::WatchHead { after_version } => self.open_watch(index, after_version),
                ConfigEffect::StopWatch => self.nodes[index].watch = None,
                ConfigEffect::ReadBase { base_id, .. } => self.answer_base(index, base_id),
                ConfigEffect::Send { to, message } => self.send_config(index, &to, message),
                ConfigEffect::Activate { version, .. } => {
                    self.nodes[index].in_force.push((version, self.now));
                    self.feed_member(index, MemberEvent::ConfigVersion(version));
                }
                ConfigEffect::Rejected { error } => eprintln!("rejected: {error}"),
            }
        }
    }

    fn send_config(&mut self, index: usize, to: &HolderId, message: ConfigMessage) {
        if let Some(target) = self.by_holder.get(to).copied() {
            self.send(index, target, Some(to), PeerMessage::Config(message));
        }
    }

    fn send(&mut self, from: usize, target: usize, to: Option<&HolderId>, message: PeerMessage) {
        let holder = self.nodes[from].holder.clone();
        let bytes = frame_bytes(&holder, to, &message) as u64;
        for index in [from, target] {
            let count = &mut self.nodes[index].bytes;
            match message {
                PeerMessage::Member(_) => count.member += bytes,
                PeerMessage::Config(_) => count.config += bytes,
            }
        }
        if !self.is_lost() {
            let delay = self.delay(from, target);
            self.schedule(delay, Event::Deliver(target, holder, message));
        }
    }

    fn is_lost(&mut self) -> bool {
        self.plan.loss > 0.0 && self.rng.random_bool(self.plan.loss)
    }

    fn delay(&self, from: usize, target: usize) -> Duration {
        if self.nodes[from].domain == self.nodes[target].domain {
            DOMAIN_DELAY
        } else if self.plan.domains <= 4 {
            REGION_DELAY
        } else {
            REMOTE_DELAY
        }
    }

    /// Answers a platform call; a failed call is seen at once, as a cut connection is.
    fn answer(&mut self, index: usize, bytes: usize, event: ConfigEvent) {
        self.nodes[index].bytes.platform += PLATFORM_CALL_BYTES + bytes as u64;
        let event = if self.is_lost() {
            ConfigEvent::PlatformDown
        } else {
            event
        };
        self.schedule(PLATFORM_DELAY, Event::Platform(index, event));
    }

    fn answer_head(&mut self, index: usize) {
        let head = self.head.clone();
        let bytes = serde_json::to_vec(&head).map_or(0, |value| value.len());
        let object_version = self.object_version;
        let event = ConfigEvent::HeadRead {
            object_version,
            head,
        };
        self.answer(index, bytes, event);
    }

    fn answer_base(&mut self, index: usize, base_id: String) {
        match self.bases.get(&base_id).cloned() {
            Some(text) => self.answer(index, text.len(), ConfigEvent::BaseRead { base_id, text }),
            None => self.answer(index, 0, ConfigEvent::BaseMissing { base_id }),
        }
    }

    fn open_watch(&mut self, index: usize, after_version: u64) {
        if self.object_version > after_version {
            self.nodes[index].watch = None;
            self.answer_head(index);
            return;
        }
        let number = self.next_event + 1;
        self.nodes[index].watch = Some((number, after_version));
        self.schedule(WATCH_TIMEOUT, Event::WatchEnd(index, number));
    }

    fn publish(&mut self) {
        if self.now > WARM_UP + self.plan.duration {
            return;
        }
        let number = self.head.version + 1;
        self.head = self.head.with_delta(change_customer(number));
        self.object_version += 1;
        self.published.push((self.head.version, self.now));
        if self.head.needs_rebase() {
            let old = self.bases[&self.head.base_id].clone();
            let text = self.head.build(&old).map(|document| document.to_text());
            self.head = self.head.rebased("base", 1);
            let text = text.unwrap_or(old);
            self.bases.insert(self.head.base_id.clone(), text);
            self.object_version += 1;
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].watch.take().is_some() {
                self.answer_head(index);
            }
        }
        let spread: f64 = self.rng.random_range(0.5..1.5);
        self.schedule(self.plan.change_interval.mul_f64(spread), Event::Publish);
    }

    fn collect_delays(&self) -> Vec<Option<Duration>> {
        let mut delays: Vec<Option<Duration>> = self
            .published
            .iter()
            .map(|(version, published)| {
                let times = self.nodes.iter().map(|node| {
                    let reached = node.in_force.iter().find(|(reached, _)| reached >= version);
                    reached.map(|(_, time)| time.saturating_sub(*published))
                });
                times.collect::<Option<Vec<Duration>>>()?.into_iter().max()
            })
            .collect();
        delays.sort_by_key(|delay| delay.unwrap_or(Duration::MAX));
        delays
    }
}

fn to_time(now: Duration) -> MonotonicTime {
    MonotonicTime::START + now
}
