// Messages between router instances. Regenerate with:
//   thrift --gen rs -out crates/wire/src/generated crates/wire/idl/peer.thrift

namespace rs peer

// One incarnation of a router process.
struct WireHolder {
  1: required string instance
  2: required i64 epoch
}

enum WireMemberState {
  ALIVE = 1
  SUSPECT = 2
  DEAD = 3
  LEAVING = 4
}

// One entry of a member table, sent with pings.
struct WireMember {
  1: required WireHolder holder
  2: required string domain
  3: required string address
  4: required i64 incarnation
  5: required WireMemberState state
}

// Checks that a peer is alive. Carries member updates and the configuration version.
struct WirePing {
  1: required i64 nonce
  2: required WireMember sender
  3: required i64 config_version
  4: required i32 load_permille
  5: required list<WireMember> updates
}

struct WireAck {
  1: required i64 nonce
  2: required WireMember sender
  3: required i64 config_version
  4: required i32 load_permille
  5: required list<WireMember> updates
}

// Asks a third instance to ping the target.
struct WirePingRequest {
  1: required i64 nonce
  2: required WireHolder target
}

struct WireBorrowRequest {
  1: required string budget
  2: required i64 amount
}

// Moves tokens to the recipient. `spent` is the amount that the recipient reports to the platform
// instead of the sender.
struct WireTransfer {
  1: required i64 sequence
  2: required string budget
  3: required i64 amount
  4: required i64 spent
}

struct WireTransferAck {
  1: required i64 sequence
}

struct WireReturnIdle {
  1: required string budget
}

struct WireConfigRequest {
  1: required i64 from_version
}

// Deltas as JSON, in ascending order of versions, or a full document as a snapshot.
struct WireConfigChanges {
  1: required i64 from_version
  2: required i64 to_version
  3: optional list<string> deltas
  4: optional string snapshot
}

struct WireCrashReport {
  1: required string fingerprint
  2: required string upstream
  3: required i32 losses
}

struct WireUnblock {
  1: required string fingerprint
}

// A crash of an upstream charged to content that was in flight there, or cleared by an answer.
struct WireContentLoss {
  1: required string fingerprint
  2: required i8 rank
  3: required string crash
  4: required bool is_cleared
  5: required i64 age_ms
  6: required bool was_answered
}

// Content of which the sender has served requests recently.
struct WireAnsweredContent {
  1: required string fingerprint
  2: required i8 rank
}

struct WireContentReport {
  1: required list<WireContentLoss> losses
  2: required list<WireAnsweredContent> answered
}

struct WireLeaving {
  1: required i64 incarnation
}

// Announces the configuration version that has become active at the sender.
struct WireVersionNotice {
  1: required i64 config_version
}

// Asks for all live members, unless the receiver's digest of them is the same.
struct WireTableRequest {
  1: required WireMember sender
  2: required i64 digest
}

struct WireTableChunk {
  1: required list<WireMember> records
}

// Asks for the entries of a newer configuration. The digests are those of the sender's buckets.
struct WireDocumentRequest {
  1: required i64 version
  2: required list<i32> digests
}

// Entries as JSON.
struct WireDocumentBucket {
  1: required i16 index
  2: required string entries
}

// A part of the buckets that differ, and the digests of all buckets of the version.
struct WireDocumentPart {
  1: required i64 version
  2: required list<i32> digests
  3: required list<WireDocumentBucket> buckets
  4: required bool is_last
}

// The requests a second that an incarnation of an upstream takes from all instances, or, without a
// rate, that it does not limit them any more.
struct WireLimitReport {
  1: required string upstream
  2: required string address
  3: optional i64 started_unix_ms
  4: optional double rate
}

// An upstream that was leaving or removed in this revision of the directory.
struct WireDeparture {
  1: required string upstream
  2: required i64 revision
}

// Upstreams that have left, for instances whose state of the directory may be older.
struct WireDepartureReport {
  1: required list<WireDeparture> departures
}

// A failure of an upstream, for the instances of the sender's domain.
struct WireUpstreamFailure {
  1: required string upstream
  2: optional i64 started_unix_ms
  3: required i32 age_ms
}

struct WireFailureReport {
  1: required list<WireUpstreamFailure> failures
}

union WireBody {
  1: WirePing ping
  2: WireAck ack
  3: WirePingRequest ping_request
  4: WireBorrowRequest borrow_request
  5: WireTransfer transfer
  6: WireTransferAck transfer_ack
  7: WireReturnIdle return_idle
  8: WireConfigRequest config_request
  9: WireConfigChanges config_changes
  10: WireCrashReport crash_report
  11: WireUnblock unblock
  12: WireLeaving leaving
  13: WireTableRequest table_request
  14: WireTableChunk table_chunk
  15: WireContentReport content_report
  16: WireDocumentRequest document_request
  17: WireDocumentPart document_part
  18: WireVersionNotice version_notice
  19: WireLimitReport limit_report
  20: WireDepartureReport departure_report
  22: WireFailureReport failure_report
}

// One frame on a peer connection. The recipient drops a frame that is addressed to an earlier
// incarnation, because a transfer to that incarnation is not its property.
struct WireEnvelope {
  1: required WireHolder sender
  2: optional WireHolder recipient
  3: required WireBody body
}
