//! Configuration actor: reads and watches the head object and exchanges deltas with peers.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cornelarch_core::{
    base::HolderId,
    config::{
        ConfigChanges, ConfigEffect, ConfigEvent, ConfigMessage, ConfigOptions, ConfigState,
        ConfigStatus, Delta, HeadObject, base_key, head_key,
    },
};
use cornelarch_platform::{ObjectStore, StoreError, VersionedValue};
use cornelarch_wire::peer::{WireBody, WireConfigChanges, WireConfigRequest};
use kameo::{
    Actor,
    actor::ActorRef,
    message::{Context, Message},
};
use tokio::task::JoinHandle;

use crate::{
    process::{MetricName, RouterState, log_event, members::PublishFleet},
    version::ConfigVersion,
};

/// Tick period of the configuration state machine.
pub(crate) const CONFIG_TICK: Duration = Duration::from_millis(250);
/// Time-out of one long-poll watch. The platform counts each open watch as one call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Message that asks for the [`ConfigStatus`].
pub(crate) struct ReadConfigStatus;

/// Feeds events to [`ConfigState`] and executes the effects that it returns.
#[derive(Actor)]
pub(crate) struct ConfigActor {
    state: Arc<RouterState>,
    config: ConfigState,
    watch: Option<JoinHandle<()>>,
    newest_time: u64,
    platform_up: bool,
}

impl ConfigActor {
    /// Creates the actor of a router.
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        let config = ConfigState::new(
            state.settings.environment.clone(),
            state.settings.instance.clone(),
            ConfigOptions::default(),
            state.clock.now(),
        );
        Self {
            state,
            config,
            watch: None,
            newest_time: 0,
            platform_up: true,
        }
    }

    fn apply(&mut self, event: ConfigEvent, actor: &ActorRef<Self>) {
        self.record_event(&event);
        let now = self.state.clock.now();
        for effect in self.config.handle(event, now) {
            self.run_effect(effect, actor);
        }
    }

    fn record_event(&mut self, event: &ConfigEvent) {
        match event {
            ConfigEvent::HeadRead { head, .. } => {
                self.platform_up = true;
                self.record_times(&head.deltas);
            }
            ConfigEvent::HeadUnchanged => self.platform_up = true,
            ConfigEvent::Received {
                message: ConfigMessage::Changes(changes),
                ..
            } => self.record_times(&changes.deltas),
            ConfigEvent::PlatformDown if self.platform_up => {
                self.platform_up = false;
                log_event!(ConfigPlatformDown);
            }
            _ => {}
        }
    }

    fn record_times(&mut self, deltas: &[Delta]) {
        let newest = deltas.iter().map(|delta| delta.time).max();
        self.newest_time = self.newest_time.max(newest.unwrap_or(0));
    }

    fn run_effect(&mut self, effect: ConfigEffect, actor: &ActorRef<Self>) {
        match effect {
            ConfigEffect::ReadHead => self.spawn_read(actor, read_head),
            ConfigEffect::WatchHead { after_version } => self.start_watch(after_version, actor),
            ConfigEffect::StopWatch => self.stop_watch(),
            ConfigEffect::ReadBase { base_id, parts } => {
                self.spawn_read(actor, async move |state| {
                    read_base(state, base_id, parts).await
                });
            }
            ConfigEffect::Send { to, message } => {
                if let Some(body) = encode_message(message) {
                    self.state.send_to(&to, body);
                }
            }
            ConfigEffect::Activate {
                version,
                document,
                changes: _,
            } => {
                let age = self.change_age();
                if self.state.version.load().is_none() {
                    self.state.open_ledger(&document);
                }
                let next = ConfigVersion::build(version, document, &self.state, age);
                self.state.activate_version(next);
                self.republish_fleet();
            }
            ConfigEffect::Rejected { error } => log_event!(ConfigRejected, "{error}"),
        }
    }

    /// Makes the member actor publish the live routers again, because a ledger that was just opened
    /// has not received them.
    fn republish_fleet(&self) {
        let state = Arc::clone(&self.state);
        self.state.tasks.spawn(async move {
            if let Some(actors) = state.actors() {
                let _ = actors.members.tell(PublishFleet).await;
            }
        });
    }

    fn spawn_read<F, R>(&self, actor: &ActorRef<Self>, read: F)
    where
        F: FnOnce(Arc<RouterState>) -> R,
        R: Future<Output = ConfigEvent> + Send + 'static,
    {
        let actor = actor.clone();
        let event = read(Arc::clone(&self.state));
        self.state.tasks.spawn(async move {
            // Sending fails only after the router has been closed.
            let _ = actor.tell(event.await).await;
        });
    }

    fn start_watch(&mut self, after_version: u64, actor: &ActorRef<Self>) {
        self.stop_watch();
        let (state, actor) = (Arc::clone(&self.state), actor.clone());
        self.watch = Some(self.state.tasks.spawn(async move {
            let event = watch_head(&state, after_version).await;
            let _ = actor.tell(event).await;
        }));
    }

    fn stop_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }

    /// Returns the time since the newest known delta was written, or `None` if its time is unknown.
    fn change_age(&self) -> Option<Duration> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
        (self.newest_time > 0).then(|| now.saturating_sub(Duration::from_secs(self.newest_time)))
    }
}

