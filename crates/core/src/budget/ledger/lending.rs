//! Lending between instances, and the steps for a budget that runs short.

use std::time::Duration;

use super::{
    BudgetKey, BudgetLedger,
    account::{Account, BorrowDemand},
};
use crate::{
    base::{BudgetName, HolderId, MonotonicTime, TokenCount},
    budget::{
        BudgetMessage, BudgetTotals, DrawGoal, HolderRow, LedgerEffect, ShardNumber,
        policy::IDLE_PERIOD,
    },
};

/// Time for which a budget counts as scarce after a sign of it, in units of the end wait.
const SCARCE_WAITS: u32 = 40;

/// Requests to a shard owner from which nothing is heard before a borrower draws for itself. A single
/// message is lost now and then.
const UNHEARD_ASKS: u8 = 2;

/// Neighbours that a search asks. Further ones are asked by the next searches; they hold tokens only
/// if they use the budget all the time.
const ASKED_NEIGHBOURS: usize = 2;

/// How many times the wish for a loan the owner of another domain must hold. One that holds less is
/// asked only for what the waiting requests need.
const PLENTY_FACTOR: f64 = 4.0;

/// Largest factor on the time between two questions that bring no tokens.
const MAX_BACKOFF: u32 = 32;

/// Requests that an answer to another domain covers if there are enough idle tokens.
const GIVEN_REQUESTS: u64 = 8;

impl BudgetLedger {
    /// Takes a message of a peer into account.
    pub(super) fn receive(
        &mut self,
        from: &HolderId,
        to: &HolderId,
        message: BudgetMessage,
        now: MonotonicTime,
    ) {
        // A transfer to an earlier incarnation is the property of that incarnation.
        if *to != self.holder {
            return;
        }
        self.heard.insert(from.clone(), now);
        match message {
            BudgetMessage::BorrowRequest { budget, amount } => {
                self.take_borrow(from, budget, amount, now);
            }
            BudgetMessage::Transfer {
                sequence,
                budget,
                amount,
                spent,
            } => {
                self.take_transfer(from, sequence, budget, (amount, spent), now);
            }
            BudgetMessage::TransferAck { sequence } => self.transfers.acknowledge(from, sequence),
            BudgetMessage::ReturnIdle { budget } => self.take_return_idle(from, budget, now),
        }
    }

    fn take_borrow(
        &mut self,
        from: &HolderId,
        budget: BudgetName,
        amount: TokenCount,
        now: MonotonicTime,
    ) {
        if self.is_draining {
            return;
        }
        let key = self.register(budget);
        self.activate(key);
        let given = self.lendable(key).min(amount);
        self.lend(key, from, given, now);
        let rest = amount.saturating_sub(given);
        if given.is_zero() && !self.platform.is_away() {
            // Tells the borrower that this instance looks for tokens. Without the platform it says
            // nothing, so that a borrower that reaches it draws for itself.
            let message = BudgetMessage::TransferAck { sequence: 0 };
            self.effects.push(LedgerEffect::Send {
                to: from.clone(),
                message,
            });
        }
        if !self.is_owner(&self.accounts[key]) || rest.is_zero() {
            return;
        }
        // Without tokens at the platform, they come only from other instances. Owners that remember
        // each other's questions would pass the same few tokens round for as long as they do.
        if !self.is_neighbour(from) && !self.can_draw(&self.accounts[key]) {
            return;
        }
        let work = self.accounts[key].work();
        work.borrowers.retain(|demand| demand.holder != *from);
        work.borrowers.push(BorrowDemand {
            holder: from.clone(),
            amount: rest,
            asked_at: now,
        });
        self.urgent.insert(key);
    }

