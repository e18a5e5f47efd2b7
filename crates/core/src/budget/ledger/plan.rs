//! Decision of what a ledger draws, returns and reports at the platform.

use std::time::Duration;

use super::{
    BudgetKey, BudgetLedger,
    account::{Account, RowChange},
};
use crate::{
    base::{MonotonicTime, TokenCount},
    budget::{BudgetTotals, DrawGoal, DrawInput, DrawPolicy},
};

/// Tells how soon a change of a row should be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// With the next write of the shard for another reason.
    Later,
    /// Within the flush period.
    Soon,
    /// A request waits.
    Now,
}

/// What should be done at the platform for one budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct RowPlan {
    pub(super) change: RowChange,
    pub(super) urgency: Urgency,
    /// The age beyond which the shard should be read again although there is nothing to write.
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
    /// Returns the totals of a budget at the last read.
    pub(super) fn totals(&self, account: &Account) -> Option<BudgetTotals> {
        let cached = self.shards.get(&account.shard)?.cached.as_ref()?;
        let mut totals = cached.value.totals(&account.budget);
        let stored = cached.value.budgets.get(&account.budget);
        let paid = account.work.as_ref().and_then(|work| work.paid);
        if let Some(paid) = paid
            && stored.is_none_or(|entry| entry.paid_version < paid.version)
        {
            totals.paid = paid.amount;
            let unavailable = totals.spent.saturating_add(totals.held);
            totals.available = paid.amount.saturating_sub(unavailable);
        }
        Some(totals)
    }

    /// Returns the balance that this instance should have if it draws for itself.
    pub(super) fn draw_goal(
        &self,
        account: &Account,
        totals: BudgetTotals,
        now: MonotonicTime,
    ) -> DrawGoal {
        let work = account.work.as_deref();
        let input = DrawInput {
            totals,
            balance: account.balance,
            need: account.need(),
            drawn: work.map_or(TokenCount::ZERO, |work| work.drawn),
            request_size: account.request_size,
            delay: self.platform.delay,
            is_scarce: work.is_some_and(|work| now < work.scarce_until),
            uptime: now.since(MonotonicTime::START),
        };
        let options = &self.options;
        match !options.policy.is_lending() || self.is_owner(account) {
            true => options.policy.goal(&input, &account.forecast, options),
            false => options.policy.loan_goal(&input, &account.forecast, options),
        }
    }

    /// Returns what should be done at the platform for a budget.
    pub(super) fn plan_row(&self, key: BudgetKey, now: MonotonicTime) -> RowPlan {
        let account = &self.accounts[key];
        if self.is_draining {
            return plan_drain(account);
        }
        let Some(totals) = self.totals(account) else {
            let is_needed = self.is_drawing(account, now) && !account.need().is_zero();
            let read_after =
                (is_needed || self.is_flush_due(account, now)).then_some(Duration::ZERO);
            return RowPlan {
                read_after,
                ..RowPlan::NONE
            };
        };
        // After the paid amount was lowered, more may be granted than was paid.
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
        if self.is_drawing(account, now) && account.balance < goal.refill_below {
            let plan = self.plan_draw(account, totals, goal);
            if !plan.change.draw.is_zero() {
                return plan;
            }
            read_after = plan.read_after;
        }
        if self.is_surplus_old(account, goal, now) {
            let give_back = account.balance.saturating_sub(goal.return_target);
            // The row of a budget that is no longer used would make every write longer.
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
        // Only a request justifies another look at an exhausted budget.
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
        let Some(since) = account.work.as_ref().and_then(|work| work.dirty_since) else {
            return false;
        };
        now.since(since) >= self.flush_delay(account, now)
    }

    /// Returns the time after which spent tokens are reported without another reason.
    pub(super) fn flush_delay(&self, account: &Account, now: MonotonicTime) -> Duration {
        let is_scarce = account
            .work
            .as_ref()
            .is_some_and(|work| now < work.scarce_until);
        match self.options.policy {
            DrawPolicy::PerRequest => Duration::ZERO,
            _ if is_scarce => self.options.flush_period,
            _ => self.options.idle_flush,
        }
    }
}

/// Returns whether the own row exists and no reservation may add to it.
fn can_close(account: &Account) -> bool {
    account.has_row() && account.reserved.is_zero()
}

/// Returns the change by which a draining process gives up a budget.
fn plan_drain(account: &Account) -> RowPlan {
    let has_amounts = !account.balance.is_zero() || !account.unreported.is_zero();
    // A row that was never written cannot be closed: a lost answer could not be resolved.
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
