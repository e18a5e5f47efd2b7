//! Tests of one attempt at an order, the stored record, the claim table and the rate limit.

use std::{sync::Arc, time::Duration};

use cornelarch_core::{
    base::{HolderId, MonotonicTime},
    error::ErrorKind,
    order::{
        ClaimId, ClaimTable, LocalClaim, MAX_STORED_BODY_BYTES, OrderCall, OrderEffect, OrderEvent,
        OrderLimiter, OrderOptions, OrderRecord, OrderState, RequestDigest, StoredAnswer,
        VersionedRecord, is_expired, record_key,
    },
};
use rstest::rstest;

const NOW: MonotonicTime = MonotonicTime::START;
const OWN: ClaimId = ClaimId(1);
const OTHER: ClaimId = ClaimId(2);

fn digest(body: &[u8]) -> RequestDigest {
    RequestDigest::new("shop", "POST", "/orders", body)
}

fn new_call() -> OrderCall {
    let holder = HolderId::new("r1".into(), 7);
    let options = Arc::new(OrderOptions::default());
    OrderCall::open(options, holder, OWN, digest(b"a"), 0, NOW).0
}

fn answer(body: Vec<u8>) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body,
    }
}

fn record_read(claim: ClaimId, state: OrderState, local: LocalClaim) -> OrderEvent {
    let record = OrderRecord {
        claimant: HolderId::new("r1".into(), 7),
        claim,
        digest: digest(b"a"),
        created_s: 0,
        state,
    };
    let record = Some(VersionedRecord { version: 5, record });
    OrderEvent::RecordRead { record, local }
}

const ABSENT: OrderEvent = OrderEvent::RecordRead {
    record: None,
    local: LocalClaim::Unknown,
};
const WRITTEN: OrderEvent = OrderEvent::Written { version: 5 };

