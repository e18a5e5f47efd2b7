//! Configuration documents, their versions and their distribution to the fleet.
//!
//! [`Document`] is a parsed INI document. [`HeadObject`] and [`Delta`] are its stored form on the
//! platform. [`ConfigState`] is the state machine that selects the active version of an instance.

mod document;
mod error;
mod field;
mod head;
mod line;
mod reader;
mod section;
mod state;
mod value;

pub use document::{Document, KeyOwner, SectionMap};
pub use error::DocumentError;
pub use head::{
    BASE_PART_BYTES, Delta, HeadError, HeadObject, ProvenVersion, REBASE_DELTAS, RETAINED_DELTAS,
    SectionChange, base_key, head_key, proven_key, split_base,
};
pub use section::{
    BudgetSection, CustomerSection, EnvironmentSection, LimitsSection, ModelSection,
    SECTION_SCHEMAS, SectionKind, SectionName, SectionSchema, ServiceSection, UpstreamSection,
    WeightsSection,
};
pub use state::{
    ConfigChanges, ConfigEffect, ConfigEvent, ConfigMessage, ConfigOptions, ConfigState,
    ConfigStatus,
};
pub use value::{
    AllowedSet, BudgetWeight, IdempotentRule, KeyDigest, KeyRule, UpstreamKind, UpstreamState,
};
