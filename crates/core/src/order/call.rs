//! State machine of one attempt at an order.

use std::{sync::Arc, time::Duration};

use crate::{
    base::{HolderId, MonotonicTime},
    error::{ErrorKind, RunState},
    order::{
        ClaimId, LocalClaim, OrderRecord, OrderState, RequestDigest, StoredAnswer, VersionedRecord,
    },
};

/// Options of an attempt at an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderOptions {
    /// The largest number of writes by which one attempt tries to claim the record.
    pub claim_writes: u32,
    /// The largest number of tries to store or release the record after the caller has its reply.
    pub settle_tries: u32,
    /// The initial pause between two tries; it doubles with each further one.
    pub settle_pause: Duration,
    /// The longest pause between two tries.
    pub settle_pause_max: Duration,
    /// The age above which an attempt no longer sends the call. It must be far below the
    /// retention, because a removed record no longer prevents another attempt from claiming.
    pub claim_validity: Duration,
}

impl Default for OrderOptions {
    fn default() -> Self {
        Self {
            claim_writes: 4,
            // About 8 hours with the pauses below. Few calls are in this state, because new orders
            // are refused while the platform is unreachable.
            settle_tries: 1_000,
            settle_pause: Duration::from_millis(50),
            settle_pause_max: Duration::from_secs(30),
            claim_validity: Duration::from_secs(3_600),
        }
    }
}

/// Events of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderEvent {
    /// The write took effect and gave the record this version.
    Written {
        /// The new version of the object.
        version: u64,
    },
    /// The write was refused because the object has another version.
    Conflict,
    /// The outcome is unknown: the write may have taken effect, or may take effect later.
    WriteUnknown,
    /// The platform was unreachable; the read or write was certainly not executed.
    PlatformDown,
    /// The read requested by [`OrderEffect::ReadRecord`] returned.
    RecordRead {
        /// The record, if it exists.
        record: Option<VersionedRecord>,
        /// What this process knows about the claim in the record.
        local: LocalClaim,
    },
    /// The other call of this process for which the attempt waited has ended.
    ClaimEnded,
    /// The complete answer of the upstream was received.
    UpstreamAnswered(Arc<StoredAnswer>),
    /// The upstream provably did not run the call; the caller gets this kind of error.
    UpstreamNotReached(ErrorKind),
    /// The upstream may have run the call; the caller gets this kind of error.
    UpstreamLost(ErrorKind),
    /// The reply was delivered to the caller, or the caller has disconnected.
    Delivered,
    /// The pause is over.
    PauseEnded,
}

/// Next action of the daemon for an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderEffect {
    /// Writes the record if its version is the expected one; 0 means that it must not exist.
    WriteRecord {
        /// The version that the object must have.
        expected_version: u64,
        /// The record to write.
        record: OrderRecord,
    },
    /// Reads the record and looks up its claim in the claim table of this process.
    ReadRecord,
    /// Sends the call to an upstream, once. The daemon may try again only if the previous try was
    /// provably not run.
    SendUpstream {
        /// The fencing token, which increases with each claim of the same record.
        fence: u64,
    },
    /// Waits until the call of this process with this claim is no longer in progress.
    WaitClaim(ClaimId),
    /// Sends the answer to the caller; the daemon then reports [`OrderEvent::Delivered`].
    Answer(Arc<StoredAnswer>),
    /// Refuses the call; the daemon then reports [`OrderEvent::Delivered`].
    Refuse(ErrorKind),
    /// Waits for this time; the caller already has its reply.
    Pause(Duration),
    /// Ends the attempt.
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CallReply {
    Answer(Arc<StoredAnswer>),
    Refuse(ErrorKind),
}

/// Whether the call of this attempt was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SendState {
    NotSent,
    /// Sent; it may have run.
    Sent,
    /// Provably not run, and never sent from now on.
    NotRun,
}

/// Phase of an attempt, named after what it waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CallPhase {
    /// The write of its own claim.
    Claiming { expected_version: u64 },
    /// The read after that write. `found` tells whether the record is known to exist.
    Reading { found: bool },
    /// The end of another call of this process.
    Waiting,
    /// The answer of the upstream.
    Running { version: u64 },
    /// The write of the final state. `reply` is set until the caller has its reply.
    Storing {
        target: StoreTarget,
        reply: Option<CallReply>,
    },
    /// The read after a conflict of that write.
    StoreReading { target: StoreTarget },
    /// The delivery of the reply.
    Replying { next: PendingWork },
    /// The end of a pause.
    Pausing { next: PendingWork },
    /// The read that determines whether an unresolved claim write took effect.
    ReleaseReading,
    /// Nothing: the attempt has ended.
    Closed,
}

