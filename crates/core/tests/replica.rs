//! Exchange of configurations between instances, with lost, late and forged messages.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use cornelarch_core::{
    base::{CustomerName, HolderId, InstanceName, MonotonicTime, ServiceName, TokenCount},
    route::{
        CustomerRecord, RequestLimits, RouteDocument, RouteKind, RouteLookup, RouteRule,
        ServiceRecord, SplitTarget,
        replica::{
            DocumentIndex, DocumentPart, DocumentReplica, ReplicaEffect, ReplicaEvent,
            ReplicaOptions, RequestChannel,
        },
    },
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Interval between ticks of a replica.
const TICK: Duration = Duration::from_millis(100);
/// Time limit for an exchange. Losses delay it by one retry each.
const EXCHANGE: Duration = Duration::from_secs(60);

fn peer(number: u64) -> HolderId {
    HolderId::new(InstanceName::new(&format!("g{number}")), 1)
}

fn route(prefix: &str, service: &str) -> RouteRule {
    RouteRule {
        name: format!("{prefix} to {service}"),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Streaming { is_resumable: true },
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(300),
        attempts: 2,
        priority: 1,
        targets: vec![SplitTarget {
            service: ServiceName::new(service),
            weight: 90,
        }],
        is_public: false,
        homes: BTreeSet::new(),
    }
}

fn customer(name: &str) -> CustomerRecord {
    CustomerRecord {
        name: CustomerName::new(name),
        priority: Some(1),
        prepaid: Some(TokenCount::new(500)),
        homes: BTreeSet::new(),
    }
}

fn document(version: u64, routes: usize) -> RouteDocument {
    let mut document = RouteDocument::new(version);
    for number in 0..routes {
        document.add_route(route(&format!("/r{number}/"), "plain"));
    }
    document.add_customer(customer("acme"), ["k2".to_owned(), "k1".to_owned()]);
    document.add_service(ServiceRecord {
        name: ServiceName::new("plain"),
        is_engine: false,
        memory_tokens: 0,
        event_tokens: 1,
        cold: None,
    });
    document.limits = Some(RequestLimits::default());
    document
}

/// A replica with its active document, whose messages are delivered by the test.
struct Instance {
    replica: DocumentReplica,
    active: Arc<DocumentIndex>,
    document: Option<RouteDocument>,
    now: MonotonicTime,
    generator: StdRng,
}

impl Instance {
    fn new(document: Option<RouteDocument>) -> Self {
        let index = document.as_ref().map(DocumentIndex::new);
        Self {
            replica: DocumentReplica::new(ReplicaOptions::default()),
            active: Arc::new(index.unwrap_or_else(DocumentIndex::empty)),
            document,
            now: MonotonicTime::START,
            generator: StdRng::seed_from_u64(7),
        }
    }

    fn handle(&mut self, event: ReplicaEvent) -> Vec<ReplicaEffect> {
        let (active, version) = (Arc::clone(&self.active), self.active.version());
        let index = || Arc::clone(&active);
        let mut effects = self
            .replica
            .handle(event, version, index, self.now, &mut self.generator);
        if let Some(ReplicaEffect::Activate(_)) = effects.last()
            && let Some(ReplicaEffect::Activate(document)) = effects.pop()
        {
            assert!(document.version > version, "the version goes back");
            self.active = Arc::new(DocumentIndex::new(&document));
            self.document = Some(*document);
        }
        effects
    }

    fn hear(&mut self, number: u64, version: u64) {
        let peer = peer(number);
        let effects = self.handle(ReplicaEvent::PeerVersion { peer, version });
        assert!(effects.is_empty());
    }

    fn receive(&mut self, part: DocumentPart) -> Vec<ReplicaEffect> {
        let from = peer(1);
        self.handle(ReplicaEvent::PartReceived { from, part })
    }

    fn tick(&mut self) -> Vec<ReplicaEffect> {
        self.now = self.now + TICK;
        self.handle(ReplicaEvent::Tick)
    }

    fn wait_request(&mut self) -> (HolderId, Vec<u32>, u64) {
        for _ in 0..20 {
            if let Some(ReplicaEffect::Request { to, request, .. }) = self.tick().pop() {
                return (to, request.digests, request.version);
            }
        }
        panic!("no peer is asked");
    }

