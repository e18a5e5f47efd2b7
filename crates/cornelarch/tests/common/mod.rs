//! In-memory object store with write faults that the platform can show.

#![allow(dead_code)] // Each test file uses only a part of the module.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use bytes::Bytes;
use cornelarch_core::config::Document;
use cornelarch_platform::{InstanceEntry, ObjectStore, StoreError, VersionedValue};

/// A fault injected into one write.
#[derive(Clone, Debug)]
pub(crate) enum WriteFault {
    None,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write does not take effect, and the caller receives an unknown result.
    RequestLost,
    /// Another operator's value is written just before.
    ConcurrentWrite(Bytes),
    /// The platform is unavailable.
    Unavailable,
}

#[derive(Default)]
struct Content {
    objects: BTreeMap<String, (u64, Bytes)>,
    faults: VecDeque<WriteFault>,
    fault_prefix: String,
}

/// In-memory object store.
#[derive(Default)]
pub(crate) struct MemoryStore {
    content: Mutex<Content>,
}

impl MemoryStore {
    /// Applies the faults in order to the next writes of keys that start with `key`.
    pub(crate) fn inject_write_faults(
        &self,
        key: &str,
        faults: impl IntoIterator<Item = WriteFault>,
    ) {
        let mut content = self.content.lock().expect("lock");
        content.fault_prefix = key.to_owned();
        content.faults = faults.into_iter().collect();
    }

    pub(crate) fn value(&self, key: &str) -> Option<(u64, Bytes)> {
        let content = self.content.lock().expect("lock");
        content.objects.get(key).cloned()
    }

    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let content = self.content.lock().expect("lock");
        let keys = content.objects.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }
}

impl Content {
    fn put(&mut self, key: &str, expected: u64, value: Bytes) -> Result<u64, StoreError> {
        let current = self.objects.get(key).map_or(0, |(version, _)| *version);
        if current != expected {
            let key = key.to_owned();
            return Err(StoreError::Conflict { key, current });
        }
        self.objects.insert(key.to_owned(), (current + 1, value));
        Ok(current + 1)
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<VersionedValue, StoreError> {
        let found = self.value(key);
        let (version, value) = found.ok_or_else(|| StoreError::NotFound {
            key: key.to_owned(),
        })?;
        Ok(VersionedValue { version, value })
    }

    async fn put(&self, key: &str, expected: u64, value: Bytes) -> Result<u64, StoreError> {
        // The platform accepts only JSON values.
        serde_json::from_slice::<serde_json::Value>(&value).expect("value is JSON");
        let mut content = self.content.lock().expect("lock");
        let faulty = key.starts_with(&content.fault_prefix);
        let fault = if faulty {
            content.faults.pop_front()
        } else {
            None
        };
        let unknown = StoreError::Unknown {
            key: key.to_owned(),
            reason: "answer lost".to_owned(),
        };
        match fault.unwrap_or(WriteFault::None) {
            WriteFault::None => content.put(key, expected, value),
            WriteFault::ResponseLost => {
                // A conflict is hidden as well: its response is lost like any other.
                let _ = content.put(key, expected, value);
                Err(unknown)
            }
            WriteFault::RequestLost => Err(unknown),
            WriteFault::ConcurrentWrite(other) => {
                content.put(key, expected, other)?;
                content.put(key, expected, value)
            }
            WriteFault::Unavailable => Err(StoreError::Unavailable {
                reason: "down".to_owned(),
            }),
        }
    }

    async fn delete(&self, key: &str, _expected: u64) -> Result<(), StoreError> {
        self.content.lock().expect("lock").objects.remove(key);
        Ok(())
    }

    async fn list(&self, prefix: &str, _after: &str) -> Result<Vec<(String, u64)>, StoreError> {
        let keys = self.keys(prefix).into_iter();
        Ok(keys.map(|key| (key, 1)).collect())
    }

    async fn watch(
        &self,
        _key: &str,
        _after: u64,
        _timeout: Duration,
    ) -> Result<Option<VersionedValue>, StoreError> {
        Ok(None)
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        Ok(Vec::new())
    }
}

/// Returns a document with one customer and one engine.
pub(crate) fn document(environment: &str, paid: u64, order_rate: u64) -> Document {
    let text = format!(
        "[environment]\nname = {environment}\n\
         [limits]\norder_rate = {order_rate}\n\
         [model small]\n\
         [budget acme]\npaid = {paid}\n\
         [customer acme]\nkey_sha256 = {}\nbudget = acme\nmodels = small\n\
         [upstream engine-1]\nkind = engine\naddress = 127.0.0.1:9001\ndomain = north\n\
         models = small\n",
        "ab".repeat(32)
    );
    Document::parse(&text).expect("document is valid")
}
