//! Table of members with SWIM failure detection.

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
        probe::{MemberProbe, ProbeRound, RelayProbe},
        spread::SpreadQueue,
    },
};

/// Describes one member for dump and routing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The record.
    pub record: MemberRecord,
    /// When the state last changed, in time of this process.
    pub since: MonotonicTime,
    /// The configuration version that the member told last.
    pub config_version: u64,
    /// The load that the member told last, in thousandths of its capacity.
    pub load_permille: u32,
    /// The direct pings since the member is suspected.
    #[serde(skip)]
    pub(super) checks: u32,
}

/// Holds the members as this instance sees them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(super) options: MemberOptions,
    pub(super) own: MemberRecord,
    pub(super) config_version: u64,
    pub(super) load_permille: u32,
    pub(super) members: BTreeMap<InstanceName, MemberView>,
    pub(super) seeds: Vec<String>,
    pub(super) contacts: VecDeque<InstanceHint>,
    pub(super) domain_round: ProbeRound,
    pub(super) remote_round: ProbeRound,
    pub(super) probes: Vec<MemberProbe>,
    pub(super) relays: Vec<RelayProbe>,
    pub(super) spread: SpreadQueue,
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
    /// Creates the table of the instance `holder`, which knows only the addresses `seeds`.
    #[must_use]
    pub fn new(
        holder: HolderId,
        domain: DomainName,
        address: String,
        seeds: Vec<String>,
        options: MemberOptions,
    ) -> Self {
        let own = MemberRecord {
            holder,
            domain,
            address,
            incarnation: 1,
            state: MemberState::Alive,
        };
        Self {
            options,
            own,
            config_version: 0,
            load_permille: 0,
            members: BTreeMap::new(),
            contacts: VecDeque::new(),
            seeds,
            domain_round: ProbeRound::default(),
            remote_round: ProbeRound::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            spread: SpreadQueue::default(),
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
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Iterates over all known members but this instance, in the order of names.
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
        std::iter::once(&self.own)
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
        if *owner == self.own.holder.instance {
            return Some(&self.own);
        }
        self.members.get(owner).map(|member| &member.record)
    }

    /// Handles an event and returns what is to be done.
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
            MemberEvent::InstanceList(hints) => self.note_hints(hints, rng),
            MemberEvent::ConfigVersion(version) => self.config_version = version,
            MemberEvent::LoadChanged(permille) => self.load_permille = permille,
            MemberEvent::LeaveStarted => self.leave(rng, &mut effects),
        }
        self.report_live(&mut effects);
        effects
    }

    /// Keeps listed instances for contact, in random order, so that new instances do not all
    /// contact the same ones first.
    fn note_hints<R: Rng>(&mut self, mut hints: Vec<InstanceHint>, rng: &mut R) {
        hints.retain(|hint| {
            !self.members.contains_key(&hint.instance) && hint.instance != self.own.holder.instance
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
                self.learn_body(body, now, effects);
                let reply = self.ping_body(nonce, Some(&sender), rng);
                effects.push(send(&sender, MemberMessage::Ack(reply)));
            }
            MemberMessage::Ack(body) => self.take_ack(body, now, effects),
            MemberMessage::PingRequest { nonce, target } => {
                self.relay(from, nonce, &target, now, rng, effects);
            }
            MemberMessage::TableRequest { sender, digest } => {
                self.learn(sender.clone(), now, effects);
                self.answer_sync(&sender, digest, now, effects);
            }
            MemberMessage::TableChunk { records } => {
                for record in records {
                    self.learn(record, now, effects);
                }
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
                self.learn(record, now, effects);
            }
        }
    }

    fn take_ack(&mut self, body: PingBody, now: MonotonicTime, effects: &mut Vec<MemberEffect>) {
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
        self.learn_body(body, now, effects);
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
        let nonce = self.draw_nonce();
        self.relays.push(RelayProbe {
            nonce,
            origin: from,
            origin_address,
            origin_nonce,
            deadline: now + self.options.ping_timeout,
        });
        let body = self.ping_body(nonce, Some(&record), rng);
        effects.push(send(&record, MemberMessage::Ping(body)));
    }

    fn learn_body(&mut self, body: PingBody, now: MonotonicTime, effects: &mut Vec<MemberEffect>) {
        let holder = body.sender.holder.clone();
        self.learn(body.sender, now, effects);
        if let Some(member) = self.members.get_mut(&holder.instance)
            && member.record.holder == holder
        {
            member.config_version = body.config_version;
            member.load_permille = body.load_permille;
            effects.push(MemberEffect::PeerVersion {
                peer: holder,
                version: body.config_version,
            });
        }
        for record in body.updates {
            self.learn(record, now, effects);
        }
    }

    /// Takes a record that is newer than the known one, and prepares to pass it on.
    pub(super) fn learn(
        &mut self,
        record: MemberRecord,
        now: MonotonicTime,
        effects: &mut Vec<MemberEffect>,
    ) {
        let instance = record.holder.instance.clone();
        if instance == self.own.holder.instance {
            self.refute(&record);
            return;
        }
        let known = self.members.get(&instance);
        if known.is_some_and(|member| !record.overrides(&member.record)) {
            // The member may still believe the older record, so it must hear the newer one.
            if known.is_some_and(|member| member.record != record) {
                self.spread.push(instance);
            }
            return;
        }
        let changed = known.is_none_or(|member| {
            member.record.state != record.state || member.record.holder != record.holder
        });
        let moved = known.is_none_or(|member| {
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
            checks: 0,
        };
        self.live_changed |= moved;
        // Most others know a member that an instance learns while it joins itself.
        let joining = now.since(self.started) < self.options.settle_time;
        let brief = known.is_none() && joining && view.record.state == MemberState::Alive;
        self.members.insert(instance.clone(), view);
        if brief {
            self.spread.push_briefly(instance, self.members.len());
        } else {
            self.spread.push(instance);
        }
    }

    /// Overrides what others say about this instance.
    fn refute(&mut self, record: &MemberRecord) {
        let other_process = record.holder != self.own.holder;
        let wrong = other_process || record.state != self.own.state;
        if wrong && record.incarnation >= self.own.incarnation {
            self.own.incarnation = record.incarnation + 1;
            self.spread.push(self.own.holder.instance.clone());
        }
    }

    fn leave<R: Rng>(&mut self, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        if self.own.state == MemberState::Leaving {
            return;
        }
        self.own.state = MemberState::Leaving;
        self.live_changed = true;
        self.own.incarnation += 1;
        self.spread.push(self.own.holder.instance.clone());
        let message = MemberMessage::Leaving {
            incarnation: self.own.incarnation,
        };
        let live: Vec<&MemberRecord> = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|record| record.state != MemberState::Dead)
            .collect();
        let (domain, remote): (Vec<&MemberRecord>, Vec<_>) = live
            .into_iter()
            .partition(|record| record.domain == self.own.domain);
        // The own domain hears it at once; the others hear it from a few members and from pings.
        let told = domain
            .into_iter()
            .chain(remote.choose_multiple(rng, self.options.relays).copied());
        effects.extend(told.map(|record| send(record, message.clone())));
    }

    fn report_live(&mut self, effects: &mut Vec<MemberEffect>) {
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
            .live_members(&self.own.domain)
            .map(|record| record.holder.instance.clone())
            .collect();
        effects.push(MemberEffect::MembersChanged { domain });
    }
}

pub(super) fn send(record: &MemberRecord, message: MemberMessage) -> MemberEffect {
    MemberEffect::Send {
        address: record.address.clone(),
        to: Some(record.holder.clone()),
        message,
    }
}
