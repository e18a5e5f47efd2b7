//! Conversions of the evacuated failure domains.

use cornelarch_core::{base::DomainName, placement::EvacuationState};

use crate::peer::{WireBody, WireEvacuations};

/// Encodes the evacuated domains.
#[must_use]
pub fn encode_evacuations(state: &EvacuationState) -> WireBody {
    let domains = state.domains.iter().map(ToString::to_string);
    WireBody::Evacuations(WireEvacuations::new(
        state.revision.cast_signed(),
        domains.collect::<Vec<_>>(),
    ))
}

/// Decodes the evacuated domains; returns `None` for other messages and for an invalid revision.
#[must_use]
pub fn decode_evacuations(body: &WireBody) -> Option<EvacuationState> {
    let WireBody::Evacuations(evacuations) = body else {
        return None;
    };
    let domains = evacuations.domains.iter();
    Some(EvacuationState {
        revision: u64::try_from(evacuations.revision).ok()?,
        domains: domains.map(|domain| DomainName::new(domain)).collect(),
    })
}
