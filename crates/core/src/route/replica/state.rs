//! State machine that brings an instance up to date with its peers.

use std::{sync::Arc, time::Duration};

use rand::{Rng, seq::IndexedRandom};

use crate::{
    base::{HolderId, MonotonicTime},
    route::replica::{
        DocumentIndex, DocumentPart, ReplicaEffect, ReplicaEvent, ReplicaOptions, RequestChannel,
    },
};

/// An exchange in progress.
#[derive(Clone, Debug)]
struct DocumentTransfer {
    /// The buckets of the active document, some of them replaced by newer ones.
    buckets: DocumentIndex,
    /// Number of peers for the next request.
    peers: usize,
    /// Whether a request was sent before.
    is_asked: bool,
    /// When an unanswered request is sent again.
    retry_at: MonotonicTime,
    retry_wait: Duration,
}

/// Decides when to ask which peer for a newer document, and assembles it.
#[derive(Clone, Debug)]
pub struct DocumentReplica {
    options: ReplicaOptions,
    /// Newest version that a peer has announced.
    newest: u64,
    /// Peers that have it active, the latest to announce it last.
    sources: Vec<HolderId>,
    behind_since: Option<MonotonicTime>,
    transfer: Option<DocumentTransfer>,
}

impl DocumentReplica {
    /// Creates the state of an instance that has not heard of any version.
    #[must_use]
    pub fn new(options: ReplicaOptions) -> Self {
        Self {
            options,
            newest: 0,
            sources: Vec::new(),
            behind_since: None,
            transfer: None,
        }
    }

    /// Handles an event and returns the resulting actions. `active` returns the index of the active
    /// document, whose version is `version`.
    #[must_use]
    pub fn handle<R: Rng>(
        &mut self,
        event: ReplicaEvent,
        version: u64,
        active: impl Fn() -> Arc<DocumentIndex>,
        now: MonotonicTime,
        rng: &mut R,
    ) -> Vec<ReplicaEffect> {
        if self.newest <= version {
            self.behind_since = None;
            self.transfer = None;
        }
        match event {
            ReplicaEvent::Tick => self.tick(version, active, now, rng),
            ReplicaEvent::PeerVersion {
                peer,
                version: theirs,
            } => {
                self.record_version(peer, theirs, version, now);
                Vec::new()
            }
            ReplicaEvent::PartReceived { from, part } => {
                let effect = self.receive(from, part, version, now);
                effect.into_iter().collect()
            }
        }
    }

    fn record_version(&mut self, peer: HolderId, theirs: u64, own: u64, now: MonotonicTime) {
        if theirs <= own || theirs < self.newest {
            return;
        }
        if theirs > self.newest {
            self.newest = theirs;
            self.sources.clear();
            if let Some(transfer) = &mut self.transfer {
                transfer.retry_wait = self.options.retry_min;
                transfer.retry_at = transfer.retry_at.min(now + transfer.retry_wait);
            }
        }
        // The latest ones are more likely to be in reach than the first.
        self.sources.retain(|source| *source != peer);
        self.sources.push(peer);
        let surplus = self.sources.len().saturating_sub(self.options.sources);
        self.sources.drain(..surplus);
        self.behind_since.get_or_insert(now);
    }

    fn tick<R: Rng>(
        &mut self,
        version: u64,
        active: impl Fn() -> Arc<DocumentIndex>,
        now: MonotonicTime,
        rng: &mut R,
    ) -> Vec<ReplicaEffect> {
        let behind = self.behind_since.map(|since| now.since(since));
        if behind.is_none_or(|behind| behind < self.options.delay) {
            return Vec::new();
        }
        let options = &self.options;
        let transfer = self.transfer.get_or_insert_with(|| DocumentTransfer {
            buckets: DocumentIndex::clone(&active()),
            peers: 1,
            is_asked: false,
            retry_at: now,
            retry_wait: options.retry_min,
        });
        if transfer.retry_at > now {
            return Vec::new();
        }
        transfer.retry_at = now + transfer.retry_wait;
        transfer.retry_wait = (transfer.retry_wait * 2).min(options.retry_max);
        let peers = std::mem::replace(&mut transfer.peers, options.retry_peers);
        let is_retry = std::mem::replace(&mut transfer.is_asked, true);
        let request = transfer.buckets.request(version);
        let ask = |to: &HolderId, channel| ReplicaEffect::Request {
            to: to.clone(),
            request: request.clone(),
            channel,
        };
        let chosen: Vec<&HolderId> = self.sources.choose_multiple(rng, peers).collect();
        let connection = chosen.first().filter(|_| is_retry);
        let connection = connection.map(|to| ask(to, RequestChannel::Connection));
        let datagrams = chosen.iter().map(|to| ask(to, RequestChannel::Datagram));
        datagrams.chain(connection).collect()
    }

    fn receive(
        &mut self,
        from: HolderId,
        part: DocumentPart,
        version: u64,
        now: MonotonicTime,
    ) -> Option<ReplicaEffect> {
        let transfer = self.transfer.as_mut()?;
        if part.version <= version {
            return None;
        }
        let (newer, is_last, digests) = (part.version, part.is_last, part.digests.clone());
        let is_changed = transfer.buckets.merge(part);
        if transfer.buckets.matches(&digests) {
            let assembled = transfer.buckets.assemble(newer);
            self.transfer = None;
            return match assembled {
                Ok(document) => Some(ReplicaEffect::Activate(Box::new(document))),
                Err(error) => {
                    log::warn!("configuration {newer} of peer {from} is not usable: {error}");
                    self.sources.retain(|source| *source != from);
                    None
                }
            };
        }
        if !is_changed {
            return None;
        }
        transfer.peers = 1;
        transfer.retry_wait = self.options.retry_min;
        transfer.retry_at = now + transfer.retry_wait;
        is_last.then(|| ReplicaEffect::Request {
            to: from,
            request: transfer.buckets.request(version),
            channel: RequestChannel::Datagram,
        })
    }
}
