//! Configuration document of the demo, adapted to the running stand-ins.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use cornelarch_core::{
    base::{CustomerName, DomainName, UpstreamName},
    config::{Document, KeyDigest, KeyRule, UpstreamSection},
};
use snafu::{ResultExt, Whatever, ensure_whatever, whatever};

/// Document used without `--settings`.
const DEFAULT_DOCUMENT: &str = include_str!("../../../../examples/demo/environment.ini");

/// Returns the API key of a customer in the demo.
pub(crate) fn demo_key(customer: &CustomerName) -> String {
    format!("{customer}-demo-key")
}

/// Reads and parses the document from a file, or the default document.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or if the document is invalid or has no customer or
/// no upstream.
pub(crate) fn load_document(file: Option<&str>) -> Result<Document, Whatever> {
    let text = match file {
        Some(file) => std::fs::read_to_string(file)
            .with_whatever_context(|_| format!("document {file:?} cannot be read"))?,
        None => DEFAULT_DOCUMENT.to_owned(),
    };
    let document = match Document::parse(&text) {
        Ok(document) => document,
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            whatever!("the document is invalid:\n{}", lines.join("\n"));
        }
    };
    ensure_whatever!(
        !document.customers.is_empty() && !document.upstreams.is_empty(),
        "the document of the demo needs at least one customer and one upstream"
    );
    Ok(document)
}

/// Replaces the addresses of the upstreams and adds the demo key to each customer.
pub(crate) fn adapt_document(
    document: &Document,
    addresses: &BTreeMap<UpstreamName, SocketAddr>,
) -> Document {
    let mut adapted = document.clone();
    for (name, address) in addresses {
        if let Some(section) = Arc::make_mut(&mut adapted.upstreams).get_mut(name) {
            section.address = *address;
        }
    }
    for (name, section) in Arc::make_mut(&mut adapted.customers) {
        let digest = KeyDigest::of_key(&demo_key(name));
        if !section.key_sha256.iter().any(|rule| rule.digest == digest) {
            let budget = None;
            section.key_sha256.push(KeyRule { digest, budget });
        }
    }
    adapted
}

/// Returns the distinct failure domains of the upstreams, sorted.
pub(crate) fn list_domains(document: &Document) -> Vec<DomainName> {
    let sections = document.upstreams.values();
    let mut domains: Vec<DomainName> = sections.map(|section| section.domain.clone()).collect();
    domains.sort();
    domains.dedup();
    domains
}

/// Returns a copy of the document with `change` applied to one upstream.
pub(crate) fn change_upstream(
    document: &Document,
    name: &UpstreamName,
    change: impl FnOnce(&mut UpstreamSection),
) -> Document {
    let mut changed = document.clone();
    if let Some(section) = Arc::make_mut(&mut changed.upstreams).get_mut(name) {
        change(section);
    }
    changed
}
