//! Exactly-once transfer of tokens between two holders.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    base::{BudgetName, HolderId, MonotonicTime, TokenCount},
    budget::{BudgetMessage, TransferSnapshot},
};

/// Holds a transfer that its receiver has not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OpenTransfer {
    budget: BudgetName,
    amount: TokenCount,
    spent: TokenCount,
    resend_at: MonotonicTime,
    delay: Duration,
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
    /// Every sequence up to this one was applied.
    applied_to: u64,
    /// The applied sequences above `applied_to`.
    applied: BTreeSet<u64>,
}

/// Tracks the transfers to and from every other holder.
///
/// The tokens of an open transfer belong to nobody else: the sender never takes them back, because
/// the receiver may have applied the transfer although its acknowledgement is missing.
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
        delay: Duration,
    ) -> BudgetMessage {
        let outbox = self.outboxes.entry(to.clone()).or_default();
        outbox.last_sequence += 1;
        let transfer = OpenTransfer {
            budget,
            amount,
            spent,
            resend_at,
            delay,
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

    /// Records that a transfer arrived. Returns whether it is to be applied.
    #[must_use]
    pub fn accept(&mut self, from: &HolderId, sequence: u64) -> bool {
        let inbox = self.inboxes.entry(from.clone()).or_default();
        if sequence <= inbox.applied_to || !inbox.applied.insert(sequence) {
            return false;
        }
        while inbox.applied.remove(&(inbox.applied_to + 1)) {
            inbox.applied_to += 1;
        }
        true
    }

    /// Returns the messages of the transfers that are due, and doubles their delay up to `longest`.
    pub fn due(&mut self, now: MonotonicTime, longest: Duration) -> Vec<(HolderId, BudgetMessage)> {
        let mut messages = Vec::new();
        for (to, outbox) in &mut self.outboxes {
            for (sequence, transfer) in &mut outbox.open {
                if transfer.resend_at > now {
                    continue;
                }
                transfer.delay = (transfer.delay * 2).min(longest);
                transfer.resend_at = now + transfer.delay;
                messages.push((to.clone(), transfer.to_message(*sequence)));
            }
        }
        messages
    }

    /// Describes every transfer that was not acknowledged.
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

    /// Returns whether every transfer was acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.outboxes.values().all(|outbox| outbox.open.is_empty())
    }
}
