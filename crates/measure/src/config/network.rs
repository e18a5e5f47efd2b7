//! Encoded sizes of peer messages.

use bytes::BytesMut;
use cornelarch_core::{base::HolderId, config::ConfigMessage, membership::MemberMessage};
use cornelarch_wire::{
    FrameCodec,
    peer::{WireBody, WireConfigChanges, WireConfigRequest, WireEnvelope, WireHolder},
};
use tokio_util::codec::Encoder;

/// A message between two instances.
#[derive(Clone, Debug)]
pub(super) enum PeerMessage {
    Member(MemberMessage),
    Config(ConfigMessage),
}

/// Returns the encoded frame size of a message, in bytes.
///
/// # Panics
///
/// Panics if the message cannot be encoded.
pub(super) fn frame_bytes(from: &HolderId, to: Option<&HolderId>, message: &PeerMessage) -> usize {
    let body = match message {
        PeerMessage::Member(message) => WireBody::from(message),
        PeerMessage::Config(message) => encode_config(message),
    };
    let envelope = WireEnvelope::new(WireHolder::from(from), to.map(WireHolder::from), body);
    let mut buffer = BytesMut::new();
    let result = FrameCodec::new().encode(&envelope, &mut buffer);
    result.expect("message can be encoded");
    buffer.len()
}

fn encode_config(message: &ConfigMessage) -> WireBody {
    match message {
        ConfigMessage::Request { from_version } => {
            WireBody::ConfigRequest(WireConfigRequest::new(from_version.cast_signed()))
        }
        ConfigMessage::Changes(changes) => {
            let deltas = changes
                .deltas
                .iter()
                .map(|delta| serde_json::to_string(delta).expect("delta can be serialised"));
            WireBody::ConfigChanges(WireConfigChanges::new(
                changes.from_version.cast_signed(),
                changes.to_version.cast_signed(),
                deltas.collect::<Vec<String>>(),
                changes.snapshot.clone(),
            ))
        }
    }
}
