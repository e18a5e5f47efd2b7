//! State machine that selects the active configuration version of an instance.
//!
//! A few watchers per domain watch the head on the platform. The other instances learn of new
//! versions from their peers and read the head only at long intervals.

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

/// Rendezvous hashing key for the selection of the watchers of a domain.
const WATCHER_KEY: &str = "config/watcher";

/// Options of a [`ConfigState`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigOptions {
    /// The number of instances per domain that watch the head.
    pub watchers: usize,
    /// How long an instance without a document waits for the platform before it requests the
    /// newest version that its peers have.
    pub startup_timeout: Duration,
    /// The delay before a request to the platform or a peer is retried.
    pub retry_delay: Duration,
    /// The timeout for reading a base, after which it is read again.
    pub base_timeout: Duration,
    /// The interval at which an instance that is not a watcher reads the head. It covers the case
    /// that all watchers it can reach are cut off from the platform.
    pub poll_interval: Duration,
    /// The number of deltas retained for requests from peers.
    pub kept_deltas: usize,
}

impl Default for ConfigOptions {
    fn default() -> Self {
        Self {
            watchers: 2,
            startup_timeout: Duration::from_secs(2),
            retry_delay: Duration::from_secs(1),
            base_timeout: Duration::from_secs(30),
            poll_interval: Duration::from_secs(300),
            kept_deltas: 64,
        }
    }
}

/// Changes or a whole document, sent from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigChanges {
    /// The version to which the deltas apply.
    pub from_version: u64,
    /// The version that results from the deltas.
    pub to_version: u64,
    /// The deltas in ascending order; empty if there is a snapshot.
    pub deltas: Vec<Delta>,
    /// The canonical text of version `to_version`, if the deltas are not available.
    pub snapshot: Option<String>,
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Requests all changes after a version; 0 if the sender has no document.
    Request {
        /// The active version of the sender.
        from_version: u64,
    },
    /// The response to a request.
    Changes(ConfigChanges),
}

/// An input of a [`ConfigState`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ConfigEvent {
    /// Periodic timer event, sent at least once a second.
    Tick,
    /// The live members of the domain changed; the list includes the instance itself.
    MembersChanged(Vec<InstanceName>),
    /// A peer reported its active version in a ping or an ack.
    PeerVersion {
        /// The process that sent the ping or ack.
        peer: HolderId,
        /// The active version; 0 if the peer has no document.
        version: u64,
    },
    /// A read or watch returned the head.
    HeadRead {
        /// The version of the object at the platform.
        object_version: u64,
        /// The newest version with its deltas; the base is read separately.
        head: HeadObject,
    },
    /// The platform has no head, or a watch ended without a change.
    HeadUnchanged,
    /// A read or watch failed.
    PlatformDown,
    /// All parts of a base were read.
    BaseRead {
        /// The id from [`ConfigEffect::ReadBase`]; a base that is no longer awaited is ignored.
        base_id: String,
        /// The concatenated text.
        text: String,
    },
    /// A part of the base no longer exists.
    BaseMissing {
        /// The id from [`ConfigEffect::ReadBase`]; the head is read again if this base is still
        /// awaited.
        base_id: String,
    },
    /// A message from a peer arrived.
    Received {
        /// The sender.
        from: HolderId,
        /// A request for changes, or the changes that this instance requested.
        message: ConfigMessage,
    },
}

/// An action that the caller of a [`ConfigState`] must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEffect {
    /// Read the head once.
    ReadHead,
    /// Watch for a head newer than this object version; replaces an open watch.
    WatchHead {
        /// The version of the object at the platform.
        after_version: u64,
    },
    /// Close the open watch.
    StopWatch,
    /// Read all parts of a base and concatenate them.
    ReadBase {
        /// The path segment of the parts; see [`HeadObject::base_id`].
        base_id: String,
        /// The number of parts, which are numbered from 0.
        parts: usize,
    },
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: HolderId,
        /// A request for changes, or the changes that the receiver requested.
        message: ConfigMessage,
    },
    /// Make a new version the active one.
    Activate {
        /// The version of `document`.
        version: u64,
        /// The complete document, also if only the sections in `changes` differ.
        document: Arc<Document>,
        /// The changed sections, or `None` if any section may have changed.
        changes: Option<Vec<SectionChange>>,
    },
    /// Log that a version was rejected.
    Rejected {
        /// The reason.
        error: HeadError,
    },
}

/// The status of a [`ConfigState`], shown by the status and dump commands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigStatus {
    /// The active version; 0 if there is none.
    pub version: u64,
    /// Whether this instance watches the head.
    pub watcher: bool,
    /// The highest version read from the platform; 0 if none was read.
    pub newest_head: u64,
    /// The number of deltas retained for requests from peers.
    pub kept_deltas: usize,
}

