//! Decides in one instance which version is in force and how it gets the next one.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    base::{EnvironmentName, HolderId, InstanceName, MonotonicTime},
    config::{
        Delta, Document, HeadError, HeadObject, SectionChange,
        head::{apply_deltas, deltas_between},
    },
    membership::choose_owners,
};

/// Key under which the watchers of a domain are chosen.
const WATCHER_KEY: &str = "config/watcher";

/// Holds the options of a [`ConfigState`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigOptions {
    /// The number of instances of a domain that watch the head.
    pub watchers: usize,
    /// How long an instance without a document waits for the platform before it takes the
    /// highest version of its peers.
    pub start_wait: Duration,
    /// The wait before a request to the platform or a peer is repeated.
    pub retry_wait: Duration,
    /// The wait for a base, after which it is read again.
    pub base_wait: Duration,
    /// The time between two reads of the head by an instance that does not watch, in case all
    /// watchers that it hears are cut off.
    pub audit_interval: Duration,
    /// The number of deltas that are kept for peers.
    pub kept_deltas: usize,
}

impl Default for ConfigOptions {
    fn default() -> Self {
        Self {
            watchers: 2,
            start_wait: Duration::from_secs(2),
            retry_wait: Duration::from_secs(1),
            base_wait: Duration::from_secs(30),
            audit_interval: Duration::from_secs(300),
            kept_deltas: 64,
        }
    }
}

/// Carries changes, or a whole document, from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigChanges {
    /// The version from which the deltas lead.
    pub from_version: u64,
    /// The version to which they lead.
    pub to_version: u64,
    /// The deltas in ascending order; empty if a snapshot is given.
    pub deltas: Vec<Delta>,
    /// The canonical text of version `to_version`.
    pub snapshot: Option<String>,
}

/// Lists the messages between instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Asks for everything after a version; 0 means that the sender has no document.
    Request {
        /// The version in force at the sender.
        from_version: u64,
    },
    /// Answers a request.
    Changes(ConfigChanges),
}

/// Lists what happens to a [`ConfigState`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ConfigEvent {
    /// Time passed; sent at least every second.
    Tick,
    /// The live members of the domain changed; the list includes the instance itself.
    MembersChanged(Vec<InstanceName>),
    /// A peer told the version in force at it, with a ping or an ack.
    PeerVersion {
        /// The peer.
        peer: HolderId,
        /// The version; 0 if it has none.
        version: u64,
    },
    /// A read or a watch returned the head.
    HeadRead {
        /// The version of the object at the platform.
        object_version: u64,
        /// The head.
        head: HeadObject,
    },
    /// The platform has no head, or a watch ended without a change.
    HeadUnchanged,
    /// A read or a watch failed.
    PlatformDown,
    /// All parts of a base were read.
    BaseRead {
        /// The folder of the base.
        base_id: String,
        /// The joined text.
        text: String,
    },
    /// A part of the base does not exist any more.
    BaseMissing {
        /// The folder of the base.
        base_id: String,
    },
    /// A message of a peer arrived.
    Received {
        /// The sender.
        from: HolderId,
        /// The message.
        message: ConfigMessage,
    },
}

/// Lists what the caller of a [`ConfigState`] must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEffect {
    /// Read the head once.
    ReadHead,
    /// Wait for a head above this object version; replaces an open watch.
    WatchHead {
        /// The version of the object at the platform.
        after_version: u64,
    },
    /// Close the open watch.
    StopWatch,
    /// Read all parts of a base and join them.
    ReadBase {
        /// The folder of the base.
        base_id: String,
        /// The number of parts.
        parts: usize,
    },
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: HolderId,
        /// The message.
        message: ConfigMessage,
    },
    /// Serve under a new version.
    Activate {
        /// The version.
        version: u64,
        /// The document.
        document: Arc<Document>,
        /// The changed sections, or `None` if the whole document may differ.
        changes: Option<Vec<SectionChange>>,
    },
    /// Log that a version could not be used.
    Rejected {
        /// The reason.
        error: HeadError,
    },
}

/// Describes a [`ConfigState`] for status and dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigStatus {
    /// The version in force; 0 if there is none.
    pub version: u64,
    /// Whether this instance watches the head.
    pub watcher: bool,
    /// The highest version that was read from the platform; 0 if none was read.
    pub newest_head: u64,
    /// The number of deltas that are kept for peers.
    pub kept_deltas: usize,
}

/// Holds the configuration of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigState {
    environment: EnvironmentName,
    instance: InstanceName,
    options: ConfigOptions,
    document: Option<Arc<Document>>,
    version: u64,
    deltas: Vec<Delta>,
    watcher: bool,
    watch_open: bool,
    object_version: u64,
    pending: Option<HeadObject>,
    base_deadline: MonotonicTime,
    head_version: u64,
    candidates: BTreeMap<HolderId, u64>,
    started: MonotonicTime,
    next_read: MonotonicTime,
    next_request: MonotonicTime,
}

