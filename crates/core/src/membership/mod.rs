//! Fleet membership, failure detection and selection of owners.
//!
//! [`MemberTable`] implements the SWIM protocol: each instance periodically pings other members,
//! requests indirect pings of a member that does not respond, and piggybacks gossip on its pings.
//! The table is only a hint for routing and for the selection of owners; no guarantee about budgets
//! or orders depends on it.

mod detect;
mod gossip;
mod message;
mod options;
mod probe;
mod record;
mod rendezvous;
mod sync;
mod table;
mod update;

pub use message::{InstanceHint, MemberEffect, MemberEvent, MemberMessage, PingBody};
pub use options::MemberOptions;
pub use record::{MemberRecord, MemberState};
pub use rendezvous::{choose_owner, choose_owners, rendezvous_score};
pub use table::{MemberTable, MemberView};
