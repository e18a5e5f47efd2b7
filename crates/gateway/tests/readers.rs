//! Reads in a large domain: most instances allow stale responses and learn of newer versions from
//! peers.

mod common;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{FakePlatform, FakeUpstream, Fixture, FixtureOptions, document, member, ping, record};
use cornelarch_core::membership::{MemberMessage, MemberRecord};
use cornelarch_wire::{
    encode_envelope,
    peer::{WireBody, WireEnvelope, WireHolder},
};
use reqwest::header::HeaderValue;
use rstest::rstest;
use tokio::net::UdpSocket;

/// Number of members besides the gateway: enough that others are chosen to read the latest
/// state.
const MEMBERS: u64 = 40;
/// Time limit for activating a configuration that a peer has active. Users allow two seconds.
const IN_FORCE: Duration = Duration::from_millis(1_500);
/// Time after which a leaving upstream gets no more requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

async fn send(socket: &UdpSocket, to: SocketAddr, from: &MemberRecord, message: &MemberMessage) {
    let sender = WireHolder::from(&from.holder);
    let envelope = WireEnvelope::new(sender, None, WireBody::from(message));
    let bytes = encode_envelope(&envelope).expect("encode");
    socket.send_to(&bytes, to).await.expect("send");
}

/// Tells the gateway that a member has a configuration version active.
async fn announce(socket: &UdpSocket, fixture: &Fixture, from: &MemberRecord, version: u64) {
    send(socket, fixture.peers, from, &ping(from, version)).await;
}

/// Announces many members of its domain to the gateway.
async fn join_members(fixture: &Fixture) -> (UdpSocket, Vec<MemberRecord>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("bind");
    let address = socket.local_addr().expect("address");
    let records: Vec<MemberRecord> = (0..MEMBERS)
        .map(|number| member(&format!("member-{number}"), address))
        .collect();
    for part in records.chunks(4) {
        let records = part.to_vec();
        let message = MemberMessage::TableChunk { records };
        send(&socket, fixture.peers, &part[0], &message).await;
    }
    (socket, records)
}

/// Guards against an instance with stale reads that keeps an outdated configuration although its
/// peers have a newer one.
#[tokio::test]
async fn version_of_a_peer_leads_to_a_read_of_the_latest_state() {
    let upstream = FakeUpstream::start(vec![]).await;
    let options = FixtureOptions::default();
    let fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    let (socket, records) = join_members(&fixture).await;
    // The watch opened before the members were known reads the latest state; it ends with the next
    // version.
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.platform.publish(document(2, &options));
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.platform.is_stale.store(true, Ordering::SeqCst);
    // The open watch still reports this version; the next one reports nothing.
    fixture.platform.publish(document(3, &options));
    tokio::time::sleep(Duration::from_millis(500)).await;
    fixture.platform.publish(document(4, &options));
    tokio::time::sleep(IN_FORCE).await;
    assert_eq!(
        fixture.gauge("version").await,
        3,
        "the stale watch reported the version"
    );
    announce(&socket, &fixture, &records[0], 4).await;
    tokio::time::sleep(IN_FORCE).await;
    assert_eq!(fixture.gauge("version").await, 4);
}

/// Guards against a route or key that was added and is refused as unknown by an instance which has
/// heard of a newer version but does not have it, and against a version that never comes and keeps
/// wrong requests from being refused for good.
#[tokio::test]
async fn entry_of_an_announced_version_is_refused_as_unknown() {
    let upstream = FakeUpstream::start(vec![]).await;
    let options = FixtureOptions::default();
    let fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    let (socket, records) = join_members(&fixture).await;
    let statuses = async || {
        let added_path = fixture.post("/added/x", "r1").send();
        let mut added_key = fixture.post("/again/x", "r2").build().expect("request");
        let key = HeaderValue::from_static("added-key");
        added_key.headers_mut().insert("t-key", key);
        let added_key = fixture.client.execute(added_key);
        let (path, key) = (added_path.await, added_key.await);
        [path, key].map(|answer| answer.expect("answer").status().as_u16())
    };
    assert_eq!(statuses().await, [404, 401]);
    announce(&socket, &fixture, &records[0], 2).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(statuses().await, [503, 503]);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(statuses().await, [404, 401]);
}

/// Guards against a stale list that is older than the known revision and would restore an upstream
/// that has left.
#[tokio::test]
async fn outdated_list_after_a_compaction_is_not_used() {
    let upstreams = [
        FakeUpstream::start(vec![]).await,
        FakeUpstream::start(vec![]).await,
    ];
    let services = [("plain", &upstreams[0]), ("plain", &upstreams[1])];
    let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
    let _members = join_members(&fixture).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.platform.freeze();
    fixture.platform.unlist("u0");
    tokio::time::sleep(IN_FORCE).await;
    // The next watch from an old revision reports nothing.
    fixture.platform.compact();
    fixture.platform.set_down(true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.platform.set_down(false);
    tokio::time::sleep(IN_FORCE).await;
    assert_eq!(fixture.gauge("upstreams").await, 1);
}

/// How an upstream leaves the directory.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// Its entry says that it is leaving.
    Leaving,
    /// Its entry is removed.
    Removed,
}

/// Guards against requests to an upstream that has left, from instances whose reads of the directory
/// are seconds old.
#[rstest]
#[tokio::test]
async fn upstream_that_has_left_gets_requests_while_stale_reads_lag(
    #[values(Departure::Leaving, Departure::Removed)] departure: Departure,
) {
    let upstreams = [
        FakeUpstream::start(vec![]).await,
        FakeUpstream::start(vec![]).await,
    ];
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document(1, &FixtureOptions::default()));
    for (name, upstream) in ["staying", "departing"].iter().zip(&upstreams) {
        platform.list(record(name, "plain", upstream.address));
    }
    let mut fixtures: Vec<Fixture> = Vec::new();
    // One more than read the latest state.
    for instance in ["g1", "g2", "g3", "g4"] {
        let options = FixtureOptions {
            instance,
            seeds: fixtures.iter().map(|fixture| fixture.peers).collect(),
            ..FixtureOptions::default()
        };
        fixtures.push(Fixture::start_with(&options, Arc::clone(&platform)).await);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.is_stale.store(true, Ordering::SeqCst);
    // The open watches still report this change; the next stale ones report nothing.
    platform.list(record("other", "engine", upstreams[0].address));
    tokio::time::sleep(IN_FORCE).await;
    match departure {
        Departure::Leaving => {
            let mut entry = record("departing", "plain", upstreams[1].address);
            entry.is_leaving = true;
            platform.list(entry);
        }
        Departure::Removed => platform.unlist("departing"),
    }
    tokio::time::sleep(DRAIN_TIME).await;
    let before = upstreams[1].requests().len();
    for (number, fixture) in fixtures.iter().enumerate() {
        let requests = (0..24).map(|request| {
            let id = format!("r{number}-{request}");
            let request = fixture.post("/again/x", &id);
            async { request.send().await.expect("answer").status().as_u16() }
        });
        let statuses = futures_util::future::join_all(requests).await;
        assert_eq!(statuses, vec![200; 24]);
    }
    assert_eq!(upstreams[1].requests().len(), before);
}
