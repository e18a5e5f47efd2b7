//! Requests that are given up.

mod common;

use std::{
    io::{self, ErrorKind},
    sync::Arc,
    time::Duration,
};

use common::{FakePlatform, Fixture, FixtureOptions, document, record};
use rstest::rstest;
use tokio::{io::AsyncReadExt, net::TcpListener, sync::oneshot};

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    CallerLeft,
    Deadline,
}

/// Guards against a request that was given up behind a partition and reaches its upstream when the
/// partition has healed: the system goes on sending what was written, unless the connection is reset.
#[rstest]
#[tokio::test]
async fn given_up_request_is_delivered_later(
    #[values("/again/a", "/once/a", "/stream/a")] path: &'static str,
    #[values(Cause::CallerLeft, Cause::Deadline)] cause: Cause,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (began, begun) = oneshot::channel();
    let end = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut buffer = [0; 1024];
        assert!(stream.read(&mut buffer).await? > 0, "no request");
        let _ = began.send(());
        while stream.read(&mut buffer).await? > 0 {}
        io::Result::Ok(())
    });
    let options = FixtureOptions {
        attempts: 1,
        timeout: Duration::from_secs(1),
        ..FixtureOptions::default()
    };
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document(1, &options));
    platform.list(record("u0", common::service_of(path), address));
    let fixture = Fixture::start_with(&options, platform).await;
    let request = fixture.post(path, "r1").header("t-tokens", "100,50");
    let response = tokio::spawn(request.send());
    begun.await.expect("request");
    match cause {
        Cause::CallerLeft => response.abort(),
        Cause::Deadline => {
            let response = response.await.expect("task").expect("answer");
            assert_eq!(response.status(), 504);
        }
    }
    let end = end.await.expect("upstream");
    assert_eq!(
        end.err().map(|e| e.kind()),
        Some(ErrorKind::ConnectionReset)
    );
}
