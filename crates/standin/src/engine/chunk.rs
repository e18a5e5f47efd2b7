//! Server-sent events of one streamed answer.

use std::{collections::VecDeque, convert::Infallible, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    connection::StreamAbortHandle,
    engine::{Prompt, fault::ResponseFault},
};

/// Number of chunks before the one that is duplicated, skipped or swapped with the next.
const FAULT_POSITION: u64 = 2;

/// Produces the events of one answer.
pub(crate) struct ChunkWriter {
    pub(crate) prompt: Arc<Prompt>,
    pub(crate) model: String,
    pub(crate) id: String,
    /// The index of the first token of this stream; above 0 for a resumed answer.
    pub(crate) from: u64,
    /// The length of the complete answer, in tokens.
    pub(crate) end: u64,
    pub(crate) tokens: UnboundedReceiver<u64>,
    pub(crate) fault: ResponseFault,
    pub(crate) abort_handle: StreamAbortHandle,
    pub(crate) pending_frames: VecDeque<Bytes>,
    pub(crate) delayed: Option<Bytes>,
    pub(crate) written: u64,
    pub(crate) ended: bool,
}

impl ChunkWriter {
    /// Returns the events as the body of a response.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, Infallible>> {
        stream::unfold(self, |mut writer| async move {
            let frame = writer.next_frame().await?;
            Some((Ok(frame), writer))
        })
    }

    async fn next_frame(&mut self) -> Option<Bytes> {
        loop {
            if let Some(frame) = self.pending_frames.pop_front() {
                return Some(frame);
            }
            if self.ended {
                return None;
            }
            if self.fault == ResponseFault::ResetAfter(self.written) {
                self.abort().await;
            }
            match self.tokens.recv().await {
                Some(index) => self.push_token(index),
                None if self.from + self.written >= self.end => self.push_end(),
                None => self.abort().await,
            }
        }
    }

    /// Cuts the connection after the frames so far were written to it.
    async fn abort(&self) -> ! {
        // The connection writes its buffer whenever the body is not ready.
        tokio::task::yield_now().await;
        self.abort_handle.abort().await
    }

    fn push_token(&mut self, index: u64) {
        let frame = self.encode_token(index);
        let position = self.written;
        self.written += 1;
        match self.fault {
            ResponseFault::Duplicate if position == FAULT_POSITION => {
                self.pending_frames.extend([frame.clone(), frame]);
            }
            ResponseFault::Skip if position == FAULT_POSITION => {}
            ResponseFault::Reorder if position == FAULT_POSITION => self.delayed = Some(frame),
            _ => {
                self.pending_frames.push_back(frame);
                self.pending_frames.extend(self.delayed.take());
            }
        }
    }

    fn encode_token(&self, index: u64) -> Bytes {
        let (role, count) = match self.written {
            0 => (
                r#""role":"assistant","#,
                format!(r#""x_prompt_tokens":{},"#, self.prompt.tokens),
            ),
            _ => ("", String::new()),
        };
        let token = self.prompt.token(index);
        let (id, model) = (&self.id, &self.model);
        Bytes::from(format!(
            "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
             \"model\":{model},{count}\"x_sequence\":{index},\"choices\":[{{\"index\":0,\
             \"delta\":{{{role}\"content\":\"{token}\"}},\"finish_reason\":null}}]}}\n\n"
        ))
    }

    fn push_end(&mut self) {
        self.pending_frames.extend(self.delayed.take());
        let model: serde_json::Value = serde_json::from_str(&self.model).unwrap_or_default();
        let chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": model,
            "x_sequence": self.end,
            "choices": [{
                "index": 0,
                "delta": {},
                "finish_reason": finish_reason(&self.prompt, self.end),
            }],
            "usage": usage(&self.prompt, self.end),
        });
        self.pending_frames
            .push_back(Bytes::from(format!("data: {chunk}\n\n")));
        self.pending_frames
            .push_back(Bytes::from_static(b"data: [DONE]\n\n"));
        self.ended = true;
    }
}

/// Returns the reason why an answer ended.
pub(crate) fn finish_reason(prompt: &Prompt, end: u64) -> &'static str {
    match end < prompt.completion_length {
        true => "length",
        false => "stop",
    }
}

/// Returns the usage of a complete answer, also if a part of it was generated elsewhere.
pub(crate) fn usage(prompt: &Prompt, end: u64) -> serde_json::Value {
    json!({
        "prompt_tokens": prompt.tokens,
        "completion_tokens": end,
        "total_tokens": prompt.tokens + end,
    })
}
