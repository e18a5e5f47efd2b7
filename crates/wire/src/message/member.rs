//! Membership messages on the wire.

use cornelarch_core::membership::{MemberMessage, MemberRecord, MemberState};

use crate::peer::{
    WireAck, WireBody, WireHolder, WireLeaving, WireMember, WireMemberState, WirePing,
    WirePingRequest,
};

impl From<&MemberRecord> for WireMember {
    fn from(record: &MemberRecord) -> Self {
        Self::new(
            WireHolder::from(&record.holder),
            record.domain.to_string(),
            record.address.clone(),
            record.incarnation.cast_signed(),
            match record.state {
                MemberState::Alive => WireMemberState::ALIVE,
                MemberState::Suspect => WireMemberState::SUSPECT,
                MemberState::Leaving => WireMemberState::LEAVING,
                MemberState::Dead => WireMemberState::DEAD,
            },
        )
    }
}

impl From<&MemberMessage> for WireBody {
    fn from(message: &MemberMessage) -> Self {
        match message {
            MemberMessage::Ping(body) => Self::Ping(WirePing::new(
                body.nonce.cast_signed(),
                WireMember::from(&body.sender),
                body.config_version.cast_signed(),
                body.load_permille.cast_signed(),
                body.updates.iter().map(WireMember::from).collect(),
            )),
            MemberMessage::Ack(body) => Self::Ack(WireAck::new(
                body.nonce.cast_signed(),
                WireMember::from(&body.sender),
                body.config_version.cast_signed(),
                body.load_permille.cast_signed(),
                body.updates.iter().map(WireMember::from).collect(),
            )),
            MemberMessage::PingRequest { nonce, target } => Self::PingRequest(
                WirePingRequest::new(nonce.cast_signed(), WireHolder::from(target)),
            ),
            MemberMessage::Leaving { incarnation } => {
                Self::Leaving(WireLeaving::new(incarnation.cast_signed()))
            }
        }
    }
}
