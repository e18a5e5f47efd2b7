//! Reads single fields of server-sent events without parsing their whole JSON payload.

/// Payload of the event that ends a stream.
const DONE_PAYLOAD: &[u8] = b"[DONE]";

/// Returns the payload of an event with a single `data` line, which is the form engines send.
pub(crate) fn event_payload(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:"))?;
    Some(data.trim_ascii())
}

/// Returns whether the payload is the end-of-stream marker.
pub(crate) fn is_done(payload: &[u8]) -> bool {
    payload == DONE_PAYLOAD
}

/// Returns the bytes after the first `"name":`, without leading whitespace.
///
/// Quotes inside JSON strings are escaped, so the pattern only matches a key.
fn find_field<'a>(payload: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let name = name.as_bytes();
    let mut start = 0;
    while let Some(offset) = payload[start..].iter().position(|byte| *byte == b'"') {
        let key = &payload[start + offset + 1..];
        if let Some(rest) = key.strip_prefix(name)
            && let Some(rest) = rest.strip_prefix(b"\"")
            && let Some(value) = rest.trim_ascii_start().strip_prefix(b":")
            && (start + offset == 0 || payload[start + offset - 1] != b'\\')
        {
            return Some(value.trim_ascii_start());
        }
        start += offset + 1;
    }
    None
}

/// Fields of a chunk that are needed to order and bill it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChunkFields {
    /// Sequence number in the response, if the engine sends one.
    pub(crate) sequence: Option<u64>,
    /// Number of prompt tokens, which the first chunk carries.
    pub(crate) prompt_tokens: Option<u64>,
    /// Whether the chunk is the last one.
    pub(crate) last: bool,
}

/// Reads the fields of a chunk in one pass over its payload.
pub(crate) fn read_chunk_fields(payload: &[u8]) -> ChunkFields {
    let mut fields = ChunkFields::default();
    let mut start = 0;
    while let Some(offset) = payload[start..].iter().position(|byte| *byte == b'"') {
        let key = &payload[start + offset..];
        match key.get(1) {
            Some(b'x') if key.starts_with(b"\"x_sequence\"") => {
                fields.sequence = fields.sequence.or_else(|| find_number(key, "x_sequence"));
            }
            Some(b'x') if key.starts_with(b"\"x_prompt_tokens\"") => {
                let tokens = || find_number(key, "x_prompt_tokens");
                fields.prompt_tokens = fields.prompt_tokens.or_else(tokens);
            }
            Some(b'f') if key.starts_with(b"\"finish_reason\"") => {
                fields.last |= find_text(key, "finish_reason").is_some();
            }
            _ => {}
        }
        start += offset + 1;
    }
    fields
}

/// Returns the value of the first field `name` that holds a non-negative integer.
pub(crate) fn find_number(payload: &[u8], name: &str) -> Option<u64> {
    let value = find_field(payload, name)?;
    let length = value
        .iter()
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    std::str::from_utf8(&value[..length]).ok()?.parse().ok()
}

/// Returns the escaped text of the first string field `name`, without its quotes.
pub(crate) fn find_text<'a>(payload: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let text = find_field(payload, name)?.strip_prefix(b"\"")?;
    let mut escaped = false;
    for (index, byte) in text.iter().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = true,
            b'"' => return Some(&text[..index]),
            _ => {}
        }
    }
    None
}
