//! Conversions of budget ledger messages.

use cornelarch_core::{base::TokenCount, budget::BudgetMessage};

use crate::peer::{WireBody, WireBorrowRequest, WireReturnIdle, WireTransfer, WireTransferAck};

/// Encodes a message of the budget ledger.
#[must_use]
pub fn encode_budget_message(message: BudgetMessage) -> WireBody {
    match message {
        BudgetMessage::BorrowRequest { budget, amount } => WireBody::BorrowRequest(
            WireBorrowRequest::new(budget.to_string(), amount.get().cast_signed()),
        ),
        BudgetMessage::Transfer {
            sequence,
            budget,
            amount,
            spent,
        } => WireBody::Transfer(WireTransfer::new(
            sequence.cast_signed(),
            budget.to_string(),
            amount.get().cast_signed(),
            spent.get().cast_signed(),
        )),
        BudgetMessage::TransferAck { sequence } => {
            WireBody::TransferAck(WireTransferAck::new(sequence.cast_signed()))
        }
        BudgetMessage::ReturnIdle { budget } => {
            WireBody::ReturnIdle(WireReturnIdle::new(budget.to_string()))
        }
    }
}

/// Decodes a token amount. Negative amounts are rejected, because a cast would turn them into a
/// huge balance.
fn decode_amount(amount: i64) -> Option<TokenCount> {
    u64::try_from(amount).ok().map(TokenCount::new)
}

/// Decodes a message of the budget ledger; returns `None` for other or invalid messages.
#[must_use]
pub fn decode_budget_message(body: &WireBody) -> Option<BudgetMessage> {
    Some(match body {
        WireBody::BorrowRequest(request) => BudgetMessage::BorrowRequest {
            budget: request.budget.as_str().into(),
            amount: decode_amount(request.amount)?,
        },
        WireBody::Transfer(transfer) => BudgetMessage::Transfer {
            sequence: transfer.sequence.cast_unsigned(),
            budget: transfer.budget.as_str().into(),
            amount: decode_amount(transfer.amount)?,
            spent: decode_amount(transfer.spent)?,
        },
        WireBody::TransferAck(ack) => BudgetMessage::TransferAck {
            sequence: ack.sequence.cast_unsigned(),
        },
        WireBody::ReturnIdle(request) => BudgetMessage::ReturnIdle {
            budget: request.budget.as_str().into(),
        },
        _ => return None,
    })
}
