//! Cells that cannot occur, and what each step and fault means.

use crate::{BudgetStep, Fault, OrderStep};

/// Returns why a fault cannot occur at a step of the budget protocol.
pub(crate) const fn budget_gap(step: BudgetStep, fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::DomainPartition
        | Fault::PeerPartition
        | Fault::PlatformPartition
        | Fault::RouterCrash
        | Fault::ClientRetry
        | Fault::PlatformOutage
        | Fault::SlowPlatform
        | Fault::PausedHolder
        | Fault::DoubledTopUp
        | Fault::RacingRelease
        | Fault::ConflictingWrite
        | Fault::OneSidedTopUp
        | Fault::UpstreamCrash => None,
        Fault::LostWriteAnswer => match step {
            BudgetStep::DrawConfirmed => None,
            _ if is_write(step) => None,
            _ => Some("no write is sent at this step"),
        },
        Fault::LateWrite => match step {
            BudgetStep::DrawConfirmed => Some("the write has taken effect before it is confirmed"),
            _ if is_write(step) => None,
            _ => Some("no write is sent at this step"),
        },
        Fault::LostMessage | Fault::DoubledMessage => match is_message(step) {
            true => None,
            false => Some("no message is sent between routers at this step"),
        },
    }
}

const fn is_write(step: BudgetStep) -> bool {
    match step {
        BudgetStep::DrawSent
        | BudgetStep::ReportWritten
        | BudgetStep::IdleReturned
        | BudgetStep::DrainReturn
        | BudgetStep::Release
        | BudgetStep::TopUp => true,
        BudgetStep::DrawRead
        | BudgetStep::DrawConfirmed
        | BudgetStep::Reserved
        | BudgetStep::Settled
        | BudgetStep::BorrowRequested
        | BudgetStep::TransferSent
        | BudgetStep::TransferApplied
        | BudgetStep::TransferAcknowledged
        | BudgetStep::DrainHandOver => false,
    }
}

const fn is_message(step: BudgetStep) -> bool {
    matches!(
        step,
        BudgetStep::BorrowRequested
            | BudgetStep::TransferSent
            | BudgetStep::TransferAcknowledged
            | BudgetStep::DrainHandOver
    )
}

/// Returns why a fault cannot occur at a step of the order protocol.
pub(crate) const fn order_gap(step: OrderStep, fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::PlatformPartition
        | Fault::RouterCrash
        | Fault::ClientRetry
        | Fault::PlatformOutage
        | Fault::SlowPlatform
        | Fault::PausedHolder => None,
        Fault::DomainPartition | Fault::PeerPartition => {
            Some("the order protocol sends no messages between routers")
        }
        Fault::DoubledTopUp | Fault::RacingRelease | Fault::OneSidedTopUp => {
            Some("operators do not write order records")
        }
        Fault::LostWriteAnswer => match step {
            OrderStep::ClaimSent | OrderStep::AnswerRecorded | OrderStep::RepeatElsewhere => None,
            OrderStep::ClaimConfirmed => None,
            OrderStep::SentUpstream | OrderStep::Answered => Some("no write is sent at this step"),
        },
        Fault::LateWrite => match step {
            OrderStep::ClaimSent | OrderStep::AnswerRecorded | OrderStep::RepeatElsewhere => None,
            OrderStep::ClaimConfirmed => Some("the write has taken effect before it is confirmed"),
            OrderStep::SentUpstream | OrderStep::Answered => Some("no write is sent at this step"),
        },
        Fault::ConflictingWrite => match step {
            OrderStep::ClaimSent | OrderStep::RepeatElsewhere => None,
            OrderStep::ClaimConfirmed
            | OrderStep::SentUpstream
            | OrderStep::Answered
            | OrderStep::AnswerRecorded => Some("only its owner writes a record that is claimed"),
        },
        Fault::UpstreamCrash => match step {
            OrderStep::SentUpstream => None,
            OrderStep::ClaimSent | OrderStep::ClaimConfirmed | OrderStep::RepeatElsewhere => {
                Some("the upstream has not got the call")
            }
            OrderStep::Answered | OrderStep::AnswerRecorded => {
                Some("the answer has left the upstream")
            }
        },
        Fault::LostMessage => match step {
            OrderStep::SentUpstream | OrderStep::Answered => None,
            OrderStep::ClaimSent
            | OrderStep::ClaimConfirmed
            | OrderStep::AnswerRecorded
            | OrderStep::RepeatElsewhere => {
                Some("nothing is exchanged with the upstream at this step")
            }
        },
        Fault::DoubledMessage => match step {
            OrderStep::Answered => None,
            OrderStep::SentUpstream => Some("one connection does not double a call"),
            OrderStep::ClaimSent
            | OrderStep::ClaimConfirmed
            | OrderStep::AnswerRecorded
            | OrderStep::RepeatElsewhere => {
                Some("nothing is exchanged with the upstream at this step")
            }
        },
    }
}

