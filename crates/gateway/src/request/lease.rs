//! Memory for responses that are buffered.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_callers::CallerAccount;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{sleep, timeout},
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
const MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Time after which a wait cuts the next caller that does not read its response.
const CUT_PERIOD: Duration = Duration::from_millis(100);

/// Memory that the buffered responses of an instance share. Without it, some responses without end at
/// the same time take more memory than the instance has, although each is limited.
#[derive(Clone, Debug)]
pub(crate) struct BufferPool {
    units: Arc<Semaphore>,
    callers: Arc<CallerAccount>,
}

impl BufferPool {
    /// Creates a pool. `callers` that do not read their responses are cut when others need the memory.
    pub(crate) fn new(callers: Arc<CallerAccount>) -> Self {
        Self {
            units: Arc::new(Semaphore::new(POOL_BYTES / UNIT_BYTES)),
            callers,
        }
    }

    /// Returns a lease of no memory.
    pub(crate) fn lease(&self) -> BufferLease {
        BufferLease {
            pool: self.clone(),
            permit: None,
        }
    }

    /// Takes units from the pool, after cutting callers that do not read if necessary.
    async fn acquire(&self, units: u32) -> Result<OwnedSemaphorePermit, String> {
        let mut acquired = pin!(Arc::clone(&self.units).acquire_many_owned(units));
        let cut_unread = async {
            loop {
                sleep(CUT_PERIOD).await;
                self.callers.cut_unread_answer();
            }
        };
        let acquired = async {
            tokio::select! {
                biased;
                acquired = &mut acquired => acquired.ok(),
                () = cut_unread => None,
            }
        };
        let acquired = timeout(MEMORY_WAIT, acquired).await.ok().flatten();
        acquired.ok_or_else(|| MEMORY_USED.to_owned())
    }
}

/// Share of one response in the memory for buffered responses.
#[derive(Debug)]
pub(crate) struct BufferLease {
    pool: BufferPool,
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
            let added = self.pool.acquire(units).await?;
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