    fn take_transfer(
        &mut self,
        from: &HolderId,
        sequence: u64,
        budget: BudgetName,
        (amount, spent): (TokenCount, TokenCount),
        now: MonotonicTime,
    ) {
        let message = BudgetMessage::TransferAck { sequence };
        self.effects.push(LedgerEffect::Send {
            to: from.clone(),
            message,
        });
        if !self.transfers.accept(from, sequence) {
            return;
        }
        let key = self.register(budget);
        self.activate(key);
        let is_owner = self.is_owner(&self.accounts[key]);
        let scarce_until = now + self.options.end_wait * SCARCE_WAITS;
        let account = &mut self.accounts[key];
        account.add_unreported(spent, now);
        if !amount.is_zero() {
            let wanted = account.wanted;
            account.add_balance(amount);
            if is_owner {
                account.forecast.remove(amount);
            }
            let balance = account.balance;
            let work = account.work();
            let is_partial = amount < work.asked_amount;
            // Who has tokens to give needs none; two instances that remember what the other asked
            // for would pass the same tokens back and forth.
            work.borrowers.retain(|demand| demand.holder != *from);
            work.borrowed = work.borrowed.saturating_add(amount);
            (work.asked_at, work.asks, work.vain_searches) = (None, 0, 0);
            // Requests that came after the question make no loan a partial one.
            if !is_owner && is_partial && balance < wanted {
                work.scarce_until = scarce_until;
            }
        }
        self.urgent.insert(key);
    }

    fn take_return_idle(&mut self, from: &HolderId, budget: BudgetName, now: MonotonicTime) {
        if self.is_draining {
            return;
        }
        let Some(key) = self.names.get(&budget).copied() else {
            return;
        };
        let scarce_until = now + self.options.end_wait * SCARCE_WAITS;
        let lendable = self.lendable(key);
        let account = &mut self.accounts[key];
        let work = account.work();
        work.scarce_until = scarce_until;
        let is_asking = work
            .searched_at
            .is_none_or(|at| now.since(at) >= self.options.borrow_timeout);
        // Each asking domain gets a share, so that the rest is not moved from one to the next.
        let soon = account.forecast.predict(self.options.flush_period);
        let idle = lendable.saturating_sub(soon).max(lendable.scaled(0.5));
        let few = account.request_size.get().saturating_mul(GIVEN_REQUESTS);
        let share = idle.scaled(1.0 / f64::from(self.options.domains.max(1)));
        let given = share.max(TokenCount::new(few)).min(idle);
        self.transfer(key, from, given, TokenCount::ZERO, now);
        self.urgent.insert(key);
        if is_asking && !self.is_neighbour(from) && self.is_owner(&self.accounts[key]) {
            let work = self.accounts[key].work();
            work.searched_at = Some(now);
            work.searches = work.searches.wrapping_add(1);
            let message = BudgetMessage::ReturnIdle {
                budget: self.accounts[key].budget.clone(),
            };
            // On behalf of the other domain.
            self.ask_neighbours(key, &message);
        }
    }

