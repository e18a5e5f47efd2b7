//! An instance whose connections to all upstreams are slow, as if its own network were congested.

mod common;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use common::{
    FakePlatform, FakeUpstream, Fixture, FixtureOptions, READY_PATH, Reply, document, record,
};
use futures_util::future::join_all;
use rstest::rstest;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Upstreams of the test: more than one request tries.
const UPSTREAMS: usize = 8;
/// Requests that are sent at the same time.
const CROWD: usize = 12;
/// Waves of requests before the check.
const WAVES: u32 = 5;
const WAVE_PERIOD: Duration = Duration::from_millis(350);
/// Time for the refusal of a request that is not sent: less than one attempt to connect.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Longest delay after which a caller that is refused at once is told to return, in seconds.
const RETURN_MAX_S: f64 = 0.1;
/// Time in which a gateway learns of a change at the platform.
const SYNC_TIME: Duration = Duration::from_millis(1_200);

/// An address that does not answer attempts to connect, because its queue of connections is full.
struct SilentAddress {
    address: SocketAddr,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl SilentAddress {
    async fn bind() -> Self {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("address");
        let listener = socket.listen(1).expect("listener");
        let address = listener.local_addr().expect("address");
        let mut queued = Vec::new();
        let connect_time = Duration::from_millis(200);
        while let Ok(Ok(stream)) =
            tokio::time::timeout(connect_time, TcpStream::connect(address)).await
        {
            queued.push(stream);
        }
        Self {
            address,
            _listener: listener,
            _queued: queued,
        }
    }
}

async fn send_crowd(fixture: &Fixture, path: &str, wave: u32) {
    let requests = (0..CROWD).map(|number| {
        let request = fixture.post(path, &format!("w{wave}-{number}"));
        request.header("t-tokens", "100,50").send()
    });
    for response in join_all(requests).await {
        assert_eq!(response.expect("answer").status(), 503);
    }
}

/// Starts a gateway all of whose upstreams are silent.
async fn start_congested(service: &str, silent: &SilentAddress) -> Fixture {
    let options = FixtureOptions::default();
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document(1, &options));
    for index in 0..UPSTREAMS {
        platform.list(record(&format!("u{index}"), service, silent.address));
    }
    Fixture::start_with(&options, platform).await
}

/// Sends crowds of requests, one after the other. All are refused.
async fn send_waves(fixture: &Fixture, path: &str, waves: u32) {
    let waves = (0..waves).map(|wave| async move {
        tokio::time::sleep(WAVE_PERIOD * wave).await;
        send_crowd(fixture, path, wave).await;
    });
    join_all(waves).await;
}

/// Sends a crowd of requests, and returns how many are refused at once and may come back soon.
async fn count_refused_at_once(fixture: &Fixture, path: &str) -> usize {
    let began = Instant::now();
    let requests = (0..CROWD).map(|number| async move {
        let request = fixture.post(path, &format!("last-{number}"));
        let response = request.header("t-tokens", "100,50").send().await;
        let response = response.expect("answer");
        assert_eq!(response.status(), 503);
        let delay = response.headers()["retry-after"].to_str().expect("text");
        let delay: f64 = delay.parse().expect("seconds");
        began.elapsed() < REFUSAL_TIME && delay <= RETURN_MAX_S
    });
    let refused = join_all(requests).await;
    refused.into_iter().filter(|is_refused| *is_refused).count()
}

/// Guards against an instance that holds callers although it reaches no upstream, while others do; and
/// against one that refuses them once it does.
#[rstest]
#[case::call("plain", "/again/a")]
#[case::order("plain", "/once/a")]
#[case::stream("engine", "/stream/a")]
#[tokio::test]
async fn congested_instance_holds_its_callers(#[case] service: &str, #[case] path: &str) {
    let silent = SilentAddress::bind().await;
    let fixture = start_congested(service, &silent).await;
    send_waves(&fixture, path, WAVES).await;
    let refused = count_refused_at_once(&fixture, path).await;
    assert!(refused >= CROWD / 2, "{refused} of {CROWD}");
    assert!(fixture.gauge("cornelarch_handed_back_total").await > 0);

    let sound = FakeUpstream::start(vec![]).await;
    if service == "engine" {
        sound.set_last_reply(Reply::Events(vec!["id: 1\ndata: t1\n\n".to_owned()]));
    }
    for index in 0..UPSTREAMS {
        fixture.platform.unlist(&format!("u{index}"));
    }
    let sound_record = record("sound", service, sound.address);
    fixture.platform.list(sound_record);
    tokio::time::sleep(SYNC_TIME).await;
    let mut answered = 0;
    for number in 0..20 {
        let request = fixture.post(path, &format!("clear-{number}"));
        let response = request.header("t-tokens", "100,50").send().await;
        if response.expect("answer").status() == 200 {
            answered += 1;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(answered >= 15, "{answered} of 20 after the congestion");
}

/// Guards against an instance that gets ever more callers although it carries none, and whose present
/// callers stay with it.
#[tokio::test]
async fn congested_instance_stays_in_rotation() {
    let silent = SilentAddress::bind().await;
    let fixture = start_congested("plain", &silent).await;
    send_waves(&fixture, "/again/a", 3 * WAVES).await;
    let url = format!("http://{}{READY_PATH}", fixture.ready);
    let ready = fixture.client.get(&url).send().await.expect("answer");
    assert_eq!(ready.status(), 503);
    let response = fixture.post("/again/a", "last").send().await;
    let response = response.expect("answer");
    assert_eq!(response.headers()["connection"], "close");
}
