//! Calls of the demo's customers and their results.

use cornelarch_core::base::{BudgetName, CustomerName};
use cornelarch_standin::{engine::completion_text, service::lookup_response};
use serde_json::{Value, json};

use crate::demo::document::demo_key;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A chat completion answered as one JSON document.
    Chat,
    /// A chat completion answered as a stream of server-sent events.
    Stream,
    /// An idempotent service call.
    Lookup,
    /// A service call that must be executed at most once; it carries an idempotency key.
    Order,
}

/// Parameters of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallSpec {
    pub(crate) customer: CustomerName,
    pub(crate) budget: BudgetName,
    pub(crate) kind: CallKind,
    /// The name of the model or service.
    pub(crate) target: String,
    /// The prompt, the item to look up or the order id. Unique to the call, except for repeated
    /// orders, so that the executions at the stand-ins can be counted by call.
    pub(crate) payload: String,
    /// The maximum length of the answer in tokens, for chat completions.
    pub(crate) max_tokens: u64,
    /// The fixed cost in tokens, for service calls.
    pub(crate) cost: u64,
}

/// Outcome of one attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// A complete answer was received.
    Answered {
        /// The usage that the answer reports, or the fixed cost for service calls.
        tokens: u64,
        /// Whether the answer equals the expected one.
        matches: bool,
    },
    /// The router refused the call.
    Refused {
        /// The error kind from the response body.
        code: String,
        /// The run state from the `x-cornelarch-run` header.
        run: String,
    },
    /// The connection failed, or the response was incomplete or invalid.
    Broken {
        /// Whether the router may have received the call.
        sent: bool,
    },
}

/// A call with its attempts in order, each with the index of its router.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) spec: CallSpec,
    pub(crate) attempts: Vec<(usize, CallResult)>,
}

impl CallSpec {
    /// Returns the customer's API key.
    pub(crate) fn key(&self) -> String {
        demo_key(&self.customer)
    }

    /// Returns the request path at the router.
    pub(crate) fn path(&self) -> String {
        let Self {
            target, payload, ..
        } = self;
        match self.kind {
            CallKind::Chat | CallKind::Stream => "/v1/chat/completions".to_owned(),
            CallKind::Lookup => format!("/services/{target}{}", item_path(payload)),
            CallKind::Order => format!("/services/{target}/orders"),
        }
    }

    /// Returns the JSON body, or `None` for a lookup.
    pub(crate) fn body(&self) -> Option<Value> {
        match self.kind {
            CallKind::Chat | CallKind::Stream => Some(json!({
            "model": self.target,
            "messages": [{"role": "user", "content": self.payload}],
            "max_tokens": self.max_tokens,
            "stream": self.kind == CallKind::Stream,
            })),
            CallKind::Lookup => None,
            CallKind::Order => Some(json!({"order": self.payload})),
        }
    }

    /// Compares a complete chat completion with the expected one. An answer without usage does not
    /// match.
    pub(crate) fn evaluate_text(&self, text: &str, tokens: Option<u64>) -> CallResult {
        CallResult::Answered {
            tokens: tokens.unwrap_or(0),
            matches: tokens.is_some() && text == completion_text(&[&self.payload], self.max_tokens),
        }
    }

    /// Compares a complete JSON answer with the expected one.
    pub(crate) fn evaluate_json(&self, answer: &Value) -> CallResult {
        let matches = match self.kind {
            CallKind::Chat | CallKind::Stream => {
                let text = answer["choices"][0]["message"]["content"].as_str();
                let tokens = answer["usage"]["total_tokens"].as_u64();
                return self.evaluate_text(text.unwrap_or_default(), tokens);
            }
            CallKind::Lookup => *answer == lookup_response(&item_path(&self.payload)),
            CallKind::Order => *answer == json!({"order": self.payload, "execution": 1}),
        };
        let tokens = self.cost;
        CallResult::Answered { tokens, matches }
    }

    /// Returns the upper bound of the tokens that an attempt without a complete answer may have
    /// been billed.
    pub(crate) fn max_cost(&self) -> u64 {
        match self.kind {
            CallKind::Chat | CallKind::Stream => self.payload.len() as u64 + self.max_tokens,
            CallKind::Lookup | CallKind::Order => self.cost,
        }
    }
}

impl CallRecord {
    /// Returns the result of the last attempt.
    pub(crate) fn final_result(&self) -> Option<&CallResult> {
        self.attempts.last().map(|(_, result)| result)
    }

    /// Returns the tokens of the answer, or `None` if the call was not answered.
    pub(crate) fn answered_tokens(&self) -> Option<u64> {
        match self.final_result() {
            Some(CallResult::Answered { tokens, .. }) => Some(*tokens),
            _ => None,
        }
    }

    /// Returns whether every attempt is known not to have been executed by an upstream.
    pub(crate) fn is_not_run(&self) -> bool {
        self.attempts.iter().all(|(_, result)| match result {
            CallResult::Refused { run, .. } => run == "not_run",
            CallResult::Broken { sent } => !sent,
            CallResult::Answered { .. } => false,
        })
    }
}

/// Returns the path of an item relative to the service.
pub(crate) fn item_path(item: &str) -> String {
    format!("/items/{item}")
}
