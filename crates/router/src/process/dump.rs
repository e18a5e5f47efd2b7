//! JSON dump of the router state for operators.

use serde_json::{Value, json};

use crate::process::{MetricName, RouterPhase, RouterState, config::ReadConfigStatus};

/// Builds the full dump, without keys and other secrets.
pub(crate) async fn build_dump(state: &RouterState) -> Value {
    let now = state.now();
    let ledger = state.ledger.lock().snapshot();
    let fleet = state.fleet.load_full();
    let queues: Vec<Value> = state
        .dispatcher
        .queue_snapshots()
        .into_iter()
        .map(|(target, queue)| json!({"target": target, "queue": queue}))
        .collect();
    let links: Vec<Value> = state
        .links
        .queue_lengths()
        .into_iter()
        .map(|(address, frames)| json!({"address": address, "queued_frames": frames}))
        .collect();
    json!({
        "status": build_status(state).await,
        "ledger": ledger,
        "upstreams": state.dispatcher.table_snapshot(now),
        "queues": queues,
        "members": fleet.members,
        "links": links,
        "crash_table": state.dispatcher.crash_snapshot(now),
        "blocked_content": state.dispatcher.blocked_content(now),
        "metrics": build_metrics(state),
    })
}

/// Builds the status summary, which `cornelarch prove` reads.
pub(crate) async fn build_status(state: &RouterState) -> Value {
    let version = state.version.load_full();
    let config = match state.actors() {
        Some(actors) => actors.config.ask(ReadConfigStatus).await.ok(),
        None => None,
    };
    let metrics = &state.metrics;
    json!({
        "instance": state.holder.instance,
        "holder": state.holder,
        "domain": state.settings.domain,
        "environment": state.settings.environment,
        "phase": match state.phase() {
            RouterPhase::Serving => "serving",
            RouterPhase::Draining => "leaving",
            RouterPhase::Refusing => "refusing",
        },
        "uptime_ms": state.now().as_micros() / 1_000,
        "version": version.as_ref().map_or(0, |version| version.number),
        "version_age_ms": version
            .as_ref()
            .map(|version| state.now().since(version.activated_at).as_millis() as u64),
        "apply_ms": version
            .as_ref()
            .and_then(|version| version.apply_delay)
            .map(|age| age.as_millis() as u64),
        "answers_under_version": version.as_ref().map_or(0, |version| {
            metrics.value(MetricName::Answers).saturating_sub(version.answers_before)
        }),
        "config": config,
        "running": state.running(),
        "answers": metrics.value(MetricName::Answers),
        "refusals": metrics.value(MetricName::Refusals),
        "broken_promises": metrics.value(MetricName::InvariantViolations),
    })
}

fn build_metrics(state: &RouterState) -> Value {
    let values = MetricName::ALL.iter().map(|name| {
        let value = Value::from(state.metrics.value(*name));
        (name.text().to_owned(), value)
    });
    Value::Object(values.collect())
}
