//! Tests of the ledgers of a large fleet in virtual time, with the ledger options of the gateway.

mod fleet;

use fleet::{Fleet, FleetOptions};

/// Limit of ledger messages per instance and second: the limit of 6 KB of control traffic a second
/// at about 120 bytes per message.
const MESSAGES_PER_S: u64 = 50;

/// Size of the large deployment: 7 domains of 42 instances, and 40 customers.
const LARGE: FleetOptions = FleetOptions {
    domains: 7,
    instances_per_domain: 42,
    shards: 4,
    customers: 40,
    requests_per_s: 350.0,
    reservation: 9_400,
    cost: 9_200,
    paid_s: 12,
    seconds: 20,
    outages_ms: &[(10_000, 19_000)],
    small_requests: 0,
    pinned_customers: 0,
    failure_ms: 300,
    loss: 0,
    restarts_ms: None,
    kills_ms: &[],
    power_loss_ms: None,
};

/// A deployment under hard load: all instances restart in turn and lose the store twice.
const HARD: FleetOptions = FleetOptions {
    domains: 3,
    instances_per_domain: 20,
    shards: 2,
    customers: 24,
    requests_per_s: 560.0,
    reservation: 11_000,
    cost: 9_500,
    paid_s: 53,
    seconds: 40,
    outages_ms: &[(9_000, 17_000), (28_000, 36_000)],
    small_requests: 2,
    pinned_customers: 5,
    failure_ms: 3_000,
    loss: 100,
    restarts_ms: Some((7_000, 2_000)),
    kills_ms: &[],
    power_loss_ms: None,
};

/// Guards against a storm of loan requests during a store outage. Without a limit, every instance
/// with a low balance asks the shard owner, and every instance without enough tokens asks all
/// others, fifty times a second.
#[test]
fn outage_of_the_store_causes_no_storm_of_messages() {
    let instances = (LARGE.domains * LARGE.instances_per_domain) as u64;
    let outage_s = (LARGE.outages_ms[0].1 - LARGE.outages_ms[0].0) / 1_000;
    let message_limit = instances * outage_s * MESSAGES_PER_S;
    let stats = Fleet::new(LARGE, 1).run(message_limit);
    println!("{stats:?}");
    assert!(stats.messages_in_outage <= message_limit, "{stats:?}");
    assert_eq!(stats.overspend, 0);
}

/// Guards against refusals while a customer has tokens unspent: all instances lose the store for
/// 8 s twice while they restart in turn.
#[test]
fn cuts_and_restarts_refuse_hardly_a_request() {
    let mut totals = (0, 0);
    for seed in 1..=4 {
        let stats = Fleet::new(HARD, seed).run(u64::MAX);
        println!("{stats:?}");
        assert_eq!(stats.overspend, 0);
        totals.0 += stats.refused_falsely.values().sum::<u64>();
        totals.1 += stats.served + stats.refused;
    }
    let (refused, requests) = totals;
    println!("{refused} of {requests} requests refused falsely");
    assert!(refused * 100 < requests, "{refused} of {requests} refused");
}

/// Guards against refusals while the shard owners of a domain are gone and nobody has noticed yet:
/// a busy instance that then draws for itself must not draw for each request.
#[test]
fn killed_owners_are_replaced_by_direct_draws() {
    let options = FleetOptions {
        outages_ms: &[],
        restarts_ms: None,
        kills_ms: &[10_000, 20_000],
        ..HARD
    };
    let stats = Fleet::new(options, 1).run(u64::MAX);
    println!("{stats:?}");
    let refused: u64 = stats.refused_falsely.values().sum();
    let requests = stats.served + stats.refused;
    assert_eq!(stats.overspend, 0);
    println!("{refused} of {requests} requests refused falsely");
    assert!(refused * 200 < requests, "{refused} of {requests} refused");
}
