//! Splitting of a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes; a longer one ends the stream.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into events at blank lines, without copying events that arrive in one
/// piece.
///
/// Partial events are never returned, because a stream that is lost inside an event may be resumed
/// at another upstream after the last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Start of an event that arrives in several pieces, and what came with its last piece.
    partial: BytesMut,
    /// Number of bytes of `partial` that are known to contain no boundary.
    scanned: usize,
    /// Piece that begins with an event.
    current: Bytes,
}

impl EventSplitter {
    /// Adds received bytes. [`EventSplitter::next_event`] must be called until it returns `None`
    /// before the next call.
    pub fn push(&mut self, chunk: Bytes) {
        if self.partial.is_empty() {
            self.current = chunk;
        } else {
            self.partial.extend_from_slice(&chunk);
        }
    }

    /// Returns the next complete event, including its blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        if self.partial.is_empty() {
            if let Some(end) = find_event_end(&self.current) {
                return Some(self.current.split_to(end));
            }
            self.partial.extend_from_slice(&self.current);
            self.scanned = self.partial.len();
            self.current = Bytes::new();
            return None;
        }
        // A boundary may have begun in the last two bytes, with a line feed and a carriage return.
        let start = self.scanned.saturating_sub(2);
        match find_event_end(&self.partial[start..]) {
            Some(end) => {
                self.scanned = 0;
                Some(self.partial.split_to(start + end).freeze())
            }
            None => {
                self.scanned = self.partial.len();
                None
            }
        }
    }

    /// Returns the size of the partial event, in bytes.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns the memory allocated for partial events, in bytes.
    #[must_use]
    pub fn partial_capacity(&self) -> usize {
        self.partial.capacity()
    }

    /// Returns whether the partial event exceeds [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns whether the bytes received so far end inside an event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty() || !self.current.is_empty()
    }
}

/// Returns the value of the `id` field of an event, if there is one. It may have any bytes.
#[must_use]
pub fn find_event_id(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(id.trim_ascii())
}

/// Returns the position after the first blank line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(offset) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + offset + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}
