//! Tests of the ledgers of a large fleet, with the options of a gateway and in virtual time.

mod fleet;

use fleet::{Fleet, FleetPlan};

/// Messages of the ledger that an instance may send in a second: 6 KB a second for all control, at
/// about 120 bytes a message.
const MESSAGES_PER_S: u64 = 50;

/// The size of the large deployment: 7 domains of 42 instances and 40 customers.
const LARGE: FleetPlan = FleetPlan {
    domains: 7,
    instances_per_domain: 42,
    shards: 4,
    customers: 40,
    requests_per_s: 350.0,
    reservation: 9_400,
    cost: 9_200,
    paid_s: 12,
    seconds: 20,
    outage_ms: (10_000, 19_000),
};

/// Guards against a storm of questions for tokens: while the store is away, every instance whose
/// balance is low asked its owner, and every short instance all others, fifty times a second.
#[test]
fn outage_of_the_store_causes_no_storm_of_messages() {
    let instances = (LARGE.domains * LARGE.instances_per_domain) as u64;
    let outage_s = (LARGE.outage_ms.1 - LARGE.outage_ms.0) / 1_000;
    let most = instances * outage_s * MESSAGES_PER_S;
    let count = Fleet::new(LARGE, 1).run(most);
    println!("{count:?}");
    assert!(count.messages_in_outage <= most, "{count:?}");
    assert_eq!(count.overspend, 0);
}