    /// Sends a question to a few neighbours, to other ones in each search.
    fn ask_neighbours(&mut self, key: BudgetKey, message: &BudgetMessage) {
        let turn = self.accounts[key].work().searches as usize;
        let members = self.peers.members(&self.options.domain);
        let others = members.iter().filter(|to| **to != self.holder);
        for to in take_turn(others, turn, ASKED_NEIGHBOURS) {
            self.effects.push(LedgerEffect::Send {
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    /// Returns the tokens that may be given to another instance.
    fn lendable(&self, key: BudgetKey) -> TokenCount {
        let account = &self.accounts[key];
        match self.options.policy.is_lending() {
            true => account.balance.saturating_sub(account.wanted),
            false => TokenCount::ZERO,
        }
    }

    /// Transfers tokens to an instance that asked for them; they count as burn of the lender, which
    /// draws for others as well.
    fn lend(&mut self, key: BudgetKey, to: &HolderId, amount: TokenCount, now: MonotonicTime) {
        self.accounts[key].forecast.add(amount);
        self.transfer(key, to, amount, TokenCount::ZERO, now);
    }

    /// Transfers tokens, and spent tokens to be reported, to another instance.
    fn transfer(
        &mut self,
        key: BudgetKey,
        to: &HolderId,
        amount: TokenCount,
        spent: TokenCount,
        now: MonotonicTime,
    ) {
        let account = &mut self.accounts[key];
        let amount = amount.min(account.balance);
        if amount.is_zero() && spent.is_zero() {
            return;
        }
        account.balance = account.balance.saturating_sub(amount);
        if !spent.is_zero() {
            account.remove_unreported(spent, now);
        }
        let work = account.work();
        work.lent = work.lent.saturating_add(amount);
        let (budget, delay) = (account.budget.clone(), self.options.resend_initial);
        let message = self
            .transfers
            .open(to, budget, amount, spent, now + delay, delay);
        self.effects.push(LedgerEffect::Send {
            to: to.clone(),
            message,
        });
    }

    /// Returns whether the platform is there and is not known to have no tokens left.
    fn can_draw(&self, account: &Account) -> bool {
        let totals = self.totals(account);
        let is_empty = totals.is_some_and(|totals| totals.available.is_zero());
        !self.platform.is_away() && !is_empty
    }

    fn is_neighbour(&self, holder: &HolderId) -> bool {
        self.peers.members(&self.options.domain).contains(holder)
    }

    /// Returns whether this instance is the shard owner of its domain for a budget.
    pub(super) fn is_owner(&self, account: &Account) -> bool {
        self.owner(account)
            .is_none_or(|owner| *owner == self.holder)
    }

    fn owner(&self, account: &Account) -> Option<&HolderId> {
        self.shards.get(&account.shard)?.owner.as_ref()
    }

    /// Returns whether this instance draws from the platform for itself.
    pub(super) fn is_drawing(&self, account: &Account, now: MonotonicTime) -> bool {
        let is_silent = |work: &super::account::AccountWork| now < work.silent_until;
        !self.options.policy.is_lending()
            || self.is_owner(account)
            || account.work.as_deref().is_some_and(is_silent)
    }

    /// Serves waiting requests and borrowers of a budget, and asks other instances for tokens.
    pub(super) fn visit(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &mut self.accounts[key];
        account.forecast.update(now);
        account.expire(self.options.end_wait, now);
        self.serve(key, now);
        if self.is_draining {
            return self.hand_over(key, now);
        }
        if !self.options.policy.is_lending() {
            return self.note_surplus(key, now);
        }
        if self.is_drawing(&self.accounts[key], now) {
            self.search(key, now);
        } else {
            self.borrow(key, now);
        }
        self.note_surplus(key, now);
    }

    /// Wakes waiting requests after the balance has grown, and gives borrowers the rest.
    fn serve(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &mut self.accounts[key];
        let has_grown = account.work.as_ref().is_some_and(|work| work.has_grown);
        if !has_grown || account.balance.is_zero() {
            return;
        }
        account.work().has_grown = false;
        let mut free = account.balance.saturating_sub(account.wanted);
        if !account.wanted.is_zero() {
            account.wanted = TokenCount::ZERO;
            self.effects.push(LedgerEffect::Wake { budget: key });
        }
        let demands = std::mem::take(&mut self.accounts[key].work().borrowers);
        for mut demand in demands {
            let given = demand.amount.min(free);
            free = free.saturating_sub(given);
            self.lend(key, &demand.holder, given, now);
            demand.amount = demand.amount.saturating_sub(given);
            if !demand.amount.is_zero() {
                self.accounts[key].work().borrowers.push(demand);
            }
        }
    }

    /// Asks the shard owner for tokens, and turns to the platform if it does not answer.
    fn borrow(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &self.accounts[key];
        let goal = self.draw_goal(account, BudgetTotals::default(), now);
        if account.balance >= goal.refill_below {
            return;
        }
        let amount = goal.target.saturating_sub(account.balance);
        let Some(owner) = self.owner(account).cloned() else {
            return;
        };
        let asked_at = account.work.as_ref().and_then(|work| work.asked_at);
        let is_heard = asked_at.is_some() && self.heard.get(&owner).copied() >= asked_at;
        // An owner that answers may be waiting for the platform itself.
        let asks = match is_heard {
            true => self.options.max_owner_requests,
            false => UNHEARD_ASKS,
        };
        let (timeout, silence) = (self.options.borrow_timeout, self.options.direct_draw_period);
        let is_waiting = account.wanted > account.balance;
        let work = self.accounts[key].work();
        // A request that just arrived is not made to wait because earlier questions were in vain.
        let wait = match work.is_new_need {
            true => timeout,
            false => back_off(timeout, work.asks),
        };
        match work.asked_at {
            Some(at) if now.since(at) < wait => {}
            Some(_) if is_waiting && work.asks >= asks => {
                (work.asked_at, work.asks) = (None, 0);
                work.silent_until = now + silence;
                self.search(key, now);
            }
            _ => {
                work.asked_at = Some(now);
                work.asked_amount = amount;
                work.asks = work.asks.saturating_add(1);
                work.is_new_need = false;
                let budget = self.accounts[key].budget.clone();
                let message = BudgetMessage::BorrowRequest { budget, amount };
                self.effects.push(LedgerEffect::Send { to: owner, message });
            }
        }
    }

    /// Asks all neighbours and the owners of other domains if the platform cannot help.
    fn search(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &self.accounts[key];
        let shortfall = account.need().saturating_sub(account.balance);
        let totals = self.totals(account);
        let available = totals.map(|totals| totals.available);
        let is_covered = available.is_none_or(|available| available >= shortfall);
        if shortfall.is_zero() || (is_covered && !self.platform.is_away()) {
            return;
        }
        if let Some(work) = &account.work
            && let Some(at) = work.searched_at
            && now.since(at) < back_off(self.options.borrow_timeout, work.vain_searches)
        {
            return;
        }
        let (budget, shard) = (account.budget.clone(), account.shard);
        let soon = account.forecast.predict(self.options.borrow_horizon);
        let scarce_until = now + self.options.end_wait * SCARCE_WAITS;
        let work = self.accounts[key].work();
        work.searched_at = Some(now);
        work.scarce_until = scarce_until;
        work.searches = work.searches.wrapping_add(1);
        // The richest lender comes first again once tokens came.
        let turn = usize::from(work.vain_searches);
        work.vain_searches = work.vain_searches.saturating_add(1);
        let message = BudgetMessage::BorrowRequest {
            budget: budget.clone(),
            amount: shortfall,
        };
        self.ask_neighbours(key, &message);
        let lenders = self.rank_lenders(key, shard);
        let turn = turn % lenders.len().max(1);
        let (lender, idle) = (lenders.get(turn), lenders.get(turn + 1));
        if let Some((to, held)) = lender {
            // Another domain's reserve is taken only where there is plenty of it.
            let wish = shortfall.saturating_add(soon);
            let amount = match *held >= wish.scaled(PLENTY_FACTOR) {
                true => wish,
                false => shortfall,
            };
            let message = BudgetMessage::BorrowRequest {
                budget: budget.clone(),
                amount,
            };
            let to = to.clone();
            self.effects.push(LedgerEffect::Send { to, message });
        }
        if let Some((to, _)) = idle {
            let to = to.clone();
            let message = BudgetMessage::ReturnIdle { budget };
            self.effects.push(LedgerEffect::Send { to, message });
        }
    }

    /// Returns the owners of other domains with the tokens that they held when the shard was read
    /// last, most first.
    fn rank_lenders(&self, key: BudgetKey, shard: ShardNumber) -> Vec<(HolderId, TokenCount)> {
        let cached = self
            .shards
            .get(&shard)
            .and_then(|sync| sync.cached.as_ref());
        let entry = cached.and_then(|cached| cached.value.budgets.get(&self.accounts[key].budget));
        let held = |holder: &HolderId| {
            let rows = entry.into_iter().flat_map(|entry| &entry.rows);
            let own = rows.filter(|row| row.holder == *holder);
            own.map(HolderRow::remainder).sum()
        };
        let owners = self.peers.other_owners(&self.options.domain, shard);
        let mut lenders: Vec<(HolderId, TokenCount)> = owners
            .map(|holder| (holder.clone(), held(holder)))
            .collect();
        lenders.sort_by_key(|(_, held)| std::cmp::Reverse(*held));
        lenders
    }

    /// Notes since when the balance exceeds its goal, and hands surplus and reports of a neighbour
    /// to the shard owner.
    fn note_surplus(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &self.accounts[key];
        let totals = self.totals(account).unwrap_or_default();
        let goal = self.draw_goal(account, totals, now);
        let has_surplus = account.balance > goal.return_above;
        let work = self.accounts[key].work();
        work.surplus_since = match has_surplus {
            true => work.surplus_since.or(Some(now)),
            false => None,
        };
        let account = &self.accounts[key];
        if self.is_drawing(account, now) {
            return;
        }
        let Some(owner) = self.owner(account).cloned() else {
            return;
        };
        let is_surplus_old = self.is_surplus_old(account, goal, now);
        let amount = match is_surplus_old {
            true => account.balance.saturating_sub(goal.return_target),
            false => TokenCount::ZERO,
        };
        let dirty_since = account.work.as_ref().and_then(|work| work.dirty_since);
        // The owner reports later in turn, so a neighbour hands its reports over earlier.
        let delay = self.flush_delay(account, now) / 4;
        let is_due = is_surplus_old || dirty_since.is_some_and(|since| now.since(since) >= delay);
        if is_due {
            let spent = account.unsent();
            self.transfer(key, &owner, amount, spent, now);
        }
    }

    /// Returns whether the balance has exceeded its goal long enough to be returned.
    pub(super) fn is_surplus_old(
        &self,
        account: &Account,
        goal: DrawGoal,
        now: MonotonicTime,
    ) -> bool {
        let surplus = account.balance.saturating_sub(goal.return_target).get();
        let is_large = surplus
            > account
                .request_size
                .get()
                .saturating_mul(self.options.draw_requests);
        let delay = match goal.is_scarce {
            true => self.options.flush_period,
            false if is_large => IDLE_PERIOD.min(self.options.idle_return),
            false if self.is_drawing(account, now) => self.options.idle_return,
            // A return to the shard owner costs no platform write.
            false => self.options.borrow_horizon.min(self.options.idle_return),
        };
        let since = account.work.as_ref().and_then(|work| work.surplus_since);
        account.balance > goal.return_above && since.is_some_and(|since| now.since(since) >= delay)
    }

    /// Hands balance and reports of a draining process to another one while the platform is away.
    fn hand_over(&mut self, key: BudgetKey, now: MonotonicTime) {
        // Once the next call is due, it comes first: draining instances that all remember an
        // outage would otherwise pass the same tokens around for ever after its end.
        if !self.platform.is_waiting(now) {
            return;
        }
        let account = &self.accounts[key];
        let (amount, spent) = (account.balance, account.unsent());
        if let Some(heir) = self.find_heir(account).cloned() {
            self.transfer(key, &heir, amount, spent, now);
        }
    }

    /// Returns the instance that takes over from a draining one: the shard owner, another
    /// neighbour, or an owner in another domain.
    fn find_heir(&self, account: &Account) -> Option<&HolderId> {
        let domain = &self.options.domain;
        let is_other = |peer: &&HolderId| **peer != self.holder;
        let owner = self.owner(account).filter(is_other);
        let neighbour = self.peers.members(domain).iter().find(is_other);
        let distant = self.peers.other_owners(domain, account.shard).next();
        owner.or(neighbour).or(distant)
    }
}

/// Returns the time until a question that brought no tokens `vain` times is repeated.
fn back_off(timeout: Duration, vain: u8) -> Duration {
    let doublings = u32::from(vain.saturating_sub(1)).min(MAX_BACKOFF.ilog2());
    timeout * (1 << doublings)
}

/// Returns the `count` candidates whose turn it is.
fn take_turn<'a>(
    candidates: impl Iterator<Item = &'a HolderId>,
    turn: usize,
    count: usize,
) -> Vec<&'a HolderId> {
    let mut candidates: Vec<&HolderId> = candidates.collect();
    if !candidates.is_empty() {
        let first = turn * count % candidates.len();
        candidates.rotate_left(first);
    }
    candidates.truncate(count);
    candidates
}
