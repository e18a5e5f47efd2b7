//! Division of a document into buckets with digests.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use xxhash_rust::xxh3::xxh3_64;

use crate::route::{
    CustomerRecord, RequestLimits, RouteDocument, RouteRule, ServiceRecord,
    replica::{DocumentBucket, DocumentPart, DocumentRequest, RequestChannel},
};

/// Number of buckets. A document of a megabyte has 4 kB in each.
const BUCKETS: usize = 256;
/// Limits of an answer in datagrams. Together with the digests, the largest part fits into the
/// receive buffer of a datagram, and all parts into the queue of a slow link. A larger bucket is
/// left to an answer over a connection.
const DATAGRAM_LIMITS: AnswerLimits = AnswerLimits {
    part_bytes: 6 * 1024,
    bucket_bytes_max: 12 * 1024,
    parts_max: 4,
};
/// Limits of an answer over a connection, which controls the flow by itself.
const CONNECTION_LIMITS: AnswerLimits = AnswerLimits {
    part_bytes: 32 * 1024,
    bucket_bytes_max: usize::MAX,
    parts_max: usize::MAX,
};

/// Limits of the answer to a request.
#[derive(Clone, Copy, Debug)]
struct AnswerLimits {
    /// Size of the entries from which on a part is full, in bytes.
    part_bytes: usize,
    /// Maximum size of a bucket, in bytes.
    bucket_bytes_max: usize,
    /// Maximum number of parts.
    parts_max: usize,
}

