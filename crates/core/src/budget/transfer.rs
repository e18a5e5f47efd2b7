//! Exactly-once transfer of tokens between holders.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    base::{BudgetName, HolderId, MonotonicTime, TokenCount},
    budget::{BudgetMessage, TransferSnapshot},
};

/// A transfer that its receiver has not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OpenTransfer {
    budget: BudgetName,
    amount: TokenCount,
    spent: TokenCount,
    resend_at: MonotonicTime,
    resend_delay: Duration,
}

impl OpenTransfer {
    fn to_message(&self, sequence: u64) -> BudgetMessage {
        BudgetMessage::Transfer {
            sequence,
            budget: self.budget.clone(),
            amount: self.amount,
            spent: self.spent,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Outbox {
    last_sequence: u64,
    open: BTreeMap<u64, OpenTransfer>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Inbox {
    /// All sequences up to and including this one were applied.
    applied_up_to: u64,
    /// The applied sequences above `applied_up_to`.
    applied: BTreeSet<u64>,
}

/// Tracks the transfers to and from every other holder.
///
/// The sender never reclaims the tokens of an open transfer, because the receiver may have applied
/// it although its acknowledgement was lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TransferTable {
    outboxes: BTreeMap<HolderId, Outbox>,
    inboxes: BTreeMap<HolderId, Inbox>,
}

impl TransferTable {
    /// Opens a transfer and returns its message.
    pub fn open(
        &mut self,
        to: &HolderId,
        budget: BudgetName,
        amount: TokenCount,
        spent: TokenCount,
        resend_at: MonotonicTime,
        resend_delay: Duration,
    ) -> BudgetMessage {
        let outbox = self.outboxes.entry(to.clone()).or_default();
        outbox.last_sequence += 1;
        let transfer = OpenTransfer {
            budget,
            amount,
            spent,
            resend_at,
            resend_delay,
        };
        let message = transfer.to_message(outbox.last_sequence);
        outbox.open.insert(outbox.last_sequence, transfer);
        message
    }

    /// Removes an acknowledged transfer.
    pub fn acknowledge(&mut self, from: &HolderId, sequence: u64) {
        if let Some(outbox) = self.outboxes.get_mut(from) {
            outbox.open.remove(&sequence);
        }
    }

    /// Records the arrival of a transfer. Returns whether to apply it, which is false for
    /// duplicates.
    #[must_use]
    pub fn accept(&mut self, from: &HolderId, sequence: u64) -> bool {
        let inbox = self.inboxes.entry(from.clone()).or_default();
        if sequence <= inbox.applied_up_to || !inbox.applied.insert(sequence) {
            return false;
        }
        while inbox.applied.remove(&(inbox.applied_up_to + 1)) {
            inbox.applied_up_to += 1;
        }
        true
    }

    /// Returns the messages of the transfers that are due for a resend, and doubles their delay up
    /// to `max_delay`.
    pub fn due(
        &mut self,
        now: MonotonicTime,
        max_delay: Duration,
    ) -> Vec<(HolderId, BudgetMessage)> {
        let mut messages = Vec::new();
        for (to, outbox) in &mut self.outboxes {
            for (sequence, transfer) in &mut outbox.open {
                if transfer.resend_at > now {
                    continue;
                }
                transfer.resend_delay = (transfer.resend_delay * 2).min(max_delay);
                transfer.resend_at = now + transfer.resend_delay;
                messages.push((to.clone(), transfer.to_message(*sequence)));
            }
        }
        messages
    }

    /// Returns snapshots of all transfers that are not acknowledged.
    pub fn open_transfers(&self) -> impl Iterator<Item = TransferSnapshot> {
        self.outboxes.iter().flat_map(|(to, outbox)| {
            outbox.open.values().map(|transfer| TransferSnapshot {
                to: to.clone(),
                budget: transfer.budget.clone(),
                amount: transfer.amount,
                spent: transfer.spent,
            })
        })
    }

    /// Returns whether all transfers are acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.outboxes.values().all(|outbox| outbox.open.is_empty())
    }
}
