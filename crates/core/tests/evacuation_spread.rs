//! Spread of evacuations over a fleet in virtual time: lost, late and doubled messages, outages of the
//! store, cuts of domains and restarts of instances, in seeded schedules.

use std::collections::BTreeSet;

use cornelarch_core::{
    base::{DomainName, MonotonicTime},
    placement::{
        EvacuationEvent, EvacuationNews, EvacuationState, PlacementOptions, PlacementTable,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::index::sample};
use rstest::rstest;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const PER_DOMAIN: usize = 6;
const INSTANCES: usize = 3 * PER_DOMAIN;
/// Instances of each domain that watch the store.
const READERS: usize = 3;
const REPEAT_PEERS: usize = 3;
const STEP_MS: u64 = 50;
const TICK_MS: u64 = 200;
const REPEAT_MS: u64 = 1_000;
/// Time limit for the end of new requests to an evacuated domain.
const EVACUATE_MS: u64 = 5_000;
const LENGTH_MS: u64 = 60_000;

/// A message on its way.
struct Message {
    at: u64,
    to: usize,
    state: EvacuationState,
}

struct Instance {
    table: PlacementTable,
    news: EvacuationNews,
    /// What it has read itself; `None` if it must read.
    read: Option<EvacuationState>,
    restarted_at: u64,
    /// Time since which it can reach neither the store nor a peer of another domain.
    alone_since: Option<u64>,
    in_touch_since: u64,
}

impl Instance {
    fn new(now: u64) -> Self {
        Self {
            table: PlacementTable::new(PlacementOptions::new(DomainName::new("a"))),
            news: EvacuationNews::default(),
            read: None,
            restarted_at: now,
            alone_since: None,
            in_touch_since: now,
        }
    }

    fn revision(&self) -> u64 {
        self.table.evacuations().revision
    }
}

/// A period in which something fails.
#[derive(Clone, Copy)]
struct Fault {
    from: u64,
    until: u64,
    kind: FaultKind,
}

#[derive(Clone, Copy)]
enum FaultKind {
    /// The store answers nobody.
    StoreDown,
    /// The store answers the instances of the domain, and nobody else.
    StoreOnlyFor(usize),
    /// The domain reaches neither the store nor the other domains.
    Cut(usize),
}

struct Fleet {
    generator: StdRng,
    now: u64,
    store: EvacuationState,
    /// Events with their revisions.
    history: Vec<(u64, EvacuationEvent)>,
    /// Times at which the store acknowledged a change, and its revision.
    acks: Vec<(u64, u64)>,
    instances: Vec<Instance>,
    messages: Vec<Message>,
    faults: Vec<Fault>,
    /// Fraction of the messages that are lost.
    loss: f64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut generator = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..3 {
            let from = generator.random_range(0..LENGTH_MS);
            let domain = generator.random_range(0..3);
            let kind = match generator.random_range(0..3) {
                0 => FaultKind::StoreDown,
                1 => FaultKind::StoreOnlyFor(domain),
                _ => FaultKind::Cut(domain),
            };
            let until = from + generator.random_range(500..9_000);
            faults.push(Fault { from, until, kind });
        }
        Self {
            now: 0,
            store: EvacuationState {
                revision: 1,
                domains: BTreeSet::new(),
            },
            history: Vec::new(),
            acks: Vec::new(),
            instances: (0..INSTANCES).map(|_| Instance::new(0)).collect(),
            messages: Vec::new(),
            faults,
            loss: generator.random_range(0.0..0.4),
            generator,
        }
    }

    fn active(&self) -> impl Iterator<Item = FaultKind> {
        let now = self.now;
        let faults = self.faults.iter();
        let active = faults.filter(move |fault| (fault.from..fault.until).contains(&now));
        active.map(|fault| fault.kind)
    }

    fn reaches_store(&self, index: usize) -> bool {
        let domain = index / PER_DOMAIN;
        self.active().all(|kind| match kind {
            FaultKind::StoreDown => false,
            FaultKind::StoreOnlyFor(served) => served == domain,
            FaultKind::Cut(cut) => cut != domain,
        })
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (from / PER_DOMAIN, to / PER_DOMAIN);
        from == to
            || self.active().all(|kind| match kind {
                FaultKind::Cut(cut) => cut != from && cut != to,
                FaultKind::StoreDown | FaultKind::StoreOnlyFor(_) => true,
            })
    }

    fn write(&mut self) {
        let domain = DomainName::new(DOMAINS[self.generator.random_range(0..3)]);
        let event = EvacuationEvent {
            is_evacuated: !self.store.domains.contains(&domain),
            domain,
        };
        let revision = self.store.revision + self.generator.random_range(1..4);
        self.store = self.store.advance(revision, std::slice::from_ref(&event));
        self.history.push((revision, event));
        self.acks.push((self.now, revision));
    }

    /// Lets an instance read the store as the gateway does: at its start, after an outage, and, if it
    /// is a reader, each change. Some results of watches are as old as the one before.
    fn read(&mut self, index: usize) {
        let is_reader = index % PER_DOMAIN < READERS;
        if !self.reaches_store(index) {
            self.instances[index].read = None;
            return;
        }
        let read = match &self.instances[index].read {
            None => self.store.clone(),
            Some(_) if !is_reader => return,
            Some(known) => {
                let since = known.revision;
                let events = self.history.iter().filter(|(at, _)| *at > since);
                let events: Vec<_> = events.map(|(_, event)| event.clone()).collect();
                let is_outdated = self.generator.random_bool(0.2);
                let revision = if is_outdated {
                    since
                } else {
                    self.store.revision
                };
                known.advance(revision, &events)
            }
        };
        let now = MonotonicTime::from_millis(self.now);
        let instance = &mut self.instances[index];
        let change = instance.table.merge_evacuations(&read, now);
        if !change.is_empty() {
            instance.news.record_read();
        }
        instance.read = Some(read);
    }

    fn send(&mut self, from: usize, to: usize) {
        if from == to || !self.reaches(from, to) {
            return;
        }
        let state = self.instances[from].table.evacuations().clone();
        let copies = if self.generator.random_bool(0.1) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.generator.random_bool(self.loss) {
                let delay = match self.generator.random_bool(0.1) {
                    true => self.generator.random_range(0..8_000),
                    false => self.generator.random_range(0..50),
                };
                let (at, state) = (self.now + delay, state.clone());
                self.messages.push(Message { at, to, state });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |message| message.at <= now);
        for message in due.collect::<Vec<_>>() {
            // The store's revision 0 was never read.
            if message.state.revision > 0 {
                let now = MonotonicTime::from_millis(now);
                let table = &mut self.instances[message.to].table;
                table.merge_evacuations(&message.state, now);
            }
        }
    }

    fn tell(&mut self, index: usize) {
        if self.now.is_multiple_of(TICK_MS) && self.instances[index].news.take_announcement() {
            (0..INSTANCES).for_each(|to| self.send(index, to));
        }
        if !self.now.is_multiple_of(REPEAT_MS) {
            return;
        }
        let now = MonotonicTime::from_millis(self.now);
        let instance = &mut self.instances[index];
        let state = instance.table.evacuations().clone();
        if instance.news.is_repeated(&state, now) {
            for to in sample(&mut self.generator, INSTANCES, REPEAT_PEERS) {
                self.send(index, to);
            }
        }
    }

    fn step(&mut self) {
        if self.generator.random_bool(0.008)
            && !self.active().any(|k| matches!(k, FaultKind::StoreDown))
        {
            self.write();
        }
        if self.generator.random_bool(0.002) {
            // Power is lost, or a single instance ends.
            let lost = match self.generator.random_bool(0.2) {
                true => 0..INSTANCES,
                false => {
                    let index = self.generator.random_range(0..INSTANCES);
                    index..index + 1
                }
            };
            for index in lost {
                self.instances[index] = Instance::new(self.now);
            }
        }
        let before: Vec<u64> = self.instances.iter().map(Instance::revision).collect();
        self.deliver();
        for (index, revision) in before.into_iter().enumerate() {
            self.read(index);
            assert!(
                self.instances[index].revision() >= revision,
                "state goes back"
            );
            self.tell(index);
            self.update_touch(index);
        }
        self.now += STEP_MS;
    }

    /// An instance is in touch while the store serves it, or an instance that the store serves
    /// reaches it.
    fn update_touch(&mut self, index: usize) {
        let is_served = |other: usize| self.reaches_store(other) && self.reaches(other, index);
        let in_touch = self.reaches_store(index) || (0..INSTANCES).any(is_served);
        let now = self.now;
        let instance = &mut self.instances[index];
        if in_touch {
            instance.alone_since = None;
        } else {
            instance.alone_since.get_or_insert(now);
            instance.in_touch_since = now + STEP_MS;
        }
    }

    /// Checks that every instance that was in touch for the whole time limit follows all changes that
    /// were acknowledged before it.
    fn check(&self, seed: u64) -> usize {
        let Some(limit) = self.now.checked_sub(EVACUATE_MS) else {
            return 0;
        };
        let acked = self.acks.iter().filter(|(at, _)| *at <= limit);
        let Some((at, revision)) = acked.max_by_key(|(at, _)| *at) else {
            return 0;
        };
        let mut checked = 0;
        for (index, instance) in self.instances.iter().enumerate() {
            let since = instance.in_touch_since.max(instance.restarted_at);
            if since > limit || instance.alone_since.is_some() {
                continue;
            }
            checked += 1;
            let now = self.now;
            assert!(
                instance.revision() >= *revision,
                "seed {seed}: instance {index} at {now} ms lacks the change of {at} ms"
            );
        }
        checked
    }
}

/// Guards against an instance in touch that follows an evacuation later than the operator may expect,
/// whatever is lost, late or doubled, and against one that goes back to an older request.
#[rstest]
fn evacuation_is_late_at_an_instance(#[values(0, 1, 2, 3, 4, 5, 6, 7)] group: u64) {
    let mut checked = 0;
    for seed in group * 1_000..group * 1_000 + 30 {
        let mut fleet = Fleet::new(seed);
        while fleet.now < LENGTH_MS {
            fleet.step();
            checked += fleet.check(seed);
        }
    }
    assert!(checked > 100_000, "{checked}");
}
