//! Tests of the platform stand-in and the HTTP client of the object API against each other.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelarch_platform::{
    BodyLimits, ClientOptions, HttpStore, InstanceEntry, InstanceState, ObjectStore, StoreError,
};
use cornelarch_standin::platform::{self, PlatformFaults, PlatformHandle, PlatformOptions};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Pause before each part of a slow body.
const PART_PAUSE: Duration = Duration::from_millis(100);
const VALUE: Bytes = Bytes::from_static(br#"{"b": 1, "a": 2}"#);

async fn start() -> (PlatformHandle, HttpStore) {
    let handle = platform::bind(PlatformOptions::default()).await.unwrap();
    let store = connect(&handle);
    (handle, store)
}

fn connect(handle: &PlatformHandle) -> HttpStore {
    let options = ClientOptions {
        address: handle.url(),
        ..ClientOptions::default()
    };
    HttpStore::new(&options).unwrap()
}

/// Guards against lost updates and values that are modified in transit.
#[tokio::test]
async fn writes_are_conditional() {
    let (handle, store) = start().await;
    let key = "order/trial/acme inc/a%2Fb?c";
    let first = store.put(key, 0, VALUE).await.unwrap();
    let read = store.get(key).await.unwrap();
    assert_eq!((read.version, read.value), (first, VALUE));
    let conflict = store.put(key, 0, VALUE).await;
    assert!(matches!(conflict, Err(StoreError::Conflict { current, .. }) if current == first));
    let second = store.put(key, first, VALUE).await.unwrap();
    assert!(second > first);
    store.delete(key, second).await.unwrap();
    assert!(matches!(
        store.get(key).await,
        Err(StoreError::NotFound { .. })
    ));
    let third = store.put(key, 0, VALUE).await.unwrap();
    assert!(third > second, "a recreated object must not reuse versions");
    handle.close().await;
}

/// Guards against a watch that misses a change or never returns.
#[tokio::test]
async fn watch_sees_later_versions_only() {
    let (handle, store) = start().await;
    let first = store.put("k", 0, VALUE).await.unwrap();
    let timeout = Duration::from_millis(1);
    assert_eq!(store.watch("k", first, timeout).await.unwrap(), None);
    let watch = tokio::spawn({
        let store = store.clone();
        async move { store.watch("k", first, Duration::from_secs(60)).await }
    });
    while handle.counts().watches_open == 0 {
        tokio::task::yield_now().await;
    }
    let second = store.put("k", first, VALUE).await.unwrap();
    let seen = watch.await.unwrap().unwrap().unwrap();
    assert_eq!(seen.version, second);
    assert_eq!(handle.counts().watches, 2);
    handle.close().await;
}

/// Guards against treating a lost response as a rejection, which would break exactly-once writes.
#[rstest]
#[case::response_lost(PlatformFaults { lost_answers: 1, ..PlatformFaults::default() }, true)]
#[case::write_late(PlatformFaults { held_writes: 1, ..PlatformFaults::default() }, false)]
#[tokio::test]
async fn aborted_write_is_unknown(#[case] faults: PlatformFaults, #[case] stored: bool) {
    let (handle, store) = start().await;
    handle.set_faults(faults);
    let result = store.put("k", 0, VALUE).await;
    assert!(matches!(result, Err(StoreError::Unknown { .. })));
    assert_eq!(handle.peek("k").is_some(), stored);
    handle.release_held();
    assert!(handle.peek("k").is_some());
    handle.close().await;
}

/// Guards against reporting `Unknown` for writes that were provably not executed.
#[rstest]
#[case::outage(PlatformFaults { outage: true, ..PlatformFaults::default() })]
#[case::partition(PlatformFaults { unreachable: true, ..PlatformFaults::default() })]
#[tokio::test]
async fn refused_write_is_unavailable(#[case] faults: PlatformFaults) {
    let (handle, store) = start().await;
    handle.set_faults(faults);
    // The listening socket is closed asynchronously by its own task.
    while !matches!(store.get("k").await, Err(StoreError::Unavailable { .. })) {
        tokio::task::yield_now().await;
    }
    let fresh = connect(&handle);
    let result = loop {
        match fresh.put("k", 0, VALUE).await {
            Err(StoreError::Unknown { .. }) => tokio::task::yield_now().await,
            result => break result,
        }
    };
    assert!(
        matches!(result, Err(StoreError::Unavailable { .. })),
        "{result:?}"
    );
    handle.set_faults(PlatformFaults::default());
    while store.put("k", 0, VALUE).await.is_err() {
        tokio::task::yield_now().await;
    }
    handle.close().await;
}

/// Guards against accepting values and call rates above the platform's limits.
#[tokio::test]
async fn limits_are_enforced() {
    let options = PlatformOptions {
        writes_per_s: 1,
        ..PlatformOptions::default()
    };
    let handle = platform::bind(options).await.unwrap();
    let store = connect(&handle);
    let large = Bytes::from(format!("\"{}\"", "x".repeat(1_000_000)));
    let result = store.put("k", 0, large).await;
    assert!(matches!(result, Err(StoreError::TooLarge { .. })));
    let mut limited = 0;
    for index in 0..5 {
        let result = store.put(&format!("k{index}"), 0, VALUE).await;
        limited += u32::from(result == Err(StoreError::RateLimited));
    }
    assert!(limited > 0);
    assert_eq!(handle.counts().rate_limited, u64::from(limited));
    handle.close().await;
}

/// Guards against reading or writing another object than the named one.
#[tokio::test]
async fn key_with_reserved_characters_is_another_one() {
    let (handle, store) = start().await;
    for name in [
        "r&d", "50%", "%41", "x#y", "x?y=1", "a b", "a+b", "Zürich", "..x", "...",
    ] {
        let key = format!("a/{name}/1");
        store.put(&key, 0, VALUE).await.unwrap();
        let listed = store.list(&format!("a/{name}/"), "").await.unwrap();
        assert_eq!(listed.len(), 1, "{key}");
        assert_eq!(listed[0].0, key);
        assert_eq!(store.get(&key).await.unwrap().version, listed[0].1);
    }
    handle.close().await;
}

/// Guards against key listings that skip keys or include keys of other prefixes, and against an
/// instance list that ignores the configured lag.
#[tokio::test]
async fn lists_are_paged_and_instances_lag() {
    let (handle, store) = start().await;
    for index in 0..1_005 {
        handle.store(&format!("a/{index:04}"), VALUE);
    }
    handle.store("b/0", VALUE);
    let page = store.list("a/", "").await.unwrap();
    assert_eq!(page.len(), 1_000);
    let rest = store.list("a/", &page[999].0).await.unwrap();
    assert_eq!(rest.first().unwrap().0, "a/1000");
    assert_eq!(rest.len(), 5);

    let entry = InstanceEntry {
        name: "r1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        domain: "d1".into(),
        state: InstanceState::Live,
    };
    handle.set_instances(vec![entry.clone()]);
    let listed = store.instances().await.unwrap();
    assert_eq!(listed, std::slice::from_ref(&entry));
    handle.set_faults(PlatformFaults {
        instance_lag_ms: 3_600_000,
        ..PlatformFaults::default()
    });
    handle.set_instances(Vec::new());
    assert_eq!(store.instances().await.unwrap(), [entry]);
    handle.close().await;
}

/// Answers one call with an object whose body is sent in parts, each after a pause.
async fn serve_slowly(listener: TcpListener, parts: Vec<String>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = [0; 4_096];
    assert!(stream.read(&mut head).await.unwrap() > 0);
    let length: usize = parts.iter().map(String::len).sum();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for part in parts {
        tokio::time::sleep(PART_PAUSE).await;
        // The client may have given up.
        if stream.write_all(part.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against a large object that never gets through a full link because every read is given
/// up after the same time, and against a read that never ends because its body trickles.
#[rstest]
#[case::slow(64, true)]
#[case::trickled(1, false)]
#[tokio::test]
async fn slow_read_is_judged_by_its_duration(#[case] part_bytes: usize, #[case] is_read: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let options = ClientOptions {
        address: format!("http://{}", listener.local_addr().unwrap()),
        call_timeout: Duration::from_millis(300),
        body: BodyLimits {
            progress_timeout: Duration::from_millis(300),
            progress_bytes: 32,
            ..BodyLimits::default()
        },
        ..ClientOptions::default()
    };
    let body = format!(
        r#"{{"version": 7, "value": "{}"}}"#,
        "x".repeat(12 * part_bytes)
    );
    let parts = body.as_bytes().chunks(part_bytes);
    let parts = parts.map(|part| String::from_utf8(part.to_vec()).unwrap());
    let server = tokio::spawn(serve_slowly(listener, parts.collect()));
    let began = Instant::now();
    let read = HttpStore::new(&options).unwrap().get("k").await;
    assert_eq!(read.is_ok(), is_read, "{read:?}");
    match read {
        Ok(value) => assert_eq!(value.version, 7),
        Err(error) => assert!(matches!(error, StoreError::Unavailable { .. }), "{error}"),
    }
    let is_over = began.elapsed() > 10 * PART_PAUSE;
    assert_eq!(is_over, is_read, "took {:?}", began.elapsed());
    server.abort();
}
