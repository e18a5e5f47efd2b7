//! Configuration documents: error reporting with locations, and round trips of text and changes.

use cornelarch_core::{
    base::{BudgetName, TokenCount},
    config::{Document, KeyDigest, SectionChange, SectionKind, SectionName},
};
use rstest::rstest;

const VALID: &str = "\
[environment]
name = trial

[limits]
order_rate = 20

[weights]
weight = held_money

[model small]
max_tokens_limit = 2_000
resume = yes

[service stock]
cost_per_call = 10
idempotent = POST /lookup, PUT /items

[budget acme]
paid = 1_000_000

[budget acme-lab]
paid = 5

[customer acme]
key_sha256 = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae, fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9 acme-lab
budget = acme
models = small
services = *

[upstream engine-1]
kind = engine
address = 127.0.0.1:9001
domain = north
models = small

[upstream stock-1]
kind = service
address = 127.0.0.1:9002
domain = south
service = stock
fencing = yes
";

/// Guards against values that are read into the wrong field or get the wrong default.
#[test]
fn valid_document_is_read() {
    let document = Document::parse(VALID).expect("document is valid");
    assert_eq!(document.environment().as_str(), "trial");
    assert_eq!(document.limits.order_rate, 20);
    assert_eq!(document.limits.request_timeout_s, 600);
    assert_eq!(document.budgets["acme"].paid, TokenCount::new(1_000_000));
    assert!(document.models["small"].resume);
    assert!(document.upstreams["stock-1"].fencing);
    assert!(document.customers["acme"].services.allows(&"stock".into()));
    let owner = document.key_owner(&KeyDigest::of_key("foo")).expect("key");
    assert_eq!(owner.budget.as_str(), "acme");
    let owner = document.key_owner(&KeyDigest::of_key("bar")).expect("key");
    assert_eq!(owner.budget.as_str(), "acme-lab");
    assert!(document.key_owner(&KeyDigest::of_key("baz")).is_none());
}

/// Guards against a canonical text that loses or changes a value.
#[test]
fn canonical_text_round_trips() {
    let document = Document::parse(VALID).expect("document is valid");
    let again = Document::parse(&document.to_text()).expect("canonical text is valid");
    assert_eq!(again, document);
    assert!(document.diff(&again).is_empty());
}

/// Guards against errors that are missed or reported for the wrong line, section or key.
#[rstest]
#[case(
    "order_rate = 20",
    "order_rate = 20/s",
    5,
    "limits",
    "order_rate",
    "whole number"
)]
#[case(
    "order_rate = 20",
    "order_rate = 0",
    5,
    "limits",
    "order_rate",
    "between 1 and"
)]
#[case(
    "order_rate = 20",
    "order_rat = 20",
    5,
    "limits",
    "order_rat",
    "unknown key"
)]
#[case(
    "order_rate = 20",
    "order_rate = 20\norder_rate = 30",
    6,
    "limits",
    "order_rate",
    "twice"
)]
#[case(
    "weight = held_money",
    "weight = money",
    8,
    "weights",
    "weight",
    "not one of"
)]
#[case("[limits]", "[limit]", 4, "limit", "", "unknown section")]
#[case("[limits]", "[limits all]", 4, "limits all", "", "must be [limits]")]
#[case("[budget acme-lab]", "[budget acme]", 21, "budget acme", "", "twice")]
#[case("paid = 5", "", 21, "budget acme-lab", "paid", "missing")]
#[case("paid = 5", "paid = -5", 22, "budget acme-lab", "paid", "whole number")]
#[case(
    "budget = acme\n",
    "budget = acm\n",
    26,
    "customer acme",
    "budget",
    "does not exist"
)]
#[case(
    "models = small\nservices",
    "models = big\nservices",
    27,
    "customer acme",
    "models",
    "does not exist"
)]
#[case("e7ae,", "e7a,", 25, "customer acme", "key_sha256", "64 hexadecimal")]
#[case(
    "127.0.0.1:9001",
    "localhost",
    32,
    "upstream engine-1",
    "address",
    "IP:port"
)]
#[case(
    "127.0.0.1:9001",
    "127.0.0.1:9002",
    38,
    "upstream stock-1",
    "address",
    "same address"
)]
#[case(
    "service = stock\n",
    "",
    36,
    "upstream stock-1",
    "service",
    "needs its service"
)]
#[case(
    "[upstream engine-1]",
    "[upstream ..]",
    30,
    "upstream ..",
    "",
    "must not be"
)]
#[case("name = trial", "name = .", 2, "environment", "name", "must not be")]
#[case("[environment]\nname = trial\n", "", 0, "environment", "", "missing")]
#[case(
    "POST /lookup",
    "POST lookup",
    16,
    "service stock",
    "idempotent",
    "METHOD /path"
)]
fn fault_is_reported_with_its_place(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] section: &str,
    #[case] key: &str,
    #[case] problem: &str,
) {
    assert!(VALID.contains(from), "case must change the document");
    let errors = Document::parse(&VALID.replacen(from, to, 1)).expect_err("document is faulty");
    let found = errors.iter().any(|error| {
        error.line == line
            && error.section == section
            && error.key == key
            && error.problem.contains(problem)
    });
    assert!(found, "{errors:#?}");
}