    /// Exchanges messages with a peer until the version is active. `is_lost` decides about each
    /// message. Returns the number of parts that were sent.
    fn update(&mut self, peer: &DocumentIndex, mut is_lost: impl FnMut() -> bool) -> usize {
        self.hear(1, peer.version());
        let end = self.now + EXCHANGE;
        let (mut parts, mut sent) = (VecDeque::new(), 0);
        while self.active.version() < peer.version() {
            assert!(self.now < end, "the exchange does not end");
            let effects = match parts.pop_front() {
                Some(part) => self.receive(part),
                None => self.tick(),
            };
            for effect in effects {
                if let ReplicaEffect::Request {
                    request,
                    channel: RequestChannel::Datagram,
                    ..
                } = effect
                    && !is_lost()
                {
                    let answer = peer.answer(&request, RequestChannel::Datagram);
                    sent += answer.len();
                    parts.extend(answer.into_iter().filter(|_| !is_lost()));
                }
            }
        }
        sent
    }
}

/// Guards against a route, key or limit that is lost or changed on its way through a peer.
#[test]
fn exchanged_document_differs() {
    let target = DocumentIndex::new(&document(9, 300));
    let mut instance = Instance::new(Some(document(2, 10)));
    instance.update(&target, || false);
    assert_eq!(*instance.active, target);
    let found = instance.document.expect("document");
    assert_eq!((found.version, found.route_count()), (9, 300));
    assert_eq!(
        found.find_customer("k1").map(|c| &*c.name),
        Some("acme"),
        "a key is lost"
    );
    assert!(found.has_customers && found.limits.is_some());
    assert!(found.service(&ServiceName::new("plain")).is_some());
}

/// Guards against requests without a key that are admitted at instances which got a configuration
/// without customers from a peer: such a configuration may require keys all the same.
#[test]
fn required_keys_are_lost() {
    let mut target = RouteDocument::new(3);
    target.add_route(route("/r0/", "plain"));
    target.has_customers = true;
    let mut instance = Instance::new(Some(document(2, 5)));
    instance.update(&DocumentIndex::new(&target), || false);
    assert!(instance.document.is_some_and(|found| found.has_customers));
    let open = RouteDocument::new(4);
    let mut instance = Instance::new(Some(target));
    instance.update(&DocumentIndex::new(&open), || false);
    assert!(instance.document.is_some_and(|found| !found.has_customers));
}

/// Guards against a change of one route that transfers the whole configuration, which a full link
/// does not carry in time.
#[test]
fn small_change_transfers_everything() {
    let mut changed = document(3, 1_600);
    changed.add_route(route("/new/", "plain"));
    let target = DocumentIndex::new(&changed);
    let mut instance = Instance::new(Some(document(2, 1_600)));
    instance.hear(1, 3);
    let (_, digests, version) = instance.wait_request();
    let request = cornelarch_core::route::replica::DocumentRequest { version, digests };
    let parts = target.answer(&request, RequestChannel::Datagram);
    let bytes: usize = parts
        .iter()
        .flat_map(|part| &part.buckets)
        .map(|bucket| bucket.entries.len())
        .sum();
    assert_eq!(parts.len(), 1);
    assert!(bytes < 8_000, "{bytes} bytes");
}

/// Guards against a removed route or a revoked key that stays in force.
#[test]
fn removed_entries_stay() {
    let mut smaller = RouteDocument::new(3);
    smaller.add_route(route("/r0/", "plain"));
    smaller.add_customer(customer("acme"), ["k2".to_owned()]);
    let mut instance = Instance::new(Some(document(2, 50)));
    instance.update(&DocumentIndex::new(&smaller), || false);
    let found = instance.document.expect("document");
    assert!(found.find_customer("k1").is_none());
    assert_eq!(
        found.find_route("shop.example", "/r1/x"),
        RouteLookup::Missing
    );
}

/// Guards against another precedence of routes with the same prefix.
#[test]
fn first_of_equal_prefixes_is_replaced() {
    let mut target = document(3, 5);
    target.add_route(route("/twice/", "zulu"));
    target.add_route(route("/twice/", "alpha"));
    let mut instance = Instance::new(None);
    instance.update(&DocumentIndex::new(&target), || false);
    let found = instance.document.expect("document");
    let RouteLookup::Found(rule) = found.find_route("shop.example", "/twice/x") else {
        panic!("route is missing");
    };
    assert_eq!(rule.name, "/twice/ to zulu");
}