/// Final state to write over the record with this version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoreTarget {
    version: u64,
    state: OrderState,
}

/// Work that remains after the reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingWork {
    Nothing,
    /// Write the final state to the record.
    Store(StoreTarget),
    /// Find out whether an unresolved claim write took effect, and release the claim if it did.
    Release,
}

/// State machine of one attempt at an order, from the claim to the stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderCall {
    options: Arc<OrderOptions>,
    /// The claim of this attempt as it is written.
    record: OrderRecord,
    opened: MonotonicTime,
    phase: CallPhase,
    send_state: SendState,
    claim_writes: u32,
    settle_tries: u32,
    /// The expected version of a claim write that may still take effect.
    unresolved: Option<u64>,
}

impl OrderCall {
    /// Starts an attempt. `claim` must be a new random number for each attempt; `created_s` is the
    /// wall-clock time in seconds since the Unix epoch.
    #[must_use]
    pub fn open(
        options: Arc<OrderOptions>,
        holder: HolderId,
        claim: ClaimId,
        digest: RequestDigest,
        created_s: u64,
        now: MonotonicTime,
    ) -> (Self, OrderEffect) {
        let record = OrderRecord {
            claimant: holder,
            claim,
            digest,
            created_s,
            state: OrderState::Claimed,
        };
        let mut call = Self {
            options,
            record,
            opened: now,
            phase: CallPhase::Closed,
            send_state: SendState::NotSent,
            claim_writes: 0,
            settle_tries: 0,
            unresolved: None,
        };
        let effect = call.write_claim(0);
        (call, effect)
    }

    /// Returns the claim id of this attempt.
    #[must_use]
    pub fn claim(&self) -> ClaimId {
        self.record.claim
    }

    /// Returns what other calls of this process may assume about the claim. A claim whose call was
    /// not run stays `Running` until its reply is delivered: another call could otherwise take the
    /// claim over and run before the caller is told that the order was not run.
    #[must_use]
    pub fn local_claim(&self) -> LocalClaim {
        match (self.send_state, &self.phase) {
            (_, CallPhase::Storing { reply: Some(_), .. } | CallPhase::Replying { .. }) => {
                LocalClaim::Running
            }
            (SendState::NotRun, _) => LocalClaim::NotRun,
            (_, CallPhase::Closed) => LocalClaim::Unknown,
            _ => LocalClaim::Running,
        }
    }

    /// Handles an event and returns the next action. An event that is unexpected in the current
    /// phase, such as a late one, ends the attempt as unknown without sending the call.
    pub fn handle(&mut self, event: OrderEvent, now: MonotonicTime) -> OrderEffect {
        let phase = std::mem::replace(&mut self.phase, CallPhase::Closed);
        match phase {
            CallPhase::Claiming { expected_version } => {
                self.finish_claim(expected_version, event, now)
            }
            CallPhase::Reading { found } => self.finish_read(found, event, now),
            CallPhase::Waiting => match event {
                OrderEvent::ClaimEnded => self.read(true),
                _ => self.refuse(ErrorKind::OrderStateUnknown),
            },
            CallPhase::Running { version } => self.finish_upstream_call(version, event),
            CallPhase::Storing { target, reply } => self.finish_store(target, reply, event),
            CallPhase::StoreReading { target } => self.finish_store_read(target, event),
            CallPhase::Replying { next } => self.start_pending(next),
            CallPhase::Pausing { next } => self.finish_pause(next),
            CallPhase::ReleaseReading => self.finish_release_read(event),
            CallPhase::Closed => OrderEffect::Done,
        }
    }

    /// Writes the claim over the record with this version. Every write has the same value, so it
    /// does not matter which of them takes effect.
    fn write_claim(&mut self, expected_version: u64) -> OrderEffect {
        if self.claim_writes >= self.options.claim_writes {
            return self.refuse(ErrorKind::PlatformUnavailable);
        }
        self.claim_writes += 1;
        self.phase = CallPhase::Claiming { expected_version };
        OrderEffect::WriteRecord {
            expected_version,
            record: self.record.clone(),
        }
    }

