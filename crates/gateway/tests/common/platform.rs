//! In-memory platform with injected faults.

use std::{
    collections::{BTreeSet, HashMap},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use bytes::Bytes;
use cornelarch_core::{
    base::DomainName,
    placement::{EvacuationEvent, EvacuationState, UpstreamRecord},
    route::RouteDocument,
};
use cornelarch_gateway::{
    DirectoryChange, DirectoryEvent, DirectoryList, DocumentChange, EdgeError, EvacuationEvents,
    PlatformEdge, ReadAge, StoredObject, Versioned,
};
use parking_lot::Mutex;
use tokio::sync::watch;

#[derive(Default)]
struct Content {
    revision: u64,
    document: Option<(u64, RouteDocument)>,
    /// Revisions at which a configuration was published.
    published: Vec<u64>,
    upstreams: HashMap<String, UpstreamRecord>,
    changes: Vec<(u64, DirectoryEvent)>,
    objects: HashMap<String, StoredObject>,
    evacuated: BTreeSet<DomainName>,
    evacuations: Vec<(u64, EvacuationEvent)>,
}

/// In-memory platform. While it is down, every call fails and open watches are interrupted.
pub(crate) struct FakePlatform {
    content: Mutex<Content>,
    is_down: AtomicBool,
    /// Whether watches that allow stale responses report no change.
    pub(crate) is_stale: AtomicBool,
    /// List returned to reads that allow stale responses; `None` returns the latest state.
    frozen: Mutex<Option<DirectoryList>>,
    /// Revision up to which the history was dropped; a watch from an earlier one hangs until its
    /// wait ends.
    dropped: AtomicU64,
    changed: watch::Sender<u64>,
    /// Transfer time of one configuration version, in milliseconds.
    pub(crate) transfer_ms: AtomicU64,
    /// Whether reads of the configuration panic, like a fault of the gateway.
    pub(crate) panics: AtomicBool,
    pub(crate) reads: AtomicU64,
    pub(crate) lists: AtomicU64,
    pub(crate) writes: AtomicU64,
    /// Whether lists of the evacuations fail.
    pub(crate) hides_evacuations: AtomicBool,
    pub(crate) evacuation_lists: AtomicU64,
    pub(crate) evacuation_watches: AtomicU64,
}

impl Default for FakePlatform {
    fn default() -> Self {
        Self {
            content: Mutex::default(),
            is_down: AtomicBool::new(false),
            is_stale: AtomicBool::new(false),
            frozen: Mutex::new(None),
            dropped: AtomicU64::new(0),
            changed: watch::Sender::new(0),
            transfer_ms: AtomicU64::new(0),
            panics: AtomicBool::new(false),
            reads: AtomicU64::new(0),
            lists: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            hides_evacuations: AtomicBool::new(false),
            evacuation_lists: AtomicU64::new(0),
            evacuation_watches: AtomicU64::new(0),
        }
    }
}

impl FakePlatform {
    pub(crate) fn publish(&self, document: RouteDocument) {
        let mut content = self.content.lock();
        content.revision += 1;
        let revision = content.revision;
        content.published.push(revision);
        content.document = Some((revision, document));
        drop(content);
        self.notify();
    }

    pub(crate) fn list(&self, record: UpstreamRecord) {
        let mut content = self.content.lock();
        content.revision += 1;
        let revision = content.revision;
        let name = record.name.to_string();
        content.upstreams.insert(name, record.clone());
        content
            .changes
            .push((revision, DirectoryEvent::Listed(record)));
        drop(content);
        self.notify();
    }

    pub(crate) fn unlist(&self, name: &str) {
        let mut content = self.content.lock();
        content.revision += 1;
        let revision = content.revision;
        content.upstreams.remove(name);
        content
            .changes
            .push((revision, DirectoryEvent::Unlisted(name.into())));
        drop(content);
        self.notify();
    }

    /// Requests the evacuation of a domain, or takes the request back.
    pub(crate) fn evacuate(&self, domain: &str, is_evacuated: bool) {
        let domain = DomainName::new(domain);
        let mut content = self.content.lock();
        content.revision += 1;
        let revision = content.revision;
        match is_evacuated {
            true => content.evacuated.insert(domain.clone()),
            false => content.evacuated.remove(&domain),
        };
        let event = EvacuationEvent {
            domain,
            is_evacuated,
        };
        content.evacuations.push((revision, event));
        drop(content);
        self.notify();
    }

    /// Makes lists that allow stale responses return the present state from now on.
    pub(crate) fn freeze(&self) {
        *self.frozen.lock() = Some(self.current_list());
    }

    fn current_list(&self) -> DirectoryList {
        let content = self.content.lock();
        Versioned {
            revision: content.revision,
            value: content.upstreams.values().cloned().collect(),
        }
    }

    /// Publishes a configuration without notifying the watches.
    pub(crate) fn publish_silently(&self, document: RouteDocument) {
        let mut content = self.content.lock();
        content.revision += 1;
        content.document = Some((content.revision, document));
    }

    /// Drops the history and interrupts all watches.
    pub(crate) fn compact(&self) {
        let revision = self.content.lock().revision;
        self.dropped.store(revision, Ordering::SeqCst);
        self.set_down(true);
        self.set_down(false);
    }

    pub(crate) fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.notify();
    }

    async fn transfer(&self, versions: u64) {
        let ms = self.transfer_ms.load(Ordering::SeqCst) * versions;
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    fn notify(&self) {
        self.changed.send_modify(|number| *number += 1);
    }

    fn check(&self) -> Result<(), EdgeError> {
        match self.is_down.load(Ordering::SeqCst) {
            true => Err(down()),
            false => Ok(()),
        }
    }

    /// Waits until `find` returns a change after `revision`.
    async fn wait<T>(
        &self,
        revision: u64,
        wait: Duration,
        find: impl Fn(&Content) -> Option<T>,
    ) -> Result<Option<T>, EdgeError> {
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + wait;
        self.check()?;
        loop {
            if revision < self.dropped.load(Ordering::SeqCst) {
                tokio::time::sleep_until(end).await;
                return Err(EdgeError::HistoryGone);
            }
            changed.borrow_and_update();
            if let Some(found) = find(&self.content.lock()) {
                return Ok(Some(found));
            }
            match tokio::time::timeout_at(end, changed.changed()).await {
                Err(_) => return Ok(None),
                // A compaction briefly simulates an outage, which interrupts every watch.
                Ok(_) if revision < self.dropped.load(Ordering::SeqCst) => return Err(down()),
                Ok(_) => self.check()?,
            }
        }
    }
}

fn down() -> EdgeError {
    EdgeError::Unavailable {
        reason: "outage".to_owned(),
    }
}

impl PlatformEdge for FakePlatform {
    async fn read_document(
        &self,
        _age: ReadAge,
    ) -> Result<Versioned<Option<RouteDocument>>, EdgeError> {
        self.check()?;
        let (revision, value) = {
            let content = self.content.lock();
            let document = content.document.as_ref();
            (
                content.revision,
                document.map(|(_, document)| document.clone()),
            )
        };
        self.transfer(1).await;
        Ok(Versioned { revision, value })
    }

    async fn watch_document(
        &self,
        revision: u64,
        wait: Duration,
        age: ReadAge,
    ) -> Result<Versioned<DocumentChange>, EdgeError> {
        if age == ReadAge::Any && self.is_stale.load(Ordering::SeqCst) {
            tokio::time::sleep(wait).await;
            return Ok(Versioned {
                revision,
                value: DocumentChange::default(),
            });
        }
        let found = self
            .wait(revision, wait, |content| {
                let (changed, document) = content.document.as_ref()?;
                let versions = content.published.iter().filter(|at| **at > revision);
                let superseded = versions.count().saturating_sub(1);
                (*changed > revision).then(|| (*changed, document.clone(), superseded))
            })
            .await?;
        let panics = self.panics.load(Ordering::SeqCst);
        assert!(!panics, "fault of a background task");
        let Some((revision, document, superseded)) = found else {
            return Ok(Versioned {
                revision,
                value: DocumentChange::default(),
            });
        };
        self.transfer(superseded as u64 + 1).await;
        Ok(Versioned {
            revision,
            value: DocumentChange {
                document: Some(document),
                superseded,
            },
        })
    }

    async fn read_directory(&self, age: ReadAge) -> Result<DirectoryList, EdgeError> {
        self.check()?;
        self.lists.fetch_add(1, Ordering::SeqCst);
        match (age, self.frozen.lock().clone()) {
            (ReadAge::Any, Some(frozen)) => Ok(frozen),
            _ => Ok(self.current_list()),
        }
    }

    async fn watch_directory(
        &self,
        revision: u64,
        wait: Duration,
        age: ReadAge,
    ) -> Result<DirectoryChange, EdgeError> {
        if age == ReadAge::Any && self.is_stale.load(Ordering::SeqCst) {
            tokio::time::sleep(wait).await;
            let value = Vec::new();
            return Ok(Versioned { revision, value });
        }
        let found = self
            .wait(revision, wait, |content| {
                let changes = content.changes.iter().filter(|(at, _)| *at > revision);
                let events: Vec<DirectoryEvent> = changes.map(|(_, e)| e.clone()).collect();
                (!events.is_empty()).then_some((content.revision, events))
            })
            .await?;
        let (revision, value) = found.unwrap_or((revision, Vec::new()));
        Ok(Versioned { revision, value })
    }

    async fn read_evacuations(&self, _age: ReadAge) -> Result<EvacuationState, EdgeError> {
        self.check()?;
        self.evacuation_lists.fetch_add(1, Ordering::SeqCst);
        if self.hides_evacuations.load(Ordering::SeqCst) {
            return Err(down());
        }
        let content = self.content.lock();
        Ok(EvacuationState {
            revision: content.revision,
            domains: content.evacuated.clone(),
        })
    }

    async fn watch_evacuations(
        &self,
        revision: u64,
        wait: Duration,
        _age: ReadAge,
    ) -> Result<EvacuationEvents, EdgeError> {
        self.evacuation_watches.fetch_add(1, Ordering::SeqCst);
        let found = self
            .wait(revision, wait, |content| {
                let changes = content.evacuations.iter().filter(|(at, _)| *at > revision);
                let events: Vec<EvacuationEvent> = changes.map(|(_, e)| e.clone()).collect();
                (!events.is_empty()).then_some((content.revision, events))
            })
            .await?;
        let (revision, value) = found.unwrap_or((revision, Vec::new()));
        Ok(Versioned { revision, value })
    }

    async fn read_object(&self, name: &str, _age: ReadAge) -> Result<StoredObject, EdgeError> {
        self.check()?;
        self.reads.fetch_add(1, Ordering::SeqCst);
        let stored = self.content.lock().objects.get(name).cloned();
        Ok(stored.unwrap_or(StoredObject {
            revision: 0,
            value: Bytes::new(),
        }))
    }

    async fn write_object(
        &self,
        name: &str,
        expected_revision: u64,
        value: Bytes,
    ) -> Result<u64, EdgeError> {
        self.check()?;
        self.writes.fetch_add(1, Ordering::SeqCst);
        let mut content = self.content.lock();
        let current = content
            .objects
            .get(name)
            .map_or(0, |object| object.revision);
        if current != expected_revision {
            return Err(EdgeError::Conflict);
        }
        content.revision += 1;
        let revision = content.revision;
        let object = StoredObject { revision, value };
        content.objects.insert(name.to_owned(), object);
        Ok(revision)
    }
}
