//! Exchange of configurations with a peer while datagrams are lost: a full link drops them, whereas
//! a connection is only delayed.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{FakeUpstream, Fixture, FixtureOptions, document, member, ping};
use cornelarch_core::{
    membership::MemberRecord,
    route::{
        RouteDocument,
        replica::{DocumentIndex, DocumentPart, RequestChannel},
    },
};
use cornelarch_wire::{
    FrameCodec, decode_document_part, decode_document_request, encode_document_part,
    encode_document_request, encode_envelope,
    peer::{WireBody, WireEnvelope, WireHolder},
};
use futures_util::{SinkExt, StreamExt};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};
use tokio_util::codec::Framed;

/// Time limit for activating a configuration that a peer has active. Users allow two seconds.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// Routes of a large configuration.
const MANY_ROUTES: usize = 1_600;

/// Peer whose datagrams arrive at the gateway, while those of the gateway are lost.
struct FakePeer {
    socket: UdpSocket,
    listener: TcpListener,
    record: MemberRecord,
}

impl FakePeer {
    async fn bind() -> Self {
        loop {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let address = listener.local_addr().expect("address");
            // The port may be taken for datagrams.
            let Ok(socket) = UdpSocket::bind(address).await else {
                continue;
            };
            return Self {
                socket,
                listener,
                record: member("peer", address),
            };
        }
    }

    fn envelope(&self, body: WireBody) -> WireEnvelope {
        WireEnvelope::new(WireHolder::from(&self.record.holder), None, body)
    }

    /// Tells the gateway that the peer has a version active.
    async fn announce(&self, to: SocketAddr, version: u64) {
        let body = WireBody::from(&ping(&self.record, version));
        let bytes = encode_envelope(&self.envelope(body)).expect("encode");
        self.socket.send_to(&bytes, to).await.expect("send");
    }

    /// Answers the requests of one connection after another.
    async fn serve(&self, index: &DocumentIndex) {
        loop {
            let (stream, _) = self.listener.accept().await.expect("accept");
            let mut frames = Framed::new(stream, FrameCodec::new());
            while let Some(Ok(frame)) = frames.next().await {
                let request = decode_document_request(&frame.body).expect("request");
                for part in index.answer(&request, RequestChannel::Connection) {
                    let answer = self.envelope(encode_document_part(part));
                    frames.send(&answer).await.expect("send");
                }
            }
        }
    }
}

fn large_document(version: u64) -> RouteDocument {
    let mut large = document(version, &FixtureOptions::default());
    let template = large.find_route("shop.example", "/again/");
    let cornelarch_core::route::RouteLookup::Found(template) = template else {
        panic!("route is missing");
    };
    let template = template.clone();
    for number in 0..MANY_ROUTES {
        let mut rule = template.clone();
        rule.prefix = format!("/large/{number}/");
        large.add_route(rule);
    }
    large
}

async fn start() -> Fixture {
    let upstream = FakeUpstream::start(vec![]).await;
    Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await
}

/// Asks a gateway over a connection, as an instance without a configuration does.
async fn fetch(to: SocketAddr) -> Vec<DocumentPart> {
    let stream = TcpStream::connect(to).await.expect("connect");
    let mut frames = Framed::new(stream, FrameCodec::new());
    let request = encode_document_request(&DocumentIndex::empty().request(0));
    let sender = WireHolder::new("asking".to_owned(), 1);
    let request = WireEnvelope::new(sender, None, request);
    frames.send(&request).await.expect("send");
    let mut parts = Vec::new();
    while let Some(Ok(frame)) = timeout(IN_FORCE, frames.next()).await.expect("in time") {
        parts.push(decode_document_part(&frame.body).expect("part"));
        if parts.last().is_some_and(|part| part.is_last) {
            break;
        }
    }
    parts
}

/// Guards against an instance that serves an old configuration for as long as its full link loses
/// every request to its peers or every answer.
#[rstest]
#[case::small(document(2, &FixtureOptions::default()))]
#[case::large(large_document(2))]
#[tokio::test]
async fn lost_datagrams_keep_a_version_away(#[case] newer: RouteDocument) {
    let fixture = start().await;
    fixture.platform.set_down(true);
    let peer = FakePeer::bind().await;
    peer.announce(fixture.peers, 2).await;
    let index = DocumentIndex::new(&newer);
    let in_force = async {
        while fixture.gauge("cornelarch_version").await != 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = peer.serve(&index) => {}
        ended = timeout(IN_FORCE, in_force) => ended.expect("version 2 is in force in time"),
    }
}

/// Guards against an answer over a connection that lacks parts, such as those which do not fit into
/// an answer in datagrams.
#[tokio::test]
async fn answer_over_a_connection_is_incomplete() {
    let fixture = start().await;
    let large = large_document(2);
    fixture.platform.publish(large.clone());
    while fixture.gauge("cornelarch_version").await != 2 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let parts = fetch(fixture.peers).await;
    let request = DocumentIndex::empty().request(0);
    let index = DocumentIndex::new(&large);
    assert_eq!(parts, index.answer(&request, RequestChannel::Connection));
    assert!(parts.last().is_some_and(|part| part.is_last));
}

/// Guards against connections that send nothing, or no request, and keep a peer from being
/// answered.
#[tokio::test]
async fn idle_connections_keep_peers_from_being_answered() {
    let fixture = start().await;
    let mut rest = Vec::new();
    // A frame of eight bytes that is no message.
    let mut garbage = TcpStream::connect(fixture.peers).await.expect("connect");
    let frame = [&8_u32.to_be_bytes()[..], &[0xff; 8]].concat();
    garbage.write_all(&frame).await.expect("write");
    let closed = timeout(Duration::from_millis(1_000), garbage.read_to_end(&mut rest));
    assert!(
        closed.await.is_ok(),
        "a connection without a request stays open"
    );
    let mut idle = Vec::new();
    for _ in 0..200 {
        idle.push(TcpStream::connect(fixture.peers).await.expect("connect"));
    }
    // The gateway closes them after the time limit of a request.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let closed = timeout(Duration::from_millis(500), idle[0].read_to_end(&mut rest));
    assert!(closed.await.is_ok(), "an idle connection stays open");
    assert!(!fetch(fixture.peers).await.is_empty());
}

/// Guards against a frame that is far larger than any request and for which memory is reserved.
#[tokio::test]
async fn oversized_request_is_buffered() {
    let fixture = start().await;
    let mut stream = TcpStream::connect(fixture.peers).await.expect("connect");
    let length: u32 = 1024 * 1024;
    stream
        .write_all(&length.to_be_bytes())
        .await
        .expect("write");
    let mut rest = Vec::new();
    let closed = timeout(Duration::from_millis(1_000), stream.read_to_end(&mut rest));
    assert!(closed.await.is_ok(), "the connection stays open");
    assert!(!fetch(fixture.peers).await.is_empty());
}
