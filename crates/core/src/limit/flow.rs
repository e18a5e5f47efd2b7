//! Waiting requests of one customer.

use std::collections::VecDeque;

use crate::limit::{Priority, TicketKey};

/// Holds the waiting requests of one customer, by priority and in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerFlow {
    lanes: [VecDeque<TicketKey>; Priority::COUNT],
    /// Virtual start of the next request.
    pub(super) start: u64,
    /// Share of the customer relative to others.
    pub(super) weight: f64,
    /// Sum of the costs of the waiting requests, in tokens.
    pub(super) cost: u64,
}

impl CustomerFlow {
    pub(super) fn push(&mut self, priority: Priority, key: TicketKey, cost: u64) {
        self.lanes[priority.index()].push_back(key);
        self.cost += cost;
    }

    /// Returns the request that runs next.
    pub(super) fn first(&self) -> Option<TicketKey> {
        self.lanes.iter().find_map(|lane| lane.front().copied())
    }

    /// Returns the request that is given up first.
    pub(super) fn last(&self) -> Option<TicketKey> {
        let mut lanes = self.lanes.iter().rev();
        lanes.find_map(|lane| lane.back().copied())
    }

    pub(super) fn remove(&mut self, priority: Priority, key: TicketKey, cost: u64) {
        let lane = &mut self.lanes[priority.index()];
        if lane.front() == Some(&key) {
            lane.pop_front();
        } else if lane.back() == Some(&key) {
            lane.pop_back();
        } else if let Some(index) = lane.iter().position(|other| *other == key) {
            lane.remove(index);
        }
        self.cost = self.cost.saturating_sub(cost);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Returns the backlog relative to the share of the customer, in tokens.
    pub(super) fn weighted_cost(&self) -> f64 {
        self.cost as f64 / self.weight
    }
}
