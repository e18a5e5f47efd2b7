//! Periodic tasks: load polls of upstreams, reads of the platform's instance list, and the
//! admission queues.

use std::{sync::Arc, time::Duration};

use cornelarch_core::{
    base::UpstreamName,
    membership::{InstanceHint, MemberEvent},
    routing::{InstanceState, LoadReport, PollSchedule},
};
use cornelarch_platform::{InstanceEntry, InstanceState as ListedState, ObjectStore};
use futures_util::{StreamExt, stream};
use serde::Deserialize;

use crate::process::{MetricName, RouterState, log_event};

/// Time-out of a load poll.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent load polls. At the target size a subset has about 35 upstreams.
const MAX_CONCURRENT_LOAD_POLLS: usize = 32;
/// Time between two reads of the instance list. At this period 350 instances make 70 reads/s.
const INSTANCE_LIST_PERIOD: Duration = Duration::from_secs(5);
/// Time between two checks of the admission queues for requests that have waited too long.
const QUEUE_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Response body of `GET /load` at an upstream.
#[derive(Deserialize)]
struct LoadBody {
    running: u64,
    waiting: u64,
    #[serde(default)]
    leaving: bool,
}

/// Selects the poll period of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollClass {
    /// An upstream in this router's subset.
    Regular,
    /// An upstream of another domain.
    Rare,
}

/// Lists the upstreams of a class and their poll period.
#[derive(Debug)]
pub(crate) struct PollPlan {
    pub(crate) upstreams: Vec<UpstreamName>,
    /// Time between two polls of each upstream.
    pub(crate) period: Duration,
}

/// Polls the load of the upstreams that this router uses, until it stops.
pub(crate) async fn poll_loads(state: Arc<RouterState>) {
    tokio::join!(
        poll_class(&state, PollClass::Regular),
        poll_class(&state, PollClass::Rare),
    );
}

async fn poll_class(state: &RouterState, class: PollClass) {
    let tick = state.settings.load_poll;
    let mut interval = tokio::time::interval(tick);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut version = state.active_version.subscribe();
    let mut schedule = PollSchedule::default();
    loop {
        let is_tick = tokio::select! {
            () = state.stop.cancelled() => return,
            _ = interval.tick() => true,
            // A new upstream is polled at once, because it may be leaving already. The others wait
            // for their period: at 12,000 versions a day, polling all of them after each version
            // would more than double the number of polls.
            _ = version.changed() => false,
        };
        let PollPlan { upstreams, period } = state.dispatcher.poll_plan(class, tick);
        let due = if is_tick {
            schedule.tick(upstreams, period, tick, state.now())
        } else {
            schedule.changed(upstreams, period, tick, state.now())
        };
        tokio::select! {
            () = state.stop.cancelled() => return,
            () = poll_all(state, due) => {}
        }
    }
}

async fn poll_all(state: &RouterState, upstreams: Vec<UpstreamName>) {
    let Some(current) = state.version.load_full() else {
        return;
    };
    let addressed = upstreams.into_iter().filter_map(|name| {
        let section = current.document.upstreams.get(&name)?;
        Some((name, section.address))
    });
    let addressed: Vec<_> = addressed.collect();
    stream::iter(addressed)
        .for_each_concurrent(MAX_CONCURRENT_LOAD_POLLS, |(name, address)| async move {
            poll_load(state, &name, &format!("http://{address}/load")).await;
        })
        .await;
}

async fn poll_load(state: &RouterState, upstream: &UpstreamName, url: &str) {
    let sent = state.now();
    let read = async {
        let response = state.client.get(url).send().await?.error_for_status()?;
        response.json::<LoadBody>().await
    };
    match tokio::time::timeout(LOAD_TIMEOUT, read).await {
        Ok(Ok(body)) => {
            let now = state.now();
            let report = LoadReport {
                running: u32::try_from(body.running).unwrap_or(u32::MAX),
                queued: u32::try_from(body.waiting).unwrap_or(u32::MAX),
                age: now.since(sent),
                leaving: body.leaving,
            };
            state.dispatcher.load_report(upstream, report, now);
        }
        Ok(Err(error)) => log_event!(LoadPollFailed, "{upstream}: {error}"),
        Err(_) => log_event!(
            LoadPollFailed,
            "{upstream}: no response within {LOAD_TIMEOUT:?}"
        ),
    }
}

/// Reads the instance list until the router stops.
pub(crate) async fn poll_instances(state: Arc<RouterState>) {
    let mut interval = tokio::time::interval(INSTANCE_LIST_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            _ = interval.tick() => {}
        }
        state.metrics.count(MetricName::PlatformCalls);
        match state.store.instances().await {
            Ok(entries) => apply_instances(&state, entries).await,
            Err(_) => state.metrics.count(MetricName::PlatformFailures),
        }
    }
}

/// Passes entries that name an upstream to the dispatcher, and the others to the member table.
async fn apply_instances(state: &RouterState, entries: Vec<InstanceEntry>) {
    let version = state.version.load_full();
    let mut hints = Vec::new();
    for entry in entries {
        let upstream = UpstreamName::new(&entry.name);
        let is_upstream = version
            .as_ref()
            .is_some_and(|version| version.document.upstreams.contains_key(&upstream));
        if is_upstream {
            let listed = match entry.state {
                ListedState::Live => InstanceState::Live,
                ListedState::Leaving => InstanceState::Leaving,
            };
            state.dispatcher.instance_state(&upstream, listed);
        } else if entry.state == ListedState::Live {
            hints.push(InstanceHint {
                instance: entry.name.as_str().into(),
                address: entry.address,
            });
        }
    }
    if let Some(actors) = state.actors() {
        // Sending fails only after the router has been closed.
        let _ = actors.members.tell(MemberEvent::InstanceList(hints)).await;
    }
}

/// Starts and refuses queued requests until the router stops. The queues are polled because an
/// ejection or a deadline can expire without any other event.
pub(crate) async fn poll_queues(state: Arc<RouterState>) {
    let mut interval = tokio::time::interval(QUEUE_POLL_PERIOD);
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            _ = interval.tick() => {}
        }
        state.dispatcher.admit_all_queued(&state);
        state.dispatcher.expire(state.now());
    }
}
