//! Parsed configuration documents: validation, canonical text, differences and changes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use ini::{Ini, ParseOption, Properties};

use crate::{
    base::{BudgetName, CustomerName, EnvironmentName, ModelName, ServiceName, UpstreamName},
    config::{
        error::DocumentError,
        head::SectionChange,
        line::LineIndex,
        reader::{SectionError, SectionReader},
        section::{
            BudgetSection, CustomerSection, EnvironmentSection, LimitsSection, ModelSection,
            SectionBody, SectionKind, SectionName, ServiceSection, UpstreamSection, WeightsSection,
        },
        value::{KeyDigest, UpstreamKind},
    },
};

/// Sections of one kind by name. Versions in which the kind did not change share the map.
pub type SectionMap<K, V> = Arc<BTreeMap<K, V>>;

/// The customer and the budget that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// The customer whose permissions and weight apply to requests with the key.
    pub customer: CustomerName,
    /// The budget charged for requests with the key.
    pub budget: BudgetName,
}

/// A valid configuration document.
///
/// Cloning is cheap because all maps are shared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    environment: EnvironmentSection,
    /// Keys, budgets and permissions of the customers.
    pub customers: SectionMap<CustomerName, CustomerSection>,
    /// The budgets with their initial balances.
    pub budgets: SectionMap<BudgetName, BudgetSection>,
    /// Token limits and timeouts by model.
    pub models: SectionMap<ModelName, ModelSection>,
    /// Call costs, retry rules and timeouts by service.
    pub services: SectionMap<ServiceName, ServiceSection>,
    /// Addresses, capacities and states of engines and service instances.
    pub upstreams: SectionMap<UpstreamName, UpstreamSection>,
    /// Size, time and rate limits that apply to all customers.
    pub limits: LimitsSection,
    /// The settings of the budget policy.
    pub weights: WeightsSection,
    keys: Arc<HashMap<KeyDigest, KeyOwner>>,
}

/// Positions of the sections in the text, by header; used to locate errors.
type SectionOrder = HashMap<String, usize>;

impl Document {
    /// Parses the INI text of a document.
    ///
    /// # Errors
    ///
    /// Returns all errors of the document, ordered by line.
    pub fn parse(text: &str) -> Result<Self, Vec<DocumentError>> {
        let ini = load_ini(text).map_err(|error| vec![error])?;
        let mut parser = DocumentParser::default();
        for (header, properties) in &ini {
            parser.add_section(header, properties);
        }
        parser.finish(text)
    }

    /// Returns the environment for which the document is written; instances of others reject it.
    #[must_use]
    pub fn environment(&self) -> &EnvironmentName {
        &self.environment.name
    }

    /// Returns the customer and budget of a key, or `None` if no customer has a key with this
    /// digest.
    #[must_use]
    pub fn key_owner(&self, digest: &KeyDigest) -> Option<&KeyOwner> {
        self.keys.get(digest)
    }

