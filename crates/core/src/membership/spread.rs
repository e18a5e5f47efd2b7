//! Records that wait to be told to other members.

use std::collections::BTreeMap;

use crate::base::InstanceName;

/// Times that a record is sent per doubling of the fleet, the usual factor for gossip with
/// occasional message loss.
const SENDS_PER_DOUBLING: u32 = 4;

/// Holds the names of members with news, and how often each was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct SpreadQueue {
    sent: BTreeMap<InstanceName, u32>,
}

impl SpreadQueue {
    /// Adds news about a member, which starts anew if older news wait.
    pub(super) fn push(&mut self, instance: InstanceName) {
        self.sent.insert(instance, 0);
    }

    /// Chooses the news for one message, least sent first, and counts them as sent.
    pub(super) fn take(&mut self, count: usize, fleet_size: usize) -> Vec<InstanceName> {
        let limit = SENDS_PER_DOUBLING * (usize::BITS - fleet_size.leading_zeros()).max(1);
        let mut waiting: Vec<(u32, InstanceName)> = self
            .sent
            .iter()
            .map(|(instance, sent)| (*sent, instance.clone()))
            .collect();
        waiting.sort();
        waiting.truncate(count);
        for (sent, instance) in &waiting {
            if sent + 1 >= limit {
                self.sent.remove(instance);
            } else {
                self.sent.insert(instance.clone(), sent + 1);
            }
        }
        waiting.into_iter().map(|(_, instance)| instance).collect()
    }
}
