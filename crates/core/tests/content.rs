//! Content that crashes upstreams is recognised, and other content is not.

use std::time::Duration;

use cornelarch_core::{
    base::{CustomerName, MonotonicTime, ServiceName, UpstreamName},
    blocklist::content::{
        ContentKey, ContentOptions, ContentRank, ContentReport, ContentTable, CrashName,
    },
    placement::{PromptPart, RequestSize},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use rstest::rstest;

fn table() -> ContentTable {
    ContentTable::new(ContentOptions::default())
}

fn seconds(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn crash(number: u64) -> CrashName {
    CrashName::new(&UpstreamName::from(format!("u{number}")), Some(number))
}

/// Returns the keys of a request with these prompt parts and a body of its own.
fn request(parts: &[u64], body: u64) -> Vec<ContentKey> {
    let service = ServiceName::new("engine");
    let own = body + 1_000_000;
    let parts = parts.iter().chain([&own]);
    let size = RequestSize {
        prompt_tokens: 100,
        answer_tokens: 10,
        parts: parts
            .map(|digest| PromptPart {
                digest: *digest,
                tokens: 10,
            })
            .collect(),
    };
    let customer = CustomerName::new("acme");
    let whole = ContentKey::of_request(&customer, "POST /a", &body.to_le_bytes());
    ContentKey::of_parts(&service, &size)
        .chain([whole])
        .collect()
}

fn is_blocked(table: &mut ContentTable, parts: &[u64], body: u64) -> bool {
    is_blocked_at(table, parts, body, seconds(10))
}

fn is_blocked_at(table: &mut ContentTable, parts: &[u64], body: u64, now: MonotonicTime) -> bool {
    table.evaluate(now);
    table.find_blocked(&request(parts, body)).is_some()
}

const SYSTEM: u64 = 1;
const SESSION: u64 = 2;
const DEADLY: u64 = 3;

/// Guards against refusing all requests of a session or an application, because they share parts
/// with every request that crashes an engine.
#[test]
fn shared_parts_of_deadly_requests_are_blocked() {
    let mut table = table();
    for number in 0..3 {
        let keys = request(&[SYSTEM, SESSION, DEADLY], number);
        assert!(!is_blocked(&mut table, &[SYSTEM, SESSION, DEADLY], 90));
        table.record_crash(&crash(number), &keys, seconds(number));
    }
    assert!(is_blocked(&mut table, &[SYSTEM, SESSION, DEADLY], 91));
    assert!(is_blocked(&mut table, &[DEADLY], 92));
    assert!(!is_blocked(&mut table, &[SYSTEM, SESSION], 93));
    assert!(!is_blocked(&mut table, &[SYSTEM], 94));
}

/// Guards against blocking one of several deadly parts only.
#[test]
fn second_deadly_part_is_sent() {
    let mut table = table();
    let other = DEADLY + 1;
    for number in 0..8 {
        let deadly = if number % 2 == 0 { DEADLY } else { other };
        let keys = request(&[SYSTEM, SESSION, deadly], number);
        table.record_crash(&crash(number), &keys, seconds(number));
        table.record_answer(&request(&[SYSTEM], 50 + number), seconds(number));
    }
    table.record_answer(&request(&[SYSTEM, SESSION], 60), seconds(9));
    assert!(is_blocked(&mut table, &[DEADLY], 90));
    assert!(is_blocked(&mut table, &[other], 91));
    assert!(!is_blocked(&mut table, &[SYSTEM, SESSION], 92));
}

/// Guards against blocking a session in place of a deadly part that is already blocked, because a
/// second deadly part appears in the same session.
#[test]
fn session_of_two_deadly_parts_is_blocked() {
    let mut table = table();
    let other = DEADLY + 1;
    for number in 0..5 {
        let keys = request(&[SYSTEM, SESSION, DEADLY], number);
        table.record_crash(&crash(number), &keys, seconds(number));
        table.record_answer(&request(&[SYSTEM], 50 + number), seconds(number));
    }
    assert!(is_blocked(&mut table, &[SYSTEM, SESSION, DEADLY], 90));
    for number in 5..8 {
        assert!(!is_blocked(&mut table, &[SYSTEM, SESSION], 92));
        let keys = request(&[SYSTEM, SESSION, other], number);
        table.record_crash(&crash(number), &keys, seconds(number));
        table.record_answer(&request(&[SYSTEM], 50 + number), seconds(number));
    }
    assert!(is_blocked(&mut table, &[DEADLY], 93));
    assert!(is_blocked(&mut table, &[other], 94));
    assert!(!is_blocked(&mut table, &[SYSTEM, SESSION], 95));
}

/// Guards against an instance that has just started and blocks a popular part, because it has not
/// heard that others serve it.
#[test]
fn started_instance_blocks_a_popular_part() {
    let mut old = table();
    let mut new = table();
    old.record_answer(&request(&[SYSTEM], 50), seconds(1));
    for number in 0..6 {
        let now = MonotonicTime::from_millis(2_000 + number * 150);
        let report = old.record_crash(&crash(number), &request(&[SYSTEM], number), now);
        if number >= 3 {
            new.merge(&report, MonotonicTime::from_millis(number * 150));
        }
    }
    assert!(!is_blocked_at(&mut new, &[SYSTEM], 90, seconds(2)));
}

/// Guards against blocking a specific part that happens to occur beside a deadly shared one.
#[test]
fn specific_part_is_blocked_for_a_shared_one() {
    let mut table = table();
    for number in 0..4 {
        let keys = request(&[DEADLY, 10 + number], number);
        table.record_crash(&crash(number), &keys, seconds(number));
    }
    assert!(is_blocked(&mut table, &[DEADLY, 20], 90));
    assert!(!is_blocked(&mut table, &[SYSTEM, 10], 91));
}

/// Guards against blocking a rare session that is lost in one more, unrelated crash.
#[test]
fn session_with_one_more_crash_is_blocked() {
    let mut table = table();
    table.record_crash(&crash(9), &request(&[SYSTEM, SESSION], 50), seconds(0));
    for number in 0..3 {
        let keys = request(&[SYSTEM, SESSION, DEADLY], number);
        table.record_crash(&crash(number), &keys, seconds(number + 1));
    }
    assert!(is_blocked(&mut table, &[SYSTEM, SESSION, DEADLY], 91));
    assert!(!is_blocked(&mut table, &[SYSTEM, SESSION], 92));
}

/// Guards against blocking content of which requests are answered between the crashes.
#[test]
fn answered_content_is_blocked() {
    let mut table = table();
    for number in 0..10 {
        table.record_crash(&crash(number), &request(&[SYSTEM], number), seconds(number));
        let report = table.record_answer(&request(&[SYSTEM], 50 + number), seconds(number));
        assert_eq!(report.losses.len(), 1);
        assert!(report.losses[0].is_cleared);
    }
    assert!(!is_blocked(&mut table, &[SYSTEM], 90));
}

/// Guards against blocking a sound request that is resumed at one crashing upstream after the
/// other, in place of the part that crashes them. The crashes come in quick succession.
#[rstest]
#[case::three(3, 120)]
#[case::four(4, 120)]
#[case::quick(9, 60)]
fn resumed_request_is_blocked_for_a_deadly_part(#[case] crashes: u64, #[case] period_ms: u64) {
    let mut table = table();
    let resumed = request(&[SYSTEM], 70);
    for number in 0..crashes {
        let mut keys = request(&[SYSTEM, SESSION, DEADLY], number);
        if number % 2 == 0 || crashes == 3 {
            keys.extend(resumed.iter().copied());
        }
        let now = MonotonicTime::from_millis(1_000 + number * period_ms);
        table.record_crash(&crash(number), &keys, now);
    }
    assert!(is_blocked(&mut table, &[SYSTEM, SESSION, DEADLY], 90));
    assert!(table.find_blocked(&resumed).is_none());
}

/// Guards against a deadly request that is resumed and so crashes two upstreams each time, and
/// against giving up sound streams that share parts with it.
#[test]
fn suspect_request_is_sent_again() {
    let mut table = table();
    let deadly = request(&[SYSTEM, SESSION, DEADLY], 1);
    let sound = request(&[SYSTEM, SESSION], 2);
    table.record_answer(&request(&[SYSTEM, SESSION], 3), seconds(0));
    table.record_crash(
        &crash(1),
        &[deadly.clone(), sound.clone()].concat(),
        seconds(1),
    );
    assert!(!table.is_suspect(&deadly, seconds(1)));
    table.record_crash(&crash(2), &deadly, seconds(2));
    assert!(table.is_suspect(&deadly, seconds(2)));
    assert!(!table.is_suspect(&sound, seconds(2)));
    table.record_answer(&deadly, seconds(3));
    assert!(!table.is_suspect(&deadly, seconds(3)));
}

/// Guards against blocking what was in flight when a domain lost its power.
#[test]
fn simultaneous_crashes_count_as_several() {
    let mut table = table();
    for number in 0..10 {
        let now = MonotonicTime::from_millis(5_000 + number * 5);
        table.record_crash(&crash(number), &request(&[SYSTEM], number), now);
    }
    assert!(!is_blocked(&mut table, &[SYSTEM], 90));
}

/// Guards against blocking a part of many sound requests when upstreams crash one after the other
/// for other reasons, faster than answers arrive; and against serving it for ever if it has become
/// deadly.
#[rstest]
#[case::unrelated(150, false)]
#[case::deadly(700, true)]
fn popular_part_is_blocked_in_a_series_of_crashes(#[case] period_ms: u64, #[case] expected: bool) {
    let mut table = table();
    table.record_answer(&request(&[SYSTEM], 90), MonotonicTime::from_millis(900));
    for number in 0..5 {
        let now = MonotonicTime::from_millis(1_000 + number * period_ms);
        table.record_crash(&crash(number), &request(&[SYSTEM], number), now);
    }
    assert_eq!(is_blocked(&mut table, &[SYSTEM], 91), expected);
}

/// Guards against counting the loss of one upstream once per instance that reports it.
#[test]
fn one_crash_counts_once_per_report() {
    let mut table = table();
    let keys = request(&[DEADLY], 1);
    for second in 0..5 {
        table.record_crash(&crash(1), &keys, seconds(second));
    }
    assert!(!is_blocked(&mut table, &[DEADLY], 1));
}

/// Guards against content that stays blocked for ever, because instances tell each other of it, and
/// against several further crashes each time that it gets another chance.
#[test]
fn block_never_ends_or_forgets() {
    let options = ContentOptions::default();
    let mut tables = [table(), table()];
    let keys = request(&[DEADLY], 1);
    for number in 0..3 {
        tables[0].record_crash(&crash(number), &keys, seconds(number));
    }
    let minute = Duration::from_secs(60);
    let mut now = seconds(3);
    let end = now + options.block;
    while now + minute < end {
        for (from, to) in [(0, 1), (1, 0)] {
            assert!(is_blocked_at(&mut tables[0], &[DEADLY], 1, now));
            let report = tables[from].blocked_report(now);
            tables[to].merge(&report, now);
            tables[to].expire(now);
            tables[to].evaluate(now);
        }
        now = now + minute;
    }
    for table in &mut tables {
        table.expire(end);
        assert!(!is_blocked_at(table, &[DEADLY], 1, end));
        table.record_crash(&crash(7), &keys, end);
        assert!(is_blocked_at(table, &[DEADLY], 1, end));
        table.expire(end + options.block * 3);
        assert_eq!(table.charged_count(), 0);
    }
}

/// Guards against an instance that takes the crashes that it is told about for a single one.
#[test]
fn crashes_learnt_at_once_count_as_one() {
    let mut first = table();
    for number in 0..3 {
        first.record_crash(
            &crash(number),
            &request(&[DEADLY], number),
            seconds(number + 20),
        );
    }
    assert!(is_blocked_at(&mut first, &[DEADLY], 90, seconds(30)));
    let report = first.blocked_report(seconds(30));
    let mut second = table();
    second.merge(&report, seconds(1));
    assert!(is_blocked_at(&mut second, &[DEADLY], 90, seconds(1)));
}

/// Guards against a table that grows with the number of crashes, or evicts what is blocked.
#[test]
fn unrelated_losses_fill_the_memory() {
    let options = ContentOptions {
        entries_max: 100,
        ..ContentOptions::default()
    };
    let mut table = ContentTable::new(options);
    for number in 0..3 {
        table.record_crash(&crash(number), &request(&[DEADLY], number), seconds(number));
    }
    table.evaluate(seconds(3));
    for number in 10..1_000 {
        table.record_crash(&crash(number), &request(&[number], number), seconds(number));
        table.record_answer(&request(&[number + 5_000], number), seconds(number));
    }
    assert!(is_blocked(&mut table, &[DEADLY], 5_000));
    assert!(table.charged_count() <= 100);
}

/// Guards against instances that decide differently because reports arrive twice or in another
/// order.
#[rstest]
fn order_of_reports_decides(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut generator = StdRng::seed_from_u64(seed);
    let mut sender = table();
    let mut reports: Vec<ContentReport> = Vec::new();
    for number in 0..5 {
        let keys = request(&[SYSTEM, SESSION, DEADLY], number);
        reports.push(sender.record_crash(&crash(number), &keys, seconds(number)));
        reports.push(sender.record_answer(&request(&[SYSTEM, SESSION], 50), seconds(number)));
    }
    reports.extend(reports.clone());
    reports.shuffle(&mut generator);
    let mut receiver = table();
    for (second, report) in reports.iter().enumerate() {
        receiver.merge(report, seconds(second as u64));
    }
    let keys = |table: &mut ContentTable| -> Vec<ContentKey> {
        table.evaluate(seconds(40));
        table.blocked().map(|blocked| blocked.key).collect()
    };
    assert_eq!(keys(&mut receiver), keys(&mut sender));
    assert_eq!(keys(&mut receiver).len(), 1);
}

/// A fleet of instances that exchange reports, of which some are lost, while requests of several
/// sessions run at engines that crash.
struct CrashWorld {
    generator: StdRng,
    tables: Vec<ContentTable>,
    /// Requests in flight: the instance, the engine and the content.
    flights: Vec<(usize, usize, Vec<ContentKey>)>,
    crashes: usize,
    deadly_sent: usize,
    sound_refused: usize,
    sound_sent: usize,
}

const ENGINES: usize = 12;
const SESSIONS: u64 = 60;
/// Reports that are lost on the way, in percent.
const LOST_REPORTS: u32 = 5;

impl CrashWorld {
    fn new(seed: u64, instances: usize) -> Self {
        Self {
            generator: StdRng::seed_from_u64(seed),
            tables: vec![table(); instances],
            flights: Vec::new(),
            crashes: 0,
            deadly_sent: 0,
            sound_refused: 0,
            sound_sent: 0,
        }
    }

    fn broadcast(&mut self, from: usize, report: &ContentReport, now: MonotonicTime) {
        let mut queue = vec![(from, report.clone())];
        while let Some((from, report)) = queue.pop() {
            for to in (0..self.tables.len()).filter(|to| *to != from) {
                if report.is_empty() || self.generator.random_range(0..100) < LOST_REPORTS {
                    continue;
                }
                let answer = self.tables[to].merge(&report, now);
                queue.push((to, answer));
            }
        }
    }

    /// Starts one request at a random instance and engine; a deadly one crashes the engine.
    fn step(&mut self, number: u64, is_deadly: bool, now: MonotonicTime) {
        let instance = self.generator.random_range(0..self.tables.len());
        let engine = self.generator.random_range(0..ENGINES);
        let session = 100 + self.generator.random_range(0..SESSIONS);
        let parts = match is_deadly {
            true => vec![SYSTEM, 100, DEADLY],
            false => vec![SYSTEM, session],
        };
        let keys = request(&parts, number);
        self.tables[instance].evaluate(now);
        if self.tables[instance].find_blocked(&keys).is_some() {
            self.sound_refused += usize::from(!is_deadly);
            return;
        }
        match is_deadly {
            true => self.deadly_sent += 1,
            false => self.sound_sent += 1,
        }
        self.flights.push((instance, engine, keys));
        if is_deadly {
            self.crash(engine, number, now);
        }
        while self.flights.len() > ENGINES * 3 {
            let (instance, _, keys) = self.flights.remove(0);
            let report = self.tables[instance].record_answer(&keys, now);
            self.broadcast(instance, &report, now);
        }
    }

    fn crash(&mut self, engine: usize, number: u64, now: MonotonicTime) {
        self.crashes += 1;
        let name = CrashName::new(&UpstreamName::from(format!("e{engine}")), Some(number));
        let flights = std::mem::take(&mut self.flights).into_iter();
        let (lost, kept): (Vec<_>, Vec<_>) = flights.partition(|(_, at, _)| *at == engine);
        self.flights = kept;
        for (instance, _, keys) in lost {
            let report = self.tables[instance].record_crash(&name, &keys, now);
            self.broadcast(instance, &report, now);
        }
    }
}

/// Guards against fleets in which some instances go on sending deadly requests, and against
/// refusing more than a few sound requests. Engines also crash for other reasons.
#[rstest]
fn fleet_keeps_sending_deadly_requests(
    #[values(1, 8, 40)] instances: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut world = CrashWorld::new(seed, instances);
    for number in 0..4_000 {
        // Requests are 20 ms apart; one in 20 is deadly from the fourth second on.
        let now = MonotonicTime::from_millis(number * 20);
        let is_deadly = number > 200 && number % 20 == 0;
        world.step(number, is_deadly, now);
        if number % 700 == 699 {
            let engine = world.generator.random_range(0..ENGINES);
            world.crash(engine, number, now);
        }
    }
    // Each instance that has missed reports may send a few until it has seen enough by itself.
    assert!(world.deadly_sent >= 3);
    assert!(
        world.deadly_sent <= 8,
        "{} deadly requests were sent",
        world.deadly_sent
    );
    let refused = world.sound_refused * 200;
    assert!(
        refused <= world.sound_sent,
        "{} of {} sound requests were refused",
        world.sound_refused,
        world.sound_sent
    );
}

/// Guards against prompt positions that take the rank of a whole request.
#[test]
fn part_ranks_as_a_whole_request() {
    for position in [0, 5, 254, 255, 256, 100_000] {
        assert!(ContentRank::of_part(position) > ContentRank::REQUEST);
    }
}
