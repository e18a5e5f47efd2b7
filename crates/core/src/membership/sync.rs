//! Exchange of whole member tables, so that an instance knows the fleet soon after its start.

use std::time::Duration;

use rand::{Rng, seq::IteratorRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    base::MonotonicTime,
    membership::{MemberEffect, MemberMessage, MemberRecord, MemberTable, table::send},
};

/// Size of a part of a table without its records, in bytes: the envelope with two holders.
const CHUNK_BYTES: usize = 70;

impl MemberTable {
    pub(super) fn sync_wait(&self, now: MonotonicTime) -> Duration {
        match now.since(self.started) < self.options.join_time {
            true => self.options.join_interval,
            false => self.options.sync_interval,
        }
    }

    /// Asks a live member for its table; an instance that knows none asks the seeds.
    pub(super) fn ask_sync<R: Rng>(&self, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        let message = MemberMessage::TableRequest {
            sender: self.own.clone(),
            digest: self.digest(),
        };
        let others = self.members.values().map(|member| &member.record);
        let live = others.filter(|record| record.state.is_live());
        if let Some(record) = live.choose(rng) {
            effects.push(send(record, message));
            return;
        }
        let seeds = self.seeds.iter();
        for address in seeds.filter(|address| **address != self.own.address) {
            effects.push(MemberEffect::Send {
                address: address.clone(),
                to: None,
                message: message.clone(),
            });
        }
    }

    /// Sends all live members in parts, unless the asking member knows the same ones.
    pub(super) fn answer_sync(
        &mut self,
        receiver: &MemberRecord,
        digest: u64,
        now: MonotonicTime,
        effects: &mut Vec<MemberEffect>,
    ) {
        let is_recent = |at: MonotonicTime| now.since(at) < self.options.sync_gap;
        if self.synced_at.is_some_and(is_recent) || digest == self.digest() {
            return;
        }
        self.synced_at = Some(now);
        let mut part = Vec::new();
        let mut bytes = CHUNK_BYTES;
        let records = self.live_records();
        for record in records.filter(|record| record.holder != receiver.holder) {
            if bytes + record.encoded_bytes() > self.options.max_bytes {
                let records = std::mem::take(&mut part);
                effects.push(send(receiver, MemberMessage::TableChunk { records }));
                bytes = CHUNK_BYTES;
            }
            bytes += record.encoded_bytes();
            part.push(record.clone());
        }
        if !part.is_empty() {
            effects.push(send(receiver, MemberMessage::TableChunk { records: part }));
        }
    }

    /// Returns a digest of the live members, equal for instances that know the same ones.
    fn digest(&self) -> u64 {
        let hash = |record: &MemberRecord| {
            xxh3_64_with_seed(record.holder.instance.as_bytes(), record.holder.epoch)
        };
        self.live_records()
            .map(hash)
            .fold(0, |sum, hash| sum ^ hash)
    }
}
