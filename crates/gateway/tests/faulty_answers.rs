//! Answers of upstreams in trouble that must not look sound to callers.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{
    FakePlatform, Fixture, FixtureOptions, bind_with_buffer, document, record, service_of,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Receive buffer of an upstream that does not read an upload, in bytes.
const SMALL_BUFFER: u32 = 4 * 1024;
/// Size of an upload that exceeds all buffers on its way, in bytes.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
/// Time in which the gateway fills the buffers, or notices what was sent.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Starts a gateway with one attempt in front of an upstream of each service.
async fn start(address: SocketAddr) -> Fixture {
    let options = FixtureOptions {
        attempts: 1,
        is_resumable: false,
        ..FixtureOptions::default()
    };
    let mut document = document(1, &options);
    if let Some(limits) = &mut document.limits {
        limits.body_bytes = 2 * UPLOAD_BYTES;
    }
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document);
    for service in ["plain", "engine"] {
        platform.list(record(&format!("u-{service}"), service, address));
    }
    Fixture::start_with(&options, platform).await
}

/// Returns the head of an answer without a length.
fn head(path: &str, status: &str) -> String {
    let kind = match service_of(path) {
        "engine" => "text/event-stream",
        _ => "text/plain",
    };
    format!(
        "HTTP/1.1 {status}\r\nt-attempt: r1\r\nt-seal: seal\r\ncontent-type: {kind}\r\n\
         connection: close\r\n\r\n"
    )
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        stream.read_buf(&mut head).await.expect("head");
    }
}

/// Sends a request and returns the status and the body of a complete answer.
async fn fetch(fixture: &Fixture, path: &str, body: Vec<u8>) -> Option<(u16, String)> {
    let request = fixture.post(path, "r1").header("t-tokens", "100,50");
    let response = request.body(body).send().await.ok()?;
    let status = response.status().as_u16();
    Some((status, response.text().await.ok()?))
}

/// How an upstream ends an answer while the upload is still being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerEnd {
    /// It resets the connection.
    Reset,
    /// It closes the connection, which resets it because of the unread upload.
    Closed,
}

/// Guards against a part of an answer that looks complete because the reset which ended it was reported
/// to the upload: the end of the answer then looks like an orderly one.
#[rstest]
#[tokio::test]
async fn answer_broken_off_in_an_upload_looks_complete(
    #[values("/again/a", "/once/a", "/stream/a")] path: &'static str,
    #[values(AnswerEnd::Reset, AnswerEnd::Closed)] end: AnswerEnd,
    #[values(0, 100)] pause_ms: u64,
) {
    let listener = bind_with_buffer(SMALL_BUFFER);
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("connection");
            tokio::spawn(async move {
                read_head(&mut stream).await;
                tokio::time::sleep(SETTLE_TIME).await;
                let text = head(path, "200 OK") + "id: 1\ndata: t1\n\n";
                stream.write_all(text.as_bytes()).await.expect("answer");
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                if end == AnswerEnd::Reset {
                    stream.set_zero_linger().expect("option");
                }
            });
        }
    });
    let fixture = start(address).await;
    for _ in 0..3 {
        let answer = fetch(&fixture, path, vec![b'x'; UPLOAD_BYTES]).await;
        let is_success = answer.as_ref().is_some_and(|(status, _)| *status == 200);
        assert!(!is_success, "{answer:?}");
    }
}

/// Guards against an answer with a status that is none, which reaches the caller.
#[rstest]
#[tokio::test]
async fn answer_with_an_invalid_status_is_passed_on(
    #[values("/again/a", "/once/a", "/stream/a")] path: &'static str,
    #[values(
        "000 -", "099 -", "101 -", "600 -", "999 -", "20 OK", "2000 OK", "-1 OK", "0x1 OK", "OK"
    )]
    status: &'static str,
) {
    let listener = bind_with_buffer(SMALL_BUFFER);
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("connection");
            tokio::spawn(async move {
                read_head(&mut stream).await;
                let length = "content-length: 16\r\nconnection";
                let text = head(path, status).replace("connection", length);
                let text = text + "id: 1\ndata: t1\n\n";
                let _ = stream.write_all(text.as_bytes()).await;
                tokio::time::sleep(SETTLE_TIME).await;
            });
        }
    });
    let fixture = start(address).await;
    let answer = fetch(&fixture, path, Vec::new()).await;
    let status = answer.as_ref().map(|(status, _)| *status);
    assert_eq!(status, Some(502), "{answer:?}");
}
