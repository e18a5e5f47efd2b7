//! Guards against frames that are decoded wrongly and corrupt frames that exhaust the memory.

use std::{fmt::Debug, time::Duration};

use bytes::{BufMut, BytesMut};
use cornelarch_core::{
    base::UpstreamName,
    placement::{LimitReport, UpstreamDeparture, UpstreamFailure, UpstreamIncarnation},
};
use cornelarch_wire::{
    FrameCodec, FrameError, decode_departure_report, decode_envelope, decode_failure_report,
    decode_limit_report, encode_departure_report, encode_envelope, encode_failure_report,
    encode_limit_report,
    peer::{
        WireBody, WireDeparture, WireDepartureReport, WireEnvelope, WireFailureReport, WireHolder,
        WireTransfer, WireUpstreamFailure, WireVersionNotice,
    },
};
use rstest::rstest;
use thrift::protocol::{TCompactInputProtocol, TSerializable};
use tokio_util::codec::{Decoder, Encoder};

fn transfer() -> WireEnvelope {
    WireEnvelope::new(
        WireHolder::new("r1".to_owned(), -7),
        WireHolder::new("r2".to_owned(), i64::MAX),
        WireBody::Transfer(WireTransfer::new(3, "acme".to_owned(), 5_000, 120)),
    )
}

/// Returns the cause of a frame that was rejected as malformed.
fn protocol_error<T: Debug>(result: Result<T, FrameError>) -> thrift::ProtocolError {
    match result {
        Err(FrameError::Malformed {
            source: thrift::Error::Protocol(cause),
        }) => cause,
        other => panic!("{other:?}"),
    }
}

/// Guards against a decoder that loses its position when a frame arrives in several reads.
#[test]
fn frame_in_pieces_is_read_once() {
    let mut bytes = BytesMut::new();
    FrameCodec::new().encode(&transfer(), &mut bytes).unwrap();
    let (mut codec, mut input) = (FrameCodec::new(), BytesMut::new());
    let mut envelopes = Vec::new();
    for byte in bytes {
        input.put_u8(byte);
        envelopes.extend(codec.decode(&mut input).unwrap());
    }
    assert_eq!(envelopes, [transfer()]);
}

/// Guards against allocating the size that a corrupt list header declares.
#[test]
fn claimed_list_size_is_limited() {
    // Field 3 (struct), field 9 (struct), field 3 (list of 2^31 - 1 strings).
    let frame = [0x3c, 0x9c, 0x39, 0xf8, 0xff, 0xff, 0xff, 0xff, 0x07];
    let mut bytes = BytesMut::new();
    bytes.put_u32(frame.len() as u32);
    bytes.put_slice(&frame);
    let cause = protocol_error(FrameCodec::new().decode(&mut bytes));
    assert_eq!(cause.kind, thrift::ProtocolErrorKind::SizeLimit);
    assert!(cause.message.contains("2147483647"), "{}", cause.message);
}

/// Guards against a corrupt length prefix that makes the decoder wait for gigabytes.
#[test]
fn oversized_frame_ends_the_connection() {
    let mut bytes = BytesMut::from(&[0xff, 0xff, 0xff, 0xff][..]);
    let error = FrameCodec::new().decode(&mut bytes).unwrap_err();
    assert!(matches!(error, FrameError::Connection { .. }), "{error}");
}

/// Guards against a process that ends because a peer of a newer build sends it a kind of message
/// that this build does not know.
#[test]
fn message_of_a_newer_build_stops_the_process() {
    // Field 1 (the sender), then field 3 (the body), a union with the unknown field 99.
    let sender = [0x1c, 0x18, 1, b'a', 0x16, 2, 0];
    let body = [0x2c, 0x0c, 0xc6, 0x01, 0, 0];
    let bytes: Vec<u8> = [&sender[..], &body, &[0]].concat();
    let cause = protocol_error(decode_envelope(&bytes));
    assert_eq!(cause.kind, thrift::ProtocolErrorKind::InvalidData);
    assert!(cause.message.contains("kind 99"), "{}", cause.message);
}

