//! Planning of draws, returns and reports to the platform.

use std::time::Duration;

use super::{
    BudgetKey, BudgetLedger,
    account::{Account, RowChange},
};
use crate::{
    base::{MonotonicTime, TokenCount},
    budget::{BudgetTotals, DrawGoal, DrawInput, DrawPolicy},
};

/// Specifies how soon a row change should be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// With the next write of the shard that has another reason.
    Later,
    /// Within the flush period.
    Soon,
    /// At once, because a request is waiting.
    Now,
}

/// The planned platform operation for one budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct RowPlan {
    pub(super) change: RowChange,
    pub(super) urgency: Urgency,
    /// The cache age from which the shard is read again even if there is nothing to write.
    pub(super) read_after: Option<Duration>,
}

impl RowPlan {
    const NONE: Self = Self {
        change: RowChange {
            draw: TokenCount::ZERO,
            give_back: TokenCount::ZERO,
            is_closing: false,
        },
        urgency: Urgency::Later,
        read_after: None,
    };
}

impl BudgetLedger {
    /// Returns the totals of a budget as of the last read, with the paid amount of the newest known
    /// configuration version.
    pub(super) fn totals(&self, account: &Account) -> Option<BudgetTotals> {
        let cached = self.shards.get(&account.shard)?.cached.as_ref()?;
        let mut totals = cached.value.totals(&account.budget);
        let stored = cached.value.budgets.get(&account.budget);
        let paid = account.exchange.as_ref().and_then(|exchange| exchange.paid);
        if let Some(paid) = paid
            && stored.is_none_or(|entry| entry.paid_version < paid.version)
        {
            totals.paid = paid.amount;
            let unavailable = totals.spent.saturating_add(totals.held);
            totals.available = paid.amount.saturating_sub(unavailable);
        }
        Some(totals)
    }

    /// Returns the target balance: the draw goal of a shard owner, or the loan goal of a borrower.
    pub(super) fn draw_goal(
        &self,
        account: &Account,
        totals: BudgetTotals,
        now: MonotonicTime,
    ) -> DrawGoal {
        let exchange = account.exchange.as_deref();
        let input = DrawInput {
            totals,
            balance: account.balance,
            need: account.need(),
            drawn: exchange.map_or(TokenCount::ZERO, |exchange| exchange.drawn),
            request_size: account.request_size,
            delay: self.platform.delay,
            is_scarce: exchange.is_some_and(|exchange| now < exchange.scarce_until),
            uptime: now.since(MonotonicTime::START),
        };
        let options = &self.options;
        match self.draws_directly(account, now) {
            true => options.policy.goal(&input, &account.forecast, options),
            false => options.policy.loan_goal(&input, &account.forecast, options),
        }
    }

    /// Plans the next platform operation for a budget.
    pub(super) fn plan_row(&self, key: BudgetKey, now: MonotonicTime) -> RowPlan {
        let account = &self.accounts[key];
        if self.is_draining {
            return plan_drain(account);
        }
        let Some(totals) = self.totals(account) else {
            let is_needed = self.draws_directly(account, now) && !account.need().is_zero();
            let read_after =
                (is_needed || self.is_flush_due(account, now)).then_some(Duration::ZERO);
            return RowPlan {
                read_after,
                ..RowPlan::NONE
            };
        };
        // After a reduction of the paid amount, the granted tokens may exceed it.
        let granted = totals.spent.saturating_add(totals.held);
        let excess = granted.saturating_sub(totals.paid).min(account.balance);
        if !excess.is_zero() {
            let change = RowChange {
                give_back: excess,
                ..RowChange::default()
            };
            return RowPlan {
                change,
                urgency: Urgency::Soon,
                read_after: None,
            };
        }
        let goal = self.draw_goal(account, totals, now);
        let mut read_after = None;
        if self.draws_directly(account, now) && account.balance < goal.refill_below {
            let plan = self.plan_draw(account, totals, goal);
            if !plan.change.draw.is_zero() {
                return plan;
            }
            read_after = plan.read_after;
        }
        if self.is_surplus_due(account, goal, now) {
            let give_back = account.balance.saturating_sub(goal.return_target);
            // Rows of unused budgets are closed because they would enlarge every write of the
            // shard.
            let is_closing = give_back == account.balance && can_close(account);
            let change = RowChange {
                give_back,
                is_closing,
                ..RowChange::default()
            };
            return RowPlan {
                change,
                urgency: Urgency::Soon,
                read_after,
            };
        }
        let urgency = match self.is_flush_due(account, now) {
            true => Urgency::Soon,
            false => Urgency::Later,
        };
        RowPlan {
            urgency,
            read_after,
            ..RowPlan::NONE
        }
    }

    fn plan_draw(&self, account: &Account, totals: BudgetTotals, goal: DrawGoal) -> RowPlan {
        let shortfall = goal.target.saturating_sub(account.balance);
        let draw = shortfall.min(totals.available);
        let need = account.need();
        let urgency = match need > account.balance {
            true => Urgency::Now,
            false => Urgency::Soon,
        };
        // An exhausted budget is read again only while a request waits for it.
        let read_after = (need > account.balance).then_some(self.options.reread_period);
        let change = RowChange {
            draw,
            ..RowChange::default()
        };
        RowPlan {
            change,
            urgency,
            read_after,
        }
    }

    fn is_flush_due(&self, account: &Account, now: MonotonicTime) -> bool {
        let Some(since) = account
            .exchange
            .as_ref()
            .and_then(|exchange| exchange.unreported_since)
        else {
            return false;
        };
        now.since(since) >= self.flush_delay(account, now)
    }

    /// Returns the delay after which spent tokens are reported even if nothing else is to be
    /// written.
    pub(super) fn flush_delay(&self, account: &Account, now: MonotonicTime) -> Duration {
        let is_scarce = account
            .exchange
            .as_ref()
            .is_some_and(|exchange| now < exchange.scarce_until);
        match self.options.policy {
            DrawPolicy::PerRequest => Duration::ZERO,
            _ if is_scarce => self.options.flush_period,
            _ => self.options.idle_flush,
        }
    }
}

/// Returns whether this process's row exists and no open reservation may still add to it.
fn can_close(account: &Account) -> bool {
    account.has_row() && account.reserved.is_zero()
}

/// Plans the change by which a draining process returns a budget's tokens and closes its row.
fn plan_drain(account: &Account) -> RowPlan {
    let has_amounts = !account.balance.is_zero() || !account.unreported.is_zero();
    // A row that was never written cannot be closed, since the outcome of a write whose response is
    // lost could not be determined.
    let is_closing = can_close(account);
    if !has_amounts && !is_closing {
        return RowPlan::NONE;
    }
    let change = RowChange {
        give_back: account.balance,
        is_closing,
        ..RowChange::default()
    };
    RowPlan {
        change,
        urgency: Urgency::Now,
        read_after: None,
    }
}