/// Error of a document that was assembled from buckets.
#[derive(Debug, Snafu)]
pub enum ReplicaError {
    /// A bucket does not contain entries of a document.
    #[snafu(display("bucket {index} of the configuration cannot be decoded"))]
    Entries {
        /// The position of the bucket.
        index: usize,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Element of a document.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum DocumentEntry {
    Route(RouteRule),
    Customer {
        record: CustomerRecord,
        keys: Vec<String>,
    },
    Service(ServiceRecord),
    Limits(RequestLimits),
    /// Requests need a key although there is no customer.
    KeysRequired,
}

impl DocumentEntry {
    /// Returns what identifies the entry. Entries with the same identity share a bucket, in which
    /// they keep their order.
    fn identity(&self) -> (u8, &str, &str) {
        match self {
            Self::Route(rule) => (0, &rule.host, &rule.prefix),
            Self::Customer { record, .. } => (1, &record.name, ""),
            Self::Service(service) => (2, &service.name, ""),
            Self::Limits(_) => (3, "", ""),
            Self::KeysRequired => (4, "", ""),
        }
    }

    fn bucket(&self) -> usize {
        let (kind, name, prefix) = self.identity();
        let hash = xxh3_64(format!("{kind} {name} {prefix}").as_bytes());
        (hash % BUCKETS as u64) as usize
    }
}

/// The entries of a document in buckets, each with a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentIndex {
    version: u64,
    digests: Vec<u32>,
    /// Entries as JSON; an empty bucket is an empty text.
    buckets: Vec<String>,
}

impl DocumentIndex {
    /// Creates the index of an instance without a document.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            version: 0,
            digests: vec![digest(""); BUCKETS],
            buckets: vec![String::new(); BUCKETS],
        }
    }

    /// Divides a document into buckets.
    #[must_use]
    pub fn new(document: &RouteDocument) -> Self {
        let mut buckets: Vec<Vec<DocumentEntry>> = vec![Vec::new(); BUCKETS];
        for entry in entries(document) {
            buckets[entry.bucket()].push(entry);
        }
        let mut index = Self::empty();
        index.version = document.version;
        for (number, mut entries) in buckets.into_iter().enumerate() {
            if entries.is_empty() {
                continue;
            }
            // The sort is stable, so that routes with the same prefix keep their precedence.
            entries.sort_by(|left, right| left.identity().cmp(&right.identity()));
            match serde_json::to_string(&entries) {
                Ok(text) => index.replace(number, text),
                // Only a map with other keys than strings cannot be encoded.
                Err(error) => log::error!("bucket of the configuration is not encoded: {error}"),
            }
        }
        index
    }

    /// Returns the version of the document; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the request for a newer document.
    #[must_use]
    pub fn request(&self, version: u64) -> DocumentRequest {
        DocumentRequest {
            version,
            digests: self.digests.clone(),
        }
    }

    /// Returns the parts that the sender of a request lacks, or none if its version is not older.
    /// In datagrams, these are only the first parts.
    #[must_use]
    pub fn answer(&self, request: &DocumentRequest, channel: RequestChannel) -> Vec<DocumentPart> {
        let limits = match channel {
            RequestChannel::Datagram => DATAGRAM_LIMITS,
            RequestChannel::Connection => CONNECTION_LIMITS,
        };
        if request.version >= self.version || request.digests.len() != BUCKETS {
            return Vec::new();
        }
        let mut parts = vec![self.part()];
        let mut bytes = 0;
        for (index, entries) in self.buckets.iter().enumerate() {
            if request.digests[index] == self.digests[index]
                || entries.len() > limits.bucket_bytes_max
            {
                continue;
            }
            let is_full = bytes > 0 && bytes + entries.len() > limits.part_bytes;
            if is_full && parts.len() == limits.parts_max {
                break;
            }
            if is_full {
                parts.push(self.part());
                bytes = 0;
            }
            bytes += entries.len();
            if let (Some(part), Ok(index)) = (parts.last_mut(), u16::try_from(index)) {
                let entries = entries.clone();
                part.buckets.push(DocumentBucket { index, entries });
            }
        }
        if let Some(last) = parts.last_mut() {
            last.is_last = true;
        }
        parts
    }

    fn part(&self) -> DocumentPart {
        DocumentPart {
            version: self.version,
            digests: self.digests.clone(),
            buckets: Vec::new(),
            is_last: false,
        }
    }

    /// Takes over the buckets of a part that are intact, and returns whether any is new.
    pub(super) fn merge(&mut self, part: DocumentPart) -> bool {
        let mut is_changed = false;
        for bucket in part.buckets {
            let index = usize::from(bucket.index);
            let expected = part.digests.get(index).copied();
            let found = digest(&bucket.entries);
            if expected == Some(found) && self.digests.get(index).is_some_and(|own| *own != found) {
                self.replace(index, bucket.entries);
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns whether the buckets are those of the version with these digests.
    pub(super) fn matches(&self, digests: &[u32]) -> bool {
        self.digests == digests
    }

    /// Builds the document of a version from the buckets.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicaError::Entries`] if a bucket cannot be decoded.
    pub fn assemble(&self, version: u64) -> Result<RouteDocument, ReplicaError> {
        let mut document = RouteDocument::new(version);
        for (index, text) in self.buckets.iter().enumerate() {
            if text.is_empty() {
                continue;
            }
            let entries: Vec<DocumentEntry> =
                serde_json::from_str(text).context(EntriesSnafu { index })?;
            for entry in entries {
                match entry {
                    DocumentEntry::Route(rule) => document.add_route(rule),
                    DocumentEntry::Customer { record, keys } => document.add_customer(record, keys),
                    DocumentEntry::Service(service) => document.add_service(service),
                    DocumentEntry::Limits(limits) => document.limits = Some(limits),
                    DocumentEntry::KeysRequired => document.has_customers = true,
                }
            }
        }
        Ok(document)
    }

    fn replace(&mut self, index: usize, entries: String) {
        self.digests[index] = digest(&entries);
        self.buckets[index] = entries;
    }
}

fn digest(entries: &str) -> u32 {
    // The lower half of a 64-bit digest is evenly distributed, too.
    xxh3_64(entries.as_bytes()) as u32
}

fn entries(document: &RouteDocument) -> impl Iterator<Item = DocumentEntry> {
    let routes = document.routes().cloned().map(DocumentEntry::Route);
    let customers = document.customers_with_keys();
    let customers = customers.map(|(record, keys)| DocumentEntry::Customer {
        record: record.clone(),
        keys,
    });
    let services = document.services().cloned().map(DocumentEntry::Service);
    let limits = document.limits.map(DocumentEntry::Limits);
    let is_closed = document.has_customers && document.customers().next().is_none();
    let keys_required = is_closed.then_some(DocumentEntry::KeysRequired);
    routes
        .chain(customers)
        .chain(services)
        .chain(limits)
        .chain(keys_required)
}
