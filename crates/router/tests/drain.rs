//! Start-up, graceful shutdown and settings of a router.

mod common;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc::Receiver,
    time::{Duration, Instant},
};

use common::{FleetOptions, TestFleet, WAIT_TIMEOUT, read_refusal, read_stream, wait_until};
use cornelarch_router::{Router, RouterError, RouterSettings, SettingsError};
use cornelarch_standin::{
    engine::{EngineOptions, completion_text},
    platform::PlatformFaults,
};
use tokio::net::TcpListener;

fn slow_engine() -> FleetOptions {
    FleetOptions {
        engines: vec![EngineOptions {
            decode_tokens_per_s: 500,
            ..EngineOptions::default()
        }],
        ..FleetOptions::default()
    }
}

/// Guards against a graceful shutdown that interrupts a running stream or keeps tokens.
#[tokio::test(flavor = "multi_thread")]
async fn drain_waits_for_a_running_stream() {
    let mut fleet = TestFleet::start(slow_engine()).await;
    let prompt = "keep going [tokens=200]";
    let response = fleet.chat(0, prompt, true).send().await.unwrap();
    let stream = tokio::spawn(read_stream(response));
    let ready = format!("http://{}/readyz", fleet.callers(0));
    let models = format!("http://{}/v1/models", fleet.callers(0));
    let late = fleet.chat(0, "too late", false);
    let router = fleet.routers.remove(0);
    let view = router.view();
    let closing = tokio::spawn(router.close());
    let client = fleet.client.clone();
    let draining = async || client.get(&ready).send().await.unwrap().status() == 503;
    wait_until("readiness fails", draining).await;
    // The check uses a request that is not billed, because the router still serves requests during
    // the grace time.
    let refuses = async || {
        let response = client.get(&models).bearer_auth(common::KEY).send();
        response.await.unwrap().status() == 503
    };
    wait_until("new requests are refused", refuses).await;
    let refusal = read_refusal(late.send().await.unwrap()).await;
    assert_eq!(refusal, (503, "not_run".into(), "draining".into()));
    assert_eq!(view.running(), 1, "the stream was interrupted");
    let stream = stream.await.unwrap();
    assert!(stream.done);
    assert_eq!(stream.text, completion_text(&[prompt], 2_000));
    closing.await.unwrap();
    let totals = fleet.close().await;
    assert_eq!(Some(totals.spent.get()), stream.usage);
    assert_eq!(totals.held.get(), 0);
}

/// Guards against tokens that stay with a stopped instance because the platform is unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn drain_without_platform_lends_balances_to_a_neighbour() {
    let mut fleet = TestFleet::start(FleetOptions {
        routers: vec!["a", "a"],
        ..FleetOptions::default()
    })
    .await;
    let knows = async || {
        let dump = fleet.routers[0].view().dump().await;
        dump["members"]
            .as_array()
            .is_some_and(|members| !members.is_empty())
    };
    wait_until("the routers know each other", knows).await;
    for router in [0, 1] {
        let response = fleet.chat(router, "warm up", false).send().await.unwrap();
        assert_eq!(response.status(), 200);
    }
    let (balance, _, spent) = fleet.account(0).await;
    let (other_balance, _, other_spent) = fleet.account(1).await;
    assert!(balance > 0);
    fleet.platform.set_faults(PlatformFaults {
        unreachable: true,
        ..PlatformFaults::default()
    });
    fleet.routers.remove(0).close().await;
    let (left, _, _) = fleet.account(0).await;
    assert_eq!(left, balance + other_balance, "tokens were lost");
    fleet.platform.set_faults(PlatformFaults::default());
    fleet.platform.wait_reachable().await;
    let totals = fleet.close().await;
    assert_eq!(totals.spent.get(), spent + other_spent);
    assert_eq!(totals.held.get(), 0);
}

/// Guards against an instance that cannot start without the platform although its peers have the
/// configuration.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_platform_takes_the_configuration_from_peers() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.platform.set_faults(PlatformFaults {
        unreachable: true,
        ..PlatformFaults::default()
    });
    let router = fleet.start_router("a").await;
    assert!(router.wait_version(1, WAIT_TIMEOUT).await);
    fleet.routers.push(router);
    let ready = format!("http://{}/readyz", fleet.callers(1));
    assert_eq!(fleet.client.get(ready).send().await.unwrap().status(), 200);
}