    /// Returns the canonical text, which parses to an equal document.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for section in self.section_names() {
            let body = self.body(&section).unwrap_or_default();
            text.push_str(&format!("[{section}]\n{body}\n"));
        }
        text
    }

    /// Returns the changes that turn this document into `newer`.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Vec<SectionChange> {
        let names: BTreeSet<SectionName> =
            self.section_names().chain(newer.section_names()).collect();
        names
            .into_iter()
            .filter_map(|section| {
                let body = newer.body(&section);
                (self.body(&section) != body).then_some(SectionChange { section, body })
            })
            .collect()
    }

    /// Returns the document with `changes` applied.
    ///
    /// # Errors
    ///
    /// Returns all errors of the resulting document, without line numbers.
    pub fn apply(&self, changes: &[SectionChange]) -> Result<Self, Vec<DocumentError>> {
        let mut document = self.clone();
        let mut errors = Vec::new();
        for change in changes {
            document.apply_change(change, &mut errors);
        }
        if changes
            .iter()
            .any(|change| change.section.kind == SectionKind::Customer)
        {
            document.index_keys(&mut errors);
        }
        document.check_references(&mut errors);
        if document.environment != self.environment && !self.environment.name.is_empty() {
            let section = SectionName::new(SectionKind::Environment, "");
            errors.push(section_error(
                &section,
                "name",
                "the environment of a document cannot change".to_owned(),
            ));
        }
        if errors.is_empty() {
            Ok(document)
        } else {
            Err(errors)
        }
    }

    /// Returns the canonical body of a section, or `None` if the document has no such section.
    #[must_use]
    pub fn body(&self, section: &SectionName) -> Option<String> {
        let name = section.name.as_str();
        match section.kind {
            SectionKind::Environment => Some(self.environment.body()),
            SectionKind::Limits => Some(self.limits.body()),
            SectionKind::Weights => Some(self.weights.body()),
            SectionKind::Model => self.models.get(name).map(SectionBody::body),
            SectionKind::Service => self.services.get(name).map(SectionBody::body),
            SectionKind::Budget => self.budgets.get(name).map(SectionBody::body),
            SectionKind::Customer => self.customers.get(name).map(SectionBody::body),
            SectionKind::Upstream => self.upstreams.get(name).map(SectionBody::body),
        }
    }

    /// Iterates over the sections in the order of the canonical text.
    pub fn section_names(&self) -> impl Iterator<Item = SectionName> + '_ {
        SectionKind::ALL.into_iter().flat_map(|kind| {
            let names: Box<dyn Iterator<Item = &str>> = match kind {
                SectionKind::Environment | SectionKind::Limits | SectionKind::Weights => {
                    Box::new(std::iter::once(""))
                }
                SectionKind::Model => Box::new(self.models.keys().map(|name| name.as_str())),
                SectionKind::Service => Box::new(self.services.keys().map(|name| name.as_str())),
                SectionKind::Budget => Box::new(self.budgets.keys().map(|name| name.as_str())),
                SectionKind::Customer => Box::new(self.customers.keys().map(|name| name.as_str())),
                SectionKind::Upstream => Box::new(self.upstreams.keys().map(|name| name.as_str())),
            };
            names.map(move |name| SectionName::new(kind, name))
        })
    }

    fn apply_change(&mut self, change: &SectionChange, errors: &mut Vec<DocumentError>) {
        let section = &change.section;
        let Some(body) = &change.body else {
            if !self.remove(section) {
                let problem = "section cannot be removed because it does not exist".to_owned();
                errors.push(section_error(section, "", problem));
            }
            return;
        };
        match load_ini(body) {
            Ok(ini) => {
                let mut reader = SectionReader::new(ini.general_section().iter());
                self.insert(section, &mut reader);
                let section_errors = reader.finish();
                errors.extend(
                    section_errors
                        .into_iter()
                        .map(|error| section_error(section, &error.key, error.problem)),
                );
            }
            Err(error) => errors.push(section_error(section, "", error.problem)),
        }
    }

    fn insert(&mut self, section: &SectionName, reader: &mut SectionReader<'_>) {
        let name = section.name.as_str();
        match section.kind {
            SectionKind::Environment => self.environment = SectionBody::read(reader),
            SectionKind::Limits => self.limits = SectionBody::read(reader),
            SectionKind::Weights => self.weights = SectionBody::read(reader),
            SectionKind::Model => insert_into(&mut self.models, name, reader),
            SectionKind::Service => insert_into(&mut self.services, name, reader),
            SectionKind::Budget => insert_into(&mut self.budgets, name, reader),
            SectionKind::Customer => insert_into(&mut self.customers, name, reader),
            SectionKind::Upstream => insert_into(&mut self.upstreams, name, reader),
        }
    }

    fn remove(&mut self, section: &SectionName) -> bool {
        let name = section.name.as_str();
        match section.kind {
            SectionKind::Environment => false,
            SectionKind::Limits => {
                self.limits = LimitsSection::default();
                true
            }
            SectionKind::Weights => {
                self.weights = WeightsSection::default();
                true
            }
            SectionKind::Model => Arc::make_mut(&mut self.models).remove(name).is_some(),
            SectionKind::Service => Arc::make_mut(&mut self.services).remove(name).is_some(),
            SectionKind::Budget => Arc::make_mut(&mut self.budgets).remove(name).is_some(),
            SectionKind::Customer => Arc::make_mut(&mut self.customers).remove(name).is_some(),
            SectionKind::Upstream => Arc::make_mut(&mut self.upstreams).remove(name).is_some(),
        }
    }

    fn index_keys(&mut self, errors: &mut Vec<DocumentError>) {
        let mut keys = HashMap::new();
        for (customer, section) in self.customers.iter() {
            for rule in &section.key_sha256 {
                let owner = KeyOwner {
                    customer: customer.clone(),
                    budget: rule.budget.as_ref().unwrap_or(&section.budget).clone(),
                };
                if let Some(other) = keys.insert(rule.digest, owner) {
                    let problem = format!("customer {} has the same key", other.customer);
                    let name = SectionName::new(SectionKind::Customer, customer);
                    errors.push(section_error(&name, "key_sha256", problem));
                }
            }
        }
        self.keys = Arc::new(keys);
    }

    fn check_references(&self, errors: &mut Vec<DocumentError>) {
        for (name, customer) in self.customers.iter() {
            let mut checker = ReferenceChecker::new(SectionKind::Customer, name, errors);
            checker.check_customer(customer, self);
        }
        for (name, upstream) in self.upstreams.iter() {
            let mut checker = ReferenceChecker::new(SectionKind::Upstream, name, errors);
            checker.check_upstream(upstream, self);
        }
        let mut addresses = HashMap::new();
        for (name, upstream) in self.upstreams.iter() {
            if let Some(other) = addresses.insert(upstream.address, name) {
                let problem = format!("upstream {other} has the same address");
                let name = SectionName::new(SectionKind::Upstream, name);
                errors.push(section_error(&name, "address", problem));
            }
        }
        for (name, model) in self.models.iter() {
            if model.max_tokens_default > model.max_tokens_limit {
                let problem = "value is larger than max_tokens_limit".to_owned();
                let name = SectionName::new(SectionKind::Model, name);
                errors.push(section_error(&name, "max_tokens_default", problem));
            }
        }
    }
}

