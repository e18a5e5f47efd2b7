//! Member table with SWIM failure detection.

use std::collections::{BTreeMap, VecDeque};

use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};
use serde::Serialize;

use crate::{
    base::{DomainName, HolderId, InstanceName, MonotonicTime},
    membership::{
        InstanceHint, MemberEffect, MemberEvent, MemberMessage, MemberOptions, MemberRecord,
        MemberState, PingBody, choose_owner,
        gossip::GossipQueue,
        probe::{MemberProbe, ProbeRound, RelayProbe},
    },
};

/// Local view of one member, for routing and the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The record that overrides all others received about the member.
    pub record: MemberRecord,
    /// When the state last changed, on the clock of this process.
    pub since: MonotonicTime,
    /// The configuration version that the member last reported.
    pub config_version: u64,
    /// The load that the member last reported, in thousandths of its capacity.
    pub load_permille: u32,
    /// The number of direct pings since the member became suspect.
    #[serde(skip)]
    pub(super) direct_pings: u32,
}

/// Members of the fleet as seen by this instance.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(super) options: MemberOptions,
    pub(super) local: MemberRecord,
    pub(super) config_version: u64,
    pub(super) load_permille: u32,
    pub(super) members: BTreeMap<InstanceName, MemberView>,
    pub(super) seeds: Vec<String>,
    pub(super) contacts: VecDeque<InstanceHint>,
    pub(super) domain_round: ProbeRound,
    pub(super) remote_round: ProbeRound,
    pub(super) probes: Vec<MemberProbe>,
    pub(super) relays: Vec<RelayProbe>,
    pub(super) gossip: GossipQueue,
    /// The number of notices of the active configuration version that are still to be sent.
    pub(super) notices_left: usize,
    pub(super) next_nonce: u64,
    pub(super) next_domain: MonotonicTime,
    pub(super) next_remote: MonotonicTime,
    pub(super) next_contact: MonotonicTime,
    pub(super) next_expire: MonotonicTime,
    pub(super) next_sync: MonotonicTime,
    pub(super) synced_at: Option<MonotonicTime>,
    pub(super) now: MonotonicTime,
    pub(super) started: MonotonicTime,
    pub(super) live: Vec<HolderId>,
    pub(super) live_changed: bool,
}

impl MemberTable {
    /// Creates the table of the instance `holder`, which initially knows only the addresses in
    /// `seeds`.
    #[must_use]
    pub fn new(
        holder: HolderId,
        domain: DomainName,
        address: String,
        seeds: Vec<String>,
        options: MemberOptions,
    ) -> Self {
        let local = MemberRecord {
            holder,
            domain,
            address,
            incarnation: 1,
            state: MemberState::Alive,
        };
        Self {
            options,
            local,
            config_version: 0,
            load_permille: 0,
            members: BTreeMap::new(),
            contacts: VecDeque::new(),
            seeds,
            domain_round: ProbeRound::default(),
            remote_round: ProbeRound::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            gossip: GossipQueue::default(),
            notices_left: 0,
            next_nonce: 0,
            next_domain: MonotonicTime::START,
            next_remote: MonotonicTime::START,
            next_contact: MonotonicTime::START,
            next_expire: MonotonicTime::START,
            next_sync: MonotonicTime::START,
            synced_at: None,
            now: MonotonicTime::START,
            started: MonotonicTime::START,
            live: Vec::new(),
            live_changed: true,
        }
    }

