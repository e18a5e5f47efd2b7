//! Account of all caller connections of a listener.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cornelarch_core::{
    base::MonotonicTime,
    limit::{CallerOptions, CallerStage, CallerView, choose_connection_cut, choose_memory_cut},
};
use parking_lot::Mutex;
use slab::Slab;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, MissedTickBehavior, interval, timeout},
};

use crate::{
    entry::{CONNECTION_BYTES, CallerEntry},
    stream::CallerStream,
};

/// Time between two sweeps.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for the memory of a caller that was cut. Its task only has to run.
const MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Reason for which a caller is cut or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutReason {
    /// Callers hold too much memory.
    Memory,
    /// Too many connections are open.
    Connections,
    /// The caller stood still for too long.
    Stalled,
}

impl CutReason {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::Memory, Self::Connections, Self::Stalled];

    /// Returns the reason for log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Stalled => "stalled",
        }
    }

    const fn index(self) -> usize {
        match self {
            Self::Memory => 0,
            Self::Connections => 1,
            Self::Stalled => 2,
        }
    }
}

/// One caller that was cut or refused, for a log line.
#[derive(Clone, Copy, Debug)]
pub struct CallerCut {
    /// Why it was cut.
    pub reason: CutReason,
    /// What it did.
    pub stage: CallerStage,
    /// Memory that it held, in bytes.
    pub bytes: usize,
    /// Its time without progress.
    pub still: Duration,
    /// Memory that all callers held, in bytes.
    pub held: usize,
    /// Number of open connections.
    pub connections: usize,
}

impl fmt::Display for CallerCut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stage = match self.stage {
            CallerStage::Head => "head",
            CallerStage::Body => "body",
            CallerStage::Running => "running",
            CallerStage::Answer => "answer",
        };
        write!(
            formatter,
            "reason={} stage={stage} bytes={} still_ms={} held={} connections={}",
            self.reason.as_str(),
            self.bytes,
            self.still.as_millis(),
            self.held,
            self.connections
        )
    }
}

type CutObserver = Box<dyn Fn(&CallerCut) + Send + Sync>;

/// Account of the memory and the connections of all callers.
pub struct CallerAccount {
    pub(crate) options: CallerOptions,
    held: AtomicUsize,
    entries: Mutex<Slab<Arc<CallerEntry>>>,
    freed: Notify,
    cuts: [AtomicU64; CutReason::ALL.len()],
    observer: CutObserver,
    started: Instant,
}

impl fmt::Debug for CallerAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallerAccount")
            .field("options", &self.options)
            .field("held", &self.held())
            .finish_non_exhaustive()
    }
}

impl CallerAccount {
    /// Creates an account. `observer` is called for every caller that is cut or refused.
    #[must_use]
    pub fn new(
        options: CallerOptions,
        observer: impl Fn(&CallerCut) + Send + Sync + 'static,
    ) -> Self {
        Self {
            options,
            held: AtomicUsize::new(0),
            entries: Mutex::default(),
            freed: Notify::new(),
            cuts: Default::default(),
            observer: Box::new(observer),
            started: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonotonicTime::from_micros(micros)
    }

    /// Returns the memory that callers make the process hold, in bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.entries.lock().len()
    }

    /// Returns how many callers were cut or refused for this reason.
    #[must_use]
    pub fn cuts(&self, reason: CutReason) -> u64 {
        self.cuts[reason.index()].load(Ordering::Relaxed)
    }

