//! Model check of the budget protocol by breadth-first search over the production state machine.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use pathfinding::directed::bfs::bfs_reach;
use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::model_world::{Defect, Limits, State};

/// States after which a search of the unmodified protocol ends; the environment variable
/// `MODEL_STATES` overrides it.
const MAX_STATES: usize = 8_000;

/// States within which an injected defect must be detected.
const MAX_DEFECT_STATES: usize = 20_000;

/// Number of random walks through the model, each with all kinds of faults.
const WALKS: u64 = 100;

/// Number of steps of a random walk.
const WALK_STEPS: usize = 150;

struct SearchResult {
    /// The number of states whose successors were all checked.
    states: usize,
    /// The number of transitions whose result was checked.
    transitions: usize,
    /// Whether the search exhausted the state space before it reached the bound.
    is_complete: bool,
    violation: Option<String>,
}

fn explore(limits: Limits, max_states: usize) -> SearchResult {
    let violation = RefCell::new(None);
    let transitions = Cell::new(0);
    let expand = |state: &State| {
        let next = state.successors();
        transitions.set(transitions.get() + next.len());
        if let Some(text) = next.iter().find_map(State::violation) {
            violation.replace(Some(text.to_owned()));
        }
        next
    };
    let mut states = 0;
    let mut search = bfs_reach(State::start(limits), expand);
    while states < max_states && violation.borrow().is_none() && search.next().is_some() {
        states += 1;
    }
    drop(search);
    SearchResult {
        states,
        transitions: transitions.get(),
        is_complete: states < max_states,
        violation: violation.take(),
    }
}

/// Guards against loss or duplication of tokens by a combination of two kinds of faults.
#[rstest]
#[case::no_fault("no fault", Limits { requests: 3, ..Limits::NONE })]
#[case::network("loss and repetition", Limits { losses: 1, duplicates: 1, ..Limits::NONE })]
#[case::answers("lost answers", Limits { lost_answers: 2, ..Limits::NONE })]
#[case::crash("crash and lost answer", Limits { crashes: 1, lost_answers: 1, ..Limits::NONE })]
#[case::crash_duplicate("crash and repetition", Limits { crashes: 1, duplicates: 1, ..Limits::NONE })]
#[case::partition("partition and top-up", Limits { partitions: 1, top_ups: 1, ..Limits::NONE })]
#[case::drain("drain and outage", Limits { drains: 1, outages: 1, lost_answers: 1, ..Limits::NONE })]
#[case::release("release and lost answer", Limits { releases: 1, lost_answers: 1, ..Limits::NONE })]
#[case::reports("prompt reports", Limits { idle_flush: Duration::ZERO, lost_answers: 1, ..Limits::NONE })]
fn sound_protocol_keeps_every_invariant(#[case] name: &str, #[case] limits: Limits) {
    let started = Instant::now();
    let max_states = std::env::var("MODEL_STATES").ok();
    let max_states = max_states.map_or(MAX_STATES, |text| {
        text.parse().expect("MODEL_STATES is a number")
    });
    let result = explore(limits, max_states);
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "model check, {name}: {} states explored, {} transitions, complete: {}, {seconds:.1} s",
        result.states, result.transitions, result.is_complete
    );
    assert_eq!(
        result.violation, None,
        "{name} after {} states",
        result.states
    );
}

/// Guards against a model check that detects nothing: each case injects one protocol defect.
#[rstest]
#[case::spend_unconfirmed(Limits { defect: Defect::SpendUnconfirmed, ..Limits::NONE })]
#[case::forget_lost_write(Limits { defect: Defect::ForgetLostWrite, lost_answers: 1, ..Limits::NONE })]
#[case::apply_twice(Limits { defect: Defect::ApplyTwice, duplicates: 1, ..Limits::NONE })]
#[case::reclaim(Limits { defect: Defect::ReclaimTransfer, duplicates: 1, ..Limits::NONE })]
#[case::old_incarnation(Limits { defect: Defect::AcceptOldIncarnation, crashes: 1, duplicates: 1, ..Limits::NONE })]
fn broken_variant_is_found(#[case] limits: Limits) {
    let result = explore(limits, MAX_DEFECT_STATES);
    let violation = result
        .violation
        .expect("the injected defect violates an invariant");
    println!(
        "model check, {:?}: found after {} states: {violation}",
        limits.defect, result.states
    );
}

/// Guards against violations that need a longer history than the search reaches.
#[test]
fn long_random_walks_keep_every_invariant() {
    for seed in 0..WALKS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut state = State::start(Limits {
            paid: 5,
            requests: 20,
            losses: 2,
            duplicates: 2,
            crashes: 2,
            lost_answers: 3,
            outages: 2,
            top_ups: 2,
            partitions: 2,
            drains: 1,
            releases: 1,
            idle_flush: Duration::from_secs(seed % 2),
            defect: Defect::None,
        });
        for step in 0..WALK_STEPS {
            let next = state.successors();
            let violation = next.iter().find_map(State::violation);
            assert_eq!(violation, None, "seed {seed}, step {step}");
            state = next
                .choose(&mut rng)
                .expect("a tick is always possible")
                .clone();
        }
    }
}
