//! Model check of the budget protocol by breadth-first search over the real transition functions.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use pathfinding::directed::bfs::bfs_reach;
use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::model_world::{Broken, Limits, State};

/// States after which a run of the sound protocol ends; the variable `MODEL_STATES` replaces it.
const MAX_STATES: usize = 8_000;

/// States within which a broken variant must be found.
const MAX_BROKEN_STATES: usize = 20_000;

/// Random walks through the model, each with all faults.
const WALKS: u64 = 100;

/// Steps of a random walk.
const WALK_STEPS: usize = 150;

struct Finding {
    /// States whose successors were all checked.
    states: usize,
    /// Transitions whose result was checked.
    transitions: usize,
    /// Whether the states ran out before the bound.
    is_complete: bool,
    fault: Option<String>,
}

fn explore(limits: Limits, max_states: usize) -> Finding {
    let fault = RefCell::new(None);
    let transitions = Cell::new(0);
    let expand = |state: &State| {
        let next = state.successors();
        transitions.set(transitions.get() + next.len());
        if let Some(text) = next.iter().find_map(State::fault) {
            fault.replace(Some(text.to_owned()));
        }
        next
    };
    let mut states = 0;
    let mut search = bfs_reach(State::start(limits), expand);
    while states < max_states && fault.borrow().is_none() && search.next().is_some() {
        states += 1;
    }
    drop(search);
    Finding {
        states,
        transitions: transitions.get(),
        is_complete: states < max_states,
        fault: fault.take(),
    }
}

/// Guards against every loss or duplication of tokens that two kinds of faults can cause together.
#[rstest]
#[case::no_fault("no fault", Limits { requests: 3, ..Limits::NONE })]
#[case::network("loss and repetition", Limits { losses: 1, repeats: 1, ..Limits::NONE })]
#[case::answers("lost answers", Limits { lost_answers: 2, ..Limits::NONE })]
#[case::crash("crash and lost answer", Limits { crashes: 1, lost_answers: 1, ..Limits::NONE })]
#[case::crash_repeat("crash and repetition", Limits { crashes: 1, repeats: 1, ..Limits::NONE })]
#[case::cut("partition and top-up", Limits { cuts: 1, top_ups: 1, ..Limits::NONE })]
#[case::drain("drain and outage", Limits { drains: 1, downs: 1, lost_answers: 1, ..Limits::NONE })]
#[case::release("release and lost answer", Limits { releases: 1, lost_answers: 1, ..Limits::NONE })]
#[case::reports("prompt reports", Limits { idle_flush: Duration::ZERO, lost_answers: 1, ..Limits::NONE })]
fn sound_protocol_keeps_every_invariant(#[case] name: &str, #[case] limits: Limits) {
    let started = Instant::now();
    let bound = std::env::var("MODEL_STATES").ok();
    let bound = bound.map_or(MAX_STATES, |text| {
        text.parse().expect("MODEL_STATES is a number")
    });
    let finding = explore(limits, bound);
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "model check, {name}: {} states explored, {} transitions, complete: {}, {seconds:.1} s",
        finding.states, finding.transitions, finding.is_complete
    );
    assert_eq!(
        finding.fault, None,
        "{name} after {} states",
        finding.states
    );
}

/// Guards against a model check that finds nothing: each variant breaks one rule of the protocol.
#[rstest]
#[case::spend_unconfirmed(Limits { broken: Broken::SpendUnconfirmed, ..Limits::NONE })]
#[case::forget_lost_write(Limits { broken: Broken::ForgetLostWrite, lost_answers: 1, ..Limits::NONE })]
#[case::apply_twice(Limits { broken: Broken::ApplyTwice, repeats: 1, ..Limits::NONE })]
#[case::reclaim(Limits { broken: Broken::ReclaimTransfer, repeats: 1, ..Limits::NONE })]
#[case::old_incarnation(Limits { broken: Broken::AcceptOldIncarnation, crashes: 1, repeats: 1, ..Limits::NONE })]
fn broken_variant_is_found(#[case] limits: Limits) {
    let finding = explore(limits, MAX_BROKEN_STATES);
    let fault = finding.fault.expect("the variant breaks an invariant");
    println!(
        "model check, {:?}: found after {} states: {fault}",
        limits.broken, finding.states
    );
}

/// Guards against faults that need a longer history than the search reaches.
#[test]
fn long_random_walks_keep_every_invariant() {
    for seed in 0..WALKS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut state = State::start(Limits {
            paid: 5,
            requests: 20,
            losses: 2,
            repeats: 2,
            crashes: 2,
            lost_answers: 3,
            downs: 2,
            top_ups: 2,
            cuts: 2,
            drains: 1,
            releases: 1,
            idle_flush: Duration::from_secs(seed % 2),
            broken: Broken::None,
        });
        for step in 0..WALK_STEPS {
            let next = state.successors();
            let fault = next.iter().find_map(State::fault);
            assert_eq!(fault, None, "seed {seed}, step {step}");
            state = next
                .choose(&mut rng)
                .expect("a tick is always possible")
                .clone();
        }
    }
}
