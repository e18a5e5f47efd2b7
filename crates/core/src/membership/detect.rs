//! Failure detection: direct and indirect pings, suspicion, and contact with unknown members.

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};

use crate::{
    base::{InstanceName, MonotonicTime},
    membership::{
        MemberEffect, MemberMessage, MemberRecord, MemberState, MemberTable, MemberView,
        probe::{MemberProbe, ProbePhase},
        table::send_to,
    },
};

/// Maximum number of version notices of one tick. Over several ticks, fewer go to members that have
/// received the version meanwhile.
const NOTICES_PER_TICK: usize = 2;

impl MemberTable {
    pub(super) fn tick<R: Rng>(
        &mut self,
        now: MonotonicTime,
        rng: &mut R,
        effects: &mut Vec<MemberEffect>,
    ) {
        self.expire_probes(now, rng, effects);
        if self.notices_left > 0 {
            self.send_version_notices(rng, effects);
        }
        if now >= self.next_expire {
            self.next_expire = now + self.options.domain_interval;
            self.expire_states(now, effects);
            self.ping_suspect(rng, effects);
        }
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
        if now >= self.next_sync {
            self.next_sync = now + self.sync_delay(now);
            self.request_sync(rng, effects);
        }
        if now >= self.next_contact {
            self.next_contact = now + self.contact_delay();
            self.contact(rng, effects);
        }
    }

    /// Notifies some members that are not known to have the active configuration version, so that
    /// those which the platform does not reach learn of it before their turn in a round of pings.
    fn send_version_notices<R: Rng>(&mut self, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        let count = self.notices_left.min(NOTICES_PER_TICK);
        self.notices_left -= count;
        let others = self.members.values().filter(|member| {
            member.record.state.is_live() && member.config_version < self.config_version
        });
        let message = MemberMessage::VersionNotice {
            config_version: self.config_version,
        };
        for member in others.choose_multiple(rng, count) {
            effects.push(send_to(&member.record, message.clone()));
        }
    }

    fn next_target<R: Rng>(&mut self, in_local_domain: bool, rng: &mut R) -> Option<InstanceName> {
        let (members, domain) = (&self.members, &self.local.domain);
        let usable = |member: &MemberView| {
            member.record.state != MemberState::Dead
                && (member.record.domain == *domain) == in_local_domain
        };
        let round = if in_local_domain {
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
        let nonce = self.allocate_nonce();
        self.probes.push(MemberProbe {
            nonce,
            target,
            phase: ProbePhase::Direct,
            deadline: now + self.options.ping_timeout,
        });
        let body = self.ping_body(nonce, Some(&record), rng);
        effects.push(send_to(&record, MemberMessage::Ping(body)));
    }

    /// Pings a listed instance that is not known to be live, a dead member in case a partition has
    /// healed, or a seed.
    fn contact<R: Rng>(&mut self, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        let dead: Vec<&str> = self
            .members
            .values()
            .filter(|member| member.record.state == MemberState::Dead)
            .map(|member| member.record.address.as_str())
            .collect();
        let dead_address = dead.choose(rng).map(|address| (*address).to_owned());
        let address = self
            .next_contact_address()
            .or(dead_address)
            .or_else(|| self.seeds.choose(rng).cloned());
        let Some(address) = address else { return };
        if address == self.local.address || self.is_live_address(&address) {
            return;
        }
        let nonce = self.allocate_nonce();
        let body = self.ping_body(nonce, None, rng);
        effects.push(MemberEffect::Send {
            address,
            to: None,
            message: MemberMessage::Ping(body),
        });
    }

    fn next_contact_address(&mut self) -> Option<String> {
        while let Some(hint) = self.contacts.pop_front() {
            let member = self.members.get(&hint.instance);
            if member.is_none_or(|member| member.record.state == MemberState::Dead) {
                return Some(hint.address);
            }
        }
        None
    }

    /// Returns the delay until the next contact, which is short while no live member is known.
    fn contact_delay(&self) -> std::time::Duration {
        let alone = !self
            .members
            .values()
            .any(|member| member.record.state.is_live());
        if alone {
            self.options.ping_timeout
        } else if self.contacts.is_empty() {
            self.options.contact_interval
        } else {
            self.options.burst_interval
        }
    }

    fn is_live_address(&self, address: &str) -> bool {
        self.members.values().any(|member| {
            member.record.address == address && member.record.state != MemberState::Dead
        })
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
                ProbePhase::Direct => self.request_relays(probe, now, rng, effects),
                ProbePhase::Relayed => self.suspect(&probe.target, now, effects),
            }
        }
    }

    fn request_relays<R: Rng>(
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
            effects.push(send_to(record, message));
        }
        // Also repeat the direct ping: a lost message is more likely than a failed member, and a
        // false suspicion is gossiped through the whole fleet.
        let record = target.record.clone();
        let body = self.ping_body(probe.nonce, Some(&record), rng);
        effects.push(send_to(&record, MemberMessage::Ping(body)));
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
            // A leaving member that does not respond any more has exited.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        self.merge_record(record, now, effects);
    }

    /// Declares suspects dead after `suspect_timeout`, and removes dead members after
    /// `dead_retention`.
    fn expire_states(&mut self, now: MonotonicTime, effects: &mut Vec<MemberEffect>) {
        let mut dead = Vec::new();
        let mut expired = Vec::new();
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
                    expired.push(instance.clone());
                }
                _ => {}
            }
        }
        for record in dead {
            self.merge_record(record, now, effects);
        }
        for instance in expired {
            self.members.remove(&instance);
        }
    }

    /// Pings one suspect directly. Without this, a refutation sometimes arrives only after the
    /// suspect was declared dead when messages are lost.
    fn ping_suspect<R: Rng>(&mut self, rng: &mut R, effects: &mut Vec<MemberEffect>) {
        let suspect = self
            .members
            .values()
            .filter(|member| member.record.state == MemberState::Suspect)
            .min_by_key(|member| {
                (
                    member.record.domain != self.local.domain,
                    member.direct_pings,
                )
            });
        let Some(record) = suspect.map(|member| member.record.clone()) else {
            return;
        };
        if let Some(member) = self.members.get_mut(&record.holder.instance) {
            member.direct_pings += 1;
        }
        let nonce = self.allocate_nonce();
        let body = self.ping_body(nonce, Some(&record), rng);
        effects.push(send_to(&record, MemberMessage::Ping(body)));
    }
}
