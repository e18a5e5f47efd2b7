//! Membership actor: failure detection and the list of live routers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cornelarch_core::{
    base::{HolderId, InstanceName},
    budget::{DomainPeer, LedgerEvent},
    config::ConfigEvent,
    membership::{MemberEffect, MemberEvent, MemberOptions, MemberRecord, MemberTable, MemberView},
};
use cornelarch_wire::peer::WireBody;
use kameo::{
    Actor,
    actor::ActorRef,
    message::{Context, Message},
};
use rand::{SeedableRng, rngs::StdRng};

use crate::process::{ConfigActor, LedgerActor, RouterState, log_event};

/// Tick period of the member table.
pub(crate) const MEMBER_TICK: Duration = Duration::from_millis(100);

/// Immutable snapshot of the fleet for the request path and the actors.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    /// Live members of all domains, including this instance unless it is leaving.
    pub(crate) live: Vec<MemberRecord>,
    /// All known members except this instance, in any state.
    pub(crate) members: Vec<MemberView>,
}

impl FleetView {
    /// Returns the peer address of a process. If the instance has restarted since, this is the
    /// address of its current process.
    pub(crate) fn address(&self, holder: &HolderId) -> Option<SocketAddr> {
        let members = self.members.iter().map(|member| &member.record);
        let record = members
            .clone()
            .find(|record| record.holder == *holder)
            // The current process drops a message to an earlier one, and the sender has to learn
            // that the earlier one is gone.
            .or_else(|| {
                members
                    .clone()
                    .find(|record| record.holder.instance == holder.instance)
            })?;
        record.address.parse().ok()
    }
}

/// Message that makes the member actor send the live routers to the ledger and the configuration.
pub(crate) struct PublishFleet;

/// Feeds events to the [`MemberTable`] and executes the effects that it returns.
#[derive(Actor)]
pub(crate) struct MemberActor {
    state: Arc<RouterState>,
    table: MemberTable,
    generator: StdRng,
    ledger: ActorRef<LedgerActor>,
    config: ActorRef<ConfigActor>,
}

impl MemberActor {
    /// Creates the actor of a router that peers reach at `address`.
    pub(crate) fn new(
        state: Arc<RouterState>,
        address: SocketAddr,
        ledger: ActorRef<LedgerActor>,
        config: ActorRef<ConfigActor>,
    ) -> Self {
        let seeds = state.settings.seeds.iter().map(SocketAddr::to_string);
        let table = MemberTable::new(
            state.holder.clone(),
            state.settings.domain.clone(),
            address.to_string(),
            seeds.collect(),
            MemberOptions::default(),
        );
        Self {
            state,
            table,
            generator: StdRng::from_os_rng(),
            ledger,
            config,
        }
    }

    async fn apply(&mut self, event: MemberEvent) {
        let now = self.state.clock.now();
        let is_tick = event == MemberEvent::Tick;
        let effects = self.table.handle(event, now, &mut self.generator);
        if !is_tick || !effects.is_empty() {
            self.publish();
        }
        for effect in effects {
            self.run_effect(effect).await;
        }
    }

    fn publish(&self) {
        self.state.fleet.store(Arc::new(FleetView {
            live: self.table.live_records().cloned().collect(),
            members: self.table.members().cloned().collect(),
        }));
    }

    async fn run_effect(&mut self, effect: MemberEffect) {
        match effect {
            MemberEffect::Send {
                address,
                to,
                message,
            } => {
                if let Ok(address) = address.parse() {
                    let body = WireBody::from(&message);
                    self.state.links.send(address, to.as_ref(), body);
                }
            }
            MemberEffect::MembersChanged { domain } => self.publish_members(domain).await,
            MemberEffect::StateChanged {
                holder,
                domain,
                state,
            } => log_event!(MemberChanged, "{holder} in domain {domain} is {state:?}"),
            MemberEffect::PeerVersion { peer, version } => {
                // Sending fails only after the router has been closed.
                let _ = self
                    .config
                    .tell(ConfigEvent::PeerVersion { peer, version })
                    .await;
            }
        }
    }

    async fn publish_members(&mut self, domain: Vec<InstanceName>) {
        let live: Vec<DomainPeer> = self
            .table
            .live_records()
            .map(|record| DomainPeer {
                holder: record.holder.clone(),
                domain: record.domain.clone(),
            })
            .collect();
        self.state.dispatcher.set_routers(live.len());
        let instance = self.state.holder.instance.clone();
        self.state.dispatcher.set_members(instance, domain.clone());
        self.state.update_order_share();
        let _ = self.ledger.tell(LedgerEvent::PeersChanged(live)).await;
        let _ = self.config.tell(ConfigEvent::MembersChanged(domain)).await;
    }
}

impl Message<MemberEvent> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, event: MemberEvent, _: &mut Context<Self, ()>) {
        self.apply(event).await;
    }
}

impl Message<PublishFleet> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, _: PublishFleet, _: &mut Context<Self, ()>) {
        let domain = self.table.live_members(&self.state.settings.domain);
        let domain = domain
            .map(|record| record.holder.instance.clone())
            .collect();
        self.publish_members(domain).await;
    }
}
