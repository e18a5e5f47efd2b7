//! Full-state synchronization of member tables, so that an instance learns of the whole fleet soon
//! after it starts.

use std::time::Duration;

use rand::{Rng, seq::IteratorRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    base::MonotonicTime,
    membership::{MemberEffect, MemberMessage, MemberRecord, MemberTable, table::send_to},
};

/// Encoded size of a table chunk without its records, in bytes: the envelope with two holders.
const CHUNK_BASE_BYTES: usize = 70;

impl MemberTable {
    pub(super) fn sync_delay(&self, now: MonotonicTime) -> Duration {
        match now.since(self.started) < self.options.join_time {
            true => self.options.join_interval,
            false => self.options.sync_interval,
        }
    }

    /// Requests the table of a random live member, or of every seed if no live member is known.
    pub(super) fn request_sync<R: Rng>(&self, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        let message = MemberMessage::TableRequest {
            sender: self.local.clone(),
            digest: self.digest(),
        };
        let others = self.members.values().map(|member| &member.record);
        let live = others.filter(|record| record.state.is_live());
        if let Some(record) = live.choose(rng) {
            effects.push(send_to(record, message));
            return;
        }
        let seeds = self.seeds.iter();
        for address in seeds.filter(|address| **address != self.local.address) {
            effects.push(MemberEffect::Send {
                address: address.clone(),
                to: None,
                message: message.clone(),
            });
        }
    }

    /// Sends all live members in chunks, unless the digest shows that `receiver` knows the same
    /// ones.
    pub(super) fn reply_sync(
        &mut self,
        receiver: &MemberRecord,
        digest: u64,
        now: MonotonicTime,
        effects: &mut Vec<MemberEffect>,
    ) {
        let is_recent = |at: MonotonicTime| now.since(at) < self.options.min_sync_reply_interval;
        if self.synced_at.is_some_and(is_recent) || digest == self.digest() {
            return;
        }
        self.synced_at = Some(now);
        let mut chunk = Vec::new();
        let mut bytes = CHUNK_BASE_BYTES;
        let records = self.live_records();
        for record in records.filter(|record| record.holder != receiver.holder) {
            if bytes + record.encoded_bytes() > self.options.max_bytes {
                let records = std::mem::take(&mut chunk);
                effects.push(send_to(receiver, MemberMessage::TableChunk { records }));
                bytes = CHUNK_BASE_BYTES;
            }
            bytes += record.encoded_bytes();
            chunk.push(record.clone());
        }
        if !chunk.is_empty() {
            effects.push(send_to(
                receiver,
                MemberMessage::TableChunk { records: chunk },
            ));
        }
    }

    /// Returns an order-independent digest of the live members.
    fn digest(&self) -> u64 {
        let hash = |record: &MemberRecord| {
            xxh3_64_with_seed(record.holder.instance.as_bytes(), record.holder.epoch)
        };
        self.live_records()
            .map(hash)
            .fold(0, |sum, hash| sum ^ hash)
    }
}
