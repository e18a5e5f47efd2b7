//! Tests of the stream assembler and the event splitter.

use std::time::Duration;

use cornelarch_core::{
    base::MonotonicTime,
    retry::AttemptOutcome,
    stream::{
        AttemptNumber, EventSplitter, MAX_EVENT_BYTES, StreamAssembler, StreamChunk, StreamEffect,
        StreamEvent, StreamId, StreamOptions,
    },
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const LENGTH: u64 = 40;

fn chunk(attempt: u32, sequence: u64) -> StreamEvent<u64> {
    StreamEvent::Chunk(StreamChunk {
        stream: StreamId(7),
        attempt: AttemptNumber(attempt),
        sequence,
        payload: sequence,
        last: sequence == LENGTH - 1,
    })
}

fn open() -> StreamAssembler<u64> {
    let mut assembler = StreamAssembler::new(StreamId(7), StreamOptions::default());
    let effects = assembler.handle(StreamEvent::AttemptStarted(AttemptNumber(1)), at(0));
    assert!(effects.is_empty());
    assembler
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn payloads(effects: &[StreamEffect<u64>]) -> Vec<u64> {
    let payload = |effect: &StreamEffect<u64>| match effect {
        StreamEffect::Deliver { payload, .. } => Some(*payload),
        _ => None,
    };
    effects.iter().filter_map(payload).collect()
}

/// Guards against lost, duplicated or reordered tokens when chunks are shuffled within the reorder
/// bound and duplicated at random.
#[rstest]
fn delivers_each_chunk_once(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut order: Vec<u64> = (0..LENGTH).collect();
    for window in order.chunks_mut(8) {
        window.shuffle(&mut rng);
    }
    for _ in 0..20 {
        let position = rng.random_range(0..order.len());
        let duplicate = order[rng.random_range(0..=position)];
        order.insert(position + 1, duplicate);
    }
    let mut assembler = open();
    let mut effects = Vec::new();
    for sequence in order {
        effects.extend(assembler.handle(chunk(1, sequence), at(1)));
    }
    assert_eq!(payloads(&effects), (0..LENGTH).collect::<Vec<_>>());
    let completions = effects
        .iter()
        .filter(|effect| **effect == StreamEffect::Complete);
    assert_eq!(completions.count(), 1);
    // Duplicates that arrive after completion count as stale.
    let counters = assembler.counters();
    assert_eq!(counters.duplicates + counters.stale, 20);
}

/// Guards against waiting forever for a missing chunk, and against a resumption that duplicates or
/// skips a chunk.
#[test]
fn resumes_after_a_gap() {
    let mut assembler = open();
    assembler.handle(chunk(1, 0), at(1));
    assembler.handle(chunk(1, 2), at(10));
    assert_eq!(assembler.next_timer(), Some(at(510)));
    assert!(assembler.handle(StreamEvent::Tick, at(509)).is_empty());
    let effects = assembler.handle(StreamEvent::Tick, at(510));
    let lost = StreamEffect::AttemptLost {
        outcome: AttemptOutcome::LostMidStream,
        resume_from: 1,
    };
    assert_eq!(effects, [StreamEffect::Cancel(AttemptNumber(1)), lost]);
    assembler.handle(StreamEvent::AttemptStarted(AttemptNumber(2)), at(520));
    // A late chunk of the first attempt must not be delivered among those of the second.
    assert!(assembler.handle(chunk(1, 1), at(521)).is_empty());
    assert_eq!(payloads(&assembler.handle(chunk(2, 1), at(522))), [1]);
    assert_eq!(assembler.next_timer(), None);
}

/// Guards against unbounded memory use when a chunk is missing and later ones keep arriving.
#[test]
fn fails_the_attempt_beyond_the_reorder_bound() {
    let mut assembler = StreamAssembler::new(
        StreamId(7),
        StreamOptions {
            reorder_max: 3,
            gap_timeout: Duration::from_secs(60),
        },
    );
    assembler.handle(StreamEvent::AttemptStarted(AttemptNumber(1)), at(0));
    for sequence in 1..=3 {
        assert!(assembler.handle(chunk(1, sequence), at(1)).is_empty());
    }
    let effects = assembler.handle(chunk(1, 4), at(1));
    assert!(matches!(
        effects[..],
        [
            StreamEffect::Cancel(AttemptNumber(1)),
            StreamEffect::AttemptLost { resume_from: 0, .. }
        ]
    ));
}

/// Guards against a response that ends early without an error, and against an error after the end.
#[rstest]
#[case::before_first(0, Some(AttemptOutcome::LostBeforeFirst))]
#[case::mid_stream(5, Some(AttemptOutcome::LostMidStream))]
#[case::complete(LENGTH, None)]
fn reports_an_early_close(#[case] chunks: u64, #[case] expected: Option<AttemptOutcome>) {
    let mut assembler = open();
    for sequence in 0..chunks {
        assembler.handle(chunk(1, sequence), at(1));
    }
    let ended = StreamEvent::Ended {
        attempt: AttemptNumber(1),
        outcome: AttemptOutcome::Answered,
    };
    let effects = assembler.handle(ended, at(2));
    let outcome = effects.iter().find_map(|effect| match effect {
        StreamEffect::AttemptLost { outcome, .. } => Some(*outcome),
        _ => None,
    });
    assert_eq!(outcome, expected);
}

/// Guards against upstream work for a caller that has disconnected.
#[test]
fn cancels_when_the_caller_disconnects() {
    let mut assembler = open();
    assembler.handle(chunk(1, 0), at(1));
    let effects = assembler.handle(StreamEvent::CallerDisconnected, at(2));
    assert_eq!(effects, [StreamEffect::Cancel(AttemptNumber(1))]);
    assert!(assembler.handle(chunk(1, 1), at(3)).is_empty());
    let effects = assembler.handle(StreamEvent::AttemptStarted(AttemptNumber(2)), at(4));
    assert_eq!(effects, [StreamEffect::Cancel(AttemptNumber(2))]);
}

/// Guards against events that are lost, joined or returned in part, wherever the bytes are split.
#[test]
fn splitter_returns_complete_events_for_every_split() {
    use cornelarch_core::stream::find_event_id;

    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\nid: 3\n\nid: 4\nda";
    for split in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for piece in [&text[..split], &text[split..]] {
            splitter.push(bytes::Bytes::copy_from_slice(piece.as_bytes()));
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let ids: Vec<_> = events
            .iter()
            .filter_map(|event| find_event_id(event))
            .collect();
        assert_eq!(ids, [b"1", b"2", b"3"], "split at {split}");
        assert!(splitter.has_partial_event());
        let complete: usize = events.iter().map(bytes::Bytes::len).sum();
        assert_eq!(complete, text.find("id: 4").expect("rest"));
    }
}

/// Guards against a stream that is resumed after an earlier event than its last one, because the id of
/// that one is no text.
#[test]
fn event_id_that_is_no_text_is_missed() {
    use cornelarch_core::stream::find_event_id;

    let id = find_event_id(b"data: a\nid: \xe9\xff \r\n\r\n");
    assert_eq!(id, Some(&b"\xe9\xff"[..]));
}

/// Splits a text that arrives in pieces of one size.
fn split_events(text: &str, piece_bytes: usize) -> (Vec<bytes::Bytes>, EventSplitter) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in text.as_bytes().chunks(piece_bytes) {
        splitter.push(bytes::Bytes::copy_from_slice(piece));
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    (events, splitter)
}

/// Guards against an event boundary that is missed because it arrives in several pieces.
#[rstest]
fn boundary_in_several_pieces_is_missed(#[values(1, 2, 3, 4, 5, 7, 64)] piece_bytes: usize) {
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\ndata: c\nid: 3\n\r\nid: 4\nda";
    let (events, splitter) = split_events(text, piece_bytes);
    let (whole, _) = split_events(text, text.len());
    assert_eq!(events, whole);
    assert_eq!(events.len(), 4);
    assert_eq!(splitter.partial_bytes(), "id: 4\nda".len());
}

/// Guards against an event whose processor time grows with the square of its size when it arrives in
/// small pieces. A megabyte would take hours.
#[test]
fn event_in_small_pieces_takes_quadratic_time() {
    let text = "x".repeat(MAX_EVENT_BYTES) + "\n\n";
    let started = std::time::Instant::now();
    let (events, _) = split_events(&text, 1);
    assert_eq!(events.len(), 1);
    assert!(started.elapsed() < Duration::from_secs(20));
}
