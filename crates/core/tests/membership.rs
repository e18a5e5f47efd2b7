//! Tests of membership in a simulated network with virtual time and seeded randomness.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use cornelarch_core::{
    base::{DomainName, HolderId, InstanceName, MonotonicTime},
    membership::{
        InstanceHint, MemberEffect, MemberEvent, MemberMessage, MemberOptions, MemberRecord,
        MemberState, MemberTable, choose_owner,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Simulation step, in milliseconds; messages arrive one step after they were sent.
const STEP_MS: u64 = 100;
/// Members per domain, as at the target size of 350 instances in 12 domains.
const DOMAIN_SIZE: usize = 29;
/// Maximum message size according to the design, in bytes.
const MAX_MESSAGE_BYTES: usize = 600;

struct Fleet {
    rng: ChaCha8Rng,
    now_ms: u64,
    tables: BTreeMap<String, MemberTable>,
    in_flight: Vec<(String, String, HolderId, MemberMessage)>,
    /// Addresses of instances that neither send nor receive.
    stopped: BTreeSet<String>,
    /// Addresses on the other side of a network partition.
    partitioned: BTreeSet<String>,
    loss: f64,
    sent: HashMap<String, (u64, u64)>,
    largest: usize,
    declared_dead: Vec<String>,
    /// Times at which the members first heard of a configuration version, by address.
    heard: BTreeMap<String, u64>,
}

fn address(index: usize) -> String {
    format!("10.0.{}.{}:7100", index / 250, index % 250)
}

fn instance(index: usize) -> InstanceName {
    InstanceName::from(format!("router-{index:03}"))
}

fn domain(index: usize, domains: usize) -> DomainName {
    DomainName::from(format!("domain-{:02}", index % domains))
}

impl Fleet {
    fn new(seed: u64, size: usize) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            tables: BTreeMap::new(),
            in_flight: Vec::new(),
            stopped: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            loss: 0.0,
            sent: HashMap::new(),
            largest: 0,
            declared_dead: Vec::new(),
            heard: BTreeMap::new(),
        };
        let domains = size.div_ceil(DOMAIN_SIZE).max(2);
        for index in 0..size {
            fleet.start(index, domains);
        }
        fleet
    }

    fn start(&mut self, index: usize, domains: usize) {
        let holder = HolderId::new(instance(index), self.rng.random());
        let seeds = vec![address(0), address(1)];
        let domain = domain(index, domains);
        let options = MemberOptions::default();
        let table = MemberTable::new(holder, domain, address(index), seeds, options);
        self.tables.insert(address(index), table);
        self.stopped.remove(&address(index));
    }

    fn handle_event(&mut self, address: &str, event: MemberEvent) {
        let now = MonotonicTime::from_millis(self.now_ms);
        let table = self.tables.get_mut(address).expect("table exists");
        let effects = table.handle(event, now, &mut self.rng);
        let local = table.local().holder.clone();
        for effect in effects {
            match effect {
                MemberEffect::Send {
                    address: to,
                    message,
                    ..
                } => {
                    let bytes = message_bytes(&message);
                    let sent = self.sent.entry(address.to_owned()).or_default();
                    *sent = (sent.0 + 1, sent.1 + bytes as u64);
                    self.largest = self.largest.max(bytes);
                    self.in_flight
                        .push((address.to_owned(), to, local.clone(), message));
                }
                MemberEffect::StateChanged {
                    holder,
                    state: MemberState::Dead,
                    ..
                } => self.declared_dead.push(holder.instance.to_string()),
                MemberEffect::PeerVersion { version, .. } if version > 0 => {
                    let heard = self.heard.entry(address.to_owned());
                    heard.or_insert(self.now_ms);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now_ms + duration.as_millis() as u64;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            for (from, to, holder, message) in std::mem::take(&mut self.in_flight) {
                let separated = self.partitioned.contains(&from) != self.partitioned.contains(&to);
                let stopped = self.stopped.contains(&from) || self.stopped.contains(&to);
                let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
                if !separated && !stopped && !lost && self.tables.contains_key(&to) {
                    let from = holder;
                    self.handle_event(&to, MemberEvent::Received { from, message });
                }
            }
            let addresses: Vec<String> = self.tables.keys().cloned().collect();
            for address in addresses {
                if !self.stopped.contains(&address) {
                    self.handle_event(&address, MemberEvent::Tick);
                }
            }
        }
    }

    fn run_secs(&mut self, seconds: u64) {
        self.run(Duration::from_secs(seconds));
    }

    fn hint_all(&mut self) {
        let hints: Vec<InstanceHint> = self
            .tables
            .values()
            .map(|table| InstanceHint {
                instance: table.local().holder.instance.clone(),
                address: table.local().address.clone(),
            })
            .collect();
        let addresses: Vec<String> = self.tables.keys().cloned().collect();
        for address in addresses {
            self.handle_event(&address, MemberEvent::InstanceList(hints.clone()));
        }
    }

    fn state(&self, at: usize, about: usize) -> Option<MemberState> {
        let member = self.tables[&address(at)].member(&instance(about));
        member.map(|member| member.record.state)
    }

    fn live_count(&self, at: usize) -> usize {
        self.tables[&address(at)].live_records().count()
    }
}

/// Returns an upper bound on the size of a message in thrift's compact protocol.
fn message_bytes(message: &MemberMessage) -> usize {
    let holder = |holder: &HolderId| holder.instance.len() + 2 + 11 + 3;
    let record = |record: &MemberRecord| {
        holder(&record.holder) + record.domain.len() + record.address.len() + 4 + 4 + 6 + 1
    };
    // The envelope carries the sender and the receiver.
    let envelope = 4 + 2 * 26 + 6;
    envelope
        + match message {
            MemberMessage::Ping(body) | MemberMessage::Ack(body) => {
                20 + record(&body.sender) + body.updates.iter().map(record).sum::<usize>()
            }
            MemberMessage::PingRequest { target, .. } => 12 + holder(target),
            MemberMessage::TableRequest { sender, .. } => 11 + record(sender),
            MemberMessage::TableChunk { records } => 4 + records.iter().map(record).sum::<usize>(),
            MemberMessage::Leaving { .. } | MemberMessage::VersionNotice { .. } => 6,
        }
}

/// Guards against members that are not discovered, or declared dead although they respond, with and
/// without message loss.
#[rstest]
fn members_are_found_and_stay_live(#[values(1, 2, 3)] seed: u64, #[values(0.0, 0.1)] loss: f64) {
    let mut fleet = Fleet::new(seed, 30);
    fleet.loss = loss;
    fleet.run_secs(60);
    assert!((0..30).all(|index| fleet.live_count(index) == 30));
    fleet.declared_dead.clear();
    fleet.run_secs(300);
    assert_eq!(fleet.declared_dead, Vec::<String>::new());
}

/// Guards against instances of a large fleet that know only part of the others when traffic starts,
/// 10 s after the instances. Several instances of a domain would then consider themselves the owner
/// of a budget, and each would draw a reserve.
#[rstest]
#[case::calm(0.0, 5)]
#[case::lossy(0.05, 10)]
fn large_fleet_is_discovered_soon_after_start(
    #[case] loss: f64,
    #[case] seconds: u64,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = Fleet::new(seed, 295);
    fleet.loss = loss;
    fleet.run_secs(seconds);
    let min_live = (0..295).map(|index| fleet.live_count(index)).min();
    assert_eq!(min_live, Some(295));
}

/// Guards against a replaced instance that knows no other member for a long time and therefore
/// considers itself the owner of every key.
#[rstest]
fn new_instance_discovers_a_large_fleet_within_two_seconds(#[values(1, 2)] seed: u64) {
    let mut fleet = Fleet::new(seed, 295);
    fleet.run_secs(30);
    fleet.start(200, 11);
    fleet.run_secs(2);
    assert_eq!(fleet.live_count(200), 295);
}

/// Guards against a failed member that remains live, and against others that are declared dead with
/// it.
#[rstest]
fn failed_member_is_declared_dead(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(seed, 30);
    fleet.run_secs(60);
    fleet.stopped.insert(address(7));
    fleet.run_secs(25);
    for index in (0..30).filter(|index| *index != 7) {
        assert_eq!(fleet.state(index, 7), Some(MemberState::Dead), "at {index}");
        assert_eq!(fleet.live_count(index), 29);
    }
    assert!(fleet.declared_dead.iter().all(|name| name == "router-007"));
}

/// Guards against a briefly paused member that is declared dead before it can refute the suspicion,
/// and against a returning member that stays dead.
#[rstest]
#[case::short_pause(3, false)]
#[case::long_pause(60, true)]
fn paused_member_refutes(#[case] pause_s: u64, #[case] dies: bool, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(seed, 30);
    fleet.run_secs(60);
    let before = fleet.tables[&address(7)].local().incarnation;
    fleet.stopped.insert(address(7));
    fleet.run_secs(pause_s);
    fleet.stopped.remove(&address(7));
    fleet.run_secs(40);
    assert_eq!(!fleet.declared_dead.is_empty(), dies);
    for index in (0..30).filter(|index| *index != 7) {
        assert_eq!(
            fleet.state(index, 7),
            Some(MemberState::Alive),
            "at {index}"
        );
    }
    assert!(fleet.tables[&address(7)].local().incarnation > before);
}

/// Guards against peers that keep the epoch of a process that was restarted, and would send
/// transfers to the previous incarnation.
#[rstest]
fn restarted_process_replaces_the_earlier_one(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(seed, 30);
    fleet.run_secs(60);
    fleet.start(7, 2);
    fleet.run_secs(40);
    let holder = fleet.tables[&address(7)].local().holder.clone();
    for index in (0..30).filter(|index| *index != 7) {
        let table = &fleet.tables[&address(index)];
        let member = table.member(&instance(7)).expect("member is known");
        assert_eq!(member.record.holder, holder, "at {index}");
        assert_eq!(member.record.state, MemberState::Alive);
    }
    assert_eq!(fleet.live_count(7), 30);
}

/// Guards against requests and ownership for an instance that is shutting down.
#[rstest]
fn leaving_member_is_not_live_any_more(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(seed, 30);
    fleet.run_secs(60);
    fleet.handle_event(&address(7), MemberEvent::LeaveStarted);
    fleet.run(Duration::from_millis(STEP_MS));
    for index in (0..30).filter(|index| index % 2 == 1 && *index != 7) {
        assert_eq!(fleet.state(index, 7), Some(MemberState::Leaving));
    }
    fleet.run_secs(10);
    for index in (0..30).filter(|index| *index != 7) {
        assert_eq!(
            fleet.state(index, 7),
            Some(MemberState::Leaving),
            "at {index}"
        );
    }
    assert_eq!(fleet.declared_dead, Vec::<String>::new());
}

/// Guards against parts of a fleet that do not rediscover each other after a long partition.
#[rstest]
fn partition_heals(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(seed, 30);
    fleet.run_secs(60);
    fleet.partitioned = (0..30)
        .filter(|index| index % 2 == 1)
        .map(address)
        .collect();
    fleet.run_secs(3_600);
    assert!((0..30).all(|index| fleet.live_count(index) == 15));
    fleet.partitioned.clear();
    fleet.run_secs(60);
    assert!((0..30).all(|index| fleet.live_count(index) == 30));
}

/// Guards against instances that the platform rejects and that learn of a newer configuration only
/// when their turn in a round of pings comes. Users allow two seconds, of which half a second is
/// left for the transfer.
#[rstest]
#[case::one_domain(8, 2, 0.0)]
#[case::one_domain_of_many_instances(79, 3, 0.0)]
#[case::one_of_eight(79, 8, 0.05)]
#[case::full_links(79, 8, 0.4)]
fn rejected_instances_hear_late_of_a_version(
    #[case] size: usize,
    #[case] rejected_period: usize,
    #[case] loss: f64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut fleet = Fleet::new(seed, size);
    fleet.run_secs(30);
    // All instances started at once and ping in step, those of other domains every 3 s.
    fleet.run(Duration::from_millis(seed * 300));
    fleet.loss = loss;
    let published = fleet.now_ms;
    let served = (0..size).filter(|index| index % rejected_period != 0);
    let mut active: BTreeSet<String> = served.map(address).collect();
    for member in active.clone() {
        fleet.handle_event(&member, MemberEvent::ConfigVersion(1));
    }
    while fleet.now_ms < published + 1_500 {
        fleet.run(Duration::from_millis(STEP_MS));
        // A peer delivers the version to an instance that has heard of it.
        let delivered = fleet
            .heard
            .iter()
            .filter(|(_, at)| **at + 500 <= fleet.now_ms);
        let delivered: Vec<String> = delivered.map(|(member, _)| member.clone()).collect();
        for member in delivered {
            if active.insert(member.clone()) {
                fleet.handle_event(&member, MemberEvent::ConfigVersion(1));
            }
        }
    }
    let late: Vec<String> = (0..size)
        .map(address)
        .filter(|member| !active.contains(member) && !fleet.heard.contains_key(member))
        .collect();
    assert_eq!(late, Vec::<String>::new(), "have not heard of the version");
}

/// Guards against instances of one domain that choose different owners although they agree on the
/// members, and against a failure that reassigns more keys than those of the failed member.
#[test]
fn owners_agree_and_few_keys_move() {
    let mut fleet = Fleet::new(1, 30);
    fleet.run_secs(60);
    let local_domain = domain(1, 2);
    let members: Vec<usize> = (0..30).filter(|index| index % 2 == 1).collect();
    let names: Vec<InstanceName> = members.iter().map(|index| instance(*index)).collect();
    let mut moved = 0;
    for shard in 0..1_000 {
        let key = format!("ledger/{shard}");
        let owners: BTreeSet<&InstanceName> = members
            .iter()
            .filter_map(|index| fleet.tables[&address(*index)].owner(&local_domain, &key))
            .map(|record| &record.holder.instance)
            .collect();
        assert_eq!(owners.len(), 1);
        let before = choose_owner(&key, names.iter());
        let after = choose_owner(&key, names[1..].iter());
        assert!(before == after || before == Some(&names[0]));
        moved += usize::from(before != after);
    }
    assert!((30..120).contains(&moved), "{moved} of 1000 moved");
}

/// Guards against a message rate or message size per instance that grows with the fleet.
#[rstest]
fn cost_per_instance_is_constant(#[values(9, 30, 350)] size: usize) {
    let mut fleet = Fleet::new(5, size);
    fleet.hint_all();
    // All members are settled after this time, so the steady state is measured.
    fleet.run_secs(100);
    fleet.sent.clear();
    fleet.largest = 0;
    fleet.run_secs(30);
    let (messages, bytes) = fleet
        .sent
        .values()
        .fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1));
    let per_second = |amount: u64| amount as f64 / 30.0 / size as f64;
    let (messages, bytes) = (per_second(messages), per_second(bytes));
    println!(
        "{size} instances: {messages:.2} messages/s and {bytes:.0} bytes/s sent per instance, \
         largest message {} bytes",
        fleet.largest
    );
    assert!((0..size).all(|index| fleet.live_count(index) == size));
    assert!(messages < 3.5);
    assert!(fleet.largest <= MAX_MESSAGE_BYTES);
}