/// The configuration state of one instance.
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
    /// Creates the state of an instance that starts at `now` without a document.
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

    /// Returns the active document, or `None` before the first activation.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the active version; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what the status and dump commands show.
    #[must_use]
    pub fn status(&self) -> ConfigStatus {
        ConfigStatus {
            version: self.version,
            watcher: self.watcher,
            newest_head: self.head_version,
            kept_deltas: self.deltas.len(),
        }
    }

    /// Handles an event and returns the resulting effects.
    #[must_use]
    pub fn handle(&mut self, event: ConfigEvent, now: MonotonicTime) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        match event {
            ConfigEvent::Tick => self.tick(now, &mut effects),
            ConfigEvent::MembersChanged(members) => {
                self.update_watcher_role(&members, now, &mut effects)
            }
            ConfigEvent::PeerVersion { peer, version } => {
                self.handle_peer_version(peer, version, now, &mut effects);
            }
            ConfigEvent::HeadRead {
                object_version,
                head,
            } => {
                self.object_version = self.object_version.max(object_version);
                self.handle_head(head, now, &mut effects);
                self.renew_watch(&mut effects);
            }
            ConfigEvent::HeadUnchanged => self.renew_watch(&mut effects),
            ConfigEvent::PlatformDown => {
                self.watch_open = false;
                self.pending = None;
                self.next_read = now + self.options.retry_delay;
            }
            ConfigEvent::BaseRead { base_id, text } => {
                self.handle_base(&base_id, &text, now, &mut effects);
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
                    self.send_changes(from, from_version, &mut effects);
                }
                ConfigMessage::Changes(changes) => self.handle_changes(changes, now, &mut effects),
            },
        }
        effects
    }

    fn tick(&mut self, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        if now >= self.base_deadline {
            self.pending = None;
        }
        // An open watch does not report a head again if reading its base failed.
        let behind = self.head_version > self.version && self.pending.is_none();
        if now >= self.next_read && (!self.watch_open || behind) {
            self.read_head(now, effects);
        }
        if self.document.is_none() {
            self.request_from_newest_peer(now, effects);
        }
    }

    fn read_head(&mut self, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        let polls = self.document.is_some() && !self.watcher;
        let wait = if polls {
            self.options.poll_interval
        } else {
            self.options.retry_delay
        };
        self.next_read = now + wait;
        effects.push(ConfigEffect::ReadHead);
    }

    fn update_watcher_role(
        &mut self,
        members: &[InstanceName],
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        let owners = choose_owners(WATCHER_KEY, members.iter(), self.options.watchers);
        let is_watcher = owners.contains(&&self.instance);
        if is_watcher == self.watcher {
            return;
        }
        self.watcher = is_watcher;
        if is_watcher {
            // Read the head before watching, because the known object version may be outdated or
            // missing.
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

    fn handle_peer_version(
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
            self.request_from_newest_peer(now, effects);
        } else {
            self.request(peer, now, effects);
        }
    }

    /// Requests the document from the peer with the highest version, unless the platform may still
    /// deliver it within the startup timeout.
    fn request_from_newest_peer(&mut self, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        if now < self.started + self.options.startup_timeout || now < self.next_request {
            return;
        }
        let newest = self.candidates.iter().max_by_key(|(_, version)| **version);
        if let Some(peer) = newest.map(|(peer, _)| peer.clone()) {
            // A peer that does not respond must not be asked again before the other candidates.
            self.candidates.remove(&peer);
            self.request(peer, now, effects);
        }
    }

    fn request(&mut self, peer: HolderId, now: MonotonicTime, effects: &mut Vec<ConfigEffect>) {
        if now < self.next_request {
            return;
        }
        self.next_request = now + self.options.retry_delay;
        effects.push(ConfigEffect::Send {
            to: peer,
            message: ConfigMessage::Request {
                from_version: self.version,
            },
        });
    }

    fn send_changes(&self, to: HolderId, from_version: u64, effects: &mut Vec<ConfigEffect>) {
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

    fn handle_head(
        &mut self,
        head: HeadObject,
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        self.head_version = self.head_version.max(head.version);
        if head.version <= self.version {
            return;
        }
        let deltas = head.deltas_after(self.version).map(<[Delta]>::to_vec);
        if let (Some(_), Some(deltas)) = (&self.document, deltas) {
            self.advance(&deltas, now, effects);
        } else {
            let pending_read = self.pending.as_ref();
            if pending_read.is_none_or(|pending| pending.base_id != head.base_id) {
                self.base_deadline = now + self.options.base_timeout;
                effects.push(ConfigEffect::ReadBase {
                    base_id: head.base_id.clone(),
                    parts: head.base_parts,
                });
            }
            self.pending = Some(head);
        }
    }

    fn handle_base(
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
            Ok(document) => {
                self.replace_document(head.version, document, head.deltas, now, effects)
            }
            Err(error) => effects.push(ConfigEffect::Rejected { error }),
        }
    }

    fn handle_changes(
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
                Ok(document) => self.replace_document(version, document, Vec::new(), now, effects),
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

    /// Applies `deltas` and activates the result, or rejects them as a whole.
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
                self.activate(version, document, changes, now, effects);
            }
            Err(error) => effects.push(ConfigEffect::Rejected { error }),
        }
    }

    /// Activates a whole document if it belongs to the environment of this instance.
    fn replace_document(
        &mut self,
        version: u64,
        document: Document,
        deltas: Vec<Delta>,
        now: MonotonicTime,
        effects: &mut Vec<ConfigEffect>,
    ) {
        if *document.environment() != self.environment {
            let problem = format!(
                "the document belongs to environment {}",
                document.environment()
            );
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
        self.activate(version, document, None, now, effects);
    }

    fn activate(
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