    pub(crate) fn charge(&self, bytes: usize) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
            self.freed.notify_waiters();
        }
    }

    /// Takes a new connection into the account. At a limit it takes the place of one that stands still;
    /// `None` if there is none, and the connection is closed.
    pub async fn admit(self: &Arc<Self>, stream: TcpStream) -> Option<CallerStream> {
        let reason = match self.connections() >= self.options.connections {
            true => Some(CutReason::Connections),
            false if self.held() + CONNECTION_BYTES > self.options.memory_bytes => {
                Some(CutReason::Memory)
            }
            false => None,
        };
        if let Some(reason) = reason {
            let Some(view) = choose_connection_cut(self.views()).and_then(|key| self.view(key))
            else {
                self.report(&self.refused_connection(reason));
                return None;
            };
            self.cut(&view, reason);
            // The task of the cut connection closes it.
            tokio::task::yield_now().await;
        }
        let entry = Arc::new(CallerEntry::new(Arc::clone(self)));
        let key = self.entries.lock().insert(Arc::clone(&entry));
        Some(CallerStream::new(stream, entry, key))
    }

    fn refused_connection(&self, reason: CutReason) -> CallerCut {
        CallerCut {
            reason,
            stage: CallerStage::Head,
            bytes: 0,
            still: Duration::ZERO,
            held: self.held(),
            connections: self.connections(),
        }
    }

    /// Removes a connection that is closed.
    pub(crate) fn remove(&self, key: usize) {
        let entry = self.entries.lock().try_remove(key);
        if let Some(entry) = entry {
            entry.release_connection();
        }
    }

    /// Gives up callers that have stood still for too long, and frees memory if callers hold too much,
    /// until the future is dropped.
    pub async fn run_sweeps(self: Arc<Self>) {
        let mut sweeps = interval(SWEEP_PERIOD);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            sweeps.tick().await;
            let views = self.views();
            for view in views.iter().filter(|view| self.options.is_stalled(view)) {
                self.cut(view, CutReason::Stalled);
            }
            while self.held().saturating_sub(self.leaving()) > self.options.memory_bytes {
                if !self.cut_for_memory() {
                    break;
                }
            }
        }
    }

    /// Charges `bytes` to a body that then has `body_bytes`, after cutting others if necessary.
    ///
    /// # Errors
    ///
    /// Returns the reason if the body has to be refused.
    pub(crate) async fn reserve(
        &self,
        entry: &CallerEntry,
        bytes: usize,
        body_bytes: usize,
    ) -> Result<(), CutReason> {
        let limit = self.options.memory_for(body_bytes);
        let reserved = async {
            loop {
                let mut freed = std::pin::pin!(self.freed.notified());
                freed.as_mut().enable();
                if self.held() + bytes <= limit {
                    self.charge(bytes);
                    entry.charge_body(bytes);
                    return Ok(());
                }
                // What was cut already may suffice as soon as it is free.
                let is_freed = self.held().saturating_sub(self.leaving()) + bytes <= limit;
                if !is_freed && !self.cut_for_memory() {
                    return Err(CutReason::Memory);
                }
                tokio::select! {
                    reason = entry.wait_refused() => return Err(reason),
                    () = freed => {}
                }
            }
        };
        match timeout(MEMORY_WAIT, reserved).await {
            Ok(reserved) => reserved,
            Err(_) => Err(CutReason::Memory),
        }
    }

    /// Closes the connection of the caller whose unread answer has held most for longest, if there is
    /// one. Returns whether there was.
    pub fn cut_unread_answer(&self) -> bool {
        let mut views = self.views();
        views.retain(|view| view.stage == CallerStage::Answer);
        let key = choose_memory_cut(views);
        let view = key.and_then(|key| self.view(key));
        view.is_some_and(|view| {
            self.cut(&view, CutReason::Memory);
            true
        })
    }

    fn cut_for_memory(&self) -> bool {
        let key = choose_memory_cut(self.views());
        let view = key.and_then(|key| self.view(key));
        view.is_some_and(|view| {
            self.cut(&view, CutReason::Memory);
            true
        })
    }

    /// Returns the memory of callers that were cut and have not released it yet, in bytes.
    fn leaving(&self) -> usize {
        let entries = self.entries.lock();
        let cut = entries.iter().filter(|(_, entry)| entry.is_cut());
        cut.map(|(_, entry)| entry.bytes()).sum()
    }

    /// Returns the state of all callers that are not cut yet.
    fn views(&self) -> Vec<CallerView<usize>> {
        let now = self.now();
        let entries = self.entries.lock();
        let open = entries.iter().filter(|(_, entry)| !entry.is_cut());
        open.map(|(key, entry)| entry.view(key, now)).collect()
    }

    fn view(&self, key: usize) -> Option<CallerView<usize>> {
        let now = self.now();
        let entries = self.entries.lock();
        entries.get(key).map(|entry| entry.view(key, now))
    }

    fn cut(&self, view: &CallerView<usize>, reason: CutReason) {
        let entry = self.entries.lock().get(view.key).cloned();
        let Some(entry) = entry else {
            return;
        };
        if !entry.cut(reason) {
            return;
        }
        self.report(&CallerCut {
            reason,
            stage: view.stage,
            bytes: view.bytes,
            still: view.still,
            held: self.held(),
            connections: self.connections(),
        });
    }

    fn report(&self, cut: &CallerCut) {
        self.cuts[cut.reason.index()].fetch_add(1, Ordering::Relaxed);
        (self.observer)(cut);
    }
}
