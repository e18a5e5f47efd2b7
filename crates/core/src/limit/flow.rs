//! Per-customer flow of an admission queue.

use std::collections::VecDeque;

use crate::limit::{Priority, TicketKey};

/// Waiting requests of one customer, by priority and in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerFlow {
    queues: [VecDeque<TicketKey>; Priority::COUNT],
    /// Virtual start time of the next request.
    pub(super) start: u64,
    /// Weight of the customer relative to others.
    pub(super) weight: f64,
    /// Total cost of the waiting requests, in tokens.
    pub(super) cost: u64,
}

impl CustomerFlow {
    pub(super) fn push(&mut self, priority: Priority, key: TicketKey, cost: u64) {
        self.queues[priority.index()].push_back(key);
        self.cost += cost;
    }

    /// Returns the request to admit next.
    pub(super) fn first(&self) -> Option<TicketKey> {
        self.queues.iter().find_map(|queue| queue.front().copied())
    }

    /// Returns the request to evict first.
    pub(super) fn last(&self) -> Option<TicketKey> {
        let mut queues = self.queues.iter().rev();
        queues.find_map(|queue| queue.back().copied())
    }

    pub(super) fn remove(&mut self, priority: Priority, key: TicketKey, cost: u64) {
        let queue = &mut self.queues[priority.index()];
        if queue.front() == Some(&key) {
            queue.pop_front();
        } else if queue.back() == Some(&key) {
            queue.pop_back();
        } else if let Some(index) = queue.iter().position(|other| *other == key) {
            queue.remove(index);
        }
        self.cost = self.cost.saturating_sub(cost);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Returns the backlog divided by the weight of the customer, in tokens.
    pub(super) fn weighted_cost(&self) -> f64 {
        self.cost as f64 / self.weight
    }
}
