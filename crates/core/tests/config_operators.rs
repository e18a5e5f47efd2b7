//! Exhaustive search over two concurrent operators whose writes may be delayed or lose their response.

use cornelarch_core::config::{Delta, HeadObject};
use pathfinding::directed::bfs::bfs_reach;

/// Maximum number of writes by one operator in a run, including retries.
const MAX_WRITES: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The platform ignores the expected version of a write.
    UnconditionalWrite,
    /// An operator retries a write without checking whether its operation already took effect.
    BlindRepeat,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Start,
    Read(usize),
    /// The response was lost; the write may still be in flight.
    OutcomeUnknown,
    Done,
    /// The write was rejected because another operator was first; the operator starts over.
    Conflict,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Race {
    /// The history of the head; its length is the object version.
    heads: Vec<HeadObject>,
    phases: [Phase; 2],
    in_flight: Vec<(usize, HeadObject)>,
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
        in_flight: Vec::new(),
        writes: [0, 0],
    }
}

fn apply_write(race: &mut Race, expected: usize, head: HeadObject, fault: Fault) -> bool {
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
        // The operation is looked up in the same head on which the write is based, because a
        // delayed write could take effect between two reads.
        Phase::Start | Phase::OutcomeUnknown | Phase::Conflict => {
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
                let applied = apply_write(race, expected, head.clone(), fault);
                (!applied).then_some(Phase::Conflict)
            });
            push(Phase::OutcomeUnknown, &|race| {
                race.writes[operator] += 1;
                race.in_flight.push((expected, head.clone()));
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
    for index in 0..race.in_flight.len() {
        let mut race = race.clone();
        let (expected, head) = race.in_flight.remove(index);
        apply_write(&mut race, expected, head, fault);
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
            return Some("an operation that was reported as successful is lost");
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

/// Guards against operators that overwrite each other's changes, and against an operation that
/// takes effect twice after a lost response.
#[test]
fn racing_operators_lose_and_repeat_nothing() {
    let (states, violation) = search(Fault::None);
    println!("operator race: {states} states");
    assert_eq!(violation, None);
}

/// Guards against a search that does not detect violations.
#[rstest::rstest]
#[case(Fault::UnconditionalWrite, "a version is written twice or skipped")]
#[case(Fault::BlindRepeat, "an operation took effect twice")]
fn broken_race_is_caught(#[case] fault: Fault, #[case] expected: &str) {
    let (states, violation) = search(fault);
    println!("operator race with {fault:?}: caught after {states} states");
    assert_eq!(violation, Some(expected));
}