/// Guards against a call that is sent, or not sent, in the wrong state of the record. Each case
/// gives the events and the effect of the last one.
#[rstest]
#[case::created(vec![WRITTEN], "send")]
#[case::answer_of_create_lost(vec![OrderEvent::WriteUnknown, record_read(OWN, OrderState::Claimed, LocalClaim::Running)], "send")]
#[case::create_lost(vec![OrderEvent::WriteUnknown, ABSENT], "write 0")]
#[case::create_lost_and_sent_again(vec![OrderEvent::WriteUnknown, ABSENT, OrderEvent::Conflict], "read")]
#[case::platform_down_at_create(vec![OrderEvent::PlatformDown], "refuse PlatformUnavailable")]
#[case::platform_down_at_read_back(vec![OrderEvent::WriteUnknown, OrderEvent::PlatformDown], "refuse PlatformUnavailable")]
#[case::platform_down_at_read_of_existing_record(vec![OrderEvent::Conflict, OrderEvent::PlatformDown], "refuse OrderStateUnknown")]
#[case::answered(vec![OrderEvent::Conflict, record_read(OTHER, OrderState::Answered(answer(vec![1])), LocalClaim::Unknown)], "answer")]
#[case::answered_too_large(vec![OrderEvent::Conflict, record_read(OTHER, OrderState::AnsweredTooLarge { status: 200 }, LocalClaim::Unknown)], "refuse OrderStateUnknown")]
#[case::claimed_elsewhere(vec![OrderEvent::Conflict, record_read(OTHER, OrderState::Claimed, LocalClaim::Unknown)], "refuse OrderStateUnknown")]
#[case::claimed_here(vec![OrderEvent::Conflict, record_read(OTHER, OrderState::Claimed, LocalClaim::Running)], "wait")]
#[case::claimed_here_and_ended(vec![OrderEvent::Conflict, record_read(OTHER, OrderState::Claimed, LocalClaim::Running), OrderEvent::ClaimEnded], "read")]
#[case::claim_not_run_here(vec![OrderEvent::Conflict, record_read(OTHER, OrderState::Claimed, LocalClaim::NotRun)], "write 5")]
#[case::failed_before_send(vec![OrderEvent::Conflict, record_read(OTHER, OrderState::FailedBeforeSend, LocalClaim::Unknown)], "write 5")]
#[case::upstream_lost(vec![WRITTEN, OrderEvent::UpstreamLost(ErrorKind::UpstreamLost)], "refuse UpstreamLost")]
#[case::upstream_timeout(vec![WRITTEN, OrderEvent::UpstreamLost(ErrorKind::UpstreamTimeout)], "refuse UpstreamTimeout")]
#[case::not_reached(vec![WRITTEN, OrderEvent::UpstreamNotReached(ErrorKind::NoUpstream)], "write 5")]
#[case::not_reached_and_platform_down(vec![WRITTEN, OrderEvent::UpstreamNotReached(ErrorKind::NoUpstream), OrderEvent::PlatformDown], "refuse NoUpstream")]
#[case::not_reached_with_wrong_kind(vec![WRITTEN, OrderEvent::UpstreamNotReached(ErrorKind::Internal)], "refuse UpstreamLost")]
#[case::answered_and_platform_down(vec![WRITTEN, OrderEvent::UpstreamAnswered(Arc::new(answer(vec![1]))), OrderEvent::PlatformDown], "answer")]
#[case::answer_stored_later(vec![WRITTEN, OrderEvent::UpstreamAnswered(Arc::new(answer(vec![1]))), OrderEvent::PlatformDown, OrderEvent::Delivered, OrderEvent::PauseEnded], "write 5")]
#[case::late_claim_is_released(vec![OrderEvent::WriteUnknown, OrderEvent::PlatformDown, OrderEvent::Delivered, OrderEvent::PauseEnded, record_read(OWN, OrderState::Claimed, LocalClaim::NotRun)], "write 5")]
#[case::no_pending_work(vec![OrderEvent::PlatformDown, OrderEvent::Delivered], "done")]
fn effect_follows_the_record(#[case] events: Vec<OrderEvent>, #[case] expected: &str) {
    let mut call = new_call();
    let mut effect = OrderEffect::Done;
    for event in events {
        effect = call.handle(event, NOW);
    }
    let text = match effect {
        OrderEffect::SendUpstream { fence: 5 } => "send".to_owned(),
        OrderEffect::WriteRecord {
            expected_version, ..
        } => format!("write {expected_version}"),
        OrderEffect::ReadRecord => "read".to_owned(),
        OrderEffect::WaitClaim(OTHER) => "wait".to_owned(),
        OrderEffect::Answer(_) => "answer".to_owned(),
        OrderEffect::Refuse(kind) => format!("refuse {kind:?}"),
        OrderEffect::Done => "done".to_owned(),
        effect => format!("{effect:?}"),
    };
    assert_eq!(text, expected);
}

/// Guards against an idempotency key that runs a second, different request or returns the answer
/// of another request.
#[test]
fn key_of_another_request_is_refused() {
    let holder = HolderId::new("r2".into(), 8);
    let options = Arc::new(OrderOptions::default());
    let (mut call, _) = OrderCall::open(options, holder, OWN, digest(b"b"), 0, NOW);
    call.handle(OrderEvent::Conflict, NOW);
    let state = OrderState::Answered(answer(vec![1]));
    let effect = call.handle(record_read(OTHER, state, LocalClaim::Unknown), NOW);
    assert_eq!(effect, OrderEffect::Refuse(ErrorKind::IdempotencyKeyReused));
}

/// Guards against a stored answer that exceeds the size limit of the platform.
#[rstest]
#[case::largest(MAX_STORED_BODY_BYTES, true)]
#[case::too_large(MAX_STORED_BODY_BYTES + 1, false)]
fn answers_are_stored_up_to_the_limit(#[case] bytes: usize, #[case] stored: bool) {
    let mut call = new_call();
    call.handle(WRITTEN, NOW);
    // Control characters have the largest encoding in JSON.
    let event = OrderEvent::UpstreamAnswered(Arc::new(answer(vec![1; bytes])));
    let OrderEffect::WriteRecord { record, .. } = call.handle(event, NOW) else {
        panic!("the record is not updated");
    };
    assert_eq!(matches!(record.state, OrderState::Answered(_)), stored);
    assert!(serde_json::to_vec(&record).unwrap().len() < 1_000_000);
    let effect = call.handle(OrderEvent::Written { version: 6 }, NOW);
    assert!(matches!(effect, OrderEffect::Answer(answer) if answer.body.len() == bytes));
}