/// Guards against a peer with an older configuration that is asked, answers, or is believed.
#[test]
fn older_document_of_a_peer_is_taken() {
    let older = DocumentIndex::new(&document(4, 5));
    let mut instance = Instance::new(Some(document(7, 9)));
    instance.hear(1, 4);
    for _ in 0..30 {
        assert!(instance.tick().is_empty());
    }
    let request = instance.active.request(7);
    assert!(older.answer(&request, RequestChannel::Datagram).is_empty());
    let mut part = older.answer(&DocumentIndex::empty().request(0), RequestChannel::Datagram);
    instance.hear(2, 8);
    instance.wait_request();
    assert!(instance.receive(part.remove(0)).is_empty());
    assert_eq!(instance.active.version(), 7);
}

/// Guards against a damaged part that ends up in the configuration.
#[test]
fn damaged_part_is_taken() {
    let target = DocumentIndex::new(&document(3, 5));
    let mut instance = Instance::new(Some(document(2, 5)));
    instance.hear(1, 3);
    instance.wait_request();
    let mut part = target
        .answer(&DocumentIndex::empty().request(0), RequestChannel::Datagram)
        .remove(0);
    for bucket in &mut part.buckets {
        bucket.entries = bucket.entries.replace("plain", "other");
    }
    part.digests.truncate(5);
    assert!(instance.receive(part).is_empty());
    assert_eq!(instance.active.version(), 2);
    instance.update(&target, || false);
    assert_eq!(*instance.active, target);
}

/// Guards against an exchange that begins anew for each version of a quick series, or mixes two.
#[test]
fn version_published_during_the_exchange_mixes_entries() {
    let (middle, mut newest) = (DocumentIndex::new(&document(3, 900)), document(4, 900));
    newest.add_route(route("/new/", "plain"));
    let newest = DocumentIndex::new(&newest);
    let mut instance = Instance::new(Some(document(2, 5)));
    instance.hear(1, 3);
    let (_, digests, version) = instance.wait_request();
    let request = cornelarch_core::route::replica::DocumentRequest { version, digests };
    let mut parts = middle.answer(&request, RequestChannel::Datagram);
    let whole = newest.answer(&request, RequestChannel::Datagram);
    assert!(whole.len() > 1);
    let _ = instance.receive(parts.remove(0));
    instance.update(&newest, || false);
    assert_eq!(*instance.active, newest);
}

/// Guards against retries that add to the load of a full link.
#[test]
fn unanswered_requests_follow_each_other_closely() {
    let mut instance = Instance::new(Some(document(2, 5)));
    instance.hear(1, 3);
    let requests = (0..100).filter(|_| !instance.tick().is_empty()).count();
    assert!((4..=9).contains(&requests), "{requests} in 10 s");
}

/// Guards against a version that comes late because a full link loses several requests or answers
/// in a row. Users allow three seconds, of which one is left for hearing of the version.
#[test]
fn full_link_delays_a_version() {
    let target = DocumentIndex::new(&document(3, 60));
    let limit = Duration::from_secs(2);
    let delays = (0..200).map(|seed| {
        let mut generator = StdRng::seed_from_u64(seed);
        let mut instance = Instance::new(Some(document(2, 60)));
        (1..9).for_each(|number| instance.hear(number, 3));
        instance.update(&target, || generator.random_bool(0.4));
        instance.now.since(MonotonicTime::START)
    });
    let late = delays.filter(|delay| *delay > limit).count();
    assert!(late <= 10, "{late} of 200 are late");
}

/// Guards against a version that never comes while a full link loses every datagram. A connection
/// is only delayed; opening it and asking take a round trip each.
#[test]
fn lost_datagrams_stop_the_exchange() {
    let round_trips = Duration::from_millis(800);
    let target = DocumentIndex::new(&document(3, 60));
    let mut instance = Instance::new(Some(document(2, 10)));
    (1..9).for_each(|number| instance.hear(number, 3));
    let mut connections = VecDeque::new();
    while instance.active.version() < 3 {
        let elapsed = instance.now.since(MonotonicTime::START);
        assert!(elapsed < Duration::from_secs(2), "version 3 is late");
        for effect in instance.tick() {
            if let ReplicaEffect::Request {
                request,
                channel: RequestChannel::Connection,
                ..
            } = effect
            {
                connections.push_back((instance.now + round_trips, request));
            }
        }
        while connections
            .front()
            .is_some_and(|(at, _)| *at <= instance.now)
        {
            let (_, request) = connections.pop_front().expect("is not empty");
            for part in target.answer(&request, RequestChannel::Connection) {
                let _ = instance.receive(part);
            }
        }
    }
    assert_eq!(*instance.active, target);
}

