//! Callers and upstreams that begin to read after some seconds.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{
    FakePlatform, FakeUpstream, Fixture, FixtureOptions, KEY, Reply, bind_with_buffer, document,
    record, service_of,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Time for which a peer does not read. Its system answers all the same.
const PAUSE: Duration = Duration::from_millis(3_500);
/// Time limit of the routes and of the callers, in which the rest is read.
const TIME_LIMIT: Duration = Duration::from_secs(12);
/// Receive buffer of a peer with a small window, in bytes.
const SMALL_BUFFER: u32 = 4 * 1024;
/// Size of a body that exceeds the buffers of a peer with a small window, in bytes.
const BODY_BYTES: usize = 900_000;
/// Number of events of a stream that exceeds them.
const EVENTS: u32 = 3_000;

fn options() -> FixtureOptions {
    FixtureOptions {
        timeout: TIME_LIMIT,
        ..FixtureOptions::default()
    }
}

/// Sends a request whose answer is read after a pause, and returns the whole answer with its framing.
async fn fetch_late(address: SocketAddr, path: &str) -> Vec<u8> {
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .set_recv_buffer_size(SMALL_BUFFER)
        .expect("buffer size");
    let mut stream = socket.connect(address).await.expect("connect");
    let ms = TIME_LIMIT.as_millis();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nt-key: {KEY}\r\nt-attempt: r1\r\n\
         t-deadline-ms: {ms}\r\nt-tokens: 100,50000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("request");
    tokio::time::sleep(PAUSE).await;
    let mut answer = Vec::new();
    // A connection that was cut off ends with an error or too early.
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

/// Guards against an answer that is cut off because its caller does not read for some seconds.
#[rstest]
#[tokio::test]
async fn answer_that_is_read_late_is_cut_off(
    #[values("/again/a", "/once/a", "/stream/a")] path: &str,
) {
    let body: &'static str = Box::leak("x".repeat(BODY_BYTES).into_boxed_str());
    let events: Vec<String> = (0..EVENTS)
        .map(|number| format!("id: {number}\ndata: {}\n\n", "x".repeat(300)))
        .collect();
    let (reply, end) = match path {
        "/stream/a" => {
            let last = format!("{}\r\n0\r\n\r\n", events[events.len() - 1]);
            (Reply::Paced(events, Duration::ZERO), last)
        }
        _ => (Reply::Answer(200, body), body.to_owned()),
    };
    let upstream = FakeUpstream::start(vec![reply]).await;
    let services = [(service_of(path), &upstream)];
    let fixture = Fixture::start(&options(), &services).await;
    let answer = fetch_late(fixture.listen, path).await;
    let start = String::from_utf8_lossy(&answer[..answer.len().min(300)]);
    assert!(start.starts_with("HTTP/1.1 200"), "{start}");
    assert!(answer.ends_with(end.as_bytes()), "{} bytes", answer.len());
}

/// Serves one request, which is read after a pause.
async fn serve_late(mut stream: TcpStream) -> usize {
    tokio::time::sleep(PAUSE).await;
    let mut request = Vec::new();
    let read = loop {
        let text = String::from_utf8_lossy(&request);
        let body = text.find("\r\n\r\n").map(|end| request.len() - end - 4);
        match body {
            Some(body) if body >= BODY_BYTES => break body,
            _ if stream.read_buf(&mut request).await.unwrap_or(0) == 0 => {
                return body.unwrap_or(0);
            }
            _ => {}
        }
    };
    let answer = "HTTP/1.1 200 OK\r\nt-attempt: r1\r\nt-seal: s\r\ncontent-length: 2\r\n\r\nok";
    let _ = stream.write_all(answer.as_bytes()).await;
    read
}

/// Guards against a request that is lost because its upstream does not read for some seconds.
#[tokio::test]
async fn request_that_is_read_late_is_lost() {
    let listener = bind_with_buffer(SMALL_BUFFER);
    let address = listener.local_addr().expect("address");
    let upstream = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("connection");
        serve_late(stream).await
    });
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document(1, &options()));
    platform.list(record("u0", "plain", address));
    let fixture = Fixture::start_with(&options(), platform).await;
    let request = fixture
        .client
        .post(format!("http://{}/once/a", fixture.listen));
    let request = request
        .header("host", "shop.example")
        .header("t-key", KEY)
        .header("t-attempt", "r1")
        .header("t-deadline-ms", TIME_LIMIT.as_millis().to_string())
        .body(vec![b'x'; BODY_BYTES]);
    let response = request.send().await.expect("answer");
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.expect("body"), "ok");
    assert_eq!(upstream.await.expect("upstream"), BODY_BYTES);
}
