//! Selection of the records that are piggybacked on a ping or an ack.

use rand::{Rng, seq::IteratorRandom};

use crate::{
    base::InstanceName,
    membership::{MemberRecord, MemberState, MemberTable, PingBody},
};

/// Encoded size of a ping or an ack without its records, in bytes: the envelope with two holders,
/// the nonce, the version and the load.
const PING_BASE_BYTES: usize = 90;

impl MemberTable {
    pub(super) fn ping_body<R: Rng>(
        &mut self,
        nonce: u64,
        receiver: Option<&MemberRecord>,
        rng: &mut R,
    ) -> PingBody {
        PingBody {
            nonce,
            sender: self.local.clone(),
            config_version: self.config_version,
            load_permille: self.load_permille,
            updates: self.choose_updates(receiver, rng),
        }
    }

    /// Selects the known record of the receiver if it differs from `receiver` or is not alive, so
    /// that the receiver can refute it, then queued updates, then random members.
    fn choose_updates<R: Rng>(
        &mut self,
        receiver: Option<&MemberRecord>,
        rng: &mut R,
    ) -> Vec<MemberRecord> {
        let count = self.options.max_updates;
        let mut names: Vec<InstanceName> = Vec::with_capacity(count);
        let known = receiver.and_then(|record| self.members.get(&record.holder.instance));
        if let (Some(member), Some(record)) = (known, receiver)
            && (member.record != *record || member.record.state != MemberState::Alive)
        {
            names.push(record.holder.instance.clone());
        }
        let remaining = count - names.len();
        names.extend(self.gossip.take(remaining, self.members.len() + 1));
        let settled =
            known.filter(|member| self.now.since(member.since) >= self.options.settle_time);
        if settled.is_some() {
            // One random record, in case the receiver missed its gossip.
            let index = rng.random_range(0..self.members.len());
            names.extend(self.members.keys().nth(index).cloned());
        } else {
            self.add_random_names(receiver, &mut names, rng);
        }
        self.limit_records(&names)
    }

    /// Adds random members for a receiver that may be new, half of them from its domain.
    fn add_random_names<R: Rng>(
        &self,
        receiver: Option<&MemberRecord>,
        names: &mut Vec<InstanceName>,
        rng: &mut R,
    ) {
        let fill = self.options.max_updates;
        let domain = receiver.map_or(&self.local.domain, |record| &record.domain);
        let records = || self.members.values().map(|member| &member.record);
        let same_domain = records().filter(|record| record.domain == *domain);
        let same_domain = same_domain.choose_multiple(rng, fill / 2);
        let all = records().choose_multiple(rng, fill / 2);
        let chosen = same_domain.into_iter().chain(all);
        names.extend(chosen.map(|record| record.holder.instance.clone()));
    }

    pub(super) fn allocate_nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        self.next_nonce
    }

    /// Returns the records of the first `names` that fit into a message, without duplicates.
    fn limit_records(&self, names: &[InstanceName]) -> Vec<MemberRecord> {
        let mut records: Vec<MemberRecord> = Vec::with_capacity(self.options.max_updates);
        let mut bytes = PING_BASE_BYTES + self.local.encoded_bytes();
        for name in names {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            bytes += member.record.encoded_bytes();
            if records.len() == self.options.max_updates || bytes > self.options.max_bytes {
                break;
            }
            if !records.iter().any(|record| record.holder.instance == *name) {
                records.push(member.record.clone());
            }
        }
        records
    }
}
