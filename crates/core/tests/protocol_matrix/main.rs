//! Fault matrix of the budget and order protocols: every fault is injected at every step.
//!
//! The lists below generate the enums, their `ALL` lists and one test per step. A new fault does
//! not compile until both simulations handle it, and the test of a new step fails until a
//! simulation reaches the step.

mod fleet;
mod order_desk;
mod table;

use fleet::BudgetSimulation;
use order_desk::OrderSimulation;

macro_rules! define_steps {
    ($name:ident in $module:ident by $check:ident: $($test:ident $variant:ident $guard:literal,)*) => {
        #[doc = concat!("Steps of the ", stringify!($module), " protocol.")]
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum $name { $($variant,)* }

        impl $name {
            /// All steps, each with its test and the failure that its cells guard against.
            pub(crate) const ALL: &[(Self, &str, &str)] = &[$(
                (Self::$variant, concat!(stringify!($module), "::", stringify!($test)), $guard),
            )*];
        }

        mod $module {
            $(#[test] fn $test() { super::$check(super::$name::$variant, $guard); })*
        }
    };
}

macro_rules! define_faults {
    ($($variant:ident $budget:literal $order:literal,)*) => {
        /// Faults of section 1.2 of the design.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Fault { $($variant,)* }

        impl Fault {
            /// All faults, each with its effect on the budget protocol and on the order protocol.
            pub(crate) const ALL: &[(Self, &str, &str)] = &[$((Self::$variant, $budget, $order),)*];
        }
    };
}

define_steps! { BudgetStep in budget by check_budget:
    draw_read DrawRead "a draw that depends on an old read",
    draw_sent DrawSent "tokens granted twice or lost with a draw",
    draw_confirmed DrawConfirmed "a draw that is spent before it is certain, or never",
    reserved Reserved "a reservation that is lost or given away",
    settled Settled "a request that is billed twice or not at all",
    report_written ReportWritten "spent tokens that are reported twice",
    idle_returned IdleReturned "returned tokens that the holder still spends",
    borrow_requested BorrowRequested "a request that waits for an owner that does not answer",
    transfer_sent TransferSent "tokens that are lost or taken back on their way",
    transfer_applied TransferApplied "a transfer that is applied twice",
    transfer_acknowledged TransferAcknowledged "an acknowledged transfer that is taken back",
    drain_return DrainReturn "tokens that leave a draining process twice or never",
    drain_hand_over DrainHandOver "tokens handed over that the platform gets as well",
    release Release "a released holder whose tokens become free",
    top_up TopUp "a payment that counts twice or is lost",
}

define_steps! { OrderStep in order by check_order:
    claim_sent ClaimSent "a claim that two attempts own, or that nobody gives back",
    claim_confirmed ClaimConfirmed "a claim that is used by another attempt or too late",
    sent_upstream SentUpstream "a call that is sent again, or refused as not run",
    answered Answered "an answer that is lost together with its record",
    answer_recorded AnswerRecorded "a recorded answer that is overwritten or differs",
    repeat_elsewhere RepeatElsewhere "a repeat that runs the order a second time",
}

define_faults! {
    DomainPartition "each domain serves from its balances and draws for itself" "",
    PeerPartition "transfers are resent after healing; the instance draws for itself" "",
    PlatformPartition "the write on its way takes effect unseen; the instance serves and borrows"
        "the claim on its way takes effect unseen and is given back, or the answer is stored later",
    RouterCrash "its tokens stay held; the next incarnation opens its own row"
        "a claimed order answers as unknown and is not run again",
    ClientRetry "the first attempt is billed in part, the second by itself"
        "the repeat gets the stored answer or `order_state_unknown`",
    PlatformOutage "held balances serve; draws and reports follow later"
        "an unsent order is refused as not run; an answer is recorded later",
    SlowPlatform "requests wait for the draw; neighbours lend" "the order waits for its record",
    LostWriteAnswer "a read or the same operation id tells the outcome"
        "the claim id in the record tells the outcome",
    LateWrite "the same row is sent again, and one of the writes conflicts"
        "the claim is made again or given back",
    PausedHolder "the holder goes on with what it owns"
        "a claim that became too old is not sent but given back",
    DoubledTopUp "the second operation with the same id changes nothing" "",
    RacingRelease "the row is sealed once; a live holder opens the next generation" "",
    ConflictingWrite "a write that conflicts is made again after a read"
        "one claim wins; the other attempt does not run the order",
    OneSidedTopUp "the cut-off side sees the payment after healing" "",
    UpstreamCrash "the delivered part is billed once"
        "the outcome is unknown; the order is not repeated",
    LostMessage "a transfer is resent, a request for tokens is repeated"
        "the outcome is unknown; the order is not repeated",
    DoubledMessage "each transfer sequence is applied once" "the second answer is ignored",
}

/// Cell of the matrix; the fault is injected at the first `occurrences` occurrences of the step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cell<S> {
    pub(crate) step: S,
    pub(crate) fault: Fault,
    pub(crate) occurrences: u32,
}

