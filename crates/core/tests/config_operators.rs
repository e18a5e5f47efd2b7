//! Exhaustive search over two racing operators whose writes may be delayed or lose their answer.

use cornelarch_core::config::{Delta, HeadObject};
use pathfinding::directed::bfs::bfs_reach;

/// Writes of one operator in one run, the first and its repetitions.
const MAX_WRITES: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The platform ignores the expected version.
    UnconditionalWrite,
    /// An operator repeats a write without looking for its operation.
    BlindRepeat,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Start,
    Read(usize),
    /// The answer did not come; the write may still be under way.
    Unknown,
    Done,
    /// Another operator was first; this one is told and decides anew.
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Race {
    /// The history of the head; the object version is the length.
    heads: Vec<HeadObject>,
    phases: [Phase; 2],
    under_way: Vec<(usize, HeadObject)>,
    writes: [u8; 2],
}

fn delta(operator: usize) -> Delta {
    Delta {
        version: 0,
        operator: format!("operator-{operator}"),
        operation_id: format!("operation-{operator}"),
        time: 0,
        changes: Vec::new(),
        base_only: false,
    }
}

fn start() -> Race {
    let first = Delta {
        operation_id: "first".to_owned(),
        ..delta(0)
    };
    Race {
        heads: vec![HeadObject::initial(first, 1)],
        phases: [Phase::Start, Phase::Start],
        under_way: Vec::new(),
        writes: [0, 0],
    }
}

fn land(race: &mut Race, expected: usize, head: HeadObject, fault: Fault) -> bool {
    let current = expected == race.heads.len() || fault == Fault::UnconditionalWrite;
    if current {
        race.heads.push(head);
    }
    current
}

fn operator_steps(race: &Race, operator: usize, fault: Fault, next: &mut Vec<Race>) {
    let mut push = |phase: Phase, change: &dyn Fn(&mut Race) -> Option<Phase>| {
        let mut race = race.clone();
        race.phases[operator] = phase;
        if let Some(phase) = change(&mut race) {
            race.phases[operator] = phase;
        }
        next.push(race);
    };
    match race.phases[operator] {
        // The head that is searched for the operation is the one on which the write is based: a
        // delayed write could land between two reads.
        Phase::Start | Phase::Unknown | Phase::Refused => {
            let id = delta(operator).operation_id;
            let newest = race.heads.last().expect("there is a head");
            let done = newest.find_operation(&id).is_some() && fault != Fault::BlindRepeat;
            let read = Phase::Read(race.heads.len());
            push(if done { Phase::Done } else { read }, &|_| None);
        }
        Phase::Read(expected) if race.writes[operator] < MAX_WRITES => {
            let head = race.heads[expected - 1].with_delta(delta(operator));
            push(Phase::Done, &|race| {
                race.writes[operator] += 1;
                let landed = land(race, expected, head.clone(), fault);
                (!landed).then_some(Phase::Refused)
            });
            push(Phase::Unknown, &|race| {
                race.writes[operator] += 1;
                race.under_way.push((expected, head.clone()));
                None
            });
        }
        Phase::Read(_) | Phase::Done => {}
    }
}

fn successors(race: &Race, fault: Fault) -> Vec<Race> {
    let mut next = Vec::new();
    for operator in 0..2 {
        operator_steps(race, operator, fault, &mut next);
    }
    for index in 0..race.under_way.len() {
        let mut race = race.clone();
        let (expected, head) = race.under_way.remove(index);
        land(&mut race, expected, head, fault);
        next.push(race);
    }
    next
}

fn violation(race: &Race) -> Option<&'static str> {
    let newest = race.heads.last()?;
    if race
        .heads
        .windows(2)
        .any(|pair| pair[1].version != pair[0].version + 1)
    {
        return Some("a version is written twice or skipped");
    }
    for operator in 0..2 {
        let id = delta(operator).operation_id;
        let count = newest
            .deltas
            .iter()
            .filter(|delta| delta.operation_id == id)
            .count();
        if count > 1 {
            return Some("an operation took effect twice");
        }
        if race.phases[operator] == Phase::Done && count == 0 {
            return Some("an operator was told of a success that is lost");
        }
    }
    None
}

fn search(fault: Fault) -> (usize, Option<&'static str>) {
    let mut states = 0;
    for race in bfs_reach(start(), |race| successors(race, fault)) {
        states += 1;
        if let Some(violation) = violation(&race) {
            return (states, Some(violation));
        }
    }
    (states, None)
}

/// Guards against two operators that overwrite each other, and against an operation that takes
/// effect twice after a lost answer.
#[test]
fn racing_operators_lose_and_repeat_nothing() {
    let (states, violation) = search(Fault::None);
    println!("operator race: {states} states");
    assert_eq!(violation, None);
}

/// Guards against a search that would not notice a fault.
#[rstest::rstest]
#[case(Fault::UnconditionalWrite, "a version is written twice or skipped")]
#[case(Fault::BlindRepeat, "an operation took effect twice")]
fn broken_race_is_caught(#[case] fault: Fault, #[case] expected: &str) {
    let (states, violation) = search(fault);
    println!("operator race with {fault:?}: caught after {states} states");
    assert_eq!(violation, Some(expected));
}