    fn finish_claim(
        &mut self,
        expected_version: u64,
        event: OrderEvent,
        now: MonotonicTime,
    ) -> OrderEffect {
        match event {
            OrderEvent::Written { version } => self.run(version, now),
            OrderEvent::Conflict => self.read(true),
            OrderEvent::WriteUnknown => {
                self.unresolved = Some(expected_version);
                self.read(expected_version > 0)
            }
            // A record is known to exist here only if its call was not run, so a refusal that says
            // `not_run` is correct.
            _ => self.refuse(ErrorKind::PlatformUnavailable),
        }
    }

    fn read(&mut self, found: bool) -> OrderEffect {
        self.phase = CallPhase::Reading { found };
        OrderEffect::ReadRecord
    }

    fn finish_read(&mut self, found: bool, event: OrderEvent, now: MonotonicTime) -> OrderEffect {
        match event {
            OrderEvent::RecordRead { record, local } => self.handle_record(record, local, now),
            // The call of an existing record that cannot be read may have run, so the refusal must
            // not say that the order was not run.
            _ if found => self.refuse(ErrorKind::OrderStateUnknown),
            _ => self.refuse(ErrorKind::PlatformUnavailable),
        }
    }

    /// Determines from the record whether this attempt may run the call.
    fn handle_record(
        &mut self,
        found: Option<VersionedRecord>,
        local: LocalClaim,
        now: MonotonicTime,
    ) -> OrderEffect {
        self.resolve(found.as_ref());
        let Some(VersionedRecord { version, record }) = found else {
            return self.write_claim(0);
        };
        if record.claim == self.record.claim {
            return match record.state {
                OrderState::Claimed => self.run(version, now),
                // The protocol never writes another state before the call is sent.
                _ => self.refuse(ErrorKind::OrderStateUnknown),
            };
        }
        if record.digest != self.record.digest {
            return self.refuse(ErrorKind::IdempotencyKeyReused);
        }
        match (record.state, local) {
            (OrderState::Answered(answer), _) => self.reply(CallReply::Answer(Arc::new(answer))),
            (OrderState::FailedBeforeSend, _) | (OrderState::Claimed, LocalClaim::NotRun) => {
                self.write_claim(version)
            }
            (OrderState::Claimed, LocalClaim::Running) => {
                self.phase = CallPhase::Waiting;
                OrderEffect::WaitClaim(record.claim)
            }
            (OrderState::Claimed, LocalClaim::Unknown)
            | (OrderState::AnsweredTooLarge { .. }, _) => self.refuse(ErrorKind::OrderStateUnknown),
        }
    }

    /// Drops an unresolved claim write that can no longer take effect. Versions are never reused,
    /// so the write cannot succeed once the object has a version other than the expected one.
    fn resolve(&mut self, found: Option<&VersionedRecord>) {
        let version = found.map_or(0, |found| found.version);
        if self.unresolved.is_some_and(|expected| expected != version) {
            self.unresolved = None;
        }
    }

    /// Sends the call under the claim of this attempt, unless the claim is too old because the
    /// process was paused.
    fn run(&mut self, version: u64, now: MonotonicTime) -> OrderEffect {
        self.unresolved = None;
        if now.since(self.opened) > self.options.claim_validity {
            return self.fail_before_send(version, ErrorKind::DeadlineExceeded);
        }
        self.send_state = SendState::Sent;
        self.phase = CallPhase::Running { version };
        OrderEffect::SendUpstream { fence: version }
    }

    fn finish_upstream_call(&mut self, version: u64, event: OrderEvent) -> OrderEffect {
        match event {
            OrderEvent::UpstreamAnswered(answer) => {
                let state = match answer.fits() {
                    true => OrderState::Answered(StoredAnswer::clone(&answer)),
                    false => OrderState::AnsweredTooLarge {
                        status: answer.status,
                    },
                };
                self.store(
                    StoreTarget { version, state },
                    Some(CallReply::Answer(answer)),
                )
            }
            OrderEvent::UpstreamNotReached(kind) if kind.answer().run == RunState::NotRun => {
                self.fail_before_send(version, kind)
            }
            OrderEvent::UpstreamLost(kind) if kind.answer().run == RunState::Unknown => {
                self.refuse(kind)
            }
            _ => self.refuse(ErrorKind::UpstreamLost),
        }
    }

    fn fail_before_send(&mut self, version: u64, kind: ErrorKind) -> OrderEffect {
        self.send_state = SendState::NotRun;
        let state = OrderState::FailedBeforeSend;
        self.store(
            StoreTarget { version, state },
            Some(CallReply::Refuse(kind)),
        )
    }