/// Guards against a parser that stops at the first fault.
#[test]
fn all_faults_are_reported_together() {
    let text = VALID
        .replace("order_rate = 20", "order_rate = x\nunknown = 1")
        .replace("paid = 5", "paid = y")
        .replace("budget = acme\n", "budget = nobody\n");
    let errors = Document::parse(&text).expect_err("document is faulty");
    let places: Vec<(usize, &str)> = errors
        .iter()
        .map(|error| (error.line, error.key.as_str()))
        .collect();
    assert_eq!(
        places,
        [
            (5, "order_rate"),
            (6, "unknown"),
            (23, "paid"),
            (27, "budget")
        ]
    );
}

/// Guards against a clear-text key in an error message.
#[test]
fn faulty_key_is_not_repeated() {
    let text = VALID.replace("2c26b46b", "secret-");
    let errors = Document::parse(&text).expect_err("document is faulty");
    assert!(!format!("{errors:?}").contains("secret"));
}

/// Guards against a diff that does not result in the newer document when it is applied, and against
/// an apply that modifies the original document.
#[test]
fn diff_and_apply_lead_to_the_newer_document() {
    let old = Document::parse(VALID).expect("document is valid");
    let text = VALID
        .replace("paid = 5", "paid = 7")
        .replace("[limits]\norder_rate = 20\n", "")
        + "\n[budget new]\npaid = 3\n";
    let new = Document::parse(&text).expect("document is valid");
    let changes = old.diff(&new);
    assert_eq!(changes.len(), 3);
    assert_eq!(old.apply(&changes).expect("changes are valid"), new);
    assert_eq!(new.apply(&new.diff(&old)).expect("changes are valid"), old);
}

/// Guards against a change that leaves a dangling reference, and against partially applied changes.
#[test]
fn faulty_change_is_refused_as_a_whole() {
    let document = Document::parse(VALID).expect("document is valid");
    let before = document.clone();
    let good = SectionChange {
        section: SectionName::new(SectionKind::Budget, "extra"),
        body: Some("paid = 1\n".to_owned()),
    };
    let bad = SectionChange {
        section: SectionName::new(SectionKind::Budget, "acme"),
        body: None,
    };
    let errors = document.apply(&[good, bad]).expect_err("budget is in use");
    assert_eq!(errors[0].key, "budget");
    assert_eq!(document, before);
    assert!(!document.budgets.contains_key(&BudgetName::new("extra")));
}

/// Guards against retries of an order because an idempotency rule matches too many calls.
#[rstest]
#[case("POST", "/lookup", true)]
#[case("POST", "/lookup/a?b=/c", true)]
#[case("PUT", "/lookup", false)]
#[case("POST", "/lookups", false)]
#[case("POST", "/lookup/../orders", false)]
#[case("POST", "/lookup/%2e%2e/orders", false)]
#[case("POST", "/orders", false)]
#[case("GET", "/orders", true)]
#[case("get", "/orders", false)]
fn idempotent_rules_cover_only_their_calls(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: bool,
) {
    let document = Document::parse(VALID).expect("document is valid");
    let service = &document.services["stock"];
    assert_eq!(service.is_idempotent(method, path), expected);
}
