//! Members of the fleet, failure detection and the choice of owners.
//!
//! [`MemberTable`] follows SWIM: each instance pings a few members, asks others to ping a member
//! that does not answer, and spreads what it learns with its pings. The table is a hint for
//! routing and for roles; no guarantee about budgets or orders depends on it.

mod detect;
mod message;
mod options;
mod probe;
mod record;
mod rendezvous;
mod spread;
mod sync;
mod table;
mod update;

pub use message::{InstanceHint, MemberEffect, MemberEvent, MemberMessage, PingBody};
pub use options::MemberOptions;
pub use record::{MemberRecord, MemberState};
pub use rendezvous::{choose_owner, choose_owners, rendezvous_score};
pub use table::{MemberTable, MemberView};
