//! Tests of the retry policy and the retry budgets.

use std::time::Duration;

use cornelarch_core::{
    base::{CustomerName, MonotonicTime},
    error::{ErrorKind, RunState},
    retry::{
        AttemptOutcome, AttemptState, RetryBudget, RetryBudgetOptions, RetryDecision, RetryOptions,
        RetryPolicy,
    },
    routing::RouteTarget,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn state() -> AttemptState {
    AttemptState {
        attempts: 1,
        idempotent: true,
        may_have_run: false,
        delivered: 0,
        resumable: false,
        deadline: MonotonicTime::from_millis(60_000),
    }
}

/// Guards against a second run of a non-idempotent request, against `not_run` for a request that
/// may have run, and against a response that mixes the text of two attempts, over all combinations.
#[rstest]
fn never_retries_what_may_have_run(
    #[values(true, false)] idempotent: bool,
    #[values(true, false)] may_have_run: bool,
    #[values(true, false)] resumable: bool,
    #[values(0, 3)] delivered: u64,
) {
    let policy = RetryPolicy::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for outcome in AttemptOutcome::ALL {
        let ran = may_have_run || outcome.run_state() != RunState::NotRun;
        let state = AttemptState {
            idempotent,
            may_have_run: ran,
            delivered,
            resumable,
            ..state()
        };
        match policy.decide(*outcome, &state, NOW, &mut rng) {
            RetryDecision::Done => assert_eq!(*outcome, AttemptOutcome::Answered),
            RetryDecision::Retry { .. } => {
                assert!(idempotent || !ran, "{outcome:?} was retried");
                assert!(
                    delivered == 0 || resumable,
                    "{outcome:?} was restarted after a partial response"
                );
            }
            RetryDecision::GiveUp(kind) => {
                let says_not_run = kind.answer().run == RunState::NotRun;
                assert!(
                    !says_not_run || (!ran && delivered == 0),
                    "{outcome:?} is reported as {kind:?}"
                );
            }
        }
    }
}

/// Guards against a retry after the deadline of the caller or beyond the maximum number of
/// attempts.
#[test]
fn respects_the_deadline_and_the_number_of_attempts() {
    let policy = RetryPolicy::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let lost = AttemptOutcome::LostBeforeFirst;
    let late = AttemptState {
        deadline: NOW,
        ..state()
    };
    let decision = policy.decide(lost, &late, NOW, &mut rng);
    assert_eq!(decision, RetryDecision::GiveUp(ErrorKind::UpstreamLost));
    let last = AttemptState {
        attempts: 3,
        ..state()
    };
    let decision = policy.decide(lost, &last, NOW, &mut rng);
    assert_eq!(decision, RetryDecision::GiveUp(ErrorKind::UpstreamLost));
}

/// Guards against synchronized retries: backoffs must be spread over the whole range, which doubles
/// with each attempt up to its bound.
#[rstest]
#[case(1, 20)]
#[case(2, 40)]
#[case(4, 160)]
#[case(40, 1_000)]
fn backs_off_with_full_jitter(#[case] attempts: u32, #[case] bound_ms: u64) {
    let policy = RetryPolicy::new(RetryOptions::default());
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let bound = Duration::from_millis(bound_ms);
    let backoffs: Vec<_> = (0..1_000)
        .map(|_| policy.backoff(attempts, &mut rng))
        .collect();
    assert!(backoffs.iter().all(|backoff| *backoff <= bound));
    assert!(backoffs.iter().any(|backoff| *backoff < bound / 10));
    assert!(backoffs.iter().any(|backoff| *backoff > bound * 9 / 10));
}

/// Guards against a retry storm: if every attempt fails, retries are limited to a tenth of the
/// first attempts.
#[test]
fn limits_retries_to_a_fraction_of_first_attempts() {
    let mut budget = RetryBudget::new(RetryBudgetOptions::default());
    let target = RouteTarget::Model("m".into());
    let customer = CustomerName::new("c");
    assert!(
        !budget.try_retry(&customer, &target),
        "no first attempt was made"
    );
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt(&customer, &target);
        retries += u32::from(budget.try_retry(&customer, &target));
    }
    assert!((100..=101).contains(&retries), "{retries} retries");
}

/// Guards against a customer that uses up the retries of others, and against many customers whose
/// retries together overload an upstream group.
#[test]
fn limits_customers_and_groups_separately() {
    let mut budget = RetryBudget::new(RetryBudgetOptions {
        initial: 0.0,
        group_burst: 3.5,
        customer_burst: 1.5,
        ..RetryBudgetOptions::default()
    });
    let target = RouteTarget::Model("m".into());
    let customers = ["a", "b", "c", "d"].map(CustomerName::from);
    for customer in &customers {
        for _ in 0..20 {
            budget.record_first_attempt(customer, &target);
        }
    }
    assert!(budget.try_retry(&customers[0], &target));
    assert!(
        !budget.try_retry(&customers[0], &target),
        "its own bucket is empty"
    );
    assert!(budget.try_retry(&customers[1], &target));
    assert!(budget.try_retry(&customers[2], &target));
    assert!(
        !budget.try_retry(&customers[3], &target),
        "the bucket of the group is empty"
    );
}

/// Guards against instances that together exceed the allowance of the fleet in some window, for any
/// alignment of requests and retries.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn window_budget_holds_over_the_fleet(#[case] seed: u64) {
    use cornelarch_core::retry::{WindowBudget, WindowOptions};
    use rand::Rng;

    let options = WindowOptions {
        ratio: 0.2,
        slack: 56.0,
        window: Duration::from_secs(10),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = vec![WindowBudget::new(options); 8];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..6_000_u64 {
        let millis = step * 10;
        let now = MonotonicTime::from_millis(millis);
        let is_burst = (millis / 7_000) % 2 == 1;
        if rng.random_bool(if is_burst { 0.9 } else { 0.2 }) {
            fleet[rng.random_range(0..8)].record_request(now);
            requests.push(millis);
        }
        // Every instance retries as often as it is allowed to.
        for budget in &mut fleet {
            if budget.try_retry(8, now) {
                retries.push(millis);
            }
        }
    }
    let within = |times: &[u64], end: u64| {
        let range = end.saturating_sub(10_000)..end;
        times.iter().filter(|at| range.contains(at)).count() as f64
    };
    for end in (10_000..60_000).step_by(500) {
        // The allowance is based on the requests of this window or of the previous one.
        let base = within(&requests, end).max(within(&requests, end - 10_000));
        let allowed = base * 0.2 + 56.0;
        let made = within(&retries, end);
        assert!(
            made <= allowed,
            "{made} retries before {end} ms, {allowed} allowed"
        );
    }
}