/// Returns the failure that the cells of a step of the budget protocol guard against.
pub(crate) const fn budget_guard(step: BudgetStep) -> &'static str {
    match step {
        BudgetStep::DrawRead => "a draw that depends on an old read",
        BudgetStep::DrawSent => "tokens granted twice or lost with a draw",
        BudgetStep::DrawConfirmed => "a draw that is spent before it is certain, or never",
        BudgetStep::Reserved => "a reservation that is lost or given away",
        BudgetStep::Settled => "a request that is billed twice or not at all",
        BudgetStep::ReportWritten => "spent tokens that are reported twice",
        BudgetStep::IdleReturned => "returned tokens that the holder still spends",
        BudgetStep::BorrowRequested => "a request that waits for an owner that does not answer",
        BudgetStep::TransferSent => "tokens that are lost or taken back on their way",
        BudgetStep::TransferApplied => "a transfer that is applied twice",
        BudgetStep::TransferAcknowledged => "an acknowledged transfer that is sent or kept again",
        BudgetStep::DrainReturn => "tokens that leave a draining process twice or never",
        BudgetStep::DrainHandOver => "tokens handed over that the platform gets as well",
        BudgetStep::Release => "a released holder whose tokens become free",
        BudgetStep::TopUp => "a payment that counts twice or is lost",
    }
}

/// Returns the failure that the cells of a step of the order protocol guard against.
pub(crate) const fn order_guard(step: OrderStep) -> &'static str {
    match step {
        OrderStep::ClaimSent => "a claim that two attempts own, or that nobody gives back",
        OrderStep::ClaimConfirmed => "a claim that is used by another attempt or too late",
        OrderStep::SentUpstream => "a call that is sent again, or refused as not run",
        OrderStep::Answered => "an answer that is lost together with its record",
        OrderStep::AnswerRecorded => "a recorded answer that is overwritten or differs",
        OrderStep::RepeatElsewhere => "a repeat that runs the order a second time",
    }
}

/// Returns what a fault does to the budget protocol.
pub(crate) const fn budget_effect(fault: Fault) -> &'static str {
    match fault {
        Fault::DomainPartition => "each domain serves from its balances and draws for itself",
        Fault::PeerPartition => "transfers are resent after healing; the instance draws for itself",
        Fault::PlatformPartition => "the instance serves from its balance and borrows",
        Fault::RouterCrash => "its tokens stay held; the next incarnation opens its own row",
        Fault::ClientRetry => "the first attempt is billed in part, the second by itself",
        Fault::PlatformOutage => "held balances serve; draws and reports follow later",
        Fault::SlowPlatform => "requests wait for the draw; neighbours lend",
        Fault::LostWriteAnswer => "a read or the same operation id tells the outcome",
        Fault::LateWrite => "the identical row is sent again, and one of the writes conflicts",
        Fault::PausedHolder => "the holder goes on with what it owns",
        Fault::DoubledTopUp => "the second operation with the same id changes nothing",
        Fault::RacingRelease => "the row is sealed once; the live holder opens the next generation",
        Fault::ConflictingWrite => "a write that conflicts is made again after a read",
        Fault::OneSidedTopUp => "the cut-off side sees the payment after healing",
        Fault::UpstreamCrash => "the delivered part is billed once",
        Fault::LostMessage => "a transfer is resent, a request for tokens is repeated",
        Fault::DoubledMessage => "each transfer sequence is applied once",
    }
}

/// Returns what a fault does to the order protocol.
pub(crate) const fn order_effect(fault: Fault) -> &'static str {
    match fault {
        Fault::PlatformPartition | Fault::PlatformOutage => {
            "unsent orders are refused as not run; answers are recorded later"
        }
        Fault::RouterCrash => "a claimed order answers as unknown and is not run again",
        Fault::ClientRetry => "the repeat gets the stored answer or `order_state_unknown`",
        Fault::SlowPlatform => "the order waits for its record",
        Fault::LostWriteAnswer => "the claim id in the record tells the outcome",
        Fault::LateWrite => "the claim is made again or given back",
        Fault::PausedHolder => "a claim that became too old is not sent but given back",
        Fault::ConflictingWrite => "one claim wins; the other attempt does not run the order",
        Fault::UpstreamCrash | Fault::LostMessage => {
            "the outcome is unknown; the order is not repeated"
        }
        Fault::DoubledMessage => "the second answer is ignored",
        Fault::DomainPartition
        | Fault::PeerPartition
        | Fault::DoubledTopUp
        | Fault::RacingRelease
        | Fault::OneSidedTopUp => "nothing",
    }
}
