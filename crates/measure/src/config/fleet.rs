//! Discrete-event simulation of a fleet of instances and the platform.

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

/// Tick interval of a member table, as in the daemon.
const MEMBER_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Tick interval of the configuration state, as in the daemon.
const CONFIG_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time-out of one watch call, as in the daemon.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// One-way network delay within a failure domain.
const DOMAIN_DELAY: Duration = Duration::from_micros(250);
/// One-way network delay between domains of one region.
const REGION_DELAY: Duration = Duration::from_millis(1);
/// One-way network delay between regions; fleets of more than four domains span several regions.
const REMOTE_DELAY: Duration = Duration::from_millis(40);
/// Response time of the platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
/// Estimated size of the request and response headers of one platform call, in bytes.
const PLATFORM_CALL_BYTES: u64 = 300;
/// Budgets in the document; the size of the base matters only at the start.
const BUDGETS: usize = 10;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetOptions {
    pub(super) instances: usize,
    pub(super) domains: usize,
    /// Mean time between two changes.
    pub(super) change_interval: Duration,
    /// Measured time, after the warm-up.
    pub(super) duration: Duration,
    /// Probability that a peer message is lost or a platform call fails.
    pub(super) loss: f64,
}

/// Time before the measurement, in which the members discover each other.
const WARM_UP: Duration = Duration::from_secs(240);
/// Time after the measurement, in which the last changes propagate.
const COOL_DOWN: Duration = Duration::from_secs(60);

/// Bytes sent and received by one instance.
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
    /// Time until each change was active on every instance, sorted; `None` if it never was.
    pub(super) delays: Vec<Option<Duration>>,
    /// Bytes of each instance over the measured time.
    pub(super) bytes: Vec<ByteCount>,
    /// The measured time, in seconds.
    pub(super) seconds: f64,
    /// Number of times an instance declared a live member dead.
    pub(super) false_deaths: u64,
}

struct Node {
    holder: HolderId,
    domain: usize,
    config: ConfigState,
    members: MemberTable,
    /// Event number of the open watch call and the object version it has already seen.
    watch: Option<(u64, u64)>,
    bytes: ByteCount,
    /// Activated configuration versions with the time of activation.
    activations: Vec<(u64, Duration)>,
}

enum Event {
    MemberTick(usize),
    ConfigTick(usize),
    PeerMessage(usize, HolderId, PeerMessage),
    PlatformResponse(usize, ConfigEvent),
    WatchTimeout(usize, u64),
    Publish,
}

