//! Thrift input protocol that rejects what the generated code cannot handle.

use std::ops::RangeInclusive;

use thrift::{
    Error, ProtocolError, ProtocolErrorKind, Result,
    protocol::{
        TFieldIdentifier, TInputProtocol, TListIdentifier, TMapIdentifier, TMessageIdentifier,
        TSetIdentifier, TStructIdentifier, TType,
    },
};

/// Maximum number of elements of a collection; a configuration response has at most 64 deltas.
const MAX_ELEMENTS: usize = 4_096;
/// Field of `WireEnvelope` that contains the `WireBody`.
const BODY_FIELD: i16 = 3;
/// Fields of `WireBody`.
const BODY_KINDS: RangeInclusive<i16> = 1..=21;

/// Rejects collections that declare more elements than their frame can hold, and messages of a
/// kind that this build does not know.
///
/// The generated code allocates memory for the declared size before it reads the elements, so
/// without this check a corrupt frame of a few bytes could exhaust the memory. It panics on a union
/// with an unknown field only.
pub(super) struct BoundedInput<P> {
    inner: P,
    max_elements: usize,
    /// Number of structs that have begun and not ended.
    depth: usize,
    /// Field of the envelope that is being read.
    envelope_field: Option<i16>,
}

impl<P: TInputProtocol> BoundedInput<P> {
    /// Wraps `inner`, which reads a frame of `frame_bytes` bytes.
    pub(super) fn new(inner: P, frame_bytes: usize) -> Self {
        Self {
            inner,
            max_elements: frame_bytes.min(MAX_ELEMENTS),
            depth: 0,
            envelope_field: None,
        }
    }

    fn check_kind(&mut self, field: &TFieldIdentifier) -> Result<()> {
        match (self.depth, field.id) {
            (1, id) => self.envelope_field = id,
            (2, Some(id))
                if self.envelope_field == Some(BODY_FIELD)
                    && field.field_type != TType::Stop
                    && !BODY_KINDS.contains(&id) =>
            {
                return Err(Error::Protocol(ProtocolError {
                    kind: ProtocolErrorKind::InvalidData,
                    message: format!("message of the unknown kind {id}"),
                }));
            }
            _ => {}
        }
        Ok(())
    }

    fn check_size(&self, size: i32) -> Result<()> {
        match usize::try_from(size) {
            Ok(elements) if elements <= self.max_elements => Ok(()),
            _ => Err(Error::Protocol(ProtocolError {
                kind: ProtocolErrorKind::SizeLimit,
                message: format!(
                    "collection of {size} elements exceeds the limit of {}",
                    self.max_elements
                ),
            })),
        }
    }
}

impl<P: TInputProtocol> TInputProtocol for BoundedInput<P> {
    fn read_message_begin(&mut self) -> Result<TMessageIdentifier> {
        self.inner.read_message_begin()
    }

    fn read_message_end(&mut self) -> Result<()> {
        self.inner.read_message_end()
    }

    fn read_struct_begin(&mut self) -> Result<Option<TStructIdentifier>> {
        self.depth += 1;
        self.inner.read_struct_begin()
    }

    fn read_struct_end(&mut self) -> Result<()> {
        self.depth = self.depth.saturating_sub(1);
        self.inner.read_struct_end()
    }

    fn read_field_begin(&mut self) -> Result<TFieldIdentifier> {
        let field = self.inner.read_field_begin()?;
        self.check_kind(&field)?;
        Ok(field)
    }

    fn read_field_end(&mut self) -> Result<()> {
        self.inner.read_field_end()
    }

    fn read_bool(&mut self) -> Result<bool> {
        self.inner.read_bool()
    }

    fn read_bytes(&mut self) -> Result<Vec<u8>> {
        self.inner.read_bytes()
    }

    fn read_i8(&mut self) -> Result<i8> {
        self.inner.read_i8()
    }

    fn read_i16(&mut self) -> Result<i16> {
        self.inner.read_i16()
    }

    fn read_i32(&mut self) -> Result<i32> {
        self.inner.read_i32()
    }

    fn read_i64(&mut self) -> Result<i64> {
        self.inner.read_i64()
    }

    fn read_double(&mut self) -> Result<f64> {
        self.inner.read_double()
    }

    fn read_string(&mut self) -> Result<String> {
        self.inner.read_string()
    }

    fn read_list_end(&mut self) -> Result<()> {
        self.inner.read_list_end()
    }

    fn read_set_end(&mut self) -> Result<()> {
        self.inner.read_set_end()
    }

    fn read_map_end(&mut self) -> Result<()> {
        self.inner.read_map_end()
    }

    fn read_byte(&mut self) -> Result<u8> {
        self.inner.read_byte()
    }

    fn read_list_begin(&mut self) -> Result<TListIdentifier> {
        let identifier = self.inner.read_list_begin()?;
        self.check_size(identifier.size)?;
        Ok(identifier)
    }

    fn read_set_begin(&mut self) -> Result<TSetIdentifier> {
        let identifier = self.inner.read_set_begin()?;
        self.check_size(identifier.size)?;
        Ok(identifier)
    }

    fn read_map_begin(&mut self) -> Result<TMapIdentifier> {
        let identifier = self.inner.read_map_begin()?;
        self.check_size(identifier.size)?;
        Ok(identifier)
    }
}
