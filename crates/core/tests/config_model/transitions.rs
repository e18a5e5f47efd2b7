//! Memoised transitions of the real [`ConfigState`], so that a search step is a table lookup.

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

/// An event of the model; indices refer to the tables of [`TransitionCache`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Tick,
    PlatformDown,
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

/// An effect that is relevant to the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    ReadHead,
    ReadBase(usize),
    Request { to: usize, version: u64 },
    Changes { to: usize, changes: usize },
    Activate { version: u64, document: usize },
}

/// An instance together with the watch that the platform has open for it.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) state: ConfigState,
    pub(crate) watch: Option<u64>,
}

/// Assigns equal values the same index.
struct Interner<T> {
    values: Vec<T>,
    index: HashMap<String, usize>,
}

impl<T: std::fmt::Debug> Interner<T> {
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

type Transition = (u32, std::rc::Rc<[Output]>);

/// The interned values of the model and the transitions computed so far.
pub(crate) struct TransitionCache {
    nodes: RefCell<Interner<Node>>,
    heads: RefCell<Vec<HeadObject>>,
    bases: RefCell<Vec<(String, String)>>,
    changes: RefCell<Interner<ConfigChanges>>,
    documents: RefCell<Interner<String>>,
    transitions: RefCell<HashMap<(u32, Step), Transition>>,
}

pub(crate) fn holder_id(index: usize) -> HolderId {
    HolderId::new(InstanceName::new(NAMES[index]), index as u64)
}

fn index_of(holder_id: &HolderId) -> usize {
    holder_id.epoch as usize
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

impl TransitionCache {
    pub(crate) fn new() -> Self {
        let first = Delta {
            operation_id: "first".to_owned(),
            ..delta(0)
        };
        let head = HeadObject::initial(first, 1);
        Self {
            nodes: RefCell::new(Interner::new()),
            bases: RefCell::new(vec![(head.base_id.clone(), BASE.to_owned())]),
            heads: RefCell::new(vec![head]),
            changes: RefCell::new(Interner::new()),
            documents: RefCell::new(Interner::new()),
            transitions: RefCell::new(HashMap::new()),
        }
    }

    pub(crate) fn new_node(&self, index: usize) -> u32 {
        let options = ConfigOptions {
            watchers: 1,
            startup_timeout: Duration::ZERO,
            retry_delay: Duration::ZERO,
            base_timeout: Duration::ZERO,
            // Effectively disables polling, so that an instance that is not a watcher has to learn
            // of new versions from its peers.
            poll_interval: Duration::from_secs(1_000),
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

    /// Iterates over the messages whose target version is at most `version`.
    pub(crate) fn changes_until(&self, version: u64) -> impl Iterator<Item = usize> {
        let changes = self.changes.borrow();
        let usable = changes
            .values
            .iter()
            .map(|changes| changes.to_version <= version)
            .collect::<Vec<bool>>();
        (0..usable.len()).filter(move |index| usable[*index])
    }

    /// Returns the head that an operator writes on the basis of head `old`. The second operator
    /// stores a large change, which instances can only read as a base.
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
        let existing = heads.iter().position(|other| *other == head);
        existing.unwrap_or_else(|| {
            heads.push(head);
            heads.len() - 1
        })
    }

    /// Returns the cached result of a step, or computes it with the real state machine.
    pub(crate) fn step(&self, node: u32, step: Step) -> Transition {
        if let Some(result) = self.transitions.borrow().get(&(node, step)) {
            return result.clone();
        }
        let mut next = self.nodes.borrow().values[node as usize].clone();
        let watch_ended = matches!(step, Step::PlatformDown | Step::Head { .. });
        if watch_ended {
            next.watch = None;
        }
        let effects = next.state.handle(self.event(step), NOW);
        let outputs: Vec<Output> = effects
            .into_iter()
            .filter_map(|effect| self.record_effect(effect, &mut next))
            .collect();
        let result = (self.intern(next), outputs.into());
        self.transitions
            .borrow_mut()
            .insert((node, step), Transition::clone(&result));
        result
    }

    fn event(&self, step: Step) -> ConfigEvent {
        let received = |from, message| ConfigEvent::Received {
            from: holder_id(from),
            message,
        };
        match step {
            Step::Tick => ConfigEvent::Tick,
            Step::PlatformDown => ConfigEvent::PlatformDown,
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
                peer: holder_id(peer),
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

    fn record_effect(&self, effect: ConfigEffect, node: &mut Node) -> Option<Output> {
        match effect {
            ConfigEffect::ReadHead => Some(Output::ReadHead),
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
                found.map(Output::ReadBase)
            }
            ConfigEffect::Send { to, message } => {
                let to = index_of(&to);
                Some(match message {
                    ConfigMessage::Request { from_version } => Output::Request {
                        to,
                        version: from_version,
                    },
                    ConfigMessage::Changes(changes) => Output::Changes {
                        to,
                        changes: self.changes.borrow_mut().intern(changes),
                    },
                })
            }
            ConfigEffect::Activate {
                version, document, ..
            } => Some(Output::Activate {
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
