//! Faults, restarts, top-ups and peer changes of the simulated fleet.

use cornelarch_core::budget::{DomainPeer, LedgerEvent};
use rand::seq::IndexedRandom;

use super::{
    super::instance::{budget_name, domain_name},
    Event, Fleet, SECOND,
};

impl Fleet {
    pub(super) fn top_up(&mut self) {
        for budget in 0..self.settings.budgets {
            let amount = self.settings.paid(budget) / 5;
            self.platform.top_up(&budget_name(budget), amount, "top-up");
        }
    }

    fn pick_live(&mut self) -> Option<usize> {
        let live = self.instances.iter().enumerate();
        let live: Vec<usize> = live
            .filter(|(_, instance)| instance.is_live && !instance.is_draining)
            .map(|(index, _)| index)
            .collect();
        live.choose(&mut self.rng).copied()
    }

    /// Crashes a random instance and starts a new process in its place. Requests in progress are
    /// lost and their cost is never billed.
    pub(super) fn crash(&mut self) {
        let Some(index) = self.pick_live() else {
            return;
        };
        self.row.crashes += 1;
        let snapshot = self.instances[index].ledger.snapshot();
        for account in snapshot.accounts {
            let budget = (0..self.settings.budgets)
                .find(|budget| budget_name(*budget) == account.budget)
                .expect("ledgers hold only budgets of the scenario");
            let unspent = account.balance.get() + account.reserved.get() + account.returning.get();
            self.lost[budget] += unspent;
            self.reserved[budget] -= account.reserved.get();
            self.row.lost_unspent += unspent;
            self.row.lost_unreported += account.unreported.get();
        }
        self.instances[index] = self.new_instance(index);
        self.schedule(self.now + SECOND, Event::UpdatePeers);
    }

    pub(super) fn restart(&mut self) {
        if let Some(index) = self.pick_live() {
            self.instances[index].is_draining = true;
            self.update_peers();
            // The daemon refuses waiting requests because it is draining, so they do not count as
            // budget refusals.
            self.instances[index].waiting.clear();
            self.apply_event(index, LedgerEvent::DrainStarted);
        }
    }

    /// Updates the peers of every instance to those it can reach.
    pub(super) fn update_peers(&mut self) {
        self.is_partition_detected = self.is_partitioned;
        let live: Vec<(usize, DomainPeer)> = self
            .instances
            .iter()
            .filter(|instance| instance.is_live && !instance.is_draining)
            .map(|instance| {
                let holder = instance.ledger.holder().clone();
                (
                    instance.domain,
                    DomainPeer {
                        holder,
                        domain: domain_name(instance.domain),
                    },
                )
            })
            .collect();
        for index in 0..self.instances.len() {
            let own = self.instances[index].domain;
            let is_visible =
                |domain: usize| !self.is_partition_detected || (own == 0) == (domain == 0);
            let peers = live.iter().filter(|(domain, _)| is_visible(*domain));
            let peers = peers.map(|(_, peer)| peer.clone()).collect();
            self.apply_event(index, LedgerEvent::PeersChanged(peers));
        }
    }
}
