//! Bodies of requests and answers within the account.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::{account::CutReason, entry::CallerEntry};

/// Smallest block of a body whose length is unknown, in bytes.
const BLOCK_MIN: usize = 4 * 1024;
/// Largest block of a body, in bytes.
const BLOCK_MAX: usize = 64 * 1024;

/// Reason for which a body is not read to its end. Nothing has run in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// It exceeds the limit.
    TooLarge,
    /// The caller disconnected or sent a malformed body.
    Broken,
    /// It stood still for too long.
    Stalled,
    /// Callers hold too much memory, or too many connections are open.
    Overloaded,
}

impl From<CutReason> for BodyFailure {
    fn from(reason: CutReason) -> Self {
        match reason {
            CutReason::Memory | CutReason::Connections => Self::Overloaded,
            CutReason::Stalled => Self::Stalled,
        }
    }
}

/// Share of a body in the account.
#[derive(Debug)]
struct BodyLease {
    entry: Arc<CallerEntry>,
    bytes: usize,
}

impl BodyLease {
    async fn grow(&mut self, bytes: usize) -> Result<(), CutReason> {
        let total = self.bytes + bytes;
        let account = Arc::clone(&self.entry.account);
        account.reserve(&self.entry, bytes, total).await?;
        self.bytes = total;
        Ok(())
    }

    fn shrink(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.entry.release_body(released);
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.entry.release_body(self.bytes);
    }
}

/// A complete body, which is charged until its last reference is dropped.
struct LeasedBody {
    bytes: Vec<u8>,
    _lease: BodyLease,
}

impl AsRef<[u8]> for LeasedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Body that is coming in. Blocks of their own do not keep the buffers of the connection, of which the
/// received slices are parts, and do not move when the body grows.
struct BlockBuffer {
    blocks: Vec<Vec<u8>>,
    length: usize,
    /// Announced length, or the limit, in bytes.
    expected: usize,
    lease: BodyLease,
}

impl BlockBuffer {
    async fn push(&mut self, mut data: &[u8]) -> Result<(), CutReason> {
        while !data.is_empty() {
            let last = self.blocks.last();
            let free = last.map_or(0, |block| block.capacity() - block.len());
            if free == 0 {
                let size = self.next_block(data.len());
                self.lease.grow(size).await?;
                self.blocks.push(Vec::with_capacity(size));
                continue;
            }
            let (part, rest) = data.split_at(free.min(data.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(part);
            }
            self.length += part.len();
            data = rest;
        }
        Ok(())
    }

    /// Returns the size of the next block: at least what has come, but not more than may come.
    fn next_block(&self, coming: usize) -> usize {
        let wanted = coming.max(self.length).max(BLOCK_MIN);
        let left = self.expected.saturating_sub(self.length).max(1);
        wanted.min(left).min(BLOCK_MAX)
    }

    /// Joins the blocks. Each one is freed as soon as it is copied.
    fn join(mut self) -> Bytes {
        let bytes = match self.blocks.len() {
            1 => self.blocks.remove(0),
            _ => {
                let mut joined = Vec::with_capacity(self.length);
                for block in self.blocks.drain(..) {
                    joined.extend_from_slice(&block);
                }
                joined
            }
        };
        self.lease.shrink(bytes.capacity());
        Bytes::from_owner(LeasedBody {
            bytes,
            _lease: self.lease,
        })
    }
}

/// Marks the connection as receiving a body until it is dropped.
struct BodyGuard<'a>(&'a CallerEntry);

impl<'a> BodyGuard<'a> {
    fn start(entry: &'a CallerEntry) -> Self {
        entry.start_body();
        Self(entry)
    }
}

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        self.0.finish_body();
        self.0.clear_refusal();
    }
}

/// Reads the body of a request of at most `limit` bytes.
///
/// # Errors
///
/// Returns why the body was given up.
pub async fn read_body<B>(
    entry: &Arc<CallerEntry>,
    mut body: B,
    limit: usize,
) -> Result<Bytes, BodyFailure>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(BodyFailure::TooLarge);
    }
    let expected = hint.exact().and_then(|length| usize::try_from(length).ok());
    let mut buffer = BlockBuffer {
        blocks: Vec::new(),
        length: 0,
        expected: expected.unwrap_or(limit),
        lease: BodyLease {
            entry: Arc::clone(entry),
            bytes: 0,
        },
    };
    let _guard = BodyGuard::start(entry);
    loop {
        let frame = tokio::select! {
            reason = entry.wait_refused() => return Err(reason.into()),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(buffer.join());
        };
        // Trailers are not forwarded.
        let Ok(data) = frame.map_err(|_| BodyFailure::Broken)?.into_data() else {
            continue;
        };
        if buffer.length + data.len() > limit {
            return Err(BodyFailure::TooLarge);
        }
        entry.record_moved(data.len());
        buffer.push(&data).await?;
    }
}

/// Body of an answer, which is charged until it is written.
#[derive(Debug)]
pub struct AnswerBody<B> {
    body: B,
    entry: Arc<CallerEntry>,
}

impl<B> AnswerBody<B> {
    /// Starts the answer of the request on this connection.
    pub fn start(entry: Arc<CallerEntry>, body: B) -> Self {
        entry.start_answer();
        Self { body, entry }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for AnswerBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            self.entry.record_produced(data.len());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.entry.finish_answer();
    }
}