/// Guards against an instance that reports ready or runs requests without a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_platform_keeps_a_lone_instance_unready() {
    let mut fleet = TestFleet::start_without_routers(FleetOptions::default()).await;
    fleet.platform.set_faults(PlatformFaults {
        unreachable: true,
        ..PlatformFaults::default()
    });
    let router = fleet.start_router("a").await;
    fleet.routers.push(router);
    let ready = format!("http://{}/readyz", fleet.callers(0));
    assert_eq!(fleet.client.get(&ready).send().await.unwrap().status(), 503);
    let health = ready.replace("readyz", "healthz");
    assert_eq!(fleet.client.get(health).send().await.unwrap().status(), 200);
    let refusal = read_refusal(fleet.chat(0, "x", false).send().await.unwrap()).await;
    assert_eq!(refusal, (503, "not_run".into(), "not_ready".into()));
    fleet.platform.set_faults(PlatformFaults::default());
    fleet.platform.wait_reachable().await;
    assert!(fleet.routers[0].wait_version(1, WAIT_TIMEOUT).await);
    assert_eq!(
        fleet.chat(0, "x", false).send().await.unwrap().status(),
        200
    );
}

/// Guards against a configuration change that does not reach every router or that interrupts a
/// running stream.
#[tokio::test(flavor = "multi_thread")]
async fn new_version_is_in_force_everywhere() {
    let mut fleet = TestFleet::start(FleetOptions {
        routers: vec!["a", "a", "a", "b"],
        ..slow_engine()
    })
    .await;
    let response = fleet
        .chat(0, "keep on [tokens=300]", true)
        .send()
        .await
        .unwrap();
    let version = fleet.change_document(|options| options.limits = "body_bytes = 500");
    for router in &fleet.routers {
        assert!(router.wait_version(version, WAIT_TIMEOUT).await);
    }
    for router in 0..4 {
        let prompt = "x".repeat(600);
        let refusal = fleet.chat(router, &prompt, false).send().await.unwrap();
        assert_eq!(refusal.status(), 413);
    }
    assert!(read_stream(response).await.done);
}

/// Guards against a bind error that does not name the port that is in use.
#[tokio::test(flavor = "multi_thread")]
async fn port_in_use_is_reported() {
    let taken = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = RouterSettings {
        platform: "http://127.0.0.1:1".to_owned(),
        operator: taken.local_addr().unwrap(),
        ..RouterSettings::default()
    };
    let error = Router::bind(settings).await.unwrap_err();
    assert!(
        matches!(
            error,
            RouterError::Bind {
                port: "operator",
                ..
            }
        ),
        "{error}"
    );
    assert!(
        error
            .to_string()
            .contains(&taken.local_addr().unwrap().to_string())
    );
}

/// Guards against settings faults that are reported one at a time or without their location.
#[test]
fn every_fault_of_a_settings_file_is_reported() {
    let text = "[router]\ninstance = r1\ndomain =\nenvironment = trial\nplatform = ftp://x\n\
                callers = 127.0.0.1\ncolour = red\noperator_key = top-secret\n\
                [limits]\ncapacity = -1\ndrain_s = 10\nrequest_timeout_s = 20\n\
                stream_buffer = many\n[nonsense]\nkey = 1\n";
    let error = RouterSettings::parse("router.ini", text).unwrap_err();
    let SettingsError::Invalid { file, faults } = &error else {
        panic!("{error}");
    };
    assert_eq!(file, "router.ini");
    let places: Vec<_> = faults
        .iter()
        .map(|fault| (fault.line, fault.section.as_str(), fault.key.as_str()))
        .collect();
    assert_eq!(
        places,
        [
            (3, "router", "domain"),
            (5, "router", "platform"),
            (6, "router", "callers"),
            (7, "router", "colour"),
            (10, "limits", "capacity"),
            (11, "limits", "drain_s"),
            (13, "limits", "stream_buffer"),
            (14, "nonsense", ""),
        ]
    );
    assert!(!error.to_string().contains("top-secret"));
}

