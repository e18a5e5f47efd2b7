//! Faults of upstreams that operators of similar systems have reported.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{FleetOptions, TestFleet, read_stream};
use cornelarch_standin::engine::{
    self, EngineFaults, EngineHandle, EngineOptions, completion_text,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};

const PROMPT: &str = "go on [tokens=120]";
/// Tokens after which the first engine breaks a stream off.
const TOKENS: u64 = 30;
const ERROR: &str = "HTTP/1.1 500 Error\r\ncontent-length: 10\r\n\r\nerror text";
const NO_STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nerror text";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 10\r\n\r\nerror text";
const HALF_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/ev";
const SHORT_BODY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nok";
const HALF_STATUS: &str = "HTTP/1.1 20";

/// Upstream that answers calls with fixed bytes and then closes the connection. Polls of the load
/// are answered by an engine behind it.
struct FixedUpstream {
    address: SocketAddr,
    calls: Arc<AtomicU32>,
}

impl FixedUpstream {
    async fn start(answer: &'static str, engine: Option<EngineHandle>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&calls);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let behind = engine.as_ref().map(EngineHandle::address);
                let counter = Arc::clone(&counter);
                tokio::spawn(answer_calls(stream, answer, behind, counter));
            }
        });
        Self { address, calls }
    }

    fn calls(&self) -> u32 {
        self.calls.load(Ordering::SeqCst)
    }
}

async fn answer_calls(
    mut stream: TcpStream,
    answer: &'static str,
    behind: Option<SocketAddr>,
    calls: Arc<AtomicU32>,
) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let path = text.split(' ').nth(1).unwrap_or_default();
        let Some(behind) = behind.filter(|_| text.starts_with("GET")) else {
            calls.fetch_add(u32::from(text.starts_with("POST")), Ordering::SeqCst);
            let _ = stream.write_all(answer.as_bytes()).await;
            return;
        };
        let polled = reqwest::get(format!("http://{behind}{path}")).await;
        let body = polled.unwrap().text().await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all((head + &body).as_bytes()).await;
    }
}

/// Guards against the error of an engine that is passed on inside a stream which has begun at
/// another one, and against such a stream that looks complete.
#[rstest]
#[case::error(ERROR)]
#[case::no_stream(NO_STREAM)]
#[case::refusal(REFUSAL)]
#[case::half_a_head(HALF_HEAD)]
#[tokio::test(flavor = "multi_thread")]
async fn error_ends_up_inside_a_stream(#[case] answer: &'static str) {
    let behind = engine::bind(EngineOptions::default()).await.unwrap();
    let other = FixedUpstream::start(answer, Some(behind)).await;
    let fleet = TestFleet::start(FleetOptions {
        own_engine: Some(other.address),
        limits: "remote_penalty_ms = 60000",
        ..FleetOptions::default()
    })
    .await;
    // The other engine is in another failure domain, so that it only continues the stream.
    fleet.engines[0].set_faults(EngineFaults {
        reset_mid_stream: u32::MAX,
        reset_after_tokens: TOKENS,
        ..EngineFaults::default()
    });
    let response = fleet.chat(0, PROMPT, true).send().await.unwrap();
    let stream = read_stream(response).await;
    assert!(other.calls() > 0, "the stream was not continued");
    assert!(!stream.done, "{stream:?}");
    assert!(stream.error.is_some(), "{stream:?}");
    let whole = completion_text(&[PROMPT], 2_000);
    assert!(whole.starts_with(&stream.text), "{stream:?}");
    let sequences: Vec<u64> = (0..stream.sequences.len() as u64).collect();
    assert_eq!(stream.sequences, sequences);
    assert!(sequences.len() >= TOKENS as usize);
}

/// Sends an order through a router whose only service is at this address.
async fn send_order(service: SocketAddr) -> reqwest::Response {
    let fleet = TestFleet::start(FleetOptions {
        services: Vec::new(),
        own_service: Some(service),
        ..FleetOptions::default()
    })
    .await;
    fleet.order(0, "key-1", "o1").send().await.unwrap()
}

/// Guards against an empty or short success when an upstream stops in the middle of its answer.
#[rstest]
#[case::status(HALF_STATUS)]
#[case::head(HALF_HEAD)]
#[case::body(SHORT_BODY)]
#[tokio::test(flavor = "multi_thread")]
async fn half_an_answer_is_passed_on_as_a_success(#[case] answer: &'static str) {
    let shop = FixedUpstream::start(answer, None).await;
    let order = send_order(shop.address).await;
    assert_eq!(shop.calls(), 1);
    assert!(order.status().is_server_error(), "{}", order.status());
    let run = order.headers().get("x-cornelarch-run");
    assert_eq!(run.and_then(|run| run.to_str().ok()), Some("unknown"));
}