    /// Returns the record of this instance.
    #[must_use]
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Iterates over all known members except this instance, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.members.values()
    }

    /// Returns what is known about an instance.
    #[must_use]
    pub fn member(&self, instance: &InstanceName) -> Option<&MemberView> {
        self.members.get(instance)
    }

    /// Iterates over the live members of a domain, including this instance unless it is leaving.
    pub fn live_members<'a>(
        &'a self,
        domain: &'a DomainName,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        self.live_records()
            .filter(move |record| record.domain == *domain)
    }

    /// Iterates over the live members of all domains, including this instance unless it is
    /// leaving.
    pub fn live_records(&self) -> impl Iterator<Item = &MemberRecord> {
        let members = self.members.values().map(|member| &member.record);
        std::iter::once(&self.local)
            .chain(members)
            .filter(|record| record.state.is_live())
    }

    /// Returns the owner of a key among the live members of a domain.
    #[must_use]
    pub fn owner<'a>(&'a self, domain: &'a DomainName, key: &str) -> Option<&'a MemberRecord> {
        let owner = {
            let names = self
                .live_members(domain)
                .map(|record| &record.holder.instance);
            choose_owner(key, names)?
        };
        if *owner == self.local.holder.instance {
            return Some(&self.local);
        }
        self.members.get(owner).map(|member| &member.record)
    }

    /// Handles an event and returns the resulting actions.
    #[must_use]
    pub fn handle<R: Rng>(
        &mut self,
        event: MemberEvent,
        now: MonotonicTime,
        rng: &mut R,
    ) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        if self.now == MonotonicTime::START {
            self.started = now;
        }
        self.now = now;
        match event {
            MemberEvent::Tick => self.tick(now, rng, &mut effects),
            MemberEvent::Received { from, message } => {
                self.receive(from, message, now, rng, &mut effects);
            }
            MemberEvent::InstanceList(hints) => self.update_contacts(hints, rng),
            MemberEvent::ConfigVersion(version) => {
                let is_newer = version > self.config_version;
                self.config_version = version;
                if is_newer {
                    self.notices_left = self.options.version_notices;
                }
            }
            MemberEvent::LoadChanged(permille) => self.load_permille = permille,
            MemberEvent::LeaveStarted => self.leave(rng, &mut effects),
        }
        self.report_live_changes(&mut effects);
        effects
    }

    /// Queues unknown listed instances for contact, in random order, so that new instances do not
    /// all contact the same ones first.
    fn update_contacts<R: Rng>(&mut self, mut hints: Vec<InstanceHint>, rng: &mut R) {
        hints.retain(|hint| {
            !self.members.contains_key(&hint.instance)
                && hint.instance != self.local.holder.instance
        });
        hints.shuffle(rng);
        self.contacts = hints.into();
    }

    fn receive<R: Rng>(
        &mut self,
        from: HolderId,
        message: MemberMessage,
        now: MonotonicTime,
        rng: &mut R,
        effects: &mut Vec<MemberEffect>,
    ) {
        match message {
            MemberMessage::Ping(body) => {
                let (nonce, sender) = (body.nonce, body.sender.clone());
                self.merge_body(body, now, effects);
                let reply = self.ping_body(nonce, Some(&sender), rng);
                effects.push(send_to(&sender, MemberMessage::Ack(reply)));
            }
            MemberMessage::Ack(body) => self.handle_ack(body, now, effects),
            MemberMessage::PingRequest { nonce, target } => {
                self.relay(from, nonce, &target, now, rng, effects);
            }
            MemberMessage::TableRequest { sender, digest } => {
                self.merge_record(sender.clone(), now, effects);
                self.reply_sync(&sender, digest, now, effects);
            }
            MemberMessage::TableChunk { records } => {
                for record in records {
                    self.merge_record(record, now, effects);
                }
            }
            MemberMessage::VersionNotice { config_version } => {
                self.record_version(from, config_version, effects);
            }
            MemberMessage::Leaving { incarnation } => {
                let Some(member) = self.members.get(&from.instance) else {
                    return;
                };
                let record = MemberRecord {
                    holder: from,
                    incarnation,
                    state: MemberState::Leaving,
                    ..member.record.clone()
                };
                self.merge_record(record, now, effects);
            }
        }
    }

    fn handle_ack(&mut self, body: PingBody, now: MonotonicTime, effects: &mut Vec<MemberEffect>) {
        let target = body.sender.holder.instance.clone();
        self.probes
            .retain(|probe| probe.nonce != body.nonce || probe.target != target);
        if let Some(index) = self
            .relays
            .iter()
            .position(|relay| relay.nonce == body.nonce)
        {
            let relay = self.relays.swap_remove(index);
            let relayed = PingBody {
                nonce: relay.origin_nonce,
                ..body.clone()
            };
            effects.push(MemberEffect::Send {
                address: relay.origin_address,
                to: Some(relay.origin),
                message: MemberMessage::Ack(relayed),
            });
        }
        self.merge_body(body, now, effects);
    }

    fn relay<R: Rng>(
        &mut self,
        from: HolderId,
        origin_nonce: u64,
        target: &HolderId,
        now: MonotonicTime,
        rng: &mut R,
        effects: &mut Vec<MemberEffect>,
    ) {
        let origin = self.members.get(&from.instance);
        let target = self.members.get(&target.instance);
        let (Some(origin), Some(target)) = (origin, target) else {
            return;
        };
        let origin_address = origin.record.address.clone();
        let record = target.record.clone();
        let nonce = self.allocate_nonce();
        self.relays.push(RelayProbe {
            nonce,
            origin: from,
            origin_address,
            origin_nonce,
            deadline: now + self.options.ping_timeout,
        });
        let body = self.ping_body(nonce, Some(&record), rng);
        effects.push(send_to(&record, MemberMessage::Ping(body)));
    }

    fn merge_body(&mut self, body: PingBody, now: MonotonicTime, effects: &mut Vec<MemberEffect>) {
        let holder = body.sender.holder.clone();
        self.merge_record(body.sender, now, effects);
        if let Some(member) = self.members.get_mut(&holder.instance)
            && member.record.holder == holder
        {
            member.load_permille = body.load_permille;
        }
        self.record_version(holder, body.config_version, effects);
        for record in body.updates {
            self.merge_record(record, now, effects);
        }
    }

    /// Records the active configuration version of a known process.
    fn record_version(&mut self, peer: HolderId, version: u64, effects: &mut Vec<MemberEffect>) {
        if let Some(member) = self.members.get_mut(&peer.instance)
            && member.record.holder == peer
        {
            member.config_version = version;
            effects.push(MemberEffect::PeerVersion { peer, version });
        }
    }

    /// Applies a record that overrides the known one, and queues it for gossip.
    pub(super) fn merge_record(
        &mut self,
        record: MemberRecord,
        now: MonotonicTime,
        effects: &mut Vec<MemberEffect>,
    ) {
        let instance = record.holder.instance.clone();
        if instance == self.local.holder.instance {
            self.refute(&record);
            return;
        }
        let known = self.members.get(&instance);
        if known.is_some_and(|member| !record.overrides(&member.record)) {
            // The member itself may still use the older record, and can refute the newer one only
            // after it has received it.
            if known.is_some_and(|member| member.record != record) {
                self.gossip.push(instance);
            }
            return;
        }
        let changed = known.is_none_or(|member| {
            member.record.state != record.state || member.record.holder != record.holder
        });
        let liveness_changed = known.is_none_or(|member| {
            member.record.state.is_live() != record.state.is_live()
                || member.record.holder != record.holder
        });
        if changed {
            effects.push(MemberEffect::StateChanged {
                holder: record.holder.clone(),
                domain: record.domain.clone(),
                state: record.state,
            });
        }
        let since = known
            .filter(|_| !changed)
            .map_or(now, |member| member.since);
        let (config_version, load_permille) = known
            .filter(|member| member.record.holder == record.holder)
            .map_or((0, 0), |member| {
                (member.config_version, member.load_permille)
            });
        let view = MemberView {
            record,
            since,
            config_version,
            load_permille,
            direct_pings: 0,
        };
        self.live_changed |= liveness_changed;
        // Most others already know the members that a joining instance learns of.
        let joining = now.since(self.started) < self.options.settle_time;
        let limited = known.is_none() && joining && view.record.state == MemberState::Alive;
        self.members.insert(instance.clone(), view);
        if limited {
            self.gossip.push_limited(instance, self.members.len());
        } else {
            self.gossip.push(instance);
        }
    }

    /// Overrides a record about this instance that contradicts the local one.
    fn refute(&mut self, record: &MemberRecord) {
        let other_process = record.holder != self.local.holder;
        let contradicts = other_process || record.state != self.local.state;
        if contradicts && record.incarnation >= self.local.incarnation {
            self.local.incarnation = record.incarnation + 1;
            self.gossip.push(self.local.holder.instance.clone());
        }
    }

    fn leave<R: Rng>(&mut self, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        if self.local.state == MemberState::Leaving {
            return;
        }
        self.local.state = MemberState::Leaving;
        self.live_changed = true;
        self.local.incarnation += 1;
        self.gossip.push(self.local.holder.instance.clone());
        let message = MemberMessage::Leaving {
            incarnation: self.local.incarnation,
        };
        let live: Vec<&MemberRecord> = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|record| record.state != MemberState::Dead)
            .collect();
        let (domain, remote): (Vec<&MemberRecord>, Vec<_>) = live
            .into_iter()
            .partition(|record| record.domain == self.local.domain);
        // The local domain is notified directly, the others through a few members and gossip.
        let recipients = domain
            .into_iter()
            .chain(remote.choose_multiple(rng, self.options.relays).copied());
        effects.extend(recipients.map(|record| send_to(record, message.clone())));
    }

    fn report_live_changes(&mut self, effects: &mut Vec<MemberEffect>) {
        if !std::mem::take(&mut self.live_changed) {
            return;
        }
        let live: Vec<HolderId> = self
            .live_records()
            .map(|record| record.holder.clone())
            .collect();
        if live == self.live {
            return;
        }
        self.live = live;
        let domain = self
            .live_members(&self.local.domain)
            .map(|record| record.holder.instance.clone())
            .collect();
        effects.push(MemberEffect::MembersChanged { domain });
    }
}

pub(super) fn send_to(record: &MemberRecord, message: MemberMessage) -> MemberEffect {
    MemberEffect::Send {
        address: record.address.clone(),
        to: Some(record.holder.clone()),
        message,
    }
}
