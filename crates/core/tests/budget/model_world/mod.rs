//! State space of the model check: three ledgers in two domains, one budget, and a platform and a
//! network with losses, duplicates and delays.

mod check;
mod limits;

pub(crate) use limits::{Defect, Limits};

use std::{
    collections::BTreeSet,
    hash::{Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use cornelarch_core::{
    base::{BudgetName, DomainName, HolderId, InstanceName, MonotonicTime, TokenCount},
    budget::{
        AccountSnapshot, BudgetKey, BudgetLedger, BudgetMessage, DomainPeer, DrawPolicy,
        LedgerEffect, LedgerEvent, LedgerOptions, ReservationKey, SettleError, ShardNumber,
        ShardValue,
    },
};
use xxhash_rust::xxh3::Xxh3Default;

const NOW: MonotonicTime = MonotonicTime::START;
const SHARD: ShardNumber = ShardNumber(0);
const DOMAINS: [&str; 3] = ["a", "a", "b"];

/// Sequence offset with which an injected defect bypasses the duplicate detection of transfers.
const FORGED_SEQUENCE: u64 = 1_000;

#[derive(Clone, Debug, Hash)]
enum PlatformCall {
    ReadSent,
    ReadDone(u64, Arc<ShardValue>),
    WriteSent(u64, Arc<ShardValue>),
    WriteDone(Option<u64>),
}

#[derive(Clone, Debug, Hash)]
struct Node {
    ledger: BudgetLedger,
    key: BudgetKey,
    open_reservations: Vec<ReservationKey>,
    call: Option<PlatformCall>,
    /// The last own row that was written, which tells whether a pending change has taken effect.
    last_row: Option<LastRow>,
    is_draining: bool,
}

/// The own row of a write: its generation, and its sequence unless the write closes the row.
#[derive(Clone, Debug, Hash)]
struct LastRow {
    holder: HolderId,
    generation: u32,
    sequence: Option<u64>,
}

#[derive(Clone, Debug, Hash)]
struct CrashedNode {
    ledger: BudgetLedger,
    last_row: Option<LastRow>,
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct World {
    version: u64,
    value: Arc<ShardValue>,
    nodes: Vec<Arc<Node>>,
    crashed: Vec<Arc<CrashedNode>>,
    network: BTreeSet<(HolderId, HolderId, BudgetMessage)>,
    delayed_writes: Vec<(u64, Arc<ShardValue>)>,
    partition: Option<usize>,
    billed: u64,
    limits: Limits,
    violation: Option<String>,
}

/// A world with the digest that identifies it in the search.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) world: Arc<World>,
    digest: u128,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

impl State {
    fn new(world: World) -> Self {
        let mut hasher = Xxh3Default::new();
        world.hash(&mut hasher);
        let digest = hasher.digest128();
        Self {
            world: Arc::new(world),
            digest,
        }
    }

    pub(crate) fn start(limits: Limits) -> Self {
        Self::new(World::new(limits))
    }

    /// Returns all states that one step leads to. A state that violates an invariant has none.
    pub(crate) fn successors(&self) -> Vec<Self> {
        if self.world.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        self.world.list_steps(&mut next);
        next.into_iter()
            .map(|mut world| {
                world.violation = world.find_violation();
                Self::new(world)
            })
            .collect()
    }

    pub(crate) fn violation(&self) -> Option<&str> {
        self.world.violation.as_deref()
    }
}

fn budget() -> BudgetName {
    BudgetName::new("b")
}

fn holder(index: usize, epoch: u64) -> HolderId {
    HolderId::new(InstanceName::new(&format!("n{index}")), epoch)
}

fn options(index: usize, limits: &Limits) -> LedgerOptions {
    LedgerOptions {
        shards: 1,
        domain: DomainName::new(DOMAINS[index]),
        domains: 2,
        policy: DrawPolicy::LowWater {
            low: TokenCount::ZERO,
            high: TokenCount::new(1),
        },
        end_wait: Duration::ZERO,
        read_rate: 0.0,
        flush_period: Duration::ZERO,
        urgent_period: Duration::ZERO,
        idle_flush: limits.idle_flush,
        idle_return: Duration::ZERO,
        cache_age: Duration::ZERO,
        reread_period: Duration::ZERO,
        borrow_timeout: Duration::ZERO,
        resend_initial: Duration::ZERO,
        resend_max: Duration::ZERO,
        platform_retry: Duration::ZERO,
        platform_retry_max: Duration::ZERO,
        ..LedgerOptions::default()
    }
}

impl Node {
    fn new(index: usize, epoch: u64, limits: &Limits) -> Self {
        let mut ledger = BudgetLedger::new(holder(index, epoch), options(index, limits));
        let key = ledger.register(budget());
        Self {
            ledger,
            key,
            open_reservations: Vec::new(),
            call: None,
            last_row: None,
            is_draining: false,
        }
    }
}

fn find_account(ledger: &BudgetLedger) -> Option<AccountSnapshot> {
    ledger.snapshot().accounts.into_iter().next()
}

impl World {
    fn new(limits: Limits) -> Self {
        let mut value = ShardValue::default();
        value
            .set_initial_paid(&budget(), TokenCount::new(limits.paid))
            .expect("amount fits");
        let nodes = (0..DOMAINS.len())
            .map(|index| Arc::new(Node::new(index, 1, &limits)))
            .collect();
        let mut world = Self {
            version: 1,
            value: Arc::new(value),
            nodes,
            crashed: Vec::new(),
            network: BTreeSet::new(),
            delayed_writes: Vec::new(),
            partition: None,
            billed: 0,
            limits,
            violation: None,
        };
        world.announce_peers();
        world
    }

    fn node(&mut self, index: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[index])
    }

    fn announce_peers(&mut self) {
        let list: Vec<DomainPeer> = self
            .nodes
            .iter()
            .zip(DOMAINS)
            .map(|(node, domain)| DomainPeer {
                holder: node.ledger.holder().clone(),
                domain: DomainName::new(domain),
            })
            .collect();
        for index in 0..self.nodes.len() {
            self.handle_event(index, LedgerEvent::PeersChanged(list.clone()));
        }
    }

    fn handle_event(&mut self, index: usize, event: LedgerEvent) {
        let effects = self.node(index).ledger.handle(event, NOW);
        let own = self.nodes[index].ledger.holder().clone();
        for effect in effects {
            match effect {
                LedgerEffect::ReadShard { .. } => {
                    self.start_call(index, PlatformCall::ReadSent);
                }
                LedgerEffect::WriteShard {
                    expected_version,
                    value,
                    ..
                } => {
                    let entry = value.budgets.get(&budget()).cloned().unwrap_or_default();
                    let account =
                        find_account(&self.nodes[index].ledger).expect("a writer has an account");
                    let row = entry.row(&own, account.generation);
                    self.node(index).last_row = Some(LastRow {
                        holder: own.clone(),
                        generation: account.generation,
                        sequence: row.map(|row| row.sequence),
                    });
                    if self.limits.defect == Defect::SpendUnconfirmed {
                        self.delayed_writes
                            .push((expected_version, Arc::new(value)));
                        let version = expected_version + 1;
                        self.handle_event(
                            index,
                            LedgerEvent::WriteAccepted {
                                shard: SHARD,
                                version,
                            },
                        );
                    } else {
                        self.start_call(
                            index,
                            PlatformCall::WriteSent(expected_version, Arc::new(value)),
                        );
                    }
                }
                LedgerEffect::Send { to, message } => {
                    self.network.insert((own.clone(), to, message));
                }
                LedgerEffect::Wake { .. } => {}
            }
        }
    }

    fn start_call(&mut self, index: usize, call: PlatformCall) {
        if self.nodes[index].call.is_some() {
            self.violation = Some("two calls for one shard are open".to_owned());
        }
        self.node(index).call = Some(call);
    }

    fn branch(&self, next: &mut Vec<Self>, step: impl FnOnce(&mut Self)) {
        let mut world = self.clone();
        step(&mut world);
        next.push(world);
    }

    fn list_steps(&self, next: &mut Vec<Self>) {
        for index in 0..self.nodes.len() {
            self.list_request_steps(index, next);
            self.list_call_steps(index, next);
            self.branch(next, |world| world.handle_event(index, LedgerEvent::Tick));
            if self.limits.crashes > 0 {
                self.branch(next, |world| world.crash(index));
            }
            if self.limits.drains > 0 && !self.nodes[index].is_draining {
                self.branch(next, |world| {
                    world.limits.drains -= 1;
                    world.node(index).is_draining = true;
                    world.handle_event(index, LedgerEvent::DrainStarted);
                });
            }
            if self.limits.partitions > 0 && self.partition.is_none() {
                self.branch(next, |world| {
                    world.limits.partitions -= 1;
                    world.partition = Some(index);
                });
            }
            if self.limits.releases > 0 {
                self.branch(next, |world| world.release(index));
            }
        }
        for message in &self.network {
            self.list_message_steps(message, next);
        }
        for index in 0..self.delayed_writes.len() {
            self.branch(next, |world| {
                let (expected, value) = world.delayed_writes.remove(index);
                world.write(expected, value);
            });
        }
        if self.partition.is_some() {
            self.branch(next, |world| world.partition = None);
        }
        if self.limits.top_ups > 0 {
            self.branch(next, |world| {
                let id = format!("t{}", world.limits.top_ups);
                world.limits.top_ups -= 1;
                Arc::make_mut(&mut world.value)
                    .top_up(&budget(), TokenCount::new(1), &id)
                    .expect("amount fits");
                world.version += 1;
            });
        }
    }

    fn list_request_steps(&self, index: usize, next: &mut Vec<Self>) {
        let node = &self.nodes[index];
        let account = find_account(&node.ledger);
        let wanted = account.as_ref().map_or(0, |account| account.wanted.get());
        let balance = account.as_ref().map_or(0, |account| account.balance.get());
        let may_ask = wanted == 0 || balance > 0;
        if self.limits.requests > 0 && may_ask && !node.is_draining {
            self.branch(next, |world| world.submit(index));
        }
        if !node.open_reservations.is_empty() {
            self.branch(next, |world| world.settle(index, 1));
            self.branch(next, |world| world.settle(index, 0));
        }
    }

    fn submit(&mut self, index: usize) {
        let node = self.node(index);
        match node.ledger.reserve(node.key, TokenCount::new(1), NOW) {
            Ok(reservation) => {
                node.open_reservations.push(reservation);
                self.limits.requests -= 1;
            }
            Err(_) => self.handle_event(index, LedgerEvent::Tick),
        }
    }

    fn settle(&mut self, index: usize, actual: u64) {
        let node = self.node(index);
        let reservation = node.open_reservations.remove(0);
        let actual = TokenCount::new(actual);
        let settlement = node
            .ledger
            .settle(reservation, actual, NOW)
            .expect("is open");
        let second = node.ledger.settle(reservation, actual, NOW);
        self.billed += settlement.billed.get();
        if second != Err(SettleError::AlreadySettled) {
            self.violation = Some("a request was billed twice".to_owned());
        }
    }

    fn write(&mut self, expected: u64, value: Arc<ShardValue>) -> Option<u64> {
        if expected != self.version {
            return None;
        }
        self.version += 1;
        self.value = value;
        Some(self.version)
    }

    fn list_call_steps(&self, index: usize, next: &mut Vec<Self>) {
        let Some(call) = self.nodes[index].call.clone() else {
            return;
        };
        let is_partitioned = self.partition == Some(index);
        let is_sent = matches!(call, PlatformCall::ReadSent | PlatformCall::WriteSent(..));
        if is_partitioned || (is_sent && self.limits.outages > 0) {
            self.branch(next, |world| {
                world.limits.outages -= u8::from(!is_partitioned);
                let call = world.node(index).call.take();
                let event = match call {
                    Some(PlatformCall::WriteDone(_)) => LedgerEvent::WriteUnknown { shard: SHARD },
                    _ => LedgerEvent::PlatformDown { shard: SHARD },
                };
                world.handle_event(index, event);
            });
        }
        let is_write = matches!(
            call,
            PlatformCall::WriteSent(..) | PlatformCall::WriteDone(_)
        );
        if is_write && self.limits.lost_answers > 0 {
            self.branch(next, |world| world.lose_answer(index));
        }
        if !is_partitioned {
            self.branch(next, |world| world.advance_call(index));
        }
    }

    fn lose_answer(&mut self, index: usize) {
        self.limits.lost_answers -= 1;
        if let Some(PlatformCall::WriteSent(expected, value)) = self.node(index).call.take() {
            self.delayed_writes.push((expected, value));
        }
        let event = match self.limits.defect {
            Defect::ForgetLostWrite => LedgerEvent::PlatformDown { shard: SHARD },
            _ => LedgerEvent::WriteUnknown { shard: SHARD },
        };
        self.handle_event(index, event);
    }

    fn advance_call(&mut self, index: usize) {
        let shard = SHARD;
        match self.node(index).call.take() {
            Some(PlatformCall::ReadSent) => {
                self.node(index).call =
                    Some(PlatformCall::ReadDone(self.version, self.value.clone()));
            }
            Some(PlatformCall::WriteSent(expected, value)) => {
                let result = self.write(expected, value);
                self.node(index).call = Some(PlatformCall::WriteDone(result));
            }
            Some(PlatformCall::ReadDone(version, value)) => {
                self.handle_event(
                    index,
                    LedgerEvent::ShardRead {
                        shard,
                        version,
                        value: ShardValue::clone(&value),
                    },
                );
            }
            Some(PlatformCall::WriteDone(Some(version))) => {
                self.handle_event(index, LedgerEvent::WriteAccepted { shard, version });
            }
            Some(PlatformCall::WriteDone(None)) => {
                self.handle_event(index, LedgerEvent::WriteConflict { shard })
            }
            None => {}
        }
    }

    fn list_message_steps(
        &self,
        message: &(HolderId, HolderId, BudgetMessage),
        next: &mut Vec<Self>,
    ) {
        let is_at =
            |index: usize, id: &HolderId| self.nodes[index].ledger.holder().instance == id.instance;
        let is_partitioned = self
            .partition
            .is_some_and(|partition| is_at(partition, &message.0) || is_at(partition, &message.1));
        if is_partitioned || self.limits.losses > 0 {
            self.branch(next, |world| {
                world.limits.losses -= u8::from(!is_partitioned);
                world.network.remove(message);
            });
        }
        if is_partitioned {
            return;
        }
        self.branch(next, |world| {
            world.network.remove(message);
            world.deliver(message.clone());
        });
        if self.limits.duplicates > 0 {
            self.branch(next, |world| {
                world.limits.duplicates -= 1;
                world.deliver_duplicate(message);
            });
        }
    }

    /// Delivers a message and keeps a copy of it in the network.
    fn deliver_duplicate(&mut self, message: &(HolderId, HolderId, BudgetMessage)) {
        let (from, to, content) = message;
        let defect = self.limits.defect;
        match (defect, content) {
            (Defect::ReclaimTransfer, BudgetMessage::Transfer { sequence, .. }) => {
                let forged = forge_sequence(content, *sequence);
                self.deliver((to.clone(), from.clone(), forged));
            }
            (Defect::ApplyTwice, BudgetMessage::Transfer { sequence, .. }) => {
                let forged = forge_sequence(content, *sequence);
                self.deliver((from.clone(), to.clone(), forged));
            }
            _ => self.deliver(message.clone()),
        }
    }

    fn deliver(&mut self, (from, to, message): (HolderId, HolderId, BudgetMessage)) {
        let mut nodes = self.nodes.iter();
        let place = nodes.position(|node| node.ledger.holder().instance == to.instance);
        let index = place.expect("every instance exists");
        let to = match self.limits.defect {
            Defect::AcceptOldIncarnation => self.nodes[index].ledger.holder().clone(),
            _ => to,
        };
        self.handle_event(index, LedgerEvent::Received { from, to, message });
    }

    /// Replaces a process by its next incarnation. Its last write may still take effect.
    fn crash(&mut self, index: usize) {
        self.limits.crashes -= 1;
        let epoch = self.nodes[index].ledger.holder().epoch + 1;
        let fresh = Node::new(index, epoch, &self.limits);
        let old = std::mem::replace(&mut self.nodes[index], Arc::new(fresh));
        if let Some(PlatformCall::WriteSent(expected, value)) = old.call.clone() {
            self.delayed_writes.push((expected, value));
        }
        self.crashed.push(Arc::new(CrashedNode {
            ledger: old.ledger.clone(),
            last_row: old.last_row.clone(),
        }));
        self.announce_peers();
    }

    fn release(&mut self, index: usize) {
        let own = self.nodes[index].ledger.holder().clone();
        let id = format!("r{}", self.limits.releases);
        self.limits.releases -= 1;
        // Without an open row the release fails and changes nothing.
        if Arc::make_mut(&mut self.value)
            .release(&budget(), &own, &id, false)
            .is_ok()
        {
            self.version += 1;
        }
    }
}

fn forge_sequence(message: &BudgetMessage, sequence: u64) -> BudgetMessage {
    let mut forged = message.clone();
    if let BudgetMessage::Transfer {
        sequence: place, ..
    } = &mut forged
    {
        *place = sequence + FORGED_SEQUENCE;
    }
    forged
}
