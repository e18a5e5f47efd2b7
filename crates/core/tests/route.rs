//! Tests of the lookup of routes and customers.

use std::{collections::BTreeSet, time::Duration};

use cornelarch_core::{
    base::{CustomerName, ServiceName},
    route::{
        ActiveDocument, CustomerRecord, RouteDocument, RouteKind, RouteLookup, RouteRule,
        SplitTarget,
    },
};
use rstest::rstest;

fn rule(prefix: &str) -> RouteRule {
    let target = |service: &str, weight| SplitTarget {
        service: ServiceName::new(service),
        weight,
    };
    RouteRule {
        name: prefix.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        attempts: 2,
        priority: 0,
        targets: vec![target("old", 90), target("new", 10)],
        is_public: false,
        homes: BTreeSet::new(),
    }
}

fn document() -> RouteDocument {
    let mut document = RouteDocument::new(3);
    for prefix in ["/a/", "/a/b/", "/c/"] {
        document.add_route(rule(prefix));
    }
    document
}

/// Guards against a shorter prefix that shadows a longer one, and against prefixes that match inside
/// a path segment.
#[rstest]
#[case("shop.example", "/a/x", Some("/a/"))]
#[case("shop.example", "/a/b/x", Some("/a/b/"))]
#[case("shop.example:8080", "/c/", Some("/c/"))]
#[case("SHOP.example", "/c/x", Some("/c/"))]
#[case("shop.example", "/ab/x", None)]
#[case("shop.example", "/c", None)]
#[case("other.example", "/a/x", None)]
fn longest_prefix_selects_the_route(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let document = document();
    let found = match document.find_route(host, path) {
        RouteLookup::Found(rule) => Some(rule.prefix.as_str()),
        RouteLookup::Missing => None,
    };
    assert_eq!(found, expected);
}

/// Guards against a traffic split that does not follow its weights.
#[test]
fn split_follows_the_weights() {
    let rule = rule("/a/");
    let new = (0..1_000_u64).filter(|spread| {
        rule.pick_service(*spread)
            .is_some_and(|service| service.as_str() == "new")
    });
    assert_eq!(new.count(), 100);
}

/// Guards against a key that is assigned to the wrong customer.
#[test]
fn key_names_its_customer() {
    let mut document = document();
    for (name, key) in [("acme", "k1"), ("zeta", "k2")] {
        let record = CustomerRecord {
            name: CustomerName::new(name),
            priority: None,
            prepaid: None,
            homes: BTreeSet::new(),
        };
        document.add_customer(record, [key.to_owned()]);
    }
    let name = |key: &str| {
        document
            .find_customer(key)
            .map(|found| found.name.to_string())
    };
    assert_eq!(name("k2").as_deref(), Some("zeta"));
    assert_eq!(name("k3"), None);
}

/// Guards against an older configuration that replaces a newer one, because two sources deliver
/// their versions at the same time.
#[test]
fn slower_source_puts_an_older_document_in_force() {
    let active = ActiveDocument::default();
    std::thread::scope(|scope| {
        for source in 0..4 {
            let active = &active;
            scope.spawn(move || {
                for version in (1 + source..20_000).step_by(4) {
                    active.activate(RouteDocument::new(version), |_| std::thread::yield_now());
                    let found = active.version();
                    assert!(found >= version, "version {found} after {version}");
                }
            });
        }
    });
}
