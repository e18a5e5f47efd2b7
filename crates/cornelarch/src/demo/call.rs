//! Calls of the demo's customers and what became of them.

use cornelarch_core::base::{BudgetName, CustomerName};
use cornelarch_standin::{engine::completion_text, service::lookup_response};
use serde_json::{Value, json};

use crate::demo::document::demo_key;

/// Lists the kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A chat answered as one JSON document.
    Chat,
    /// A chat answered as a stream of events.
    Stream,
    /// An idempotent service call.
    Lookup,
    /// A service call that must not be repeated.
    Order,
}

/// Describes a call.
#[derive(Clone, Debug)]
pub(crate) struct CallSpec {
    pub(crate) customer: CustomerName,
    pub(crate) budget: BudgetName,
    pub(crate) kind: CallKind,
    /// The model or the service.
    pub(crate) target: String,
    /// The prompt, the looked-up item or the order id; unique to the call.
    pub(crate) text: String,
    /// The limit of the answer in tokens, for chats.
    pub(crate) max_tokens: u64,
    /// The fixed cost in tokens, for service calls.
    pub(crate) cost: u64,
}

/// Tells how one attempt at a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The answer is complete.
    Answered {
        /// The usage that the answer reports; for service calls the fixed cost.
        tokens: u64,
        /// Whether the answer is the expected one.
        matches: bool,
    },
    /// The router refused the call.
    Refused {
        /// The kind of error.
        code: String,
        /// The value of `x-cornelarch-run`.
        run: String,
    },
    /// The connection failed.
    Broken {
        /// Whether the router may have received the call.
        sent: bool,
    },
}

/// Holds a call with all its attempts and the routers that they went to.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) spec: CallSpec,
    pub(crate) attempts: Vec<(usize, CallResult)>,
}

impl CallSpec {
    /// Returns the customer's key.
    pub(crate) fn key(&self) -> String {
        demo_key(&self.customer)
    }

    /// Returns the path at the router.
    pub(crate) fn path(&self) -> String {
        let Self { target, text, .. } = self;
        match self.kind {
            CallKind::Chat | CallKind::Stream => "/v1/chat/completions".to_owned(),
            CallKind::Lookup => format!("/services/{target}{}", item_path(text)),
            CallKind::Order => format!("/services/{target}/orders"),
        }
    }

    /// Returns the JSON body; a lookup has none.
    pub(crate) fn body(&self) -> Option<Value> {
        match self.kind {
            CallKind::Chat | CallKind::Stream => Some(json!({
                "model": self.target,
                "messages": [{"role": "user", "content": self.text}],
                "max_tokens": self.max_tokens,
                "stream": self.kind == CallKind::Stream,
            })),
            CallKind::Lookup => None,
            CallKind::Order => Some(json!({"order": self.text})),
        }
    }

    /// Returns the result of a complete chat answer.
    pub(crate) fn judge_text(&self, text: &str, tokens: Option<u64>) -> CallResult {
        CallResult::Answered {
            tokens: tokens.unwrap_or(0),
            matches: tokens.is_some() && text == completion_text(&[&self.text], self.max_tokens),
        }
    }

    /// Returns the result of a complete JSON answer.
    pub(crate) fn judge_json(&self, answer: &Value) -> CallResult {
        let matches = match self.kind {
            CallKind::Chat | CallKind::Stream => {
                let text = answer["choices"][0]["message"]["content"].as_str();
                let tokens = answer["usage"]["total_tokens"].as_u64();
                return self.judge_text(text.unwrap_or_default(), tokens);
            }
            CallKind::Lookup => *answer == lookup_response(&item_path(&self.text)),
            CallKind::Order => *answer == json!({"order": self.text, "execution": 1}),
        };
        let tokens = self.cost;
        CallResult::Answered { tokens, matches }
    }

    /// Returns the highest cost in tokens, which a broken call may have been billed.
    pub(crate) fn highest_cost(&self) -> u64 {
        match self.kind {
            CallKind::Chat | CallKind::Stream => self.text.len() as u64 + self.max_tokens,
            CallKind::Lookup | CallKind::Order => self.cost,
        }
    }
}

impl CallRecord {
    /// Returns how the last attempt ended.
    pub(crate) fn last(&self) -> Option<&CallResult> {
        self.attempts.last().map(|(_, result)| result)
    }

    /// Returns the answer's tokens, if there is an answer.
    pub(crate) fn answered(&self) -> Option<u64> {
        match self.last() {
            Some(CallResult::Answered { tokens, .. }) => Some(*tokens),
            _ => None,
        }
    }

    /// Returns whether every attempt says that it was not run.
    pub(crate) fn is_not_run(&self) -> bool {
        self.attempts.iter().all(|(_, result)| match result {
            CallResult::Refused { run, .. } => run == "not_run",
            CallResult::Broken { sent } => !sent,
            CallResult::Answered { .. } => false,
        })
    }
}

/// Returns the path of an item at the service.
pub(crate) fn item_path(item: &str) -> String {
    format!("/items/{item}")
}
