//! Tests of the admission queue and the concurrency limit.

use std::{collections::HashMap, time::Duration};

use cornelarch_core::{
    base::MonotonicTime,
    error::{ErrorKind, RunState},
    limit::{
        AdmissionQueue, ConcurrencyLimit, ConcurrencyOptions, Priority, QueueEffect, QueueOptions,
        QueueRequest, TicketKey,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn request(customer: &str, cost: u64) -> QueueRequest {
    QueueRequest {
        customer: customer.into(),
        weight: 1.0,
        priority: Priority::Normal,
        cost,
        deadline: at(1_000_000),
    }
}

fn offer(queue: &mut AdmissionQueue, request: QueueRequest) -> TicketKey {
    queue.offer(request, at(0)).expect("the queue has room").0
}

fn admitted(effects: &[QueueEffect]) -> Vec<TicketKey> {
    let key = |effect: &QueueEffect| match effect {
        QueueEffect::Admit(key) => Some(*key),
        QueueEffect::Refuse(..) => None,
    };
    effects.iter().filter_map(key).collect()
}

/// Guards against a customer that starves others with many requests, regardless of their costs.
#[rstest]
#[case::equal(1.0, 1.0, 100, 100)]
#[case::long_requests(1.0, 1.0, 4_000, 100)]
#[case::weighted(3.0, 1.0, 500, 500)]
fn shares_by_weight(
    #[case] large_weight: f64,
    #[case] small_weight: f64,
    #[case] large_cost: u64,
    #[case] small_cost: u64,
) {
    let mut queue = AdmissionQueue::new(QueueOptions {
        entries_max: 5_000,
        ..QueueOptions::default()
    });
    let mut costs = HashMap::new();
    for index in 0..4_000 {
        let (name, weight, cost) = match index % 2 {
            0 => ("large", large_weight, large_cost),
            _ => ("small", small_weight, small_cost),
        };
        let key = offer(
            &mut queue,
            QueueRequest {
                weight,
                ..request(name, cost)
            },
        );
        costs.insert(key, (name, cost));
    }
    let mut served: HashMap<&str, u64> = HashMap::new();
    while served.values().sum::<u64>() < 150_000 {
        for key in admitted(&queue.poll(1, at(1))) {
            let (name, cost) = costs[&key];
            *served.entry(name).or_default() += cost;
        }
    }
    let ratio = served["large"] as f64 / served["small"] as f64;
    let expected = large_weight / small_weight;
    assert!(
        (ratio / expected - 1.0).abs() < 0.15,
        "ratio {ratio}, expected {expected}"
    );
}

/// Guards against a customer that fills the queue and so locks others out.
#[test]
fn evicts_from_the_largest_backlog() {
    let mut queue = AdmissionQueue::new(QueueOptions {
        entries_max: 4,
        capacity: 2.0,
        ..QueueOptions::default()
    });
    let last = (0..8)
        .map(|_| offer(&mut queue, request("large", 100)))
        .last();
    let refusal = queue
        .offer(request("large", 100), at(0))
        .expect_err("the queue is full");
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert_eq!(refusal.kind.answer().run, RunState::NotRun);
    let (_, effects) = queue
        .offer(request("small", 100), at(0))
        .expect("a request of the larger backlog is evicted");
    assert!(matches!(effects[..], [QueueEffect::Refuse(key, _)] if Some(key) == last));
    assert_eq!(queue.len(), 8);
}

/// Guards against priorities that are ignored or that override fairness among customers.
#[test]
fn orders_by_priority_within_a_customer() {
    let mut queue = AdmissionQueue::new(QueueOptions::default());
    let mut add = |name, priority| {
        offer(
            &mut queue,
            QueueRequest {
                priority,
                ..request(name, 2_000)
            },
        )
    };
    let low = add("a", Priority::Low);
    let normal = add("a", Priority::Normal);
    let high = add("a", Priority::High);
    let other = add("b", Priority::Low);
    let order = admitted(&queue.poll(4, at(1)));
    let own: Vec<_> = order.iter().copied().filter(|key| *key != other).collect();
    assert_eq!(own, [high, normal, low]);
    let position = order.iter().position(|key| *key == other);
    assert!(
        position <= Some(1),
        "a customer waited for the whole backlog of another"
    );
}

/// Guards against requests that wait although their deadline cannot be met, and against unjustified
/// refusals after a period of low load.
#[test]
fn refuses_early_when_the_deadline_cannot_be_met() {
    let mut queue = AdmissionQueue::new(QueueOptions::default());
    let expired = QueueRequest {
        deadline: at(0),
        ..request("a", 100)
    };
    let refusal = queue
        .offer(expired, at(0))
        .expect_err("the deadline has passed");
    assert_eq!(refusal.kind, ErrorKind::DeadlineExceeded);
    for step in 0..40 {
        // Without a queue, the drain rate is the arrival rate and must not be used as the capacity.
        queue.record_start(1, at(step * 100));
    }
    for _ in 0..100 {
        offer(&mut queue, request("a", 100));
    }
    for step in 0..20 {
        queue.record_start(100, at(4_000 + step * 100));
    }
    // The backlog is 10,000 tokens and the drain rate is 1,000 tokens/s.
    let soon = QueueRequest {
        deadline: at(11_000),
        ..request("a", 100)
    };
    let refusal = queue
        .offer(soon.clone(), at(6_000))
        .expect_err("10 s of backlog");
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert!(refusal.retry_after > Duration::from_secs(8));
    // Another customer has its own share and does not wait behind this backlog.
    let other = QueueRequest {
        customer: "b".into(),
        ..soon
    };
    assert!(queue.offer(other, at(6_000)).is_ok());
}

/// Guards against a waiting request that is never admitted or refused, or that is both.
#[rstest]
fn resolves_each_ticket_once(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = AdmissionQueue::new(QueueOptions {
        entries_max: 50,
        ..QueueOptions::default()
    });
    let (mut opened, mut ended) = (Vec::new(), Vec::new());
    let mut end = |effects: &[QueueEffect]| {
        for effect in effects {
            let (QueueEffect::Admit(key) | QueueEffect::Refuse(key, _)) = effect;
            ended.push(*key);
        }
    };
    for step in 0..2_000 {
        let now = at(step * 10);
        let request = QueueRequest {
            deadline: at(step * 10 + rng.random_range(1..3_000)),
            weight: rng.random_range(0.0..4.0),
            ..request(
                &format!("c{}", rng.random_range(0..6)),
                rng.random_range(0..5_000),
            )
        };
        let cost = request.cost;
        if let Ok((key, effects)) = queue.offer(request, now) {
            opened.push(key);
            end(&effects);
        }
        if rng.random_bool(0.6) {
            end(&queue.poll(1, now));
            queue.record_start(cost, now);
        }
        if let Some(key) = opened.last().filter(|_| rng.random_bool(0.05))
            && queue.cancel(*key)
        {
            end(&[QueueEffect::Admit(*key)]);
        }
    }
    end(&queue.poll(0, at(1_000_000)));
    assert!(queue.is_empty() && queue.next_timer().is_none());
    opened.sort();
    ended.sort();
    assert_eq!(opened, ended);
    assert_eq!(queue.snapshot().cost, 0);
    assert!(queue.snapshot().customers.is_empty());
}

/// Guards against a limit that stays high while the latency grows, or low after it has recovered.
#[test]
fn follows_the_latency_gradient() {
    let mut limit = ConcurrencyLimit::new(ConcurrencyOptions {
        max: 64.0,
        ..ConcurrencyOptions::default()
    });
    let observe = |limit: &mut ConcurrencyLimit, millis: u64, count: u32| {
        for _ in 0..count {
            limit.observe(Duration::from_millis(millis), limit.limit());
        }
    };
    observe(&mut limit, 100, 50);
    assert_eq!(limit.limit(), 64);
    observe(&mut limit, 2_000, 200);
    assert!(limit.limit() < 16, "limit {}", limit.limit());
    observe(&mut limit, 100, 200);
    assert!(limit.limit() > 50, "limit {}", limit.limit());
    limit.set_max(8.0);
    assert_eq!(limit.limit(), 8);
    for _ in 0..100 {
        limit.record_overload();
    }
    assert_eq!(limit.limit(), 2);
}

/// Guards against a limit that shrinks because the steps of a larger batch take longer: with an
/// engine whose steps took 20 to 500 ms and that had no queue, nearly all of 500 streams were
/// refused.
#[test]
fn keeps_the_limit_while_nothing_is_queued() {
    let options = ConcurrencyOptions {
        max: 64.0,
        ..ConcurrencyOptions::default()
    };
    let mut limit = ConcurrencyLimit::new(options);
    for in_flight in 1..=64 {
        let latency = Duration::from_millis(10 * u64::from(in_flight));
        limit.observe_unqueued(latency, in_flight);
        assert_eq!(limit.limit(), 64, "{in_flight} in flight");
    }
    // The same latency shrinks the limit if requests are queued.
    for _ in 0..100 {
        limit.observe(Duration::from_millis(640), limit.limit());
    }
    assert!(limit.limit() < 32, "limit {}", limit.limit());
}

/// Guards against requests that wait for minutes because their deadlines allow it.
#[test]
fn refuses_after_the_maximum_wait() {
    let mut queue = AdmissionQueue::new(QueueOptions::default());
    let key = offer(&mut queue, request("a", 100));
    assert!(queue.poll(0, at(9_999)).is_empty());
    let effects = queue.poll(0, at(10_000));
    assert!(matches!(
        effects[..],
        [QueueEffect::Refuse(refused, refusal)]
            if refused == key && refusal.kind == ErrorKind::Overloaded
    ));
}
