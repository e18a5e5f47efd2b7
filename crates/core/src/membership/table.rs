//! Table of members with SWIM failure detection.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, seq::IndexedRandom};
use serde::Serialize;

use crate::{
    base::{DomainName, HolderId, InstanceName, MonotonicTime},
    membership::{
        InstanceHint, MemberEffect, MemberEvent, MemberMessage, MemberOptions, MemberRecord,
        MemberState, PingBody, choose_owner,
        probe::{MemberProbe, ProbePhase, ProbeRound, RelayProbe},
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
}

/// Holds the members as this instance sees them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    options: MemberOptions,
    own: MemberRecord,
    config_version: u64,
    load_permille: u32,
    members: BTreeMap<InstanceName, MemberView>,
    seeds: Vec<String>,
    contacts: VecDeque<String>,
    domain_round: ProbeRound,
    remote_round: ProbeRound,
    probes: Vec<MemberProbe>,
    relays: Vec<RelayProbe>,
    spread: SpreadQueue,
    next_nonce: u64,
    next_domain: MonotonicTime,
    next_remote: MonotonicTime,
    next_contact: MonotonicTime,
    live: Vec<HolderId>,
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
            contacts: seeds.iter().cloned().collect(),
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
            live: Vec::new(),
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
            .filter(|record| is_live(record.state))
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
        match event {
            MemberEvent::Tick => self.tick(now, rng, &mut effects),
            MemberEvent::Received { from, message } => {
                self.receive(from, message, now, rng, &mut effects);
            }
            MemberEvent::InstanceList(hints) => self.note_hints(hints),
            MemberEvent::ConfigVersion(version) => self.config_version = version,
            MemberEvent::LoadChanged(permille) => self.load_permille = permille,
            MemberEvent::LeaveStarted => self.leave(rng, &mut effects),
        }
        self.report_live(&mut effects);
        effects
    }

    fn tick<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        self.expire_probes(now, rng, effects);
        self.expire_states(now, effects);
        if now >= self.next_domain {
            self.next_domain = now + self.options.domain_interval;
            let target = self.next_target(true, rng);
            self.probe(target, now, rng, effects);
        }
        if now >= self.next_remote {
            self.next_remote = now + self.options.remote_interval;
            let target = self.next_target(false, rng);
            self.probe(target, now, rng, effects);
        }
        if now >= self.next_contact {
            self.next_contact = now + self.contact_wait();
            self.contact(rng, effects);
        }
    }

    fn next_target<R: Rng>(&mut self, own_domain: bool, rng: &mut R) -> Option<InstanceName> {
        let (members, domain) = (&self.members, &self.own.domain);
        let usable = |member: &MemberView| {
            member.record.state != MemberState::Dead
                && (member.record.domain == *domain) == own_domain
        };
        let round = if own_domain {
            &mut self.domain_round
        } else {
            &mut self.remote_round
        };
        let list = || {
            members
                .iter()
                .filter(|(_, member)| usable(member))
                .map(|(instance, _)| instance.clone())
                .collect()
        };
        round.next(list, |name| members.get(name).is_some_and(usable), rng)
    }

    fn probe<R: Rng>(
        &mut self,
        target: Option<InstanceName>,
        now: MonotonicTime,
        rng: &mut R,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Some(target) = target else { return };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let record = member.record.clone();
        let nonce = self.draw_nonce();
        self.probes.push(MemberProbe {
            nonce,
            target,
            phase: ProbePhase::Direct,
            deadline: now + self.options.ping_timeout,
        });
        let body = self.ping_body(nonce, Some(&record), rng);
        effects.push(send(&record, MemberMessage::Ping(body)));
    }

    /// Pings an address that is not known as a live member, or a dead member in case a partition
    /// has healed.
    fn contact<R: Rng>(&mut self, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        let dead: Vec<&str> = self
            .members
            .values()
            .filter(|member| member.record.state == MemberState::Dead)
            .map(|member| member.record.address.as_str())
            .collect();
        let waiting = self.contacts.pop_front();
        let address = waiting
            .or_else(|| dead.choose(rng).map(|address| (*address).to_owned()))
            .or_else(|| self.seeds.choose(rng).cloned());
        let Some(address) = address else { return };
        if address == self.own.address || self.is_live_address(&address) {
            return;
        }
        let nonce = self.draw_nonce();
        let body = self.ping_body(nonce, None, rng);
        effects.push(MemberEffect::Send {
            address,
            to: None,
            message: MemberMessage::Ping(body),
        });
    }

    /// Returns the wait until the next contact, which is short while the instance is alone.
    fn contact_wait(&self) -> std::time::Duration {
        let alone = !self
            .members
            .values()
            .any(|member| is_live(member.record.state));
        if alone {
            self.options.ping_timeout
        } else if self.contacts.is_empty() {
            self.options.contact_interval
        } else {
            self.options.domain_interval
        }
    }

    fn is_live_address(&self, address: &str) -> bool {
        self.members.values().any(|member| {
            member.record.address == address && member.record.state != MemberState::Dead
        })
    }

    fn note_hints(&mut self, hints: Vec<InstanceHint>) {
        for hint in hints {
            let known = self.members.contains_key(&hint.instance)
                || hint.instance == self.own.holder.instance;
            if !known && !self.contacts.contains(&hint.address) {
                self.contacts.push_back(hint.address);
            }
        }
    }

    fn expire_probes<R: Rng>(
        &mut self,
        now: MonotonicTime,
        rng: &mut R,
        effects: &mut Vec<MemberEffect>,
    ) {
        self.relays.retain(|relay| relay.deadline > now);
        let (expired, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition(|probe| probe.deadline <= now);
        self.probes = open;
        for probe in expired {
            match probe.phase {
                ProbePhase::Direct => self.ask_relays(probe, now, rng, effects),
                ProbePhase::Relayed => self.suspect(&probe.target, now, effects),
            }
        }
    }

    fn ask_relays<R: Rng>(
        &mut self,
        probe: MemberProbe,
        now: MonotonicTime,
        rng: &mut R,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Some(target) = self.members.get(&probe.target) else {
            return;
        };
        let holder = target.record.holder.clone();
        let others: Vec<&MemberRecord> = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|record| {
                record.state == MemberState::Alive && record.holder.instance != probe.target
            })
            .collect();
        for record in others.choose_multiple(rng, self.options.relays) {
            let message = MemberMessage::PingRequest {
                nonce: probe.nonce,
                target: holder.clone(),
            };
            effects.push(send(record, message));
        }
        self.probes.push(MemberProbe {
            phase: ProbePhase::Relayed,
            deadline: now + self.options.relay_timeout,
            ..probe
        });
    }

    fn suspect(
        &mut self,
        target: &InstanceName,
        now: MonotonicTime,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        let mut record = member.record.clone();
        record.state = match record.state {
            MemberState::Alive => MemberState::Suspect,
            // A member that announced its end and does not answer any more has ended.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        self.learn(record, now, effects);
    }

    fn expire_states(&mut self, now: MonotonicTime, effects: &mut Vec<MemberEffect>) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for (instance, member) in &self.members {
            let age = now.since(member.since);
            match member.record.state {
                MemberState::Suspect if age >= self.options.suspect_timeout => {
                    dead.push(MemberRecord {
                        state: MemberState::Dead,
                        ..member.record.clone()
                    });
                }
                MemberState::Dead if age >= self.options.dead_retention => {
                    forgotten.push(instance.clone());
                }
                _ => {}
            }
        }
        for record in dead {
            self.learn(record, now, effects);
        }
        for instance in forgotten {
            self.members.remove(&instance);
        }
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
    fn learn(&mut self, record: MemberRecord, now: MonotonicTime, effects: &mut Vec<MemberEffect>) {
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
        };
        self.members.insert(instance.clone(), view);
        self.spread.push(instance);
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

    fn ping_body<R: Rng>(
        &mut self,
        nonce: u64,
        receiver: Option<&MemberRecord>,
        rng: &mut R,
    ) -> PingBody {
        PingBody {
            nonce,
            sender: self.own.clone(),
            config_version: self.config_version,
            load_permille: self.load_permille,
            updates: self.choose_updates(receiver, rng),
        }
    }

    /// Chooses what the receiver is believed to be about, then news, then members of the
    /// receiver's domain at random, which a new member needs first.
    fn choose_updates<R: Rng>(
        &mut self,
        receiver: Option<&MemberRecord>,
        rng: &mut R,
    ) -> Vec<MemberRecord> {
        let count = self.options.max_updates;
        let mut names: Vec<InstanceName> = Vec::with_capacity(count);
        let known = receiver.and_then(|record| self.members.get(&record.holder.instance));
        if let (Some(member), Some(record)) = (known, receiver)
            && member.record != *record
        {
            names.push(record.holder.instance.clone());
        }
        let known_of_receiver = known.filter(|member| member.record.state != MemberState::Alive);
        if let Some(member) = known_of_receiver {
            names.push(member.record.holder.instance.clone());
        }
        names.extend(self.spread.take(count, self.members.len() + 1));
        let domain = receiver.map_or(&self.own.domain, |record| &record.domain);
        let near: Vec<&InstanceName> = self
            .members
            .iter()
            .filter(|(_, member)| member.record.domain == *domain)
            .map(|(instance, _)| instance)
            .collect();
        let fill = count.saturating_sub(names.len());
        names.extend(
            near.choose_multiple(rng, fill / 2)
                .map(|name| (*name).clone()),
        );
        let all: Vec<&InstanceName> = self.members.keys().collect();
        let fill = count.saturating_sub(names.len());
        names.extend(all.choose_multiple(rng, fill).map(|name| (*name).clone()));
        let mut chosen: Vec<&InstanceName> = Vec::with_capacity(count);
        for name in &names {
            if !chosen.contains(&name) && chosen.len() < count {
                chosen.push(name);
            }
        }
        chosen
            .into_iter()
            .filter_map(|name| self.members.get(name))
            .map(|member| member.record.clone())
            .collect()
    }

    fn draw_nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        self.next_nonce
    }

    fn report_live(&mut self, effects: &mut Vec<MemberEffect>) {
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

fn is_live(state: MemberState) -> bool {
    match state {
        MemberState::Alive | MemberState::Suspect => true,
        MemberState::Leaving | MemberState::Dead => false,
    }
}

fn send(record: &MemberRecord, message: MemberMessage) -> MemberEffect {
    MemberEffect::Send {
        address: record.address.clone(),
        to: Some(record.holder.clone()),
        message,
    }
}
