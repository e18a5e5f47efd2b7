//! Memory for responses that are buffered.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

/// Memory for all buffered responses together, in bytes: an eighth of the memory of the smallest
/// nodes.
const POOL_BYTES: usize = 16 * 1024 * 1024;
/// Size that every response may buffer without a share of the pool, in bytes.
const FREE_BYTES: usize = 64 * 1024;
/// Unit in which shares of the pool are counted, in bytes.
const UNIT_BYTES: usize = 16 * 1024;

/// Reason for which a response is broken off.
const MEMORY_USED: &str = "memory for buffered responses is used up";
/// Longest wait for memory. Responses that wait for each other end then.
const MEMORY_WAIT: Duration = Duration::from_millis(200);

/// Memory that the buffered responses of an instance share. Without it, some responses without end at
/// the same time take more memory than the instance has, although each is limited.
#[derive(Clone, Debug)]
pub(crate) struct BufferPool {
    units: Arc<Semaphore>,
}

impl Default for BufferPool {
    fn default() -> Self {
        Self {
            units: Arc::new(Semaphore::new(POOL_BYTES / UNIT_BYTES)),
        }
    }
}

impl BufferPool {
    /// Returns a lease of no memory.
    pub(crate) fn lease(&self) -> BufferLease {
        BufferLease {
            units: Arc::clone(&self.units),
            permit: None,
        }
    }
}

/// Share of one response in the memory for buffered responses.
#[derive(Debug)]
pub(crate) struct BufferLease {
    units: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
}

impl BufferLease {
    /// Adapts the share to a buffer of this size, in bytes. Waits briefly if other responses use the
    /// memory.
    ///
    /// # Errors
    ///
    /// Returns the reason if the memory does not become free.
    pub(crate) async fn resize(&mut self, bytes: usize) -> Result<(), String> {
        let needed = bytes.saturating_sub(FREE_BYTES).div_ceil(UNIT_BYTES);
        let held = self.permit.as_ref().map_or(0, |p| p.num_permits());
        if needed > held {
            let units = u32::try_from(needed - held).unwrap_or(u32::MAX);
            let added = Arc::clone(&self.units).acquire_many_owned(units);
            let added = match timeout(MEMORY_WAIT, added).await {
                Ok(Ok(added)) => added,
                Ok(Err(_)) | Err(_) => return Err(MEMORY_USED.to_owned()),
            };
            match &mut self.permit {
                Some(permit) => permit.merge(added),
                None => self.permit = Some(added),
            }
        } else if let Some(permit) = &mut self.permit {
            drop(permit.split(held - needed));
        }
        Ok(())
    }

    /// Keeps the share until the last reference to these bytes is dropped.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        match self.permit {
            Some(_) => Bytes::from_owner(LeasedBytes {
                bytes,
                _lease: self,
            }),
            None => bytes,
        }
    }
}

struct LeasedBytes {
    bytes: Bytes,
    _lease: BufferLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
