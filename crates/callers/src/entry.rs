//! One caller connection in the account.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cornelarch_core::{
    base::MonotonicTime,
    limit::{CallerStage, CallerView, ProgressMark},
};
use futures_util::task::AtomicWaker;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::account::{CallerAccount, CutReason};

/// Memory of a connection without a request, in bytes: its buffers and its task.
pub(crate) const CONNECTION_BYTES: usize = 16 * 1024;

/// Progress of the current stage, as sweeps see it.
#[derive(Debug)]
struct CallerProgress {
    mark: ProgressMark,
    began: MonotonicTime,
}

/// One caller connection and the memory that it makes the process hold.
#[derive(Debug)]
pub struct CallerEntry {
    pub(crate) account: Arc<CallerAccount>,
    stage: AtomicU8,
    /// Buffers of the connection, in bytes.
    buffers: AtomicUsize,
    /// Size of the head so far, in bytes.
    head: AtomicUsize,
    /// Memory of bodies that are still referenced, in bytes.
    body: AtomicUsize,
    /// Bytes of the answer that are not written yet.
    unwritten: AtomicUsize,
    /// Bytes of heads, bodies and answers that have moved so far.
    moved: AtomicU64,
    /// Whether the connection takes no more bytes of an answer.
    is_blocked: AtomicBool,
    progress: Mutex<CallerProgress>,
    /// Set if the connection was chosen to be cut, until its memory is free.
    cut: Mutex<Option<CutReason>>,
    refused: Notify,
    is_closed: AtomicBool,
    pub(crate) waker: AtomicWaker,
}

const fn encode_stage(stage: CallerStage) -> u8 {
    match stage {
        CallerStage::Head => 0,
        CallerStage::Body => 1,
        CallerStage::Running => 2,
        CallerStage::Answer => 3,
    }
}

const fn decode_stage(code: u8) -> CallerStage {
    match code {
        0 => CallerStage::Head,
        1 => CallerStage::Body,
        2 => CallerStage::Running,
        _ => CallerStage::Answer,
    }
}

impl CallerEntry {
    pub(crate) fn new(account: Arc<CallerAccount>) -> Self {
        let now = account.now();
        account.charge(CONNECTION_BYTES);
        Self {
            account,
            stage: AtomicU8::new(encode_stage(CallerStage::Head)),
            buffers: AtomicUsize::new(CONNECTION_BYTES),
            head: AtomicUsize::new(0),
            body: AtomicUsize::new(0),
            unwritten: AtomicUsize::new(0),
            moved: AtomicU64::new(0),
            is_blocked: AtomicBool::new(false),
            progress: Mutex::new(CallerProgress {
                mark: ProgressMark::new(0, now),
                began: now,
            }),
            cut: Mutex::new(None),
            refused: Notify::new(),
            is_closed: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        }
    }

    pub(crate) fn stage(&self) -> CallerStage {
        decode_stage(self.stage.load(Ordering::Relaxed))
    }

    fn set_stage(&self, stage: CallerStage) {
        self.stage.store(encode_stage(stage), Ordering::Relaxed);
    }

    /// Records that the head of a request is complete.
    pub fn start_request(&self) {
        self.set_stage(CallerStage::Running);
    }

    pub(crate) fn start_body(&self) {
        let now = self.account.now();
        *self.progress.lock() = CallerProgress {
            mark: ProgressMark::new(self.moved.load(Ordering::Relaxed), now),
            began: now,
        };
        self.set_stage(CallerStage::Body);
    }

    pub(crate) fn finish_body(&self) {
        self.set_stage(CallerStage::Running);
    }

    pub(crate) fn start_answer(&self) {
        let moved = self.moved.load(Ordering::Relaxed);
        self.progress.lock().mark = ProgressMark::new(moved, self.account.now());
        self.set_stage(CallerStage::Answer);
    }

    pub(crate) fn finish_answer(&self) {
        // The head is kept for further attempts until here. A part of the answer may still be buffered;
        // it stays charged until it is written.
        self.account.release(self.head.swap(0, Ordering::Relaxed));
        self.set_stage(CallerStage::Head);
    }

