//! Memoised transitions of the real state machine, so that a search step is a table look-up.

use std::{cell::RefCell, collections::HashMap, hash::Hash, time::Duration};

use cornelarch_core::{
    base::{HolderId, InstanceName, MonotonicTime},
    config::{
        ConfigChanges, ConfigEffect, ConfigEvent, ConfigMessage, ConfigOptions, ConfigState, Delta,
        Document, HeadObject, SectionChange, SectionKind, SectionName,
    },
};

pub(crate) const NAMES: [&str; 2] = ["a", "b"];
const NOW: MonotonicTime = MonotonicTime::START;
const BASE: &str = "[environment]\nname = trial\n[budget a]\npaid = 1\n";

/// Lists the events of the model; indices refer to the tables of the lab.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Tick,
    Down,
    /// The live members, one bit per instance.
    Members(u8),
    Head {
        object_version: u8,
        head: usize,
    },
    Base(usize),
    Peer {
        peer: usize,
        version: u64,
    },
    Request {
        peer: usize,
        version: u64,
    },
    Changes(usize),
}

/// Lists the effects that matter to the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Out {
    ReadHead,
    ReadBase(usize),
    Request { to: usize, version: u64 },
    Changes { to: usize, changes: usize },
    Activate { version: u64, document: usize },
}

/// Holds an instance together with the watch that is really open at the platform.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) state: ConfigState,
    pub(crate) watch: Option<u64>,
}

/// Gives equal values equal indices.
struct Table<T> {
    values: Vec<T>,
    index: HashMap<String, usize>,
}

impl<T: std::fmt::Debug> Table<T> {
    fn new() -> Self {
        Self {
            values: Vec::new(),
            index: HashMap::new(),
        }
    }

    fn intern(&mut self, value: T) -> usize {
        let text = format!("{value:?}");
        let values = &mut self.values;
        *self.index.entry(text).or_insert_with(|| {
            values.push(value);
            values.len() - 1
        })
    }
}

type StepResult = (u32, std::rc::Rc<[Out]>);

/// Holds the tables and the known transitions.
pub(crate) struct Lab {
    nodes: RefCell<Table<Node>>,
    heads: RefCell<Vec<HeadObject>>,
    bases: RefCell<Vec<(String, String)>>,
    changes: RefCell<Table<ConfigChanges>>,
    documents: RefCell<Table<String>>,
    known: RefCell<HashMap<(u32, Step), StepResult>>,
}

pub(crate) fn holder(index: usize) -> HolderId {
    HolderId::new(InstanceName::new(NAMES[index]), index as u64)
}

fn index_of(holder: &HolderId) -> usize {
    holder.epoch as usize
}

fn delta(operator: usize) -> Delta {
    Delta {
        version: 0,
        operator: format!("operator-{operator}"),
        operation_id: format!("operation-{operator}"),
        time: 0,
        changes: vec![SectionChange {
            section: SectionName::new(SectionKind::Budget, "a"),
            body: Some(format!("paid = {}\n", operator + 2)),
        }],
        base_only: false,
    }
}

impl Lab {
    pub(crate) fn new() -> Self {
        let first = Delta {
            operation_id: "first".to_owned(),
            ..delta(0)
        };
        let head = HeadObject::initial(first, 1);
        Self {
            nodes: RefCell::new(Table::new()),
            bases: RefCell::new(vec![(head.base_id.clone(), BASE.to_owned())]),
            heads: RefCell::new(vec![head]),
            changes: RefCell::new(Table::new()),
            documents: RefCell::new(Table::new()),
            known: RefCell::new(HashMap::new()),
        }
    }

    pub(crate) fn new_node(&self, index: usize) -> u32 {
        let options = ConfigOptions {
            watchers: 1,
            start_wait: Duration::ZERO,
            retry_wait: Duration::ZERO,
            base_wait: Duration::ZERO,
            // Without audits an instance that does not watch must learn from its peers.
            audit_interval: Duration::from_secs(1_000),
            kept_deltas: 1,
        };
        let instance = InstanceName::new(NAMES[index]);
        let state = ConfigState::new("trial".into(), instance, options, NOW);
        self.intern(Node { state, watch: None })
    }

    fn intern(&self, node: Node) -> u32 {
        self.nodes.borrow_mut().intern(node) as u32
    }

    pub(crate) fn version(&self, node: u32) -> u64 {
        self.nodes.borrow().values[node as usize].state.version()
    }

    pub(crate) fn watch(&self, node: u32) -> Option<u64> {
        self.nodes.borrow().values[node as usize].watch
    }

    pub(crate) fn node_count(&self) -> usize {
        self.nodes.borrow().values.len()
    }

    pub(crate) fn base_of(&self, head: usize) -> usize {
        let id = self.heads.borrow()[head].base_id.clone();
        let bases = self.bases.borrow();
        let found = bases.iter().position(|(base_id, _)| *base_id == id);
        found.expect("base of a head exists")
    }