/// Guards against a secret in the debug output of the settings.
#[test]
fn operator_key_is_not_printed() {
    let text = "[router]\ninstance = r1\ndomain = a\nenvironment = trial\n\
                platform = http://127.0.0.1:1\noperator_key = top-secret\n";
    let settings = RouterSettings::parse("router.ini", text).unwrap();
    assert!(!format!("{settings:?}").contains("top-secret"));
}

/// Guards against a daemon that starts with invalid settings, or exits without a failure status.
#[test]
fn daemon_refuses_wrong_settings() {
    let path = std::env::temp_dir().join(format!("cornelarch-{}.ini", std::process::id()));
    std::fs::write(&path, "[router]\ninstance = r1\nplatform = x\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_cornelarch-router"))
        .args(["--settings", path.to_str().unwrap()])
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for part in [
        "key domain: is required",
        "key environment",
        "key platform: must start",
    ] {
        assert!(text.contains(part), "{text}");
    }
    assert!(text.contains("line 3"), "{text}");
}

/// Runs the daemon as a child process and collects its log lines.
struct DaemonProcess {
    child: Child,
    lines: Receiver<String>,
    settings: PathBuf,
}

impl DaemonProcess {
    /// Starts a daemon and waits until it has a configuration.
    fn start(fleet: &TestFleet, name: &str) -> Self {
        Self::start_at(fleet, name, None)
    }

    /// Starts a daemon with the given address for callers, and waits until it has a configuration.
    fn start_at(fleet: &TestFleet, name: &str, callers: Option<SocketAddr>) -> Self {
        let callers = callers.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let file = format!("cornelarch-{name}-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = format!(
            "[router]\ninstance = r1\ndomain = a\nenvironment = trial\nplatform = {}\n\
             operator_key = k\ncallers = {callers}\n[limits]\ndrain_grace_s = 0\n",
            fleet.platform.url()
        );
        std::fs::write(&settings, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cornelarch-router"))
            .args(["--settings", settings.to_str().unwrap()])
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, lines) = std::sync::mpsc::channel();
        let stderr = child.stderr.take().unwrap();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let daemon = Self {
            child,
            lines,
            settings,
        };
        daemon.wait_line("E1100");
        daemon
    }

    /// Returns the next log line that contains `part`.
    fn wait_line(&self, part: &str) -> String {
        loop {
            let line = self
                .lines
                .recv_timeout(WAIT_TIMEOUT)
                .expect("no such log line in time");
            if line.contains(part) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.unwrap().success());
    }

    async fn wait_status(mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let status = loop {
            match self.child.try_wait().unwrap() {
                Some(status) => break status,
                None if Instant::now() > deadline => panic!("the daemon did not exit in time"),
                None => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        std::fs::remove_file(&self.settings).unwrap();
        status.code()
    }
}

/// Guards against a daemon that ignores SIGTERM or exits with a failure status after a drain.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_drains_on_sigterm() {
    let fleet = TestFleet::start_without_routers(FleetOptions::default()).await;
    let daemon = DaemonProcess::start(&fleet, "drain");
    daemon.signal("-USR1");
    daemon.wait_line("E1007");
    daemon.signal("-TERM");
    daemon.wait_line("E1005");
    assert_eq!(daemon.wait_status().await, Some(0));
}

/// Guards against a second signal that does not end the daemon, or ends it without a log line.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_the_daemon_at_once() {
    let fleet = TestFleet::start_without_routers(slow_engine()).await;
    // Reserves a free port, so that the address is known before the daemon starts.
    let port = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let callers = port.local_addr().unwrap();
    drop(port);
    let daemon = DaemonProcess::start_at(&fleet, "second", Some(callers));
    let body = r#"{"model":"tiny","messages":[{"role":"user","content":"[tokens=1900]"}],
        "stream":true,"max_tokens":1900}"#;
    let url = format!("http://{callers}/v1/chat/completions");
    let request = fleet.client.post(url).bearer_auth(common::KEY).body(body);
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 200);
    daemon.signal("-TERM");
    daemon.wait_line("E1002");
    daemon.signal("-TERM");
    let line = daemon.wait_line("E1006");
    assert!(line.contains("1 requests in progress"), "{line}");
    assert_eq!(daemon.wait_status().await, Some(1));
    assert!(
        response.text().await.is_err(),
        "the stream was not interrupted"
    );
}