/// Guards against stored bodies that change when they are encoded as text or in hexadecimal.
#[rstest]
#[case::text(b"{\"a\": \"\xc3\xa4\\n\"}\n")]
#[case::control(b"a\x00b")]
#[case::not_utf8(b"\xff\xfe")]
#[case::empty(b"")]
fn records_keep_every_byte(#[case] body: &[u8]) {
    let event = record_read(
        OWN,
        OrderState::Answered(answer(body.to_vec())),
        LocalClaim::Unknown,
    );
    let OrderEvent::RecordRead { record, .. } = event else {
        unreachable!()
    };
    let record = record.unwrap().record;
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<OrderRecord>(&text).unwrap(), record);
}

/// Guards against equal digests of different requests, and record keys outside the prefix of their
/// customer.
#[test]
fn digests_distinguish_requests() {
    let split = RequestDigest::new("shop", "POST", "/orders?a", b"b");
    let joined = RequestDigest::new("shop", "POST", "/orders?", b"ab");
    assert_ne!(split, joined);
    let key = record_key(&"trial".into(), &"acme".into(), "../other/key");
    assert!(key.starts_with("order/trial/acme/"));
    assert_eq!(key.split('/').count(), 4);
}

/// Guards against a call that a paused process sends so late that its record may have been removed.
#[test]
fn old_claims_are_not_sent() {
    let mut call = new_call();
    let late = NOW + OrderOptions::default().claim_validity + Duration::from_secs(1);
    let effect = call.handle(WRITTEN, late);
    let state = OrderState::FailedBeforeSend;
    assert!(matches!(effect, OrderEffect::WriteRecord { record, .. } if record.state == state));
    let effect = call.handle(OrderEvent::Written { version: 6 }, late);
    assert_eq!(effect, OrderEffect::Refuse(ErrorKind::DeadlineExceeded));
}

/// Guards against records that are removed early, and an underflow of the age if the clock of the
/// claimant is ahead.
#[test]
fn records_expire_after_the_retention() {
    let OrderEvent::RecordRead { record, .. } =
        record_read(OWN, OrderState::FailedBeforeSend, LocalClaim::Unknown)
    else {
        unreachable!()
    };
    let mut record = record.unwrap().record;
    record.created_s = 1_000;
    let retention = Duration::from_secs(100);
    assert!(!is_expired(&record, 0, retention));
    assert!(!is_expired(&record, 1_100, retention));
    assert!(is_expired(&record, 1_101, retention));
}

/// Guards against a claim that another call may take over before its refusal was delivered.
#[test]
fn claims_are_available_after_the_reply() {
    let mut table = ClaimTable::new();
    let mut call = new_call();
    table.track(&call);
    assert_eq!(table.lookup(OWN), LocalClaim::Running);
    call.handle(OrderEvent::PlatformDown, NOW);
    table.track(&call);
    assert_eq!(table.lookup(OWN), LocalClaim::Running);
    call.handle(OrderEvent::Delivered, NOW);
    table.track(&call);
    assert_eq!(table.lookup(OWN), LocalClaim::NotRun);
}

/// Guards against a fleet that exceeds the rate of the platform when its size changes.
#[test]
fn limiter_divides_the_rate() {
    let mut limiter = OrderLimiter::new(50.0, NOW);
    let admitted = (0..200).filter(|_| limiter.take(NOW)).count();
    assert_eq!(admitted, 100, "two seconds' worth of burst");
    limiter.set_share(50.0, 100, NOW);
    let admitted = (1..=100).filter(|s| limiter.take(NOW + Duration::from_secs(*s)));
    assert_eq!(admitted.count(), 50);
}
