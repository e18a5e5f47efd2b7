//! Conversions of membership messages.

use cornelarch_core::{
    base::HolderId,
    membership::{MemberEvent, MemberMessage, MemberRecord, MemberState, PingBody},
};

use crate::peer::{
    WireAck, WireBody, WireHolder, WireLeaving, WireMember, WireMemberState, WirePing,
    WirePingRequest, WireTableChunk, WireTableRequest, WireVersionNotice,
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
            MemberMessage::TableRequest { sender, digest } => Self::TableRequest(
                WireTableRequest::new(WireMember::from(sender), digest.cast_signed()),
            ),
            MemberMessage::TableChunk { records } => Self::TableChunk(WireTableChunk::new(
                records.iter().map(WireMember::from).collect(),
            )),
            MemberMessage::Leaving { incarnation } => {
                Self::Leaving(WireLeaving::new(incarnation.cast_signed()))
            }
            MemberMessage::VersionNotice { config_version } => {
                Self::VersionNotice(WireVersionNotice::new(config_version.cast_signed()))
            }
        }
    }
}

fn decode_record(member: &WireMember) -> Option<MemberRecord> {
    Some(MemberRecord {
        holder: HolderId::from(&member.holder),
        domain: member.domain.as_str().into(),
        address: member.address.clone(),
        incarnation: member.incarnation.cast_unsigned(),
        state: match member.state {
            WireMemberState::ALIVE => MemberState::Alive,
            WireMemberState::SUSPECT => MemberState::Suspect,
            WireMemberState::LEAVING => MemberState::Leaving,
            WireMemberState::DEAD => MemberState::Dead,
            _ => return None,
        },
    })
}

/// Decodes a membership message into an event; returns `None` for other or invalid messages.
#[must_use]
pub fn decode_member_event(from: &HolderId, body: &WireBody) -> Option<MemberEvent> {
    let message = match body {
        WireBody::Ping(ping) => MemberMessage::Ping(PingBody {
            nonce: ping.nonce.cast_unsigned(),
            sender: decode_record(&ping.sender)?,
            config_version: u64::try_from(ping.config_version).ok()?,
            load_permille: ping.load_permille.cast_unsigned(),
            updates: ping.updates.iter().filter_map(decode_record).collect(),
        }),
        WireBody::Ack(ack) => MemberMessage::Ack(PingBody {
            nonce: ack.nonce.cast_unsigned(),
            sender: decode_record(&ack.sender)?,
            config_version: u64::try_from(ack.config_version).ok()?,
            load_permille: ack.load_permille.cast_unsigned(),
            updates: ack.updates.iter().filter_map(decode_record).collect(),
        }),
        WireBody::PingRequest(request) => MemberMessage::PingRequest {
            nonce: request.nonce.cast_unsigned(),
            target: HolderId::from(&request.target),
        },
        WireBody::TableRequest(request) => MemberMessage::TableRequest {
            sender: decode_record(&request.sender)?,
            digest: request.digest.cast_unsigned(),
        },
        WireBody::TableChunk(chunk) => MemberMessage::TableChunk {
            records: chunk.records.iter().filter_map(decode_record).collect(),
        },
        WireBody::Leaving(leaving) => MemberMessage::Leaving {
            incarnation: leaving.incarnation.cast_unsigned(),
        },
        WireBody::VersionNotice(notice) => MemberMessage::VersionNotice {
            config_version: u64::try_from(notice.config_version).ok()?,
        },
        _ => return None,
    };
    Some(MemberEvent::Received {
        from: from.clone(),
        message,
    })
}