/// Guards against an entry that does not fit into a datagram and therefore never arrives from a
/// peer.
#[test]
fn large_entry_never_arrives() {
    let mut target = document(3, 60);
    let keys = (0..1_000).map(|number| format!("key-number-{number:08}"));
    target.add_customer(customer("large"), keys);
    let target = DocumentIndex::new(&target);
    let mut instance = Instance::new(Some(document(2, 10)));
    instance.hear(1, 3);
    let mut requests = VecDeque::new();
    while instance.active.version() < 3 {
        let elapsed = instance.now.since(MonotonicTime::START);
        assert!(elapsed < Duration::from_secs(2), "version 3 is late");
        requests.extend(instance.tick());
        while let Some(ReplicaEffect::Request {
            request, channel, ..
        }) = requests.pop_front()
        {
            for part in target.answer(&request, channel) {
                requests.extend(instance.receive(part));
            }
        }
    }
    assert_eq!(*instance.active, target);
}

/// Guards against asking a peer that has stopped although others have the version.
#[test]
fn only_one_peer_is_asked() {
    let mut instance = Instance::new(Some(document(2, 5)));
    for number in 1..=4 {
        instance.hear(number, 3);
    }
    let mut asked: Vec<HolderId> = (0..200)
        .flat_map(|_| instance.tick())
        .filter_map(|effect| match effect {
            ReplicaEffect::Request { to, .. } => Some(to),
            ReplicaEffect::Activate(_) => None,
        })
        .collect();
    asked.sort();
    asked.dedup();
    assert!(asked.len() > 1, "{asked:?}");
}

/// Guards against an instance that asks only the first peers with a version, which a partition has
/// cut off since, although others have announced it too.
#[test]
fn later_sources_are_not_asked() {
    let mut instance = Instance::new(Some(document(2, 5)));
    (1..=20).for_each(|number| instance.hear(number, 3));
    let mut requests = (0..50).flat_map(|_| instance.tick());
    let asked = |number| {
        let to = peer(number);
        move |effect| matches!(effect, ReplicaEffect::Request { to: asked, .. } if asked == to)
    };
    assert!(requests.any(asked(20)), "the last source is not asked");
}

/// Guards against a newer version that waits for the long retry of an earlier one.
#[test]
fn newer_version_waits_for_the_retry_of_an_earlier_one() {
    let mut instance = Instance::new(Some(document(2, 5)));
    instance.hear(1, 3);
    let first = (0..50).filter(|_| !instance.tick().is_empty()).count();
    assert!(first > 2);
    while instance.tick().is_empty() {}
    instance.hear(1, 4);
    let is_asked = (0..5).any(|_| !instance.tick().is_empty());
    assert!(is_asked, "no peer is asked within half a second");
}

/// Guards against a quick series of versions that leads to a request for each.
#[test]
fn each_version_of_a_series_is_asked_for() {
    let mut instance = Instance::new(Some(document(2, 5)));
    let mut ticks_with_requests = 0;
    for version in 3..53 {
        instance.hear(1, version);
        ticks_with_requests += usize::from(!instance.tick().is_empty());
    }
    assert!(ticks_with_requests <= 25, "{ticks_with_requests} in 5 s");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against an exchange that ends with another document, or never, when messages are lost.
    #[test]
    fn lost_messages_stop_the_exchange(
        before in 0_usize..200,
        after in 0_usize..200,
        loss in 0_u32..6,
        seed in any::<u64>(),
    ) {
        let mut generator = StdRng::seed_from_u64(seed);
        let target = DocumentIndex::new(&document(3, after));
        let mut instance = Instance::new(Some(document(2, before)));
        instance.update(&target, || rand::Rng::random_ratio(&mut generator, loss, 10));
        prop_assert_eq!(&*instance.active, &target);
    }
}
