//! Crowds of callers without manners at a router daemon. What is checked does not depend on the speed
//! of the machine: the process lives, its memory and descriptors stay below the limits of its
//! settings, and an ordinary request is answered while the crowd stays connected.

mod common;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use common::{FleetOptions, KEY, OPERATOR_KEY, SHARDS, TestFleet};
use cornelarch_standin::crowd::{Crowd, ProcessProbe, exchange};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    time::{Instant, sleep, timeout},
};

/// Largest legal body, in bytes.
const BODY_MAX: usize = 4 * 1024 * 1024;
/// Memory of the machine, in MB.
const MEMORY_MB: u64 = 120;
/// Descriptors of the machine.
const DESCRIPTORS: usize = 320;
/// Callers of a crowd whose bodies together exceed the memory of the machine.
const CALLERS: usize = 60;
/// Connections that exceed the descriptors of the machine.
const CONNECTIONS: usize = 400;
/// Size of the writes of a body in pieces.
const PIECE: usize = 64 * 1024;
/// Time in which an ordinary caller gets its answer, and in which the daemon closes a connection by
/// itself.
const ANSWER_WAIT: Duration = Duration::from_secs(60);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const DRIP_PAUSE: Duration = Duration::from_millis(20);

/// One daemon at a time, because each measures a process under load.
static ALONE: Mutex<()> = Mutex::const_new(());

struct Daemon {
    process: Child,
    callers: SocketAddr,
    settings: PathBuf,
    _fleet: TestFleet,
    _alone: MutexGuard<'static, ()>,
}

fn head(method: &str, path: &str, framing: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{framing}\r\n")
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut text = format!("{bytes:x}\r\n").into_bytes();
    text.resize(text.len() + bytes, b'x');
    text.extend_from_slice(b"\r\n");
    text
}

impl Daemon {
    async fn start() -> Self {
        let alone = ALONE.lock().await;
        let fleet = TestFleet::start_without_routers(FleetOptions::default()).await;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let callers = listener.local_addr().unwrap();
        drop(listener);
        let text = format!(
            "[router]\ninstance = router-0\ndomain = a\nenvironment = trial\nplatform = {}\n\
             callers = {callers}\noperator_key = {OPERATOR_KEY}\n[limits]\n\
             memory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n\
             [budgets]\n\
             ledger_shards = {SHARDS}\n",
            fleet.platform.url()
        );
        let settings = std::env::temp_dir().join(format!("router-{}.ini", std::process::id()));
        fs::write(&settings, text).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_cornelarch-router"))
            .arg("--settings")
            .arg(&settings)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let daemon = Self {
            process,
            callers,
            settings,
            _fleet: fleet,
            _alone: alone,
        };
        daemon.persist("/readyz").await;
        daemon
    }

    fn probe(&self) -> ProcessProbe {
        ProcessProbe::new(self.process.id())
    }

    /// Sends an ordinary request until it is answered, as its caller does after a refusal or a closed
    /// connection.
    async fn persist(&self, path: &str) {
        let text = head("GET", path, "connection: close\r\n");
        let began = Instant::now();
        loop {
            let answer = exchange(self.callers, text.clone().into_bytes());
            let answer = timeout(ANSWER_WAIT, answer).await.ok().flatten();
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            assert!(began.elapsed() < ANSWER_WAIT, "no answer but {answer:?}");
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Checks that the daemon lives within its limits and answers ordinary requests.
    async fn check(&self, what: &str) {
        let descriptors = self.probe().descriptors();
        self.persist("/services/shop/items/1").await;
        self.persist("/readyz").await;
        let peak = self.probe().peak_kb();
        println!("{what}: peak {peak} kB, {descriptors} descriptors");
        assert!(peak < MEMORY_MB * 1024, "{what}: peak {peak} kB");
        assert!(
            descriptors < DESCRIPTORS,
            "{what}: {descriptors} descriptors"
        );
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Guards against a process that runs out of memory because many callers send large bodies at once.
#[rstest]
#[case::whole(BODY_MAX, vec![b'x'; PIECE], BODY_MAX / PIECE)]
#[case::short(BODY_MAX, vec![b'x'; BODY_MAX - 1], 1)]
#[case::short_in_pieces(BODY_MAX, vec![b'x'; PIECE], BODY_MAX / PIECE - 1)]
#[case::large_chunks(0, chunk(PIECE), BODY_MAX / PIECE)]
#[case::tiny_chunks(0, chunk(1).repeat(1_024), 128)]
#[case::chunks_over_limit(0, chunk(PIECE), 4 * BODY_MAX / PIECE)]
#[case::length_over_limit(100 * BODY_MAX, vec![b'x'; PIECE], BODY_MAX / PIECE)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_at_once_take_the_memory_of_the_machine(
    #[case] length: usize,
    #[case] piece: Vec<u8>,
    #[case] count: usize,
) {
    let daemon = Daemon::start().await;
    let framing = match length {
        0 => "transfer-encoding: chunked\r\n".to_owned(),
        length => format!("content-length: {length}\r\n"),
    };
    let text = head("POST", "/v1/chat/completions", &framing);
    let mut crowd = Crowd::default();
    for _ in 0..CALLERS {
        crowd.send(daemon.callers, text.clone(), piece.clone(), count);
    }
    crowd.settle(&daemon.probe()).await;
    daemon
        .check(&format!("{framing:?} {count} times {}", piece.len()))
        .await;
}

/// Guards against connections that use up the descriptors of the process.
#[rstest]
#[case::idle(String::new())]
#[case::partial_head("POST /v1/chat/completions HTTP/1.1\r\nhost: ".to_owned())]
#[case::silent_body(head("POST", "/v1/chat/completions", "content-length: 10\r\n"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_take_the_descriptors_of_the_process(#[case] text: String) {
    let daemon = Daemon::start().await;
    let mut crowd = Crowd::default();
    for _ in 0..CONNECTIONS {
        crowd.send(daemon.callers, text.clone(), Vec::new(), 0);
    }
    crowd.settle(&daemon.probe()).await;
    daemon.check(&format!("connections with {text:?}")).await;
}

/// Guards against a body that is kept until the time limit of its request, although nothing or next to
/// nothing of it comes.
#[rstest]
#[case::silence("content-length: 1000\r\n", "")]
#[case::expectation("content-length: 1000\r\nexpect: 100-continue\r\n", "")]
#[case::drips("content-length: 1000000\r\n", "x")]
#[case::zeros("transfer-encoding: chunked\r\n", "000")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_without_progress_is_kept_until_the_time_limit(
    #[case] framing: &str,
    #[case] drip: &str,
) {
    let daemon = Daemon::start().await;
    let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
    let text = head("POST", "/v1/chat/completions", framing);
    stream.write_all(text.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let mut answer = Vec::new();
    let dripping = async {
        while writer.write_all(drip.as_bytes()).await.is_ok() {
            sleep(DRIP_PAUSE).await;
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        // A reset ends the connection as well.
        closed = timeout(ANSWER_WAIT, reader.read_to_end(&mut answer)) => {
            assert!(closed.is_ok(), "the connection is still open");
        }
        () = dripping => {}
    }
    let answer = String::from_utf8_lossy(&answer).replace("HTTP/1.1 100 Continue\r\n\r\n", "");
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
        "{answer}"
    );
    daemon.check(&format!("drips of {drip:?}")).await;
}