    pub(crate) fn head_version(&self, head: usize) -> u64 {
        self.heads.borrow()[head].version
    }

    pub(crate) fn changes_count(&self) -> usize {
        self.changes.borrow().values.len()
    }

    /// Iterates over the messages that lead to at most `version`.
    pub(crate) fn changes_until(&self, version: u64) -> impl Iterator<Item = usize> {
        let changes = self.changes.borrow();
        let usable = changes
            .values
            .iter()
            .map(|changes| changes.to_version <= version)
            .collect::<Vec<bool>>();
        (0..usable.len()).filter(move |index| usable[*index])
    }

    /// Returns the head that an operator writes over an old one. The second operator stores a
    /// large change, which instances can only read as a base.
    pub(crate) fn next_head(&self, old: usize, operator: usize) -> usize {
        let base = self.base_of(old);
        let old = self.heads.borrow()[old].clone();
        let delta = delta(operator);
        let head = if operator == 0 {
            old.with_delta(delta)
        } else {
            let document = old.build(&self.bases.borrow()[base].1);
            let document = document.map(|document| {
                let result = document.apply(&delta.changes);
                result.expect("change is valid")
            });
            let text = document.expect("old head is valid").to_text();
            let head = old.with_base_delta(delta, 1);
            let entry = (head.base_id.clone(), text);
            let mut bases = self.bases.borrow_mut();
            if !bases.contains(&entry) {
                bases.push(entry);
            }
            head
        };
        let mut heads = self.heads.borrow_mut();
        let known = heads.iter().position(|other| *other == head);
        known.unwrap_or_else(|| {
            heads.push(head);
            heads.len() - 1
        })
    }

    /// Runs one event through the real state machine, or looks up the result.
    pub(crate) fn step(&self, node: u32, step: Step) -> StepResult {
        if let Some(result) = self.known.borrow().get(&(node, step)) {
            return result.clone();
        }
        let mut next = self.nodes.borrow().values[node as usize].clone();
        let returned = matches!(step, Step::Down | Step::Head { .. });
        if returned {
            next.watch = None;
        }
        let effects = next.state.handle(self.event(step), NOW);
        let outs: Vec<Out> = effects
            .into_iter()
            .filter_map(|effect| self.out(effect, &mut next))
            .collect();
        let result = (self.intern(next), outs.into());
        self.known
            .borrow_mut()
            .insert((node, step), StepResult::clone(&result));
        result
    }

    fn event(&self, step: Step) -> ConfigEvent {
        let received = |from, message| ConfigEvent::Received {
            from: holder(from),
            message,
        };
        match step {
            Step::Tick => ConfigEvent::Tick,
            Step::Down => ConfigEvent::PlatformDown,
            Step::Members(mask) => {
                let live = (0..NAMES.len()).filter(|index| mask & (1 << index) != 0);
                ConfigEvent::MembersChanged(live.map(|index| NAMES[index].into()).collect())
            }
            Step::Head {
                object_version,
                head,
            } => ConfigEvent::HeadRead {
                object_version: object_version.into(),
                head: self.heads.borrow()[head].clone(),
            },
            Step::Base(base) => {
                let (base_id, text) = self.bases.borrow()[base].clone();
                ConfigEvent::BaseRead { base_id, text }
            }
            Step::Peer { peer, version } => ConfigEvent::PeerVersion {
                peer: holder(peer),
                version,
            },
            Step::Request { peer, version } => received(
                peer,
                ConfigMessage::Request {
                    from_version: version,
                },
            ),
            Step::Changes(changes) => {
                let changes = self.changes.borrow().values[changes].clone();
                received(0, ConfigMessage::Changes(changes))
            }
        }
    }

    fn out(&self, effect: ConfigEffect, node: &mut Node) -> Option<Out> {
        match effect {
            ConfigEffect::ReadHead => Some(Out::ReadHead),
            ConfigEffect::WatchHead { after_version } => {
                node.watch = Some(after_version);
                None
            }
            ConfigEffect::StopWatch => {
                node.watch = None;
                None
            }
            ConfigEffect::ReadBase { base_id, .. } => {
                let bases = self.bases.borrow();
                let found = bases.iter().position(|(id, _)| *id == base_id);
                found.map(Out::ReadBase)
            }
            ConfigEffect::Send { to, message } => {
                let to = index_of(&to);
                Some(match message {
                    ConfigMessage::Request { from_version } => Out::Request {
                        to,
                        version: from_version,
                    },
                    ConfigMessage::Changes(changes) => Out::Changes {
                        to,
                        changes: self.changes.borrow_mut().intern(changes),
                    },
                })
            }
            ConfigEffect::Activate {
                version, document, ..
            } => Some(Out::Activate {
                version,
                document: self.intern_document(&document),
            }),
            ConfigEffect::Rejected { .. } => None,
        }
    }

    fn intern_document(&self, document: &Document) -> usize {
        self.documents.borrow_mut().intern(document.to_text())
    }
}