fn insert_into<K, V>(map: &mut SectionMap<K, V>, name: &str, reader: &mut SectionReader<'_>)
where
    K: Ord + Clone + for<'a> From<&'a str>,
    V: SectionBody + Clone,
{
    Arc::make_mut(map).insert(K::from(name), V::read(reader));
}

fn load_ini(text: &str) -> Result<Ini, DocumentError> {
    // Quotes and escapes are not interpreted, so that the canonical text parses to the same values.
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, option).map_err(|error| DocumentError {
        line: error.line + 1,
        section: String::new(),
        key: String::new(),
        problem: error.msg.to_string(),
    })
}

fn section_error(section: &SectionName, key: &str, problem: String) -> DocumentError {
    DocumentError {
        line: 0,
        section: section.to_string(),
        key: key.to_owned(),
        problem,
    }
}

/// Reports references to missing sections and contradictory keys of a section.
struct ReferenceChecker<'a> {
    section: SectionName,
    errors: &'a mut Vec<DocumentError>,
}

impl<'a> ReferenceChecker<'a> {
    fn new(kind: SectionKind, name: &str, errors: &'a mut Vec<DocumentError>) -> Self {
        Self {
            section: SectionName::new(kind, name),
            errors,
        }
    }

    fn report(&mut self, key: &str, problem: String) {
        self.errors.push(section_error(&self.section, key, problem));
    }

    fn check_exists(&mut self, exists: bool, key: &str, kind: SectionKind, name: &str) {
        // An empty name is the placeholder of a value that was already reported as invalid.
        if !exists && !name.is_empty() {
            self.report(
                key,
                format!("section [{} {name}] does not exist", kind.as_str()),
            );
        }
    }

    fn check_customer(&mut self, customer: &CustomerSection, document: &Document) {
        let own = std::iter::once(("budget", &customer.budget));
        let other = customer
            .key_sha256
            .iter()
            .filter_map(|rule| rule.budget.as_ref());
        for (key, budget) in own.chain(other.map(|budget| ("key_sha256", budget))) {
            let exists = document.budgets.contains_key(budget);
            self.check_exists(exists, key, SectionKind::Budget, budget);
        }
        for model in customer.models.listed() {
            let exists = document.models.contains_key(model);
            self.check_exists(exists, "models", SectionKind::Model, model);
        }
        for service in customer.services.listed() {
            let exists = document.services.contains_key(service);
            self.check_exists(exists, "services", SectionKind::Service, service);
        }
        for upstream in customer.upstreams.listed() {
            let exists = document.upstreams.contains_key(upstream);
            self.check_exists(exists, "upstreams", SectionKind::Upstream, upstream);
        }
    }

