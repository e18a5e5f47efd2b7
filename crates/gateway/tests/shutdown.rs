//! Requests that arrive late in a planned shutdown.

mod common;

use std::time::Duration;

use common::{FakeUpstream, Fixture, FixtureOptions, KEY, Reply};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep_until, timeout},
};

const GRACE: Duration = Duration::from_secs(6);
/// Time after the start of the shutdown at which the load balancer may still choose the instance.
const EARLY: Duration = Duration::from_secs(1);
/// Time from which requests are late, shortly before idle connections are closed.
const LATE: Duration = Duration::from_millis(3_100);
/// Time near the end of the shutdown.
const NEAR_END: Duration = Duration::from_secs(5);
/// Time limit of a caller that exceeds the rest of the shutdown.
const LONG: Duration = Duration::from_secs(9);

/// A gateway that is being closed, with a connection on which no request has been sent.
struct ClosingFleet {
    upstream: FakeUpstream,
    connection: TcpStream,
    began: Instant,
    closing: JoinHandle<()>,
}

impl ClosingFleet {
    /// Starts a fleet whose upstream takes `run_time` for each request.
    async fn start(service: &str, run_time: Duration) -> Self {
        let events = vec![
            "id: 1\ndata: t1\n\n".to_owned(),
            "id: 2\ndata: t2\n\n".to_owned(),
        ];
        let upstream = FakeUpstream::start(vec![]).await;
        upstream.set_last_reply(Reply::Paced(events, run_time / 2));
        let options = FixtureOptions {
            grace: GRACE,
            timeout: Duration::from_secs(20),
            ..FixtureOptions::default()
        };
        let mut fixture = Fixture::start(&options, &[(service, &upstream)]).await;
        let connection = TcpStream::connect(fixture.listen).await.expect("connect");
        let gateway = fixture.gateway.take().expect("gateway");
        Self {
            upstream,
            connection,
            began: Instant::now(),
            closing: tokio::spawn(gateway.close()),
        }
    }

    /// Sends the head and the rest of a request at these times after the start of the shutdown, and
    /// returns the status of its whole answer, or `None` if the connection ended without one.
    async fn send(
        &mut self,
        (head_at, rest_at): (Duration, Duration),
        path: &str,
        time_limit: Duration,
    ) -> Option<u16> {
        let ms = time_limit.as_millis();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\nt-key: {KEY}\r\nt-attempt: r1\r\n\
             t-deadline-ms: {ms}\r\ncontent-length: 4\r\n\r\nbo"
        );
        for (at, part) in [(head_at, head.as_str()), (rest_at, "dy")] {
            sleep_until(self.began + at).await;
            self.connection.write_all(part.as_bytes()).await.ok()?;
        }
        let mut answer = Vec::new();
        timeout(LONG, self.connection.read_to_end(&mut answer))
            .await
            .expect("connection ends")
            .ok()?;
        let answer = String::from_utf8(answer).expect("text");
        let is_whole = !answer.contains("chunked") || answer.ends_with("0\r\n\r\n");
        let status = answer.split(' ').nth(1).filter(|_| is_whole)?;
        status.parse().ok()
    }
}

/// Guards against a request that arrives, or whose body is complete, late in a shutdown, and that is
/// passed on and then cut without an answer.
#[rstest]
#[case::late_order("plain", "/once/a", (LATE, LATE))]
#[case::late_call("plain", "/again/a", (LATE, LATE))]
#[case::late_stream("engine", "/stream/a", (LATE, LATE))]
#[case::slow_order("plain", "/once/a", (EARLY, NEAR_END))]
#[case::slow_stream("engine", "/stream/a", (EARLY, NEAR_END))]
#[tokio::test]
async fn late_request_is_cut_by_the_shutdown(
    #[case] service: &str,
    #[case] path: &str,
    #[case] times: (Duration, Duration),
) {
    let run_time = Duration::from_millis(2_600);
    let mut fleet = ClosingFleet::start(service, run_time).await;
    let status = fleet.send(times, path, LONG).await;
    assert_eq!((status, fleet.upstream.requests().len()), (Some(503), 0));
    fleet.closing.await.expect("gateway ends");
}

/// Guards against refusing a request during a shutdown although it ends in time.
#[rstest]
#[case::early(EARLY, LONG)]
#[case::late(LATE, Duration::from_millis(1_800))]
#[tokio::test]
async fn shutdown_refuses_a_request_that_would_end_in_time(
    #[case] at: Duration,
    #[case] time_limit: Duration,
) {
    let run_time = Duration::from_millis(1_000);
    let mut fleet = ClosingFleet::start("plain", run_time).await;
    let status = fleet.send((at, at), "/once/a", time_limit).await;
    assert_eq!((status, fleet.upstream.requests().len()), (Some(200), 1));
    fleet.closing.await.expect("gateway ends");
}
