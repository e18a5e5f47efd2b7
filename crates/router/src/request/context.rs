//! Request context: authentication, configuration version and deadline.

use std::{sync::Arc, time::Duration};

use axum::{body::Body, extract::ConnectInfo};
use bytes::Bytes;
use cornelarch_callers::{BodyFailure, read_body};
use cornelarch_core::{
    base::{MonotonicTime, TokenCount},
    config::{CustomerSection, KeyOwner},
    error::ErrorKind,
    limit::Priority,
};
use http::{Extensions, HeaderMap, header::AUTHORIZATION};

use crate::{
    connection::CallerReference,
    process::{RouterPhase, RouterState, RunningGuard},
    request::{
        RequestRefusal,
        bill::{PartialCost, RequestBill},
    },
    version::ConfigVersion,
};

/// Header with the caller's request timeout, in milliseconds.
pub(crate) const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Lowest customer priority with high queue priority.
const HIGH_PRIORITY: u64 = 7;
/// Highest customer priority with low queue priority.
const LOW_PRIORITY: u64 = 2;

/// Configuration version, customer and deadline of a request.
pub(crate) struct RequestContext {
    pub(crate) state: Arc<RouterState>,
    pub(crate) version: Arc<ConfigVersion>,
    pub(crate) owner: KeyOwner,
    pub(crate) started: MonotonicTime,
    pub(crate) deadline: MonotonicTime,
    _running: RunningGuard,
}

impl RequestContext {
    /// Authenticates a request and computes its deadline.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the router is draining or has no configuration, if the API key is
    /// missing or unknown, or if the timeout is malformed.
    pub(crate) fn open(
        state: &Arc<RouterState>,
        headers: &HeaderMap,
    ) -> Result<Self, RequestRefusal> {
        // The request is counted before the phase is read, so that draining waits for every request
        // that has seen an earlier phase.
        let running = state.start_request();
        if state.phase() == RouterPhase::Refusing {
            let message = "the instance is shutting down";
            return Err(RequestRefusal::new(ErrorKind::Draining, message));
        }
        let version = state.version.load_full().ok_or_else(|| {
            RequestRefusal::new(ErrorKind::NotReady, "the instance has no configuration yet")
        })?;
        let key = read_key(headers)?;
        let owner = version
            .key_owner(key)
            .cloned()
            .ok_or_else(|| RequestRefusal::new(ErrorKind::UnknownKey, "the key is not known"))?;
        let started = state.now();
        let limit = Duration::from_secs(version.document.limits.request_timeout_s)
            .min(state.settings.request_timeout);
        let deadline = started + read_timeout(headers)?.map_or(limit, |asked| asked.min(limit));
        Ok(Self {
            state: Arc::clone(state),
            version,
            owner,
            started,
            deadline,
            _running: running,
        })
    }

    /// Returns the configuration section of the customer.
    ///
    /// # Panics
    ///
    /// Panics if the document has an API key without its customer, which validation rules out.
    pub(crate) fn customer(&self) -> &CustomerSection {
        // Looked up on each use, because a copy would cost an allocation per listed name.
        &self.version.document.customers[&self.owner.customer]
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is too large, incomplete, or not received by the deadline.
    pub(crate) async fn read_body(
        &self,
        extensions: &Extensions,
        body: Body,
    ) -> Result<Bytes, RequestRefusal> {
        let caller = extensions.get::<ConnectInfo<CallerReference>>();
        let Some(ConnectInfo(CallerReference(entry))) = caller else {
            let message = "the connection has no entry";
            return Err(RequestRefusal::new(ErrorKind::Internal, message));
        };
        let limit = usize::try_from(self.version.document.limits.body_bytes).unwrap_or(usize::MAX);
        let deadline = self.state.clock.instant(self.deadline);
        match tokio::time::timeout_at(deadline, read_body(entry, body, limit)).await {
            Ok(result) => result.map_err(|failure| refuse_body(failure, limit)),
            Err(_) => Err(RequestRefusal::new(
                ErrorKind::DeadlineExceeded,
                "the body did not arrive in time",
            )),
        }
    }

    /// Reserves the maximum cost of the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ledger rejects the reservation.
    pub(crate) async fn reserve(
        &self,
        amount: TokenCount,
        partial: PartialCost,
    ) -> Result<RequestBill, RequestRefusal> {
        // Budgets are registered at their first request: an instance serves only a few of the
        // 100,000 budgets of a target-size fleet, and each registered one takes about 270 bytes.
        let budget = self.owner.budget.clone();
        let budget = self.state.ledger.lock().register(budget);
        let wait = Duration::from_millis(self.version.document.limits.end_wait_ms);
        let wait = wait.min(self.deadline.since(self.state.now()));
        RequestBill::reserve(&self.state, budget, amount, partial, wait).await
    }

    /// Returns the queue priority of the customer's requests.
    pub(crate) fn queue_priority(&self) -> Priority {
        match self.customer().priority {
            HIGH_PRIORITY.. => Priority::High,
            0..=LOW_PRIORITY => Priority::Low,
            _ => Priority::Normal,
        }
    }

    /// Returns the milliseconds until the deadline, which are sent to the upstream.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let remaining = self.deadline.since(self.state.now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }
}

fn read_key(headers: &HeaderMap) -> Result<&str, RequestRefusal> {
    let missing = || {
        let message = "the header Authorization: Bearer KEY is required";
        RequestRefusal::new(ErrorKind::MissingKey, message)
    };
    let value = headers.get(AUTHORIZATION).ok_or_else(missing)?;
    let value = value.to_str().map_err(|_| missing())?;
    let (scheme, key) = value.split_once(' ').ok_or_else(missing)?;
    match key.trim() {
        key if scheme.eq_ignore_ascii_case("bearer") && !key.is_empty() => Ok(key),
        _ => Err(missing()),
    }
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, RequestRefusal> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => Err(RequestRefusal::new(
            ErrorKind::MalformedRequest,
            format!("{TIMEOUT_HEADER} must be a number of milliseconds above 0"),
        )),
    }
}

fn refuse_body(failure: BodyFailure, limit: usize) -> RequestRefusal {
    let (kind, message) = match failure {
        BodyFailure::TooLarge => {
            let message = format!("the body exceeds {limit} bytes");
            return RequestRefusal::new(ErrorKind::BodyTooLarge, message);
        }
        BodyFailure::Broken => (ErrorKind::MalformedRequest, "the body is incomplete"),
        BodyFailure::Stalled => (ErrorKind::BodyStalled, "the body does not arrive"),
        BodyFailure::Overloaded => (ErrorKind::Overloaded, "callers hold too much memory"),
    };
    RequestRefusal::new(kind, message)
}