impl ConfigState {
    /// Creates the state of an instance without a document, which starts at `now`.
    #[must_use]
    pub fn new(
        environment: EnvironmentName,
        instance: InstanceName,
        options: ConfigOptions,
        now: MonotonicTime,
    ) -> Self {
        Self {
            environment,
            instance,
            options,
            document: None,
            version: 0,
            deltas: Vec::new(),
            watcher: false,
            watch_open: false,
            object_version: 0,
            pending: None,
            base_deadline: now,
            head_version: 0,
            candidates: BTreeMap::new(),
            started: now,
            next_read: now,
            next_request: now,
        }
    }

    /// Returns the document in force.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Describes the state.
    #[must_use]
    pub fn status(&self) -> ConfigStatus {
        ConfigStatus {
            version: self.version,
            watcher: self.watcher,
            newest_head: self.head_version,
            kept_deltas: self.deltas.len(),
        }
    }

    /// Handles an event and returns what is to be done.
    #[must_use]
    pub fn handle(&mut self, event: ConfigEvent, now: MonotonicTime) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        match event {
            ConfigEvent::Tick => self.tick(now, &mut effects),
            ConfigEvent::MembersChanged(members) => self.choose_role(&members, now, &mut effects),
            ConfigEvent::PeerVersion { peer, version } => {
                self.note_peer(peer, version, now, &mut effects);
            }
            ConfigEvent::HeadRead {
                object_version,
                head,
            } => {
                self.object_version = self.object_version.max(object_version);
                self.take_head(head, now, &mut effects);
                self.renew_watch(&mut effects);
            }
            ConfigEvent::HeadUnchanged => self.renew_watch(&mut effects),
            ConfigEvent::PlatformDown => {
                self.watch_open = false;
                self.pending = None;
                self.next_read = now + self.options.retry_wait;
            }
            ConfigEvent::BaseRead { base_id, text } => {
                self.take_base(&base_id, &text, now, &mut effects);
            }
            ConfigEvent::BaseMissing { base_id } => {
                if self
                    .pending
                    .as_ref()
                    .is_some_and(|head| head.base_id == base_id)
                {
                    self.pending = None;
                    self.read_head(now, &mut effects);
                }
            }
            ConfigEvent::Received { from, message } => match message {
                ConfigMessage::Request { from_version } => {
                    self.answer(from, from_version, &mut effects);
                }
                ConfigMessage::Changes(changes) => self.take_changes(changes, now, &mut effects),
            },
        }
        effects
    }

    fn tick(&mut self, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        if now >= self.base_deadline {
            self.pending = None;
        }
        // An open watch does not tell again about a head whose base could not be read.
        let behind = self.head_version > self.version && self.pending.is_none();
        if now >= self.next_read && (!self.watch_open || behind) {
            self.read_head(now, effects);
        }
        if self.document.is_none() {
            self.request_best(now, effects);
        }
    }

    fn read_head(&mut self, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        let idle = self.document.is_some() && !self.watcher;
        let wait = if idle {
            self.options.audit_interval
        } else {
            self.options.retry_wait
        };
        self.next_read = now + wait;
        effects.push(ConfigEffect::ReadHead);
    }

    fn choose_role(
        &mut self,
        members: &[InstanceName],
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        let owners = choose_owners(WATCHER_KEY, members.iter(), self.options.watchers);
        let chosen = owners.contains(&&self.instance);
        if chosen == self.watcher {
            return;
        }
        self.watcher = chosen;
        if chosen {
            // A read first, because the last known object version may be old or unknown.
            self.read_head(now, effects);
        } else if std::mem::take(&mut self.watch_open) {
            effects.push(ConfigEffect::StopWatch);
        }
    }

    fn renew_watch(&mut self, effects: &mut Vec<ConfigEffect>) {
        self.watch_open = self.watcher;
        if self.watcher {
            effects.push(ConfigEffect::WatchHead {
                after_version: self.object_version,
            });
        }
    }

    fn note_peer(
        &mut self,
        peer: HolderId,
        version: u64,
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        if version <= self.version {
            return;
        }
        if self.document.is_none() {
            self.candidates.insert(peer, version);
            self.request_best(now, effects);
        } else {
            self.request(peer, now, effects);
        }
    }

    /// Asks the peer with the highest version, once the platform had its chance.
    fn request_best(&mut self, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        if now < self.started + self.options.start_wait || now < self.next_request {
            return;
        }
        let best = self.candidates.iter().max_by_key(|(_, version)| **version);
        if let Some(peer) = best.map(|(peer, _)| peer.clone()) {
            // A peer that does not answer must not be asked again before the others.
            self.candidates.remove(&peer);
            self.request(peer, now, effects);
        }
    }

    fn request(&mut self, peer: HolderId, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        if now < self.next_request {
            return;
        }
        self.next_request = now + self.options.retry_wait;
        effects.push(ConfigEffect::Send {
            to: peer,
            message: ConfigMessage::Request {
                from_version: self.version,
            },
        });
    }

    fn answer(&self, to: HolderId, from_version: u64, effects: &mut Vec<ConfigEffect>) {
        let Some(document) = &self.document else {
            return;
        };
        if from_version >= self.version {
            return;
        }
        let deltas = (from_version > 0)
            .then(|| deltas_between(&self.deltas, from_version, self.version))
            .flatten();
        let changes = ConfigChanges {
            from_version,
            to_version: self.version,
            deltas: deltas.unwrap_or_default().to_vec(),
            snapshot: deltas.is_none().then(|| document.to_text()),
        };
        effects.push(ConfigEffect::Send {
            to,
            message: ConfigMessage::Changes(changes),
        });
    }

    fn take_head(&mut self, head: HeadObject, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        self.head_version = self.head_version.max(head.version);
        if head.version <= self.version {
            return;
        }
        let deltas = head.deltas_after(self.version).map(<[Delta]>::to_vec);
        if let (Some(_), Some(deltas)) = (&self.document, deltas) {
            self.advance(&deltas, now, effects);
        } else {
            let reading = self.pending.as_ref();
            if reading.is_none_or(|pending| pending.base_id != head.base_id) {
                self.base_deadline = now + self.options.base_wait;
                effects.push(ConfigEffect::ReadBase {
                    base_id: head.base_id.clone(),
                    parts: head.base_parts,
                });
            }
            self.pending = Some(head);
        }
    }

    fn take_base(
        &mut self,
        base_id: &str,
        text: &str,
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        let Some(head) = self.pending.take_if(|head| head.base_id == base_id) else {
            return;
        };
        if head.version <= self.version {
            return;
        }
        match head.build(text) {
            Ok(document) => self.replace(head.version, document, head.deltas, now, effects),
            Err(error) => effects.push(ConfigEffect::Rejected { error }),
        }
    }

    fn take_changes(
        &mut self,
        changes: ConfigChanges,
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        if changes.to_version <= self.version {
            return;
        }
        if let Some(text) = &changes.snapshot {
            let version = changes.to_version;
            match Document::parse(text) {
                Ok(document) => self.replace(version, document, Vec::new(), now, effects),
                Err(errors) => effects.push(ConfigEffect::Rejected {
                    error: HeadError::Invalid { version, errors },
                }),
            }
        } else if self.document.is_some() {
            match deltas_between(&changes.deltas, self.version, changes.to_version) {
                Some(deltas) => self.advance(deltas, now, effects),
                None => effects.push(ConfigEffect::Rejected {
                    error: HeadError::MissingDelta {
                        from: self.version,
                        to: changes.to_version,
                    },
                }),
            }
        }
    }

    /// Brings whole deltas in force, all or none of them.
    fn advance(&mut self, deltas: &[Delta], now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        let (Some(document), Some(last)) = (&self.document, deltas.last()) else {
            return;
        };
        match apply_deltas(document, deltas) {
            Ok(document) => {
                let version = last.version;
                let changes = deltas.iter().flat_map(|delta| delta.changes.clone());
                let changes = Some(changes.collect());
                self.deltas.extend_from_slice(deltas);
                self.put_in_force(version, document, changes, now, effects);
            }
            Err(error) => effects.push(ConfigEffect::Rejected { error }),
        }
    }

    /// Brings a whole document in force.
    fn replace(
        &mut self,
        version: u64,
        document: Document,
        deltas: Vec<Delta>,
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        if *document.environment() != self.environment {
            let problem = format!("the document is for environment {}", document.environment());
            effects.push(ConfigEffect::Rejected {
                error: HeadError::Invalid {
                    version,
                    errors: vec![crate::config::DocumentError {
                        line: 0,
                        section: "environment".to_owned(),
                        key: "name".to_owned(),
                        problem,
                    }],
                },
            });
            return;
        }
        self.deltas = deltas;
        self.put_in_force(version, document, None, now, effects);
    }

    fn put_in_force(
        &mut self,
        version: u64,
        document: Document,
        changes: Option<Vec<SectionChange>>,
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        let document = Arc::new(document);
        self.version = version;
        self.document = Some(Arc::clone(&document));
        self.candidates.clear();
        self.next_request = now;
        let excess = self.deltas.len().saturating_sub(self.options.kept_deltas);
        self.deltas.drain(..excess);
        effects.push(ConfigEffect::Activate {
            version,
            document,
            changes,
        });
    }
}