    pub(crate) fn record_moved(&self, bytes: usize) {
        self.moved.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records that bytes were read from the connection.
    pub(crate) fn record_read(&self, bytes: usize) {
        let buffers = CONNECTION_BYTES.max(bytes);
        let before = self.buffers.fetch_max(buffers, Ordering::Relaxed);
        self.account.charge(buffers.saturating_sub(before));
        if self.stage() == CallerStage::Head {
            self.head.fetch_add(bytes, Ordering::Relaxed);
            self.account.charge(bytes);
            self.record_moved(bytes);
        }
    }

    /// Records that a part of an answer is to be written.
    pub(crate) fn record_produced(&self, bytes: usize) {
        self.unwritten.fetch_add(bytes, Ordering::Relaxed);
        self.account.charge(bytes);
    }

    /// Records that the connection took this number of bytes, or none.
    pub(crate) fn record_written(&self, bytes: Option<usize>) {
        self.is_blocked.store(bytes.is_none(), Ordering::Relaxed);
        let Some(bytes) = bytes else {
            return;
        };
        self.record_moved(bytes);
        let before = self.unwritten.load(Ordering::Relaxed);
        let written = bytes.min(before);
        self.unwritten.store(before - written, Ordering::Relaxed);
        self.account.release(written);
    }

    pub(crate) fn charge_body(&self, bytes: usize) {
        self.body.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn release_body(&self, bytes: usize) {
        self.body.fetch_sub(bytes, Ordering::Relaxed);
        self.account.release(bytes);
    }

    /// Releases what the connection itself held. Its body may be referenced for longer.
    pub(crate) fn release_connection(&self) {
        let held = [&self.buffers, &self.head, &self.unwritten];
        let bytes = held.map(|part| part.swap(0, Ordering::Relaxed));
        self.account.release(bytes.iter().sum());
    }

    pub(crate) fn bytes(&self) -> usize {
        let held = [&self.buffers, &self.head, &self.body, &self.unwritten];
        held.map(|part| part.load(Ordering::Relaxed)).iter().sum()
    }

    /// Returns the state for a decision, after noting the progress so far.
    pub(crate) fn view<K>(&self, key: K, now: MonotonicTime) -> CallerView<K> {
        let progress_bytes = self.account.options.progress_bytes;
        let mut progress = self.progress.lock();
        let moved = self.moved.load(Ordering::Relaxed);
        let still = progress.mark.update(moved, progress_bytes, now);
        let is_blocked = self.is_blocked.load(Ordering::Relaxed);
        let stage = match self.stage() {
            // The rest of an answer is in the buffer of the connection.
            CallerStage::Head if is_blocked => CallerStage::Answer,
            stage => stage,
        };
        // An answer without anything to write waits for the upstream and not for the caller.
        if stage == CallerStage::Answer && !is_blocked {
            progress.mark = ProgressMark::new(moved, now);
        }
        CallerView {
            key,
            stage,
            bytes: self.bytes(),
            still: match stage == CallerStage::Answer && !is_blocked {
                true => Duration::ZERO,
                false => still,
            },
            began: progress.began,
        }
    }

    /// Returns whether the connection was chosen to be cut.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut.lock().is_some()
    }

    pub(crate) fn cut_reason(&self) -> Option<CutReason> {
        *self.cut.lock()
    }

    /// Refuses a body, or closes the connection. Returns whether it is cut: a request that runs by now
    /// is not.
    pub(crate) fn cut(&self, reason: CutReason) -> bool {
        let mut cut = self.cut.lock();
        match self.stage() {
            CallerStage::Running => return false,
            CallerStage::Body => self.refused.notify_one(),
            CallerStage::Head | CallerStage::Answer => {
                self.is_closed.store(true, Ordering::Relaxed);
                self.waker.wake();
            }
        }
        *cut = Some(reason);
        true
    }

    /// Waits until the body is refused.
    pub(crate) async fn wait_refused(&self) -> CutReason {
        loop {
            if let Some(reason) = self.cut_reason() {
                return reason;
            }
            self.refused.notified().await;
        }
    }

    /// Forgets a refusal, so that the connection can be cut again if its caller does not read it.
    pub(crate) fn clear_refusal(&self) {
        *self.cut.lock() = None;
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }
}
