//! Fault matrix of the budget protocol and of the order protocol: every fault at every step.
//!
//! The lists below generate the enums, their `ALL` lists and one test per step. The reasons for
//! cells that cannot occur and the texts of the table are exhaustive matches, so a new variant does
//! not compile until they cover it.

mod cell;
mod fleet;
mod order_desk;
mod table;

use cell::{budget_gap, order_gap};
use fleet::{BudgetFleet, FleetVariant};
use order_desk::{OrderDesk, OrderVariant};

macro_rules! define_list {
    ($(#[$doc:meta])* $name:ident { $($variant:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum $name { $($variant,)* }

        impl $name {
            pub(crate) const ALL: &[Self] = &[$(Self::$variant,)*];
        }
    };
}

macro_rules! define_steps {
    ($module:ident, $check:ident, $(#[$doc:meta])* $name:ident { $($test:ident: $variant:ident),* $(,)? }) => {
        define_list! { $(#[$doc])* $name { $($variant),* } }

        impl $name {
            pub(crate) const fn test_name(self) -> &'static str {
                match self { $(Self::$variant => concat!(stringify!($module), "::", stringify!($test)),)* }
            }
        }

        mod $module {
            $(
                #[test]
                fn $test() {
                    super::$check(super::$name::$variant);
                }
            )*
        }
    };
}

define_steps! {
    budget, check_budget_step,
    /// Lists the steps of the budget protocol.
    BudgetStep {
        draw_read: DrawRead,
        draw_sent: DrawSent,
        draw_confirmed: DrawConfirmed,
        reserved: Reserved,
        settled: Settled,
        report_written: ReportWritten,
        idle_returned: IdleReturned,
        borrow_requested: BorrowRequested,
        transfer_sent: TransferSent,
        transfer_applied: TransferApplied,
        transfer_acknowledged: TransferAcknowledged,
        drain_return: DrainReturn,
        drain_hand_over: DrainHandOver,
        release: Release,
        top_up: TopUp,
    }
}

define_steps! {
    order, check_order_step,
    /// Lists the steps of the order protocol.
    OrderStep {
        claim_sent: ClaimSent,
        claim_confirmed: ClaimConfirmed,
        sent_upstream: SentUpstream,
        answered: Answered,
        answer_recorded: AnswerRecorded,
        repeat_elsewhere: RepeatElsewhere,
    }
}

define_list! {
    /// Lists the faults of section 1.2 of the design.
    Fault {
        DomainPartition,
        PeerPartition,
        PlatformPartition,
        RouterCrash,
        ClientRetry,
        PlatformOutage,
        SlowPlatform,
        LostWriteAnswer,
        LateWrite,
        PausedHolder,
        DoubledTopUp,
        RacingRelease,
        ConflictingWrite,
        OneSidedTopUp,
        UpstreamCrash,
        LostMessage,
        DoubledMessage,
    }
}

/// Every fault strikes once, and in a second run at the next occurrence of the step as well.
pub(crate) const STRIKES: [u32; 2] = [1, 2];

fn check_budget_step(step: BudgetStep) {
    let mut broken = Vec::new();
    for fault in Fault::ALL.iter().copied() {
        if budget_gap(step, fault).is_some() {
            continue;
        }
        for strikes in STRIKES {
            let mut fleet = BudgetFleet::new(step, fault, strikes, FleetVariant::Correct);
            if let Err(violation) = fleet.run() {
                let guard = cell::budget_guard(step);
                broken.push(format!(
                    "{step:?} x {fault:?} x {strikes}: {violation} (guards against {guard})"
                ));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

fn check_order_step(step: OrderStep) {
    let mut broken = Vec::new();
    for fault in Fault::ALL.iter().copied() {
        if order_gap(step, fault).is_some() {
            continue;
        }
        for strikes in STRIKES {
            let mut desk = OrderDesk::new(step, fault, strikes, OrderVariant::Correct);
            if let Err(violation) = desk.run() {
                let guard = cell::order_guard(step);
                broken.push(format!(
                    "{step:?} x {fault:?} x {strikes}: {violation} (guards against {guard})"
                ));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a budget matrix that cannot fail: a sender takes a transfer back after the
/// acknowledgement was lost.
#[test]
fn taken_back_transfer_is_caught() {
    let step = BudgetStep::TransferAcknowledged;
    let mut fleet = BudgetFleet::new(step, Fault::LostMessage, 1, FleetVariant::TakesBack);
    let violation = fleet.run().expect_err("the broken variant passed");
    println!("budget variant: {violation}");
}

/// Guards against an order matrix that cannot fail: a router sends the order as soon as the answer
/// to its claim is lost, and once more when it reads its own claim.
#[test]
fn order_sent_again_is_caught() {
    let step = OrderStep::ClaimSent;
    let mut desk = OrderDesk::new(step, Fault::LostWriteAnswer, 1, OrderVariant::SendsAgain);
    let violation = desk.run().expect_err("the broken variant passed");
    println!("order variant: {violation}");
}
