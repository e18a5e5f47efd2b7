//! Parsing of chat requests, and the request body for upstreams.

use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use cornelarch_core::{
    base::{ModelName, TokenCount},
    blocklist::content::ContentKey,
    error::ErrorKind,
};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::request::RequestRefusal;

/// Assumed bytes per prompt token if no engine has reported a token count.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// Fields of a chat request that the router reads.
#[derive(Deserialize)]
struct ChatFields<'a> {
    model: String,
    #[serde(borrow)]
    messages: &'a RawValue,
    #[serde(borrow, default)]
    tools: Option<&'a RawValue>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    n: Option<u64>,
    #[serde(borrow, default)]
    priority: Option<&'a RawValue>,
    #[serde(borrow, default)]
    x_resume_from: Option<&'a RawValue>,
    #[serde(borrow, default)]
    x_resume_text: Option<&'a RawValue>,
}

/// A parsed chat request.
#[derive(Clone, Debug)]
pub(crate) struct ChatBody {
    pub(crate) model: ModelName,
    /// Whether the caller requested a streamed response.
    pub(crate) stream: bool,
    /// Prompt length in bytes, which is an upper bound on the number of prompt tokens.
    pub(crate) prompt_bytes: u64,
    /// Limit on generated tokens requested by the caller.
    max_tokens: Option<u64>,
    /// Whether the received body contains `max_tokens`.
    has_max_tokens: bool,
    /// The value of `messages`, a slice of the body.
    messages: Bytes,
    /// The received body, a JSON object.
    body: Bytes,
}

impl ChatBody {
    /// Parses a chat request.
    ///
    /// # Errors
    ///
    /// Returns `malformed_request` with the reason.
    pub(crate) fn parse(body: Bytes) -> Result<Self, RequestRefusal> {
        let fields: ChatFields = serde_json::from_slice(&body)
            .map_err(|error| refuse(format!("body is not a chat request: {error}")))?;
        let reserved = [fields.priority, fields.x_resume_from, fields.x_resume_text];
        if reserved.iter().any(Option::is_some) {
            let message = "priority, x_resume_from and x_resume_text are set by the router";
            return Err(refuse(message));
        }
        if fields.n.is_some_and(|choices| choices != 1) {
            return Err(refuse("n must be 1"));
        }
        let messages = fields.messages.get();
        if !messages.starts_with('[') || messages[1..].trim_start().starts_with(']') {
            return Err(refuse("messages must be a list with at least one message"));
        }
        if fields.model.is_empty() {
            return Err(refuse("model must not be empty"));
        }
        let max_tokens = fields.max_tokens.or(fields.max_completion_tokens);
        if max_tokens == Some(0) {
            return Err(refuse("max_tokens must be above 0"));
        }
        let tools = fields.tools.map_or(0, |tools| tools.get().len());
        let prompt = body.slice_ref(messages.as_bytes());
        Ok(Self {
            model: ModelName::from(fields.model),
            stream: fields.stream.unwrap_or(false),
            prompt_bytes: (messages.len() + tools) as u64,
            max_tokens,
            has_max_tokens: fields.max_tokens.is_some(),
            messages: prompt,
            body,
        })
    }

    /// Returns the limit on generated tokens; `default` applies if the caller gave none.
    ///
    /// # Errors
    ///
    /// Returns `malformed_request` if the caller's limit exceeds `highest`.
    pub(crate) fn max_tokens(&self, default: u64, highest: u64) -> Result<u64, RequestRefusal> {
        match self.max_tokens {
            Some(limit) if limit > highest => Err(refuse(format!(
                "max_tokens {limit} exceeds the limit {highest}"
            ))),
            Some(limit) => Ok(limit),
            None => Ok(default),
        }
    }

    /// Returns the messages as received.
    pub(crate) fn prompt(&self) -> &[u8] {
        &self.messages
    }

    /// Returns the keys of the messages that other requests may share.
    pub(crate) fn message_keys(&self) -> Arc<[ContentKey]> {
        let messages: Vec<&RawValue> = serde_json::from_slice(&self.messages).unwrap_or_default();
        let messages: Vec<&[u8]> = messages.iter().map(|text| text.get().as_bytes()).collect();
        ContentKey::of_messages(&self.model, &messages).collect()
    }

    /// Returns an upper bound on the cost of the request.
    pub(crate) fn highest_cost(&self, max_tokens: u64) -> TokenCount {
        TokenCount::new(self.prompt_bytes).saturating_add(TokenCount::new(max_tokens))
    }

    /// Returns the number of prompt tokens to bill if no engine has reported it.
    pub(crate) fn estimated_prompt_tokens(&self) -> u64 {
        self.prompt_bytes.div_ceil(PROMPT_BYTES_PER_TOKEN)
    }

    pub(crate) fn received(&self) -> &Bytes {
        &self.body
    }

    /// Returns the body for an upstream. The received body is reused unless fields must be added.
    pub(crate) fn upstream_body(
        &self,
        max_tokens: u64,
        priority: i64,
        resume: Option<(u64, &[u8])>,
    ) -> Bytes {
        if self.has_max_tokens && priority == 0 && resume.is_none() {
            return self.body.clone();
        }
        let text = resume.map_or(0, |(_, text)| text.len());
        let mut body = BytesMut::with_capacity(self.body.len() + text + 128);
        body.put_u8(b'{');
        if !self.has_max_tokens {
            body.put_slice(format!("\"max_tokens\":{max_tokens},").as_bytes());
        }
        if priority != 0 {
            body.put_slice(format!("\"priority\":{priority},").as_bytes());
        }
        if let Some((sequence, text)) = resume {
            let fields = format!("\"x_resume_from\":{sequence},\"x_resume_text\":\"");
            body.put_slice(fields.as_bytes());
            // The text was copied from JSON strings and is still escaped.
            body.put_slice(text);
            body.put_slice(b"\",");
        }
        let rest = self.body.trim_ascii_start();
        body.put_slice(rest.strip_prefix(b"{").unwrap_or(rest));
        body.freeze()
    }
}

fn refuse(message: impl Into<String>) -> RequestRefusal {
    RequestRefusal::new(ErrorKind::MalformedRequest, message)
}
