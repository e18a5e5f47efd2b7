//! Lending of tokens between instances, and the handling of budgets that run short.
//!
//! A neighbour is another instance of the same failure domain. In each domain, one instance per
//! shard, the shard owner, normally draws from the platform; its neighbours borrow from it.

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

/// How long a budget counts as scarce after the last sign of scarcity, in multiples of
/// [`LedgerOptions::end_wait`](crate::budget::LedgerOptions::end_wait).
const SCARCE_PERIOD_WAITS: u32 = 40;

/// Number of requests to a silent shard owner before a borrower draws from the platform itself.
/// More than one, because single messages may be lost.
const MAX_UNANSWERED_ASKS: u8 = 2;

/// Number of neighbours asked per search; the following searches ask the others. Neighbours hold
/// tokens only if they use the budget continuously.
const NEIGHBOURS_PER_SEARCH: usize = 2;

/// Multiple of the desired loan that an owner in another domain must hold to be asked for all of
/// it. An owner that holds less is asked only for what the waiting requests need.
const PLENTY_FACTOR: f64 = 4.0;

/// Upper limit of the backoff factor between requests that yield no tokens.
const MAX_BACKOFF: u32 = 32;

/// Minimum size of a return of idle tokens to another domain, in average requests. A return is
/// smaller only if there are fewer idle tokens.
const IDLE_SHARE_REQUESTS: u64 = 8;

impl BudgetLedger {
    /// Handles a message from a peer.
    pub(super) fn on_message(
        &mut self,
        from: &HolderId,
        to: &HolderId,
        message: BudgetMessage,
        now: MonotonicTime,
    ) {
        // Tokens transferred to an earlier incarnation belong to that incarnation.
        if *to != self.holder {
            return;
        }
        self.last_heard.insert(from.clone(), now);
        match message {
            BudgetMessage::BorrowRequest { budget, amount } => {
                self.on_borrow_request(from, budget, amount, now);
            }
            BudgetMessage::Transfer {
                sequence,
                budget,
                amount,
                spent,
            } => {
                self.on_transfer(from, sequence, budget, (amount, spent), now);
            }
            BudgetMessage::TransferAck { sequence } => self.transfers.acknowledge(from, sequence),
            BudgetMessage::ReturnIdle { budget } => self.on_return_idle(from, budget, now),
        }
    }

    fn on_borrow_request(
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
        if given.is_zero() && !self.is_platform_away(now) {
            // Tells the borrower that this instance is trying to get tokens. While the platform is
            // down for this instance, it does not answer, so that a borrower that can reach the
            // platform draws for itself.
            let message = BudgetMessage::TransferAck { sequence: 0 };
            self.effects.push(LedgerEffect::Send {
                to: from.clone(),
                message,
            });
        }
        if !self.is_owner(&self.accounts[key]) || rest.is_zero() {
            return;
        }
        // If nothing can be drawn, tokens come only from other instances. Owners that keep each
        // other's requests would then pass the same few tokens around until the requests expire.
        if !self.is_neighbour(from) && !self.can_draw(&self.accounts[key], now) {
            return;
        }
        let exchange = self.accounts[key].exchange_mut();
        exchange.borrowers.retain(|demand| demand.holder != *from);
        exchange.borrowers.push(BorrowDemand {
            holder: from.clone(),
            amount: rest,
            asked_at: now,
        });
        self.urgent.insert(key);
    }