/// Guards against a process of an older build that ends because this build sends it a kind of
/// message that it does not know: its generated code reads the bytes as they are.
#[rstest]
#[case::version(WireBody::VersionNotice(WireVersionNotice::new(7)))]
#[case::limit(encode_limit_report(&limit_report(Some(1.7))))]
#[case::departure(encode_departure_report(&[departure(7)]))]
fn message_of_this_build_stops_an_older_one(#[case] body: WireBody) {
    let notice = WireEnvelope::new(WireHolder::new("r1".to_owned(), 1), None, body);
    let bytes = encode_envelope(&notice).unwrap();
    let mut input = TCompactInputProtocol::new(&bytes[..]);
    assert!(WireEnvelope::read_from_in_protocol(&mut input).is_err());
    assert_eq!(decode_envelope(&bytes).unwrap(), notice);
    let known = encode_envelope(&transfer()).unwrap();
    let mut input = TCompactInputProtocol::new(&known[..]);
    let read = WireEnvelope::read_from_in_protocol(&mut input).unwrap();
    assert_eq!(read, transfer());
}

fn limit_report(rate: Option<f64>) -> LimitReport {
    LimitReport {
        upstream: UpstreamName::new("u1"),
        incarnation: UpstreamIncarnation {
            address: "10.0.0.1:8000".parse().unwrap(),
            started_unix_ms: Some(1_790_000_000_000),
        },
        rate,
    }
}

/// Guards against a limit that changes on its way to a peer, and against one that is no rate.
#[rstest]
#[case::named(Some(1.7), true)]
#[case::ended(None, true)]
#[case::negative(Some(-1.0), false)]
#[case::not_a_number(Some(f64::NAN), false)]
fn limit_changes_on_its_way(#[case] rate: Option<f64>, #[case] is_valid: bool) {
    let report = limit_report(rate);
    let decoded = decode_limit_report(&encode_limit_report(&report));
    assert_eq!(decoded, is_valid.then_some(report));
}

fn departure(revision: u64) -> UpstreamDeparture {
    UpstreamDeparture {
        upstream: UpstreamName::new("u1"),
        revision,
    }
}

/// Guards against departures that change on their way to a peer.
#[test]
fn departures_change_on_their_way() {
    let departures = [departure(0), departure(i64::MAX as u64)];
    let decoded = decode_departure_report(&encode_departure_report(&departures));
    assert_eq!(decoded.as_deref(), Some(&departures[..]));
}

/// Guards against a departure at a revision that no directory can have.
#[test]
fn departure_at_an_invalid_revision_is_taken() {
    assert_eq!(
        encode_departure_report(&[departure(u64::MAX)]),
        encode_departure_report(&[])
    );
    let invalid = WireDeparture::new("u1".to_owned(), -1);
    let body = WireBody::DepartureReport(WireDepartureReport::new(vec![invalid]));
    assert_eq!(decode_departure_report(&body), None);
}

fn failure(started_unix_ms: Option<u64>) -> UpstreamFailure {
    UpstreamFailure {
        upstream: UpstreamName::new("u1"),
        started_unix_ms,
        age: Duration::from_millis(120),
    }
}

/// Guards against failures that change on their way to a peer.
#[test]
fn failures_change_on_their_way() {
    let failures = [failure(None), failure(Some(i64::MAX as u64))];
    let decoded = decode_failure_report(&encode_failure_report(&failures));
    assert_eq!(decoded.as_deref(), Some(&failures[..]));
}

/// Guards against a failure of a process that cannot exist.
#[test]
fn failure_with_invalid_numbers_is_taken() {
    assert_eq!(
        encode_failure_report(&[failure(Some(u64::MAX))]),
        encode_failure_report(&[])
    );
    for (started, age_ms) in [(Some(-1), 0), (None, -1)] {
        let invalid = WireUpstreamFailure::new("u1".to_owned(), started, age_ms);
        let body = WireBody::FailureReport(WireFailureReport::new(vec![invalid]));
        assert_eq!(decode_failure_report(&body), None);
    }
}
