//! Server-sent events of one streamed answer.

use std::{collections::VecDeque, convert::Infallible, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    connection::StreamCutter,
    engine::{Prompt, fault::AnswerFault},
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
    pub(crate) fault: AnswerFault,
    pub(crate) cutter: StreamCutter,
    pub(crate) ready: VecDeque<Bytes>,
    pub(crate) held: Option<Bytes>,
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
            if let Some(frame) = self.ready.pop_front() {
                return Some(frame);
            }
            if self.ended {
                return None;
            }
            if self.fault == AnswerFault::ResetAfter(self.written) {
                self.cut().await;
            }
            match self.tokens.recv().await {
                Some(index) => self.push_token(index),
                None if self.from + self.written >= self.end => self.push_end(),
                None => self.cut().await,
            }
        }
    }

    /// Cuts the connection after the frames so far were written to it.
    async fn cut(&self) -> ! {
        // The connection writes its buffer whenever the body is not ready.
        tokio::task::yield_now().await;
        self.cutter.cut().await
    }

    fn push_token(&mut self, index: u64) {
        let frame = self.encode_token(index);
        let position = self.written;
        self.written += 1;
        match self.fault {
            AnswerFault::Duplicate if position == FAULT_POSITION => {
                self.ready.extend([frame.clone(), frame]);
            }
            AnswerFault::Skip if position == FAULT_POSITION => {}
            AnswerFault::Reorder if position == FAULT_POSITION => self.held = Some(frame),
            _ => {
                self.ready.push_back(frame);
                self.ready.extend(self.held.take());
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
        self.ready.extend(self.held.take());
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
        self.ready
            .push_back(Bytes::from(format!("data: {chunk}\n\n")));
        self.ready
            .push_back(Bytes::from_static(b"data: [DONE]\n\n"));
        self.ended = true;
    }
}

/// Returns the reason why an answer ended.
pub(crate) fn finish_reason(prompt: &Prompt, end: u64) -> &'static str {
    match end < prompt.length {
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
