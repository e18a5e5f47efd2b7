//! Property tests: random schedules of requests, faults and operator actions in virtual time.

use std::panic::{AssertUnwindSafe, catch_unwind};

use rstest::rstest;

use crate::random_fleet::{FaultRates, RandomFleet};

/// Number of 50 ms steps with faults.
const STEPS: usize = 1_600;

/// Number of 50 ms steps within which a fleet without faults must be drained.
const DRAIN_STEPS: usize = 4_000;

const NETWORK: FaultRates = FaultRates {
    loss: 0.1,
    duplicate: 0.1,
    lost_answer: 0.1,
    crash: 0.0,
    restart: 0.0,
    outage: 0.005,
    partition: 0.005,
    top_up: 0.02,
    release: 0.0,
    pause: 0.005,
};

const PROCESS: FaultRates = FaultRates {
    crash: 0.004,
    restart: 0.01,
    ..NETWORK
};

const OPERATOR: FaultRates = FaultRates {
    release: 0.02,
    ..NETWORK
};

const EVERYTHING: FaultRates = FaultRates {
    release: 0.02,
    ..PROCESS
};

fn run(seed: u64, rates: FaultRates) -> RandomFleet {
    let mut fleet = RandomFleet::new(seed, rates);
    for _ in 0..STEPS {
        fleet.step();
        fleet.check_invariants();
    }
    fleet.heal();
    fleet.drain_all();
    let mut steps = 0;
    while !fleet.is_drained() {
        fleet.step_without_faults();
        steps += 1;
        assert!(
            steps < DRAIN_STEPS,
            "not drained at {:?}:\n{}",
            fleet.now,
            fleet.describe()
        );
    }
    fleet
}

fn with_seed<T>(seed: u64, test: impl FnOnce() -> T) -> T {
    catch_unwind(AssertUnwindSafe(test)).unwrap_or_else(|_| panic!("failed with seed {seed}"))
}

/// Guards against losing or duplicating tokens or reports while no process crashes: after the
/// drain, no tokens are held and every billed token is reported.
#[rstest]
fn drained_fleet_reports_every_billed_token(#[values(0, 1, 2, 3)] group: u64) {
    for seed in group * 4..group * 4 + 4 {
        with_seed(seed, || {
            let fleet = run(seed, NETWORK);
            for (index, (_, spent, held)) in fleet.check_invariants().into_iter().enumerate() {
                assert_eq!((spent, held), (fleet.billed[index], 0), "budget {index}");
            }
            assert!(
                fleet.admitted > 500,
                "only {} requests were admitted",
                fleet.admitted
            );
        });
    }
}

/// Guards against overspending and duplicate reports when processes crash or restart, or their rows
/// are sealed.
#[rstest]
#[case::process(PROCESS)]
#[case::operator(OPERATOR)]
#[case::everything(EVERYTHING)]
fn faulty_fleet_never_overspends(#[case] rates: FaultRates, #[values(0, 1)] group: u64) {
    for seed in 100 + group * 4..104 + group * 4 {
        with_seed(seed, || {
            let fleet = run(seed, rates);
            fleet.check_invariants();
        });
    }
}
