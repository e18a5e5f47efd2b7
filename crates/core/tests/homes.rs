//! Requests that are bound to regions.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cornelarch_core::{
    base::{DomainName, MonotonicTime, RegionName, ServiceName, UpstreamName},
    placement::{
        PlacementOptions, PlacementRefusal, PlacementRequest, PlacementTable, RequestSize,
        UpstreamRecord, find_home_domains,
    },
};
use rstest::rstest;

fn regions(names: &[&str]) -> BTreeSet<RegionName> {
    names.iter().map(|name| RegionName::new(name)).collect()
}

/// Guards against requests to upstreams outside of the home regions of the route or the customer.
#[rstest]
#[case::free(&[], &[], Some("east-a"))]
#[case::route(&["west"], &[], Some("west-a"))]
#[case::customer(&[], &["west"], Some("west-a"))]
#[case::both(&["east", "west"], &["west"], Some("west-a"))]
#[case::contradiction(&["east"], &["west"], None)]
#[case::unknown(&["south"], &[], None)]
fn request_leaves_its_homes(
    #[case] route: &[&str],
    #[case] customer: &[&str],
    #[case] domain: Option<&str>,
) {
    let mut table = PlacementTable::new(PlacementOptions::new(DomainName::new("east-a")));
    for (number, domain) in ["east-a", "west-a", "elsewhere"].iter().enumerate() {
        table.apply(UpstreamRecord {
            name: UpstreamName::new(&format!("u{number}")),
            service: ServiceName::new("s"),
            address: ([127, 0, 0, 1], 1_000).into(),
            domain: DomainName::new(domain),
            slots: 6,
            is_leaving: false,
            started_unix_ms: None,
            cold: None,
        });
    }
    let known = BTreeMap::from([
        (DomainName::new("east-a"), RegionName::new("east")),
        (DomainName::new("west-a"), RegionName::new("west")),
    ]);
    let homes = find_home_domains([&regions(route), &regions(customer)], &known);
    let request = PlacementRequest {
        service: &ServiceName::new("s"),
        excluded: &[],
        homes: homes.as_ref(),
        size: &RequestSize::default(),
        memory_tokens: 0,
        latency_limit: Duration::from_secs(2),
    };
    match (table.choose(&request, MonotonicTime::START), domain) {
        (Ok(placement), Some(domain)) => {
            let record = table.record(placement.key).expect("upstream");
            assert_eq!(record.domain.as_str(), domain);
        }
        (Err(refusal), None) => assert_eq!(refusal, PlacementRefusal::NoUpstream),
        (result, _) => panic!("{result:?}"),
    }
}
