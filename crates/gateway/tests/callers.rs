//! Answers to callers that hold memory or stand still, and what operators see of them.

mod common;

use std::time::Duration;

use common::{FakeUpstream, Fixture, FixtureOptions, KEY};
use cornelarch_core::limit::CallerOptions;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Size of a body that counts as large, in bytes. Two of them exceed the memory of the test.
const BODY: usize = 150_000;
/// Memory for callers: room for one body and some connections.
const MEMORY: usize = 400_000;

/// Time after which a caller counts as standing still: a sweep notes its last progress, and the next ones
/// that there was none since.
const STILL_AFTER: Duration = Duration::from_secs(2);

async fn start(callers: CallerOptions) -> (Fixture, FakeUpstream) {
    let upstream = FakeUpstream::start(vec![]).await;
    let options = FixtureOptions {
        callers,
        timeout: Duration::from_secs(60),
        ..FixtureOptions::default()
    };
    let fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    (fixture, upstream)
}

/// Sends a request whose body lacks its last byte.
async fn send_short(fixture: &Fixture, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.listen).await.expect("connect");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: shop.example\r\nt-key: {KEY}\r\nt-attempt: {id}\r\n\
         t-deadline-ms: 60000\r\ncontent-length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("head");
    let body = vec![b'x'; BODY - 1];
    stream.write_all(&body).await.expect("body");
    stream
}

async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("answer");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a body that stands still and is neither refused truthfully nor counted.
#[tokio::test]
async fn body_that_stands_still_is_refused_as_not_run() {
    let callers = CallerOptions {
        body_stall: Duration::from_millis(700),
        ..CallerOptions::default()
    };
    let (fixture, upstream) = start(callers).await;
    let mut stream = send_short(&fixture, "r1").await;
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert!(upstream.requests().is_empty());
    assert_eq!(
        fixture.gauge("caller_cuts_total{reason=\"stalled\"}").await,
        1
    );
}

/// Guards against a large request that finds no memory, although a caller that sends nothing holds it.
#[tokio::test]
async fn caller_that_stands_still_makes_room_for_a_request() {
    let callers = CallerOptions {
        memory_bytes: MEMORY,
        ..CallerOptions::default()
    };
    let (fixture, upstream) = start(callers).await;
    let mut stream = send_short(&fixture, "r1").await;
    tokio::time::sleep(STILL_AFTER).await;
    let request = fixture.post("/once/x", "r2").body(vec![b'x'; BODY]);
    let answer = request.send().await.expect("answer");
    assert_eq!(answer.status(), 200);
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(upstream.requests().len(), 1);
    assert_eq!(
        fixture.gauge("caller_cuts_total{reason=\"memory\"}").await,
        1
    );
}

/// Guards against memory that stays charged after its connection has ended, until nothing fits any
/// more.
#[tokio::test]
async fn memory_is_free_after_the_connection_has_ended() {
    let (fixture, _upstream) = start(CallerOptions::default()).await;
    let before = fixture.gauge("caller_bytes").await;
    for number in 0..20 {
        let stream = send_short(&fixture, &format!("short-{number}")).await;
        drop(stream);
        let request = fixture.post("/again/x", &format!("whole-{number}"));
        let request = request.header("connection", "close").body(vec![b'x'; BODY]);
        let answer = request.send().await.expect("answer");
        assert_eq!(answer.status(), 200);
        answer.bytes().await.expect("body");
    }
    for _ in 0..200 {
        if fixture.gauge("caller_bytes").await == before {
            assert_eq!(fixture.gauge("caller_connections").await, 0);
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{} bytes stay charged", fixture.gauge("caller_bytes").await);
}