    /// Writes the final state under the claim of this attempt.
    fn store(&mut self, target: StoreTarget, reply: Option<CallReply>) -> OrderEffect {
        let record = OrderRecord {
            state: target.state.clone(),
            ..self.record.clone()
        };
        let expected_version = target.version;
        self.phase = CallPhase::Storing { target, reply };
        OrderEffect::WriteRecord {
            expected_version,
            record,
        }
    }

    /// Replies after the first try to store the final state, whatever its outcome, so that an
    /// outage of the platform does not delay an available answer.
    fn finish_store(
        &mut self,
        target: StoreTarget,
        reply: Option<CallReply>,
        event: OrderEvent,
    ) -> OrderEffect {
        let written = matches!(event, OrderEvent::Written { .. });
        match reply {
            Some(reply) => {
                let next = match written {
                    true => PendingWork::Nothing,
                    false => PendingWork::Store(target),
                };
                self.reply_then(reply, next)
            }
            None if written => OrderEffect::Done,
            None if event == OrderEvent::Conflict => {
                self.phase = CallPhase::StoreReading { target };
                OrderEffect::ReadRecord
            }
            None => self.pause(PendingWork::Store(target)),
        }
    }

    /// Determines after a conflict whether an earlier try took effect.
    fn finish_store_read(&mut self, target: StoreTarget, event: OrderEvent) -> OrderEffect {
        match event {
            OrderEvent::RecordRead {
                record: Some(found),
                ..
            } if found.record.claim == self.record.claim
                && found.record.state == OrderState::Claimed =>
            {
                self.pause(PendingWork::Store(target))
            }
            // The final state is stored, or the record now belongs to another claim.
            OrderEvent::RecordRead { .. } => OrderEffect::Done,
            _ => self.pause(PendingWork::Store(target)),
        }
    }

    /// Refuses the attempt. A claim whose write may still take effect is released afterwards,
    /// because no attempt would run its call.
    fn refuse(&mut self, kind: ErrorKind) -> OrderEffect {
        self.reply(CallReply::Refuse(kind))
    }

    fn reply(&mut self, reply: CallReply) -> OrderEffect {
        let next = match self.unresolved {
            Some(_) => PendingWork::Release,
            None => PendingWork::Nothing,
        };
        self.reply_then(reply, next)
    }

    fn reply_then(&mut self, reply: CallReply, next: PendingWork) -> OrderEffect {
        if self.send_state == SendState::NotSent {
            self.send_state = SendState::NotRun;
        }
        self.phase = CallPhase::Replying { next };
        match reply {
            CallReply::Answer(answer) => OrderEffect::Answer(answer),
            CallReply::Refuse(kind) => OrderEffect::Refuse(kind),
        }
    }

    fn start_pending(&mut self, next: PendingWork) -> OrderEffect {
        match next {
            PendingWork::Nothing => OrderEffect::Done,
            next => self.pause(next),
        }
    }

    fn pause(&mut self, next: PendingWork) -> OrderEffect {
        if self.settle_tries >= self.options.settle_tries {
            return OrderEffect::Done;
        }
        let factor = 1_u32.checked_shl(self.settle_tries).unwrap_or(u32::MAX);
        let pause = self.options.settle_pause.saturating_mul(factor);
        self.settle_tries += 1;
        self.phase = CallPhase::Pausing { next };
        OrderEffect::Pause(pause.min(self.options.settle_pause_max))
    }

    fn finish_pause(&mut self, next: PendingWork) -> OrderEffect {
        match next {
            PendingWork::Store(target) => self.store(target, None),
            PendingWork::Release => {
                self.phase = CallPhase::ReleaseReading;
                OrderEffect::ReadRecord
            }
            PendingWork::Nothing => OrderEffect::Done,
        }
    }

    fn finish_release_read(&mut self, event: OrderEvent) -> OrderEffect {
        let OrderEvent::RecordRead { record, .. } = event else {
            return self.pause(PendingWork::Release);
        };
        match record {
            Some(found) if found.record.claim == self.record.claim => {
                self.unresolved = None;
                let state = OrderState::FailedBeforeSend;
                let version = found.version;
                self.store(StoreTarget { version, state }, None)
            }
            found => {
                self.resolve(found.as_ref());
                match self.unresolved {
                    Some(_) => self.pause(PendingWork::Release),
                    None => OrderEffect::Done,
                }
            }
        }
    }
}