impl Message<ConfigEvent> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, event: ConfigEvent, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.apply(event, &actor);
    }
}

impl Message<ReadConfigStatus> for ConfigActor {
    type Reply = Box<ConfigStatus>;

    async fn handle(
        &mut self,
        _: ReadConfigStatus,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Box::new(self.config.status())
    }
}

async fn read_head(state: Arc<RouterState>) -> ConfigEvent {
    state.metrics.count(MetricName::PlatformCalls);
    match state
        .store
        .get(&head_key(&state.settings.environment))
        .await
    {
        Ok(object) => decode_head(&object),
        Err(StoreError::NotFound { .. }) => ConfigEvent::HeadUnchanged,
        Err(_) => ConfigEvent::PlatformDown,
    }
}

async fn watch_head(state: &RouterState, after_version: u64) -> ConfigEvent {
    let key = head_key(&state.settings.environment);
    state.metrics.count(MetricName::PlatformCalls);
    match state.store.watch(&key, after_version, WATCH_TIMEOUT).await {
        Ok(Some(object)) => decode_head(&object),
        Ok(None) | Err(StoreError::NotFound { .. }) => ConfigEvent::HeadUnchanged,
        Err(_) => ConfigEvent::PlatformDown,
    }
}

fn decode_head(object: &VersionedValue) -> ConfigEvent {
    match serde_json::from_slice::<HeadObject>(&object.value) {
        Ok(head) => ConfigEvent::HeadRead {
            object_version: object.version,
            head,
        },
        Err(error) => {
            log_event!(ConfigRejected, "head object: {error}");
            ConfigEvent::PlatformDown
        }
    }
}

async fn read_base(state: Arc<RouterState>, base_id: String, parts: usize) -> ConfigEvent {
    let mut text = String::new();
    for part in 0..parts {
        let key = base_key(&state.settings.environment, &base_id, part);
        state.metrics.count(MetricName::PlatformCalls);
        let object = match state.store.get(&key).await {
            Ok(object) => object,
            Err(StoreError::NotFound { .. }) => return ConfigEvent::BaseMissing { base_id },
            Err(_) => return ConfigEvent::PlatformDown,
        };
        match decode_part(&object.value) {
            Some(part) => text.push_str(&part),
            None => {
                log_event!(ConfigRejected, "{key} is not valid UTF-8");
                return ConfigEvent::PlatformDown;
            }
        }
    }
    ConfigEvent::BaseRead { base_id, text }
}

/// Decodes one part of a base document, which is stored either as a JSON string or as plain text.
fn decode_part(value: &[u8]) -> Option<String> {
    match serde_json::from_slice::<String>(value) {
        Ok(text) => Some(text),
        Err(_) => String::from_utf8(value.to_vec()).ok(),
    }
}

fn encode_message(message: ConfigMessage) -> Option<WireBody> {
    Some(match message {
        ConfigMessage::Request { from_version } => {
            WireBody::ConfigRequest(WireConfigRequest::new(from_version.cast_signed()))
        }
        ConfigMessage::Changes(changes) => {
            let deltas = changes.deltas.iter().map(serde_json::to_string);
            let deltas: Vec<String> = deltas.collect::<Result<_, _>>().ok()?;
            WireBody::ConfigChanges(WireConfigChanges::new(
                changes.from_version.cast_signed(),
                changes.to_version.cast_signed(),
                deltas,
                changes.snapshot,
            ))
        }
    })
}

/// Decodes a peer frame into a configuration event; returns `None` if it is not a valid
/// configuration message.
pub(crate) fn decode_message(from: &HolderId, body: &WireBody) -> Option<ConfigEvent> {
    let message = match body {
        WireBody::ConfigRequest(request) => ConfigMessage::Request {
            from_version: u64::try_from(request.from_version).ok()?,
        },
        WireBody::ConfigChanges(changes) => {
            let deltas = changes.deltas.iter().flatten();
            let deltas = deltas.map(|delta| serde_json::from_str(delta));
            ConfigMessage::Changes(ConfigChanges {
                from_version: u64::try_from(changes.from_version).ok()?,
                to_version: u64::try_from(changes.to_version).ok()?,
                deltas: deltas.collect::<Result<_, _>>().ok()?,
                snapshot: changes.snapshot.clone(),
            })
        }
        _ => return None,
    };
    Some(ConfigEvent::Received {
        from: from.clone(),
        message,
    })
}
