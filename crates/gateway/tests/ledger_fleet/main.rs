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
    outage_ms: (10_000, 19_000),
};

/// Guards against a storm of loan requests during a store outage. Without a limit, every instance
/// with a low balance asks the shard owner, and every instance without enough tokens asks all
/// others, fifty times a second.
#[test]
fn outage_of_the_store_causes_no_storm_of_messages() {
    let instances = (LARGE.domains * LARGE.instances_per_domain) as u64;
    let outage_s = (LARGE.outage_ms.1 - LARGE.outage_ms.0) / 1_000;
    let message_limit = instances * outage_s * MESSAGES_PER_S;
    let stats = Fleet::new(LARGE, 1).run(message_limit);
    println!("{stats:?}");
    assert!(stats.messages_in_outage <= message_limit, "{stats:?}");
    assert_eq!(stats.overspend, 0);
}
