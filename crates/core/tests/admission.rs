//! Tests of the requests that an instance hands back, one per load pattern.
//!
//! The instance reaches its upstreams through a link that carries a fixed number of requests per
//! second. A connection takes as long as the requests ahead of it on the link.

use std::{collections::BTreeMap, time::Duration};

use cornelarch_core::{
    admission::{ArrivedRequest, PathPressure},
    base::{CustomerName, MonotonicTime},
};
use rstest::rstest;

/// Requests that the link carries per second.
const CAPACITY: f64 = 100.0;
/// Time to open a connection on an idle link.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Time after which an attempt to connect is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_secs(4);
/// Load of an attempt to connect on the link, compared with a request.
const CONNECT_COST: f64 = 0.1;
const STEP: Duration = Duration::from_millis(1);

/// Requests of one customer and route.
#[derive(Clone, Copy)]
struct Source {
    customer: &'static str,
    objective: Duration,
    /// Requests per second.
    rate: f64,
    limit: Duration,
}

impl Source {
    fn new(customer: &'static str, rate: f64) -> Self {
        Self {
            customer,
            objective: Duration::from_millis(500),
            rate,
            limit: LIMIT,
        }
    }
}

/// Counts of one source.
#[derive(Clone, Copy, Debug, Default)]
struct SourceCount {
    taken: u32,
    handed_back: u32,
    /// Requests that reached an upstream.
    sent: u32,
}

impl SourceCount {
    fn share(&self) -> f64 {
        f64::from(self.taken) / f64::from((self.taken + self.handed_back).max(1))
    }
}

/// An instance with its link, in virtual time.
struct LinkedInstance {
    pressure: PathPressure,
    now: MonotonicTime,
    /// Requests that wait on the link.
    queued: f64,
    /// Outcome of connections that are being opened.
    opening: BTreeMap<(MonotonicTime, u64), (Option<Duration>, bool)>,
    next: u64,
    due: Vec<f64>,
    /// Fraction of the requests whose upstreams are in domains that cannot be reached.
    cut: f64,
}

impl LinkedInstance {
    fn new() -> Self {
        Self {
            pressure: PathPressure::default(),
            now: MonotonicTime::START,
            queued: 0.0,
            opening: BTreeMap::new(),
            next: 0,
            due: Vec::new(),
            cut: 0.0,
        }
    }

    /// Offers the requests of the sources for some time, and returns the counts of each source.
    fn run(&mut self, sources: &[Source], time: Duration) -> Vec<SourceCount> {
        let mut counts = vec![SourceCount::default(); sources.len()];
        self.due.resize(sources.len(), 0.0);
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.queued = (self.queued - CAPACITY * STEP.as_secs_f64()).max(0.0);
            self.finish_opening();
            for (index, source) in sources.iter().enumerate() {
                self.due[index] += source.rate * STEP.as_secs_f64();
                while self.due[index] >= 1.0 {
                    self.due[index] -= 1.0;
                    self.offer(source, &mut counts[index]);
                }
            }
        }
        counts
    }

    fn offer(&mut self, source: &Source, count: &mut SourceCount) {
        let request = ArrivedRequest {
            customer: &CustomerName::new(source.customer),
            route: "route",
            objective: source.objective,
            limit: source.limit,
        };
        if self.pressure.admit(&request, self.now).is_err() {
            count.handed_back += 1;
            return;
        }
        count.taken += 1;
        self.next += 1;
        let delay = Duration::from_secs_f64(self.queued / CAPACITY) + ROUND_TRIP;
        let is_cut = (self.next * 7) % 100 < (self.cut * 100.0) as u64;
        let is_lost = is_cut || delay >= CONNECT_TIMEOUT;
        self.queued += if is_lost { CONNECT_COST } else { 1.0 };
        if !is_lost {
            count.sent += 1;
        }
        let time = if is_lost { CONNECT_TIMEOUT } else { delay };
        let answered = (!is_lost).then_some(time);
        let outcome = (answered, !is_cut);
        self.opening.insert((self.now + time, self.next), outcome);
    }

    fn finish_opening(&mut self) {
        while let Some(entry) = self.opening.first_entry()
            && entry.key().0 <= self.now
        {
            let (answered, is_near) = entry.remove();
            self.pressure.record_connect(answered, is_near, self.now);
        }
    }
}

fn total(counts: &[SourceCount]) -> SourceCount {
    let mut total = SourceCount::default();
    for count in counts {
        total.taken += count.taken;
        total.handed_back += count.handed_back;
        total.sent += count.sent;
    }
    total
}

/// Guards against an instance that takes all requests of an uneven share of the callers, none of
/// which then reaches an upstream.
#[rstest]
#[case::little(1.2)]
#[case::double(2.0)]
#[case::many(4.0)]
fn overloaded_path_takes_what_it_carries(#[case] excess: f64) {
    let mut instance = LinkedInstance::new();
    let sources = [
        Source::new("a", CAPACITY * excess / 2.0),
        Source::new("b", CAPACITY * excess / 2.0),
    ];
    instance.run(&sources, Duration::from_secs(5));
    let count = total(&instance.run(&sources, Duration::from_secs(20)));
    let carried = f64::from(count.sent) / (CAPACITY * 20.0);
    assert!(carried > 0.8, "{carried:.2} of the capacity, {count:?}");
    let lost = f64::from(count.taken - count.sent) / f64::from(count.taken);
    assert!(
        lost < 0.1,
        "{lost:.2} of the taken requests are lost, {count:?}"
    );
}

