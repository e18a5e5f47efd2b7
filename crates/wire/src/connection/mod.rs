//! Encoding and framing of peer messages.

mod bounded;

use std::io;

use bytes::{Bytes, BytesMut};
use cornelarch_core::base::{HolderId, InstanceName};
use snafu::{ResultExt, Snafu};
use thrift::protocol::{TCompactInputProtocol, TCompactOutputProtocol, TSerializable};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use self::bounded::BoundedInput;
use crate::peer::{WireBody, WireEnvelope, WireHolder};

/// Maximum size of a frame, in bytes. A configuration snapshot of the target size has about 12 MB.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Byte before an envelope that only builds with the check for unknown kinds are to read. Others
/// reject it as the end of an envelope without fields.
const GUARD: u8 = 0;

/// An error while reading or writing a frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed, or a frame is larger than the limit of the codec.
    #[snafu(display("peer connection failed: {source}"))]
    Connection {
        /// The cause.
        source: io::Error,
    },
    /// The frame does not contain a valid message.
    #[snafu(display("peer frame is malformed: {source}"))]
    Malformed {
        /// The cause.
        source: thrift::Error,
    },
}

impl From<io::Error> for FrameError {
    fn from(source: io::Error) -> Self {
        Self::Connection { source }
    }
}

/// Returns whether a message is of a kind that is newer than the check for unknown kinds: builds
/// without this check end their peer task on it.
fn is_guarded(body: &WireBody) -> bool {
    matches!(
        body,
        WireBody::DocumentRequest(_)
            | WireBody::DocumentPart(_)
            | WireBody::VersionNotice(_)
            | WireBody::LimitReport(_)
            | WireBody::DepartureReport(_)
    )
}

/// Encodes an envelope without a length prefix, for a frame or a datagram.
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] if the envelope cannot be encoded.
pub fn encode_envelope(envelope: &WireEnvelope) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::with_capacity(256);
    if is_guarded(&envelope.body) {
        bytes.push(GUARD);
    }
    let mut protocol = TCompactOutputProtocol::new(&mut bytes);
    envelope
        .write_to_out_protocol(&mut protocol)
        .context(MalformedSnafu)?;
    Ok(bytes)
}

/// Decodes the envelope of a frame or a datagram.
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] if the bytes are not a valid envelope.
pub fn decode_envelope(bytes: &[u8]) -> Result<WireEnvelope, FrameError> {
    let bytes = bytes.strip_prefix(&[GUARD]).unwrap_or(bytes);
    let mut protocol = BoundedInput::new(TCompactInputProtocol::new(bytes), bytes.len());
    WireEnvelope::read_from_in_protocol(&mut protocol).context(MalformedSnafu)
}

/// A codec for envelopes in frames with a four-byte length prefix.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec for one connection.
    #[must_use]
    pub fn new() -> Self {
        Self::with_limit(MAX_FRAME_BYTES)
    }

    /// Creates a codec that accepts frames up to a size in bytes.
    #[must_use]
    pub fn with_limit(bytes_max: usize) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(bytes_max)
            .new_codec();
        Self { inner }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = WireEnvelope;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<WireEnvelope>, FrameError> {
        let Some(frame) = self.inner.decode(buffer)? else {
            return Ok(None);
        };
        decode_envelope(&frame).map(Some)
    }
}

impl Encoder<&WireEnvelope> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, envelope: &WireEnvelope, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let frame = encode_envelope(envelope)?;
        self.inner.encode(Bytes::from(frame), buffer)?;
        Ok(())
    }
}

impl From<&HolderId> for WireHolder {
    fn from(holder: &HolderId) -> Self {
        Self::new(holder.instance.to_string(), holder.epoch.cast_signed())
    }
}

impl From<&WireHolder> for HolderId {
    fn from(holder: &WireHolder) -> Self {
        Self::new(
            InstanceName::new(&holder.instance),
            holder.epoch.cast_unsigned(),
        )
    }
}