    fn on_transfer(
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
        let is_neighbour = self.is_neighbour(from);
        let scarce_until = now + self.options.end_wait * SCARCE_PERIOD_WAITS;
        let account = &mut self.accounts[key];
        account.add_unreported(spent, now);
        if is_neighbour {
            account.close_loans(spent, amount);
        }
        if !amount.is_zero() {
            let wanted = account.wanted;
            account.add_balance(amount);
            let balance = account.balance;
            let exchange = account.exchange_mut();
            let is_partial = amount < exchange.asked_amount;
            // An instance that gives tokens needs none. If its earlier request were kept, two
            // instances would pass the same tokens back and forth.
            exchange.borrowers.retain(|demand| demand.holder != *from);
            exchange.borrowed = exchange.borrowed.saturating_add(amount);
            (
                exchange.asked_at,
                exchange.ask_count,
                exchange.failed_searches,
            ) = (None, 0, 0);
            // Demand that arose after the borrow request does not make the loan a partial one.
            if !is_owner && is_partial && balance < wanted {
                exchange.scarce_until = scarce_until;
            } else if !is_owner && !is_partial && is_neighbour {
                exchange.scarce_until = now;
            }
        }
        self.urgent.insert(key);
    }

    fn on_return_idle(&mut self, from: &HolderId, budget: BudgetName, now: MonotonicTime) {
        if self.is_draining {
            return;
        }
        let Some(key) = self.names.get(&budget).copied() else {
            return;
        };
        let scarce_until = now + self.options.end_wait * SCARCE_PERIOD_WAITS;
        let lendable = self.lendable(key);
        let account = &mut self.accounts[key];
        let exchange = account.exchange_mut();
        exchange.scarce_until = scarce_until;
        let is_asking = exchange
            .last_search_at
            .is_none_or(|at| now.since(at) >= self.options.borrow_timeout);
        // Each requesting domain gets only a share, so that the idle tokens do not move from one
        // domain to the next as a whole.
        let soon = account.forecast.predict(self.options.flush_period);
        let idle = lendable.saturating_sub(soon).max(lendable.scaled(0.5));
        let minimum = account
            .request_size
            .get()
            .saturating_mul(IDLE_SHARE_REQUESTS);
        let share = idle.scaled(1.0 / f64::from(self.options.domains.max(1)));
        let given = share.max(TokenCount::new(minimum)).min(idle);
        self.transfer(key, from, given, TokenCount::ZERO, now);
        self.urgent.insert(key);
        if is_asking && !self.is_neighbour(from) && self.is_owner(&self.accounts[key]) {
            let exchange = self.accounts[key].exchange_mut();
            exchange.last_search_at = Some(now);
            exchange.search_count = exchange.search_count.wrapping_add(1);
            let message = BudgetMessage::ReturnIdle {
                budget: self.accounts[key].budget.clone(),
            };
            // Forwards the request on behalf of the other domain.
            self.ask_neighbours(key, &message);
        }
    }