/// Guards against an instance that hands back requests although it carries them.
#[rstest]
#[case::calm(0.9, 0.0)]
#[case::domains_cut(0.5, 0.66)]
#[case::most_connections_cut(0.5, 0.95)]
fn sufficient_path_takes_all(#[case] load: f64, #[case] cut: f64) {
    let mut instance = LinkedInstance::new();
    instance.cut = cut;
    let count = total(&instance.run(
        &[Source::new("a", CAPACITY * load)],
        Duration::from_secs(10),
    ));
    assert_eq!(count.handed_back, 0, "{count:?}");
}

/// Guards against an instance that hands back requests long after its path is clear again.
#[rstest]
#[case::after_overload(3.0, 0.0)]
#[case::after_cut(0.5, 1.0)]
fn limit_ends_with_the_congestion(#[case] load: f64, #[case] cut: f64) {
    let mut instance = LinkedInstance::new();
    instance.cut = cut;
    instance.run(
        &[Source::new("a", CAPACITY * load)],
        Duration::from_secs(10),
    );
    assert!(instance.pressure.rate_limit().is_some());
    instance.cut = 0.0;
    let calm = [Source::new("a", CAPACITY * 0.5)];
    instance.run(&calm, Duration::from_secs(6));
    let count = total(&instance.run(&calm, Duration::from_secs(5)));
    assert_eq!(count.handed_back, 0, "{count:?}");
    assert_eq!(instance.pressure.rate_limit(), None);
}

/// Guards against a customer with three times its usual load that makes others pay.
#[test]
fn hot_customer_pays_itself() {
    let mut instance = LinkedInstance::new();
    let usual = ["a", "b", "c"].map(|name| Source::new(name, 25.0));
    instance.run(&usual, Duration::from_secs(30));
    let mut hot = usual;
    hot[0].rate *= 3.0;
    let counts = instance.run(&hot, Duration::from_secs(6));
    assert!(counts[1].share() > 0.95, "{counts:?}");
    assert!(counts[2].share() > 0.95, "{counts:?}");
    assert!(counts[0].share() < 0.75, "{counts:?}");
    assert!(counts[0].taken > 25 * 6, "{counts:?}");
}

/// Guards against callers with a short objective that are sent elsewhere, although others have time
/// for it, and against starving the patient ones.
#[test]
fn patient_callers_take_the_detour() {
    let mut instance = LinkedInstance::new();
    let with_objective = |millis| Source {
        objective: Duration::from_millis(millis),
        ..Source::new("a", 50.0)
    };
    let sources = [
        with_objective(150),
        with_objective(500),
        with_objective(1_500),
    ];
    instance.run(&sources, Duration::from_secs(5));
    let counts = instance.run(&sources, Duration::from_secs(20));
    assert!(counts[0].share() > counts[1].share(), "{counts:?}");
    assert!(counts[1].share() > counts[2].share(), "{counts:?}");
    assert!(counts[2].share() > 0.05, "{counts:?}");
}

/// Guards against callers that come back after a refusal and are refused again, although new ones
/// have more time.
#[test]
fn returning_callers_go_first() {
    let mut instance = LinkedInstance::new();
    let returning = Source {
        limit: LIMIT - Duration::from_millis(300),
        ..Source::new("b", 30.0)
    };
    let sources = [Source::new("a", 150.0), returning];
    instance.run(&sources, Duration::from_secs(5));
    let counts = instance.run(&sources, Duration::from_secs(20));
    assert!(counts[1].share() > 0.95, "{counts:?}");
    assert!(counts[0].share() > 0.3, "{counts:?}");
}

/// Guards against an instance that stays in rotation although the callers that it gets use up its path
/// even if it hands them back, and against one that leaves for a short burst or returns too soon.
#[test]
fn overloaded_instance_stays_in_rotation() {
    let mut pressure = PathPressure::default();
    let mut now = MonotonicTime::START;
    let mut connect = |pressure: &mut PathPressure, time, period: Duration| {
        let mut begun = None;
        let end = now + period;
        while now < end {
            now = now + Duration::from_millis(10);
            begun = begun.or(pressure.record_connect(time, true, now));
        }
        (begun, now)
    };
    let short = Duration::from_millis(700);
    assert_eq!(connect(&mut pressure, None, short).0, None);
    assert_eq!(connect(&mut pressure, Some(ROUND_TRIP), short).0, None);
    let (first, at) = connect(&mut pressure, None, Duration::from_secs(2));
    let first = first.expect("leaves");
    assert!(pressure.is_away(at) && !pressure.is_away(at + first));
    let (_, at) = connect(&mut pressure, Some(ROUND_TRIP), first / 2);
    assert!(pressure.is_away(at));
    let (_, at) = connect(&mut pressure, Some(ROUND_TRIP), first);
    assert!(!pressure.is_away(at));
    let (second, _) = connect(&mut pressure, None, Duration::from_secs(2));
    assert!(second.expect("leaves again") > first);
}

/// Guards against an instance that takes upstreams far away for a congested path.
#[test]
fn distant_upstreams_count_as_congestion() {
    let mut pressure = PathPressure::default();
    for number in 0..1_000 {
        let now = MonotonicTime::from_millis(number * 20);
        let time = Duration::from_millis(110 + number % 30);
        assert_eq!(pressure.record_connect(Some(time), true, now), None);
        assert!(!pressure.is_congested());
    }
}