/// Guards against an answer with a status that is none, which reaches the caller.
#[rstest]
#[case::zero("HTTP/1.1 000 -\r\ncontent-length: 2\r\n\r\nok")]
#[case::switching_protocols("HTTP/1.1 101 -\r\n\r\nok")]
#[case::too_large("HTTP/1.1 600 -\r\ncontent-length: 2\r\n\r\nok")]
#[case::largest("HTTP/1.1 999 -\r\ncontent-length: 2\r\n\r\nok")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_an_invalid_status_is_passed_on(#[case] answer: &'static str) {
    let shop = FixedUpstream::start(answer, None).await;
    let order = send_order(shop.address).await;
    assert_eq!(order.status(), 502);
    let run = order.headers().get("x-cornelarch-run");
    assert_eq!(run.and_then(|run| run.to_str().ok()), Some("unknown"));
}

/// Size of an upload that exceeds the receive buffer of its service, in bytes.
const UPLOAD_BYTES: usize = 1_500_000;

/// Guards against a part of an answer that looks complete because the reset which ended it was reported
/// to the upload that was still being sent.
#[tokio::test(flavor = "multi_thread")]
async fn answer_broken_off_in_an_upload_looks_complete() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut uploads) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 1024];
                let length = stream.read(&mut buffer).await.unwrap_or(0);
                if buffer[..length].starts_with(b"POST") {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of").await;
                    let _ = sender.send(());
                    // The head has reached the router by then.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    let _ = stream.set_zero_linger();
                }
            });
        }
    });
    let fleet = TestFleet::start(FleetOptions {
        services: Vec::new(),
        own_service: Some(address),
        ..FleetOptions::default()
    })
    .await;
    let order = fleet.order(0, "key-1", "o1").body(vec![b'x'; UPLOAD_BYTES]);
    let order = order.send().await.unwrap();
    assert_eq!(order.status(), 502);
    assert!(
        uploads.try_recv().is_ok(),
        "the upload did not reach the service"
    );
}

const PAUSE_REFUSAL: &str =
    "HTTP/1.1 503 Busy\r\nretry-after: 20\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Guards against calls to an upstream that has refused one and wants no more for some time.
#[rstest]
#[case::order(false)]
#[case::chat(true)]
#[tokio::test(flavor = "multi_thread")]
async fn request_reaches_upstream_in_its_pause(#[case] is_chat: bool) {
    let behind = engine::bind(EngineOptions::default()).await.unwrap();
    let paused = FixedUpstream::start(PAUSE_REFUSAL, Some(behind)).await;
    let fleet = TestFleet::start(FleetOptions {
        engines: Vec::new(),
        services: Vec::new(),
        own_engine: is_chat.then_some(paused.address),
        own_service: (!is_chat).then_some(paused.address),
        ..FleetOptions::default()
    })
    .await;
    for number in 0..6 {
        let request = match is_chat {
            true => fleet.chat(0, PROMPT, number % 2 == 0),
            false => fleet.order(0, &format!("key-{number}"), &format!("o{number}")),
        };
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 503, "request {number}");
        if number > 0 {
            let retry_after = response.headers()["retry-after"].to_str().unwrap();
            let seconds: u64 = retry_after.parse().unwrap();
            // The delay is spread over up to 2 s more.
            assert!((15..=22).contains(&seconds), "{seconds} s");
        }
    }
    assert_eq!(paused.calls(), 1);
}

/// Guards against a part of an answer that is passed on as a success when its upstream crashes, if
/// the answer has neither a length nor chunks, and against the loss of a whole one.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn crashed_answer_without_a_length_is_passed_on_as_a_success(
    #[values(true, false)] has_crashed: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (sender, mut answered) = tokio::sync::mpsc::channel::<()>(1);
        loop {
            let (mut stream, _) = tokio::select! {
                accepted = listener.accept() => accepted.unwrap(),
                _ = answered.recv(), if has_crashed => break,
            };
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 64 * 1024];
                while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                    if buffer[..length].starts_with(b"POST") {
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of").await;
                        // The process ends after this: its port refuses connections.
                        let _ = sender.try_send(());
                        return tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
            });
        }
    });
    let order = send_order(address).await;
    assert_eq!(order.status().is_server_error(), has_crashed, "{order:?}");
}

/// Maximum number of bytes that a router may accept of an endless answer, including the socket
/// buffers of both sides.
const ENDLESS_MAX: usize = 16 * 1024 * 1024;

/// Guards against a faulty service that sends bytes without end which are neither head nor body.
#[rstest]
#[case::informational("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::chunk_size("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_is_read_until_the_time_limit(
    #[case] start: &'static str,
    #[case] part: &'static str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sent);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut buffer = vec![0; 64 * 1024];
                let _ = stream.read(&mut buffer).await;
                let text = part.repeat(16 * 1024 / part.len());
                let _ = stream.write_all(start.as_bytes()).await;
                while stream.write_all(text.as_bytes()).await.is_ok() {
                    counter.fetch_add(text.len(), Ordering::SeqCst);
                }
            });
        }
    });
    let order = send_order(address).await;
    assert!(order.status().is_server_error(), "{}", order.status());
    let bytes = sent.load(Ordering::SeqCst);
    assert!(bytes <= ENDLESS_MAX, "{bytes}");
}
