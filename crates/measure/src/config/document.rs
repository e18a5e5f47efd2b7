//! Generates configuration documents and deltas of the size expected in production.

use cornelarch_core::config::{Delta, Document, SectionChange, SectionKind, SectionName};

/// Budgets per customer at target size (100,000 / 6,700).
const BUDGETS_PER_CUSTOMER: usize = 15;
/// Minimum number of customers in a document.
const MIN_CUSTOMERS: usize = 10;

/// Returns the text of a document with `budgets` budgets.
pub(super) fn build_text(budgets: usize) -> String {
    let mut text = String::from("[environment]\nname = production\n[model small]\n");
    for budget in 0..budgets {
        text.push_str(&format!("[budget budget-{budget:06}]\npaid = 1000000\n"));
    }
    for customer in 0..customer_count(budgets) {
        let section = format!("customer customer-{customer:05}");
        text.push_str(&format!("[{section}]\n{}", customer_body(customer, 0)));
    }
    text
}

/// Returns a parsed document with `budgets` budgets.
///
/// # Panics
///
/// Panics if the generated text is not valid.
pub(super) fn build_document(budgets: usize) -> Document {
    Document::parse(&build_text(budgets)).expect("generated document is valid")
}

fn customer_count(budgets: usize) -> usize {
    (budgets / BUDGETS_PER_CUSTOMER).max(MIN_CUSTOMERS)
}

fn customer_body(customer: usize, number: u64) -> String {
    format!(
        "key_sha256 = {:064x}, {:064x}\nbudget = budget-{:06}\nmodels = small\nweight = {}\n\
         priority = 7\nmax_tokens = 2048\n",
        customer * 2 + 1,
        customer * 2 + 2,
        customer % MIN_CUSTOMERS,
        number % 900 + 2
    )
}

/// Returns a delta of about 300 bytes that changes one customer.
pub(super) fn change_customer(number: u64) -> Delta {
    let customer = (number as usize) % MIN_CUSTOMERS;
    let section = SectionName::new(SectionKind::Customer, &format!("customer-{customer:05}"));
    build_delta(number, section, customer_body(customer, number))
}

/// Returns a delta that changes one budget.
pub(super) fn change_budget(number: u64) -> Delta {
    let name = format!("budget-{:06}", number % MIN_CUSTOMERS as u64);
    let section = SectionName::new(SectionKind::Budget, &name);
    build_delta(number, section, format!("paid = {}\n", 1_000_000 + number))
}

fn build_delta(number: u64, section: SectionName, body: String) -> Delta {
    Delta {
        version: 0,
        operator: "operator".to_owned(),
        operation_id: format!("{number:016x}"),
        time: 1_800_000_000 + number,
        changes: vec![SectionChange {
            section,
            body: Some(body),
        }],
        base_only: false,
    }
}