    fn check_upstream(&mut self, upstream: &UpstreamSection, document: &Document) {
        for model in &upstream.models {
            let exists = document.models.contains_key(model);
            self.check_exists(exists, "models", SectionKind::Model, model);
        }
        if let Some(service) = &upstream.service {
            let exists = document.services.contains_key(service);
            self.check_exists(exists, "service", SectionKind::Service, service);
        }
        match upstream.kind {
            UpstreamKind::Engine => {
                if upstream.models.is_empty() {
                    self.report("models", "an engine needs at least one model".to_owned());
                }
                if upstream.service.is_some() {
                    self.report("service", "an engine cannot have a service".to_owned());
                }
            }
            UpstreamKind::Service => {
                if upstream.service.is_none() {
                    self.report("service", "a service instance needs its service".to_owned());
                }
                if !upstream.models.is_empty() {
                    self.report("models", "a service instance cannot have models".to_owned());
                }
            }
        }
    }
}

/// Collects the sections and errors of a text during parsing.
#[derive(Default)]
struct DocumentParser {
    document: Document,
    order: SectionOrder,
    index: usize,
    errors: Vec<(DocumentError, Option<(usize, usize)>)>,
}

impl DocumentParser {
    fn add_section(&mut self, header: Option<&str>, properties: &Properties) {
        let Some(header) = header else {
            for (key, _) in properties {
                let problem = "key precedes the first section".to_owned();
                self.report("", key, problem, 0, 0);
            }
            return;
        };
        self.index += 1;
        let index = self.index;
        let section = match header.parse::<SectionName>() {
            Ok(section) => section,
            Err(problem) => return self.report(header, "", problem, index, 0),
        };
        if self.order.insert(section.to_string(), index).is_some() {
            let problem = "section is given twice".to_owned();
            self.report(header, "", problem, index, 0);
        }
        let mut reader = SectionReader::new(properties.iter());
        self.document.insert(&section, &mut reader);
        for SectionError {
            key,
            occurrence,
            problem,
        } in reader.finish()
        {
            self.report(header, &key, problem, index, occurrence);
        }
    }

    fn report(
        &mut self,
        header: &str,
        key: &str,
        problem: String,
        index: usize,
        occurrence: usize,
    ) {
        let error = DocumentError {
            line: 0,
            section: header.to_owned(),
            key: key.to_owned(),
            problem,
        };
        self.errors.push((error, Some((index, occurrence))));
    }

    fn finish(mut self, text: &str) -> Result<Document, Vec<DocumentError>> {
        let mut errors = Vec::new();
        if !self.order.contains_key(SectionKind::Environment.as_str()) {
            let section = SectionName::new(SectionKind::Environment, "");
            errors.push(section_error(&section, "", "section is missing".to_owned()));
        }
        self.document.index_keys(&mut errors);
        self.document.check_references(&mut errors);
        if errors.is_empty() && self.errors.is_empty() {
            return Ok(self.document);
        }
        self.errors
            .extend(errors.into_iter().map(|error| (error, None)));
        Err(locate_errors(self.errors, &self.order, text))
    }
}

fn locate_errors(
    errors: Vec<(DocumentError, Option<(usize, usize)>)>,
    order: &SectionOrder,
    text: &str,
) -> Vec<DocumentError> {
    let lines = LineIndex::new(text);
    let mut errors: Vec<DocumentError> = errors
        .into_iter()
        .map(|(mut error, location)| {
            let location = location.or_else(|| order.get(&error.section).map(|index| (*index, 0)));
            if let Some((index, occurrence)) = location {
                error.line = lines.find(index, &error.key, occurrence);
            }
            error
        })
        .collect();
    errors.sort();
    errors.dedup();
    errors
}
