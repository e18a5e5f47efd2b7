//! Instances that share an upstream which limits its requests, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration};

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    notice::{LimitNotice, UpstreamNotice},
    placement::{
        FlightKey, FlightOutcome, LimitReport, PlacementOptions, PlacementRequest, PlacementTable,
        PromptPart, RequestSize, UpstreamRecord,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Memory of one engine in tokens.
const MEMORY: u64 = 400_000;
const SESSIONS: u64 = 60;
/// Time in seconds from a request to the head of its response.
const HEAD_S: Range<f64> = 0.1..1.5;
/// Time in seconds from the head of a response to its end.
const BODY_S: Range<f64> = 0.1..0.8;
/// Time in seconds for a message to a peer.
const REPORT_S: f64 = 0.002;
/// Longest time in seconds after which a message is sent once more.
const REPEAT_S: f64 = 0.2;
/// Share of the messages to peers that are lost.
const LOST_SHARE: f64 = 0.1;
/// Time in seconds for which upstreams name a limit.
const LIMITED_S: Range<f64> = 8.0..24.0;
/// Time in seconds after the first naming from which a limit has to be kept.
const CONTACT_S: f64 = 3.0;
/// Time in seconds after which an instance is expected to know what a response told it.
const TOLD_S: f64 = 0.5;
const WINDOW_S: f64 = 4.0;
/// Factor and number of requests by which a limit may be exceeded in a window.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

fn time(seconds: f64) -> MonotonicTime {
    MonotonicTime::from_micros((seconds * 1e6) as u64)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum FleetEvent {
    Request,
    Head(FlightKey, usize),
    End(FlightKey),
    /// Report of a peer, by its number.
    Report(usize),
}

/// An event of one instance, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TimedEvent(u64, usize, FleetEvent);

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Load and limits of a fleet.
#[derive(Clone, Copy, Debug)]
struct FleetLoad {
    instances: usize,
    upstreams: usize,
    /// Requests a second of all instances.
    rate: f64,
    /// Requests a second that a limited upstream takes.
    limit: f64,
    /// Number of limited upstreams.
    limited: usize,
}

/// Result of a run.
#[derive(Debug, Default)]
struct FleetRun {
    /// Time in seconds, instance and upstream of each request that was sent.
    sent: Vec<(f64, usize, usize)>,
    /// Time in seconds at which each instance was first told the limit of each upstream.
    told: Vec<Vec<Option<f64>>>,
    /// Time in seconds of each request that was refused.
    refused: Vec<f64>,
}

struct VirtualFleet {
    load: FleetLoad,
    tables: Vec<PlacementTable>,
    /// Cumulated shares of the requests; instances get unequal numbers.
    weights: Vec<f64>,
    events: BinaryHeap<Reverse<TimedEvent>>,
    reports: Vec<LimitReport>,
    generator: ChaCha8Rng,
    run: FleetRun,
}

impl VirtualFleet {
    fn new(load: FleetLoad, seed: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let tables = (0..load.instances).map(|index| new_table(&load, index));
        let mut sum = 0.0;
        let weights = (0..load.instances).map(|_| {
            sum += generator.random_range(0.2..2.0);
            sum
        });
        Self {
            load,
            weights: weights.collect(),
            tables: tables.collect(),
            events: BinaryHeap::new(),
            reports: Vec::new(),
            run: FleetRun {
                told: vec![vec![None; load.upstreams]; load.instances],
                ..FleetRun::default()
            },
            generator,
        }
    }

    /// Plays the requests that arrive until `end_s`.
    fn run(mut self, end_s: f64) -> FleetRun {
        let mut arrival = 0.0;
        while arrival < end_s {
            arrival += -self.generator.random::<f64>().ln() / self.load.rate;
            let point = self.generator.random::<f64>() * self.weights[self.weights.len() - 1];
            let instance = self.weights.partition_point(|sum| *sum < point);
            self.push(arrival, instance, FleetEvent::Request);
        }
        while let Some(Reverse(TimedEvent(micros, instance, event))) = self.events.pop() {
            let now = micros as f64 / 1e6;
            match event {
                FleetEvent::Request => self.place(instance, now),
                FleetEvent::Head(flight, upstream) => self.answer(instance, flight, upstream, now),
                FleetEvent::End(flight) => {
                    let table = &mut self.tables[instance];
                    table.finish(flight, FlightOutcome::Answered, time(now));
                }
                FleetEvent::Report(number) => {
                    let report = &self.reports[number];
                    self.tables[instance].merge_limit(report, time(now));
                }
            }
        }
        self.run
    }

    fn push(&mut self, at: f64, instance: usize, event: FleetEvent) {
        let event = TimedEvent((at * 1e6) as u64, instance, event);
        self.events.push(Reverse(event));
    }

    fn place(&mut self, instance: usize, now: f64) {
        let session = self.generator.random_range(0..SESSIONS);
        let size = prompt(session, self.generator.random());
        let request = PlacementRequest {
            service: &ServiceName::new("s"),
            excluded: &[],
            homes: None,
            size: &size,
            memory_tokens: MEMORY,
            latency_limit: Duration::from_secs(2),
        };
        let table = &mut self.tables[instance];
        let Ok(placement) = table.choose(&request, time(now)) else {
            return self.run.refused.push(now);
        };
        let flight = table.start(&placement, &size, true, time(now));
        let upstream = usize::from(placement.address.port()) - 1_000;
        self.run.sent.push((now, instance, upstream));
        let head = now + self.generator.random_range(HEAD_S);
        self.push(head, instance, FleetEvent::Head(flight, upstream));
    }

    fn answer(&mut self, instance: usize, flight: FlightKey, upstream: usize, now: f64) {
        let is_limited = upstream < self.load.limited && LIMITED_S.contains(&now);
        let notice = UpstreamNotice {
            limit: match is_limited {
                true => LimitNotice::Rate(self.load.limit),
                false => LimitNotice::None,
            },
            ..UpstreamNotice::default()
        };
        let table = &mut self.tables[instance];
        let news = table.record_notice(flight, &notice, time(now));
        let report = news.and_then(|news| news.limit);
        table.begin(flight, time(now));
        if is_limited {
            self.run.told[instance][upstream].get_or_insert(now);
        }
        let end = now + self.generator.random_range(BODY_S);
        self.push(end, instance, FleetEvent::End(flight));
        if let Some(report) = report {
            self.reports.push(report);
            self.send_report(instance, now);
        }
    }

    /// Sends the latest report of an instance to all others, twice.
    fn send_report(&mut self, instance: usize, now: f64) {
        let number = self.reports.len() - 1;
        let repeat = now + self.generator.random_range(0.0..REPEAT_S);
        for at in [now, repeat] {
            for peer in (0..self.load.instances).filter(|peer| *peer != instance) {
                if self.generator.random::<f64>() >= LOST_SHARE {
                    self.push(at + REPORT_S, peer, FleetEvent::Report(number));
                }
            }
        }
    }
}

fn new_table(load: &FleetLoad, index: usize) -> PlacementTable {
    let domain = |index: usize| DomainName::new(&format!("d{}", index % 3));
    let mut table = PlacementTable::new(PlacementOptions {
        seed: index as u64,
        ..PlacementOptions::new(domain(index))
    });
    table.set_instances(load.instances);
    for number in 0..load.upstreams {
        let port = u16::try_from(1_000 + number).expect("few upstreams");
        table.apply(UpstreamRecord {
            name: UpstreamName::new(&format!("u{number}")),
            service: ServiceName::new("s"),
            address: ([127, 0, 0, 1], port).into(),
            domain: domain(number),
            slots: 64,
            is_leaving: false,
            started_unix_ms: Some(1),
            cold: None,
        });
    }
    table
}

/// Returns a prompt with a part shared by all sessions, one of its session and one of its own.
fn prompt(session: u64, request: u64) -> RequestSize {
    let part = |digest, tokens| PromptPart { digest, tokens };
    RequestSize {
        prompt_tokens: 9_000,
        answer_tokens: 100,
        parts: vec![
            part(1, 2_500),
            part(1_000 + session, 3_800),
            part(request, 2_700),
        ],
    }
}

impl FleetRun {
    /// Returns the largest excess over what a limit allows, in requests, at any limited upstream.
    fn excess(&self, load: &FleetLoad) -> f64 {
        let upstreams = 0..load.limited;
        let excess = upstreams.map(|upstream| self.excess_at(upstream, load));
        excess.fold(f64::NEG_INFINITY, f64::max)
    }

    fn excess_at(&self, upstream: usize, load: &FleetLoad) -> f64 {
        let allowed = load.limit * WINDOW_S * TOLERANCE.0 + TOLERANCE.1;
        let told = |instance: usize| self.told[instance][upstream].unwrap_or(f64::INFINITY);
        let first = (0..load.instances).map(told).fold(f64::INFINITY, f64::min);
        let sent: Vec<(f64, usize)> = self
            .sent
            .iter()
            .filter(|(_, _, to)| *to == upstream)
            .map(|(at, instance, _)| (*at, *instance))
            .collect();
        let judged = sent
            .iter()
            .filter(|(at, _)| *at >= first + CONTACT_S && *at <= LIMITED_S.end);
        let counts = judged.map(|(end, _)| {
            let window = sent.iter().filter(|(at, instance)| {
                *at > end - WINDOW_S && at <= end && told(*instance) <= end - TOLD_S
            });
            window.count() as f64 - allowed
        });
        counts.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the number of requests that an upstream got in a span, in seconds.
    fn count(&self, upstream: usize, span: Range<f64>) -> usize {
        let sent = self.sent.iter();
        sent.filter(|(at, _, to)| *to == upstream && span.contains(at))
            .count()
    }
}

const SMALL: FleetLoad = FleetLoad {
    instances: 8,
    upstreams: 9,
    rate: 56.0,
    limit: 1.7,
    limited: 1,
};
const LARGE: FleetLoad = FleetLoad {
    instances: 295,
    upstreams: 240,
    rate: 1_500.0,
    limit: 1.7,
    limited: 1,
};

/// Guards against instances that together send an upstream more requests than the limit that it has
/// named, each of them knowing only its own.
#[rstest]
#[case::few_instances(FleetLoad { instances: 2, ..SMALL })]
#[case::usual(SMALL)]
#[case::low_limit(FleetLoad { limit: 1.3, ..SMALL })]
#[case::very_low_limit(FleetLoad { limit: 0.2, ..SMALL })]
#[case::zero(FleetLoad { limit: 0.0, ..SMALL })]
#[case::high_limit(FleetLoad { limit: 4.0, ..SMALL })]
#[case::high_load(FleetLoad { rate: 160.0, limit: 6.0, ..SMALL })]
#[case::two_upstreams(FleetLoad { limited: 2, ..SMALL })]
#[case::all_upstreams(FleetLoad { limited: 9, ..SMALL })]
#[case::many_instances(FleetLoad { instances: 65, upstreams: 100, rate: 500.0, ..SMALL })]
#[case::hundreds_of_instances(LARGE)]
#[case::hundreds_at_few_upstreams(FleetLoad { instances: 295, rate: 160.0, ..SMALL })]
fn limited_upstream_gets_more_than_it_takes(#[case] load: FleetLoad, #[values(1, 2, 3)] seed: u64) {
    let run = VirtualFleet::new(load, seed).run(LIMITED_S.end);
    let excess = run.excess(&load);
    assert!(excess <= 0.0, "{excess} requests too many");
}

/// Guards against the requests of a service whose upstreams all name a limit at the same moment: they
/// pile up at those that have not answered yet.
#[test]
fn requests_pile_up_at_the_last_unlimited_upstreams() {
    let load = FleetLoad {
        limited: 9,
        ..SMALL
    };
    for seed in 1..=100 {
        let run = VirtualFleet::new(load, seed).run(LIMITED_S.end);
        let excess = run.excess(&load);
        assert!(excess <= 0.0, "seed {seed}: {excess} requests too many");
    }
}

/// Guards against an upstream that stays limited for an instance after it has stopped naming the
/// limit, and against refusals although other upstreams have room.
#[rstest]
fn upstream_stays_limited(#[values(1, 2, 3)] seed: u64) {
    let run = VirtualFleet::new(SMALL, seed).run(60.0);
    let before = run.count(0, 0.0..8.0) as f64 / 8.0;
    let after = run.count(0, 44.0..60.0) as f64 / 16.0;
    assert!(after > before / 2.0, "{before} and {after} requests/s");
    assert_eq!(run.refused.len(), 0);
}

/// Guards against a service that refuses far more than its upstreams have asked for, when all of
/// them name a limit.
#[rstest]
fn limited_service_refuses_what_its_upstreams_take(#[values(1, 2, 3)] seed: u64) {
    let load = FleetLoad {
        limited: 9,
        ..SMALL
    };
    let run = VirtualFleet::new(load, seed).run(LIMITED_S.end);
    let span = LIMITED_S.start + 4.0..LIMITED_S.end;
    let served: usize = (0..9)
        .map(|upstream| run.count(upstream, span.clone()))
        .sum();
    let rate = served as f64 / (span.end - span.start);
    let taken = load.limit * load.limited as f64;
    assert!(rate > taken / 2.0, "{rate} of {taken} requests/s");
}