/// The simulation state.
pub(super) struct Fleet {
    options: FleetOptions,
    rng: ChaCha8Rng,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    nodes: Vec<Node>,
    index_by_address: HashMap<String, usize>,
    index_by_holder: HashMap<HolderId, usize>,
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
    pub(super) fn new(options: FleetOptions, seed: u64) -> Self {
        let text = build_text(BUDGETS);
        let first = Delta {
            operation_id: "first".to_owned(),
            ..change_customer(0)
        };
        let head = HeadObject::initial(first, 1);
        let mut fleet = Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            nodes: Vec::new(),
            index_by_address: HashMap::new(),
            index_by_holder: HashMap::new(),
            object_version: 1,
            bases: HashMap::from([(head.base_id.clone(), text)]),
            head,
            published: Vec::new(),
            false_deaths: 0,
        };
        (0..options.instances).for_each(|index| fleet.add_node(index));
        fleet
    }

    fn add_node(&mut self, index: usize) {
        let instance = InstanceName::from(format!("router-{index:03}"));
        let holder = HolderId::new(instance.clone(), self.rng.random());
        let domain = index % self.options.domains;
        let name = DomainName::from(format!("domain-{domain:02}"));
        let seeds = (0..self.options.domains).map(address).collect();
        let options = MemberOptions::default();
        let members = MemberTable::new(holder.clone(), name, address(index), seeds, options);
        let config = ConfigState::new(
            "production".into(),
            instance,
            ConfigOptions::default(),
            MonotonicTime::START,
        );
        self.index_by_address.insert(address(index), index);
        self.index_by_holder.insert(holder.clone(), index);
        self.nodes.push(Node {
            holder,
            domain,
            config,
            members,
            watch: None,
            bytes: ByteCount::default(),
            activations: Vec::new(),
        });
        let tick_offset = self
            .rng
            .random_range(Duration::ZERO..Duration::from_secs(1));
        self.schedule(tick_offset, Event::MemberTick(index));
        self.schedule(tick_offset, Event::ConfigTick(index));
    }

    /// Runs the simulation and returns the result.
    pub(super) fn run(mut self) -> FleetResult {
        self.send_instance_list();
        self.run_until(WARM_UP);
        for node in &mut self.nodes {
            node.bytes = ByteCount::default();
        }
        self.false_deaths = 0;
        let end = WARM_UP + self.options.duration;
        self.schedule(self.options.change_interval / 2, Event::Publish);
        self.run_until(end);
        let bytes = self.nodes.iter().map(|node| node.bytes).collect();
        self.run_until(end + COOL_DOWN);
        FleetResult {
            delays: self.collect_delays(),
            bytes,
            seconds: self.options.duration.as_secs_f64(),
            false_deaths: self.false_deaths,
        }
    }

    /// Sends the platform's instance list to every instance.
    fn send_instance_list(&mut self) {
        let hints: Vec<InstanceHint> = (0..self.nodes.len())
            .map(|index| InstanceHint {
                instance: self.nodes[index].holder.instance.clone(),
                address: address(index),
            })
            .collect();
        for index in 0..self.nodes.len() {
            self.handle_member_event(index, MemberEvent::InstanceList(hints.clone()));
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
                self.schedule(MEMBER_TICK_INTERVAL, Event::MemberTick(index));
                self.handle_member_event(index, MemberEvent::Tick);
            }
            Event::ConfigTick(index) => {
                self.schedule(CONFIG_TICK_INTERVAL, Event::ConfigTick(index));
                self.handle_config_event(index, ConfigEvent::Tick);
            }
            Event::PeerMessage(index, from, PeerMessage::Member(message)) => {
                self.handle_member_event(index, MemberEvent::Received { from, message });
            }
            Event::PeerMessage(index, from, PeerMessage::Config(message)) => {
                self.handle_config_event(index, ConfigEvent::Received { from, message });
            }
            Event::PlatformResponse(index, event) => self.handle_config_event(index, event),
            Event::WatchTimeout(index, number) => {
                if self.nodes[index]
                    .watch
                    .take_if(|(open, _)| *open == number)
                    .is_some()
                {
                    self.nodes[index].bytes.platform += PLATFORM_CALL_BYTES;
                    self.handle_config_event(index, ConfigEvent::HeadUnchanged);
                }
            }
            Event::Publish => self.publish(),
        }
    }

    fn handle_member_event(&mut self, index: usize, event: MemberEvent) {
        let now = monotonic_time(self.now);
        let effects = self.nodes[index].members.handle(event, now, &mut self.rng);
        for effect in effects {
            match effect {
                MemberEffect::Send {
                    address,
                    to,
                    message,
                } => {
                    if let Some(target) = self.index_by_address.get(&address).copied() {
                        let message = PeerMessage::Member(message);
                        self.send(index, target, to.as_ref(), message);
                    }
                }
                MemberEffect::MembersChanged { domain } => {
                    self.handle_config_event(index, ConfigEvent::MembersChanged(domain));
                }
                MemberEffect::PeerVersion { peer, version } => {
                    self.handle_config_event(index, ConfigEvent::PeerVersion { peer, version });
                }
                MemberEffect::StateChanged { state, .. } => {
                    let dead = state == cornelarch_core::membership::MemberState::Dead;
                    self.false_deaths += u64::from(dead);
                }
            }
        }
    }

    fn handle_config_event(&mut self, index: usize, event: ConfigEvent) {
        let effects = self.nodes[index]
            .config
            .handle(event, monotonic_time(self.now));
        for effect in effects {
            match effect {
                ConfigEffect::ReadHead => self.send_head(index),
                ConfigEffect::WatchHead { after_version } => self.open_watch(index, after_version),
                ConfigEffect::StopWatch => self.nodes[index].watch = None,
                ConfigEffect::ReadBase { base_id, .. } => self.send_base(index, base_id),
                ConfigEffect::Send { to, message } => self.send_config(index, &to, message),
                ConfigEffect::Activate { version, .. } => {
                    self.nodes[index].activations.push((version, self.now));
                    self.handle_member_event(index, MemberEvent::ConfigVersion(version));
                }
                ConfigEffect::Rejected { error } => {
                    eprintln!("configuration change rejected: {error}")
                }
            }
        }
    }

    fn send_config(&mut self, index: usize, to: &HolderId, message: ConfigMessage) {
        if let Some(target) = self.index_by_holder.get(to).copied() {
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
        if !self.draw_loss() {
            let delay = self.delay(from, target);
            self.schedule(delay, Event::PeerMessage(target, holder, message));
        }
    }

    fn draw_loss(&mut self) -> bool {
        self.options.loss > 0.0 && self.rng.random_bool(self.options.loss)
    }

    fn delay(&self, from: usize, target: usize) -> Duration {
        if self.nodes[from].domain == self.nodes[target].domain {
            DOMAIN_DELAY
        } else if self.options.domains <= 4 {
            REGION_DELAY
        } else {
            REMOTE_DELAY
        }
    }

    /// Schedules the response to a platform call. A failed call is reported after the same delay as a
    /// response, like a closed connection, and not by a time-out.
    fn send_platform_response(&mut self, index: usize, bytes: usize, event: ConfigEvent) {
        self.nodes[index].bytes.platform += PLATFORM_CALL_BYTES + bytes as u64;
        let event = if self.draw_loss() {
            ConfigEvent::PlatformDown
        } else {
            event
        };
        self.schedule(PLATFORM_DELAY, Event::PlatformResponse(index, event));
    }

    fn send_head(&mut self, index: usize) {
        let head = self.head.clone();
        let bytes = serde_json::to_vec(&head).map_or(0, |value| value.len());
        let object_version = self.object_version;
        let event = ConfigEvent::HeadRead {
            object_version,
            head,
        };
        self.send_platform_response(index, bytes, event);
    }

    fn send_base(&mut self, index: usize, base_id: String) {
        match self.bases.get(&base_id).cloned() {
            Some(text) => self.send_platform_response(
                index,
                text.len(),
                ConfigEvent::BaseRead { base_id, text },
            ),
            None => self.send_platform_response(index, 0, ConfigEvent::BaseMissing { base_id }),
        }
    }

    fn open_watch(&mut self, index: usize, after_version: u64) {
        if self.object_version > after_version {
            self.nodes[index].watch = None;
            self.send_head(index);
            return;
        }
        let number = self.next_event + 1;
        self.nodes[index].watch = Some((number, after_version));
        self.schedule(WATCH_TIMEOUT, Event::WatchTimeout(index, number));
    }

    fn publish(&mut self) {
        if self.now > WARM_UP + self.options.duration {
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
                self.send_head(index);
            }
        }
        let jitter: f64 = self.rng.random_range(0.5..1.5);
        self.schedule(self.options.change_interval.mul_f64(jitter), Event::Publish);
    }

    fn collect_delays(&self) -> Vec<Option<Duration>> {
        let mut delays: Vec<Option<Duration>> = self
            .published
            .iter()
            .map(|(version, published)| {
                let times = self.nodes.iter().map(|node| {
                    let reached = node
                        .activations
                        .iter()
                        .find(|(reached, _)| reached >= version);
                    reached.map(|(_, time)| time.saturating_sub(*published))
                });
                times.collect::<Option<Vec<Duration>>>()?.into_iter().max()
            })
            .collect();
        delays.sort_by_key(|delay| delay.unwrap_or(Duration::MAX));
        delays
    }
}

fn monotonic_time(now: Duration) -> MonotonicTime {
    MonotonicTime::START + now
}
