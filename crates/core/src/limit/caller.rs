//! Decisions about the memory and the connections that callers make an instance hold.
//!
//! They answer crowds that send large bodies and stop before the end, drip, stay silent or do not read
//! their answers: each request is within its limits, but all of them together are not.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Memory of a machine whose settings do not state it, in bytes.
const MEMORY_DEFAULT: u64 = 120 * 1024 * 1024;
/// Memory for the process itself and for the responses of upstreams, in bytes.
const MEMORY_OWN: u64 = 56 * 1024 * 1024;
/// Smallest memory for callers, in bytes. Two bodies of the default limit fit.
const MEMORY_MIN: u64 = 8 * 1024 * 1024;
/// Part of the remaining memory that the account may hold. The rest is for what it does not see, such
/// as unused parts of the heap.
const MEMORY_DIVISOR: u64 = 2;
/// Descriptors of a process whose settings do not state them.
const DESCRIPTORS_DEFAULT: u64 = 1_024;
/// Descriptors that are no connections.
const DESCRIPTORS_FILES: u64 = 200;
/// Time without progress from which a caller counts as standing still.
const STILL_MIN: Duration = Duration::from_millis(500);
/// Size up to which a body may use all of the memory, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Limits for the callers of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerOptions {
    /// Memory that all callers together may make the instance hold, in bytes.
    pub memory_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time without progress after which a body is given up.
    pub body_stall: Duration,
    /// Time without progress after which an answer that is not read is given up.
    pub answer_stall: Duration,
    /// Bytes that count as progress. Fewer do not, so that drips do not.
    pub progress_bytes: u64,
}

impl Default for CallerOptions {
    fn default() -> Self {
        Self::for_machine(None, None)
    }
}

impl CallerOptions {
    /// Returns the limits for a machine with this memory in bytes and this number of descriptors.
    #[must_use]
    pub fn for_machine(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let left = memory.unwrap_or(MEMORY_DEFAULT).saturating_sub(MEMORY_OWN);
        let memory = (left / MEMORY_DIVISOR).max(MEMORY_MIN);
        let descriptors = descriptors.unwrap_or(DESCRIPTORS_DEFAULT);
        // The other sockets are for upstreams, the store, peers, readiness and metrics.
        let sockets = descriptors.saturating_sub(DESCRIPTORS_FILES);
        let connections = (sockets / 3 * 2).max(1);
        Self {
            memory_bytes: usize::try_from(memory).unwrap_or(usize::MAX),
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            body_stall: Duration::from_secs(5),
            answer_stall: Duration::from_secs(30),
            progress_bytes: 4 * 1024,
        }
    }

    /// Returns how much all callers may hold when a body that then has `body_bytes` grows. A quarter is
    /// kept for small bodies.
    #[must_use]
    pub const fn memory_for(&self, body_bytes: usize) -> usize {
        match body_bytes <= SMALL_BODY_BYTES {
            true => self.memory_bytes,
            false => self.memory_bytes / 4 * 3,
        }
    }

    /// Returns whether a caller has stood still for too long.
    #[must_use]
    pub fn is_stalled<K>(&self, caller: &CallerView<K>) -> bool {
        match caller.stage {
            CallerStage::Body => caller.still >= self.body_stall,
            CallerStage::Answer => caller.still >= self.answer_stall,
            CallerStage::Head | CallerStage::Running => false,
        }
    }
}

/// What happens on the connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerStage {
    /// It is idle or receives a head.
    Head,
    /// It receives a body.
    Body,
    /// Its request runs.
    Running,
    /// It gets an answer.
    Answer,
}

/// Progress of a caller, as seen at intervals.
#[derive(Clone, Copy, Debug)]
pub struct ProgressMark {
    moved: u64,
    at: MonotonicTime,
}

impl ProgressMark {
    /// Creates the mark of a caller that has moved this number of bytes so far.
    #[must_use]
    pub const fn new(moved: u64, now: MonotonicTime) -> Self {
        Self { moved, at: now }
    }

    /// Moves the mark if enough bytes have moved since, and returns the time without progress.
    pub fn update(&mut self, moved: u64, progress_bytes: u64, now: MonotonicTime) -> Duration {
        if moved.saturating_sub(self.moved) >= progress_bytes {
            *self = Self::new(moved, now);
        }
        now.since(self.at)
    }
}

/// State of one caller that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct CallerView<K> {
    /// Identifies the caller.
    pub key: K,
    /// What happens on its connection.
    pub stage: CallerStage,
    /// Memory that it makes the instance hold, in bytes.
    pub bytes: usize,
    /// Time without progress.
    pub still: Duration,
    /// Start of its present request, or of its connection.
    pub began: MonotonicTime,
}

impl<K> CallerView<K> {
    fn is_still(&self) -> bool {
        self.stage != CallerStage::Running && self.still >= STILL_MIN
    }
}

/// Chooses the caller that is cut to free memory: of those that stand still, the one with the largest
/// product of memory and time; otherwise the youngest body, so that the older ones end. `None` if
/// neither exists.
pub fn choose_memory_cut<K>(callers: impl IntoIterator<Item = CallerView<K>>) -> Option<K> {
    let mut heaviest: Option<(u128, K)> = None;
    let mut youngest: Option<(MonotonicTime, K)> = None;
    for caller in callers {
        if caller.is_still() {
            let weight = caller.bytes as u128 * caller.still.as_millis();
            if heaviest.as_ref().is_none_or(|(most, _)| weight > *most) {
                heaviest = Some((weight, caller.key));
            }
        } else if caller.stage == CallerStage::Body
            && youngest
                .as_ref()
                .is_none_or(|(last, _)| caller.began >= *last)
        {
            youngest = Some((caller.began, caller.key));
        }
    }
    let heaviest = heaviest.map(|(_, key)| key);
    heaviest.or_else(|| youngest.map(|(_, key)| key))
}

/// Chooses the connection that is closed for a new one: the one that has stood still longest. `None`
/// if none does.
pub fn choose_connection_cut<K>(callers: impl IntoIterator<Item = CallerView<K>>) -> Option<K> {
    let still = callers.into_iter().filter(CallerView::is_still);
    still
        .max_by_key(|caller| caller.still)
        .map(|caller| caller.key)
}