    /// Sends a request to a few neighbours, selected round-robin by the search count.
    fn ask_neighbours(&mut self, key: BudgetKey, message: &BudgetMessage) {
        let turn = self.accounts[key].exchange_mut().search_count as usize;
        let members = self.peers.members(&self.options.domain);
        let others = members.iter().filter(|to| **to != self.holder);
        for to in select_round_robin(others, turn, NEIGHBOURS_PER_SEARCH) {
            self.effects.push(LedgerEffect::Send {
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    /// Returns the number of tokens that may be given to another instance.
    fn lendable(&self, key: BudgetKey) -> TokenCount {
        let account = &self.accounts[key];
        match self.options.policy.is_lending() {
            true => account.balance.saturating_sub(account.wanted),
            false => TokenCount::ZERO,
        }
    }

    /// Transfers tokens to an instance that asked for them. Loans to neighbours count towards the
    /// lender's burn forecast, because it draws for them as well; other domains draw for themselves.
    fn lend(&mut self, key: BudgetKey, to: &HolderId, amount: TokenCount, now: MonotonicTime) {
        if self.is_neighbour(to) {
            self.accounts[key].open_loan(amount);
        }
        self.transfer(key, to, amount, TokenCount::ZERO, now);
    }

    /// Transfers tokens, and spent tokens that the receiver must report, to another instance.
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
        let exchange = account.exchange_mut();
        exchange.lent = exchange.lent.saturating_add(amount);
        let (budget, delay) = (account.budget.clone(), self.options.resend_initial);
        let message = self
            .transfers
            .open(to, budget, amount, spent, now + delay, delay);
        self.effects.push(LedgerEffect::Send {
            to: to.clone(),
            message,
        });
    }

    /// Returns whether the platform is up and the budget is not known to be exhausted there.
    fn can_draw(&self, account: &Account, now: MonotonicTime) -> bool {
        let totals = self.totals(account);
        let is_empty = totals.is_some_and(|totals| totals.available.is_zero());
        !self.is_platform_away(now) && !is_empty
    }

    fn is_neighbour(&self, holder: &HolderId) -> bool {
        self.peers.members(&self.options.domain).contains(holder)
    }

    /// Returns whether this instance is its domain's shard owner for a budget, or no owner is
    /// known.
    pub(super) fn is_owner(&self, account: &Account) -> bool {
        self.owner(account)
            .is_none_or(|owner| *owner == self.holder)
    }

    fn owner(&self, account: &Account) -> Option<&HolderId> {
        self.shards.get(&account.shard)?.owner.as_ref()
    }

    /// Returns whether this instance draws from the platform itself instead of borrowing.
    pub(super) fn draws_directly(&self, account: &Account, now: MonotonicTime) -> bool {
        let bypasses_owner =
            |exchange: &super::account::ExchangeState| now < exchange.bypass_owner_until;
        // Without the platform the shard owner, which also asks other domains, is still the best
        // source.
        let is_bypassing = account.exchange.as_deref().is_some_and(bypasses_owner);
        !self.options.policy.is_lending()
            || self.is_owner(account)
            || (is_bypassing && !self.is_platform_away(now))
    }

    /// Updates a budget: serves waiting requests and borrowers, asks other instances for tokens if
    /// it runs short, and handles surplus.
    pub(super) fn update_account(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &mut self.accounts[key];
        account.forecast.update(now);
        account.expire(self.options.end_wait, now);
        self.serve_waiters(key, now);
        if self.is_draining {
            return self.hand_over(key, now);
        }
        if !self.options.policy.is_lending() {
            return self.update_surplus(key, now);
        }
        if self.draws_directly(&self.accounts[key], now) {
            self.search_peers(key, now);
        } else {
            self.borrow_from_owner(key, now);
        }
        self.update_surplus(key, now);
    }

    /// Wakes waiting requests after the balance has grown, and lends the rest to borrowers.
    fn serve_waiters(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &mut self.accounts[key];
        let has_balance_grown = account
            .exchange
            .as_ref()
            .is_some_and(|exchange| exchange.has_balance_grown);
        if !has_balance_grown || account.balance.is_zero() {
            return;
        }
        account.exchange_mut().has_balance_grown = false;
        let mut free = account.balance.saturating_sub(account.wanted);
        if !account.wanted.is_zero() {
            account.wanted = TokenCount::ZERO;
            self.effects.push(LedgerEffect::Wake { budget: key });
        }
        let demands = std::mem::take(&mut self.accounts[key].exchange_mut().borrowers);
        for mut demand in demands {
            let given = demand.amount.min(free);
            free = free.saturating_sub(given);
            self.lend(key, &demand.holder, given, now);
            demand.amount = demand.amount.saturating_sub(given);
            if !demand.amount.is_zero() {
                self.accounts[key].exchange_mut().borrowers.push(demand);
            }
        }
    }

    /// Asks the shard owner for tokens. Switches to direct draws if it does not provide them in
    /// time.
    fn borrow_from_owner(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &self.accounts[key];
        let goal = self.draw_goal(account, BudgetTotals::default(), now);
        if account.balance >= goal.refill_below {
            return;
        }
        let amount = goal.target.saturating_sub(account.balance);
        let Some(owner) = self.owner(account).cloned() else {
            return;
        };
        let asked_at = account
            .exchange
            .as_ref()
            .and_then(|exchange| exchange.asked_at);
        let has_answered = asked_at.is_some() && self.last_heard.get(&owner).copied() >= asked_at;
        // An owner that answers without tokens may itself be waiting for the platform.
        let max_asks = match has_answered {
            true => self.options.max_owner_requests,
            false => MAX_UNANSWERED_ASKS,
        };
        let (timeout, silence) = (self.options.borrow_timeout, self.options.direct_draw_period);
        let is_waiting = account.wanted > account.balance;
        let is_platform_away = self.is_platform_away(now);
        let exchange = self.accounts[key].exchange_mut();
        // New demand does not wait for the backoff of earlier unsuccessful requests.
        let wait = match exchange.has_new_demand {
            true => timeout,
            false => backoff(timeout, exchange.ask_count),
        };
        match exchange.asked_at {
            Some(at) if now.since(at) < wait => {}
            Some(_) if is_waiting && exchange.ask_count >= max_asks && !is_platform_away => {
                (exchange.asked_at, exchange.ask_count) = (None, 0);
                exchange.bypass_owner_until = now + silence;
                self.search_peers(key, now);
            }
            _ => {
                exchange.asked_at = Some(now);
                exchange.asked_amount = amount;
                exchange.ask_count = exchange.ask_count.saturating_add(1);
                exchange.has_new_demand = false;
                let budget = self.accounts[key].budget.clone();
                let message = BudgetMessage::BorrowRequest { budget, amount };
                self.effects.push(LedgerEffect::Send { to: owner, message });
                if is_waiting && is_platform_away && !has_answered {
                    self.search_peers(key, now);
                }
            }
        }
    }

    /// Asks some neighbours and owners in other domains for tokens if the platform cannot cover the
    /// shortfall.
    fn search_peers(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &self.accounts[key];
        let shortfall = account.need().saturating_sub(account.balance);
        let totals = self.totals(account);
        let available = totals.map(|totals| totals.available);
        let is_covered = available.is_none_or(|available| available >= shortfall);
        if shortfall.is_zero() || (is_covered && !self.is_platform_away(now)) {
            return;
        }
        if let Some(exchange) = &account.exchange
            && let Some(at) = exchange.last_search_at
            && now.since(at) < backoff(self.options.borrow_timeout, exchange.failed_searches)
        {
            return;
        }
        let (budget, shard) = (account.budget.clone(), account.shard);
        let soon = account.forecast.predict(self.options.borrow_horizon);
        let scarce_until = now + self.options.end_wait * SCARCE_PERIOD_WAITS;
        let exchange = self.accounts[key].exchange_mut();
        exchange.last_search_at = Some(now);
        exchange.scarce_until = scarce_until;
        exchange.search_count = exchange.search_count.wrapping_add(1);
        // Starts with the lender that holds most; moves on to the next one after each failed
        // search.
        let turn = usize::from(exchange.failed_searches);
        exchange.failed_searches = exchange.failed_searches.saturating_add(1);
        let message = BudgetMessage::BorrowRequest {
            budget: budget.clone(),
            amount: shortfall,
        };
        self.ask_neighbours(key, &message);
        let lenders = self.rank_lenders(key, shard);
        let turn = turn % lenders.len().max(1);
        let (lender, idle) = (lenders.get(turn), lenders.get(turn + 1));
        if let Some((to, held)) = lender {
            // More than the shortfall is requested only from an owner that holds plenty, to spare
            // the reserve of its domain.
            let desired = shortfall.saturating_add(soon);
            let amount = match *held >= desired.scaled(PLENTY_FACTOR) {
                true => desired,
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

    /// Returns the owners in other domains with the tokens that they held at the last read of the
    /// shard, in descending order.
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

    /// Tracks since when the balance exceeds its goal. A borrower also hands due surplus and
    /// reports over to the shard owner.
    fn update_surplus(&mut self, key: BudgetKey, now: MonotonicTime) {
        let account = &self.accounts[key];
        let totals = self.totals(account).unwrap_or_default();
        let goal = self.draw_goal(account, totals, now);
        let has_surplus = account.balance > goal.return_above;
        let exchange = self.accounts[key].exchange_mut();
        exchange.surplus_since = match has_surplus {
            true => exchange.surplus_since.or(Some(now)),
            false => None,
        };
        let account = &self.accounts[key];
        if self.draws_directly(account, now) {
            return;
        }
        let Some(owner) = self.owner(account).cloned() else {
            return;
        };
        let is_surplus_due = self.is_surplus_due(account, goal, now);
        let amount = match is_surplus_due {
            true => account.balance.saturating_sub(goal.return_target),
            false => TokenCount::ZERO,
        };
        let unreported_since = account
            .exchange
            .as_ref()
            .and_then(|exchange| exchange.unreported_since);
        // The shard owner adds its own reporting delay, so a borrower hands its reports over
        // earlier.
        let delay = self.flush_delay(account, now) / 4;
        let is_due =
            is_surplus_due || unreported_since.is_some_and(|since| now.since(since) >= delay);
        if is_due {
            let spent = account.unsent();
            self.transfer(key, &owner, amount, spent, now);
        }
    }

    /// Returns whether the balance has exceeded its goal for long enough to be returned.
    pub(super) fn is_surplus_due(
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
            false if self.draws_directly(account, now) => self.options.idle_return,
            // A return to the shard owner needs no platform write.
            false => self.options.borrow_horizon.min(self.options.idle_return),
        };
        let since = account
            .exchange
            .as_ref()
            .and_then(|exchange| exchange.surplus_since);
        account.balance > goal.return_above && since.is_some_and(|since| now.since(since) >= delay)
    }

    /// Hands the balance and reports of a draining process over to another one: the balance of a
    /// budget in use once, so that the next shard owner has it even if the platform is away and this
    /// process has not noticed; afterwards only while the platform is down.
    fn hand_over(&mut self, key: BudgetKey, now: MonotonicTime) {
        if self.options.policy.is_lending() && self.hand_over_in_use(key, now) {
            return;
        }
        // Once a platform retry is due, it takes precedence. Otherwise draining instances that
        // still assume an outage after its end would pass the same tokens around indefinitely.
        if !self.platform.is_backing_off(now) {
            return;
        }
        let account = &self.accounts[key];
        let (amount, spent) = (account.balance, account.unsent());
        if let Some(successor) = self.find_successor(account).cloned() {
            self.transfer(key, &successor, amount, spent, now);
        }
    }

    /// Returns whether the balance was handed over to the next shard owner of the domain.
    fn hand_over_in_use(&mut self, key: BudgetKey, now: MonotonicTime) -> bool {
        let account = &self.accounts[key];
        let has_moved = account
            .exchange
            .as_ref()
            .is_some_and(|exchange| exchange.is_handed_over);
        let is_in_use = !account.forecast.predict(self.options.horizon).is_zero();
        if has_moved || !is_in_use || account.balance.is_zero() {
            return false;
        }
        let (domain, shard) = (&self.options.domain, account.shard);
        let Some(successor) = self.peers.successor(domain, shard, &self.holder) else {
            return false;
        };
        let (successor, amount) = (successor.clone(), account.balance);
        self.accounts[key].exchange_mut().is_handed_over = true;
        self.transfer(key, &successor, amount, TokenCount::ZERO, now);
        true
    }

    /// Returns the instance that takes over the tokens of a draining one: the next shard owner of
    /// the domain or, without neighbours, an owner in another domain.
    fn find_successor(&self, account: &Account) -> Option<&HolderId> {
        let domain = &self.options.domain;
        let neighbour = self.peers.successor(domain, account.shard, &self.holder);
        let remote = self.peers.other_owners(domain, account.shard).next();
        neighbour.or(remote)
    }
}

/// Returns the delay before a request is repeated that has yielded no tokens `failed` times.
fn backoff(timeout: Duration, failed: u8) -> Duration {
    let doublings = u32::from(failed.saturating_sub(1)).min(MAX_BACKOFF.ilog2());
    timeout * (1 << doublings)
}

/// Selects `count` candidates round-robin; each `turn` starts after the previous selection.
fn select_round_robin<'a>(
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