/// The correct protocols and deliberately broken variants of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
    Correct,
    /// A sender takes back a transfer whose acknowledgement was lost. A router sends an order when
    /// the answer to its claim is lost, in addition to its normal handling.
    Broken,
}

/// Outcome of the message or write at which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    Normal,
    Lost,
    AnswerLost,
    Late,
    Doubled,
}

impl BudgetStep {
    /// Returns whether a process writes to the platform at this step.
    pub(crate) fn is_process_write(self) -> bool {
        use BudgetStep::*;
        matches!(self, DrawSent | ReportWritten | IdleReturned | DrainReturn)
    }
}

impl OrderStep {
    /// Returns whether a write or its answer is in transit at this step.
    pub(crate) fn is_write(self) -> bool {
        use OrderStep::*;
        matches!(
            self,
            ClaimSent | ClaimConfirmed | AnswerRecorded | RepeatElsewhere
        )
    }
}

/// Returns why a fault cannot occur at a step of the budget protocol.
pub(crate) fn budget_exclusion(step: BudgetStep, fault: Fault) -> Option<&'static str> {
    use BudgetStep::*;
    let is_write = step.is_process_write() || matches!(step, Release | TopUp);
    let is_message = matches!(
        step,
        BorrowRequested | TransferSent | TransferAcknowledged | DrainHandOver
    );
    match fault {
        Fault::LostWriteAnswer if step == DrawConfirmed => None,
        Fault::LateWrite if step == DrawConfirmed => Some("the write has already taken effect"),
        Fault::LostWriteAnswer | Fault::LateWrite if !is_write => Some("no write is sent here"),
        Fault::LostMessage | Fault::DoubledMessage if !is_message => {
            Some("no message is sent between routers here")
        }
        _ => None,
    }
}

/// Returns why a fault cannot occur at a step of the order protocol.
pub(crate) fn order_exclusion(step: OrderStep, fault: Fault) -> Option<&'static str> {
    use OrderStep::*;
    let is_claim = matches!(step, ClaimSent | RepeatElsewhere);
    match fault {
        Fault::DomainPartition | Fault::PeerPartition => Some("orders need no other router"),
        Fault::DoubledTopUp | Fault::RacingRelease | Fault::OneSidedTopUp => {
            Some("operators do not write order records")
        }
        Fault::LateWrite if step == ClaimConfirmed => Some("the write has already taken effect"),
        Fault::LostWriteAnswer | Fault::LateWrite if !step.is_write() => {
            Some("no write is sent here")
        }
        Fault::ConflictingWrite if !is_claim => Some("only the owner writes a claimed record"),
        Fault::UpstreamCrash if step != SentUpstream => Some("no upstream runs the call here"),
        Fault::LostMessage if !matches!(step, SentUpstream | Answered) => {
            Some("nothing is exchanged with the upstream here")
        }
        Fault::DoubledMessage if step != Answered => Some("no answer arrives here"),
        _ => None,
    }
}

fn check_budget(step: BudgetStep, guard: &str) {
    let run = |cell| BudgetSimulation::new(cell, Variant::Correct).run();
    check_cells(step, guard, budget_exclusion, run);
}

fn check_order(step: OrderStep, guard: &str) {
    let run = |cell| OrderSimulation::new(cell, Variant::Correct).run();
    check_cells(step, guard, order_exclusion, run);
}

/// Runs the cells of a step and reports all violations with the failure that they guard against.
fn check_cells<S: Copy + std::fmt::Debug>(
    step: S,
    guard: &str,
    exclusion: fn(S, Fault) -> Option<&'static str>,
    run: impl Fn(Cell<S>) -> Result<(), String>,
) {
    let mut broken = String::new();
    let faults = Fault::ALL.iter().map(|(fault, ..)| *fault);
    for fault in faults.filter(|fault| exclusion(step, *fault).is_none()) {
        for occurrences in [1, 2] {
            let cell = Cell {
                step,
                fault,
                occurrences,
            };
            if let Err(violation) = run(cell) {
                broken += &format!("{step:?} x {fault:?} x {occurrences}: {violation}\n");
            }
        }
    }
    assert!(broken.is_empty(), "guards against {guard}:\n{broken}");
}

/// Guards against a budget matrix that cannot detect violations.
#[test]
fn taken_back_transfer_is_caught() {
    let (step, fault) = (BudgetStep::TransferAcknowledged, Fault::LostMessage);
    let cell = Cell {
        step,
        fault,
        occurrences: 1,
    };
    let violation = BudgetSimulation::new(cell, Variant::Broken).run();
    println!("budget variant: {violation:?}");
    assert!(violation.is_err());
}

/// Guards against an order matrix that cannot detect violations.
#[test]
fn order_sent_again_is_caught() {
    let (step, fault) = (OrderStep::ClaimSent, Fault::LostWriteAnswer);
    let cell = Cell {
        step,
        fault,
        occurrences: 1,
    };
    let violation = OrderSimulation::new(cell, Variant::Broken).run();
    println!("order variant: {violation:?}");
    assert!(violation.is_err());
}
