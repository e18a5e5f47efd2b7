//! Conversions of reports about content that crashes upstreams.

use std::time::Duration;

use cornelarch_core::blocklist::content::{
    ContentKey, ContentLoss, ContentRank, ContentReport, CrashName,
};

use crate::peer::{WireAnsweredContent, WireBody, WireContentLoss, WireContentReport};

/// Encodes a report about content.
#[must_use]
pub fn encode_content_report(report: &ContentReport) -> WireBody {
    let losses = report.losses.iter().map(|loss| {
        WireContentLoss::new(
            loss.key.fingerprint.to_string(),
            loss.key.rank.bits().cast_signed(),
            loss.crash.as_str().to_owned(),
            loss.is_cleared,
            i64::try_from(loss.age.as_millis()).unwrap_or(i64::MAX),
            loss.was_answered,
        )
    });
    let answered = report.answered.iter().map(|key| {
        WireAnsweredContent::new(key.fingerprint.to_string(), key.rank.bits().cast_signed())
    });
    WireBody::ContentReport(WireContentReport::new(
        losses.collect::<Vec<_>>(),
        answered.collect::<Vec<_>>(),
    ))
}

fn decode_key(fingerprint: &str, rank: i8) -> Option<ContentKey> {
    Some(ContentKey {
        fingerprint: fingerprint.parse().ok()?,
        rank: ContentRank::from_bits(rank.cast_unsigned()),
    })
}

/// Decodes a report about content; returns `None` for other messages. Entries with an invalid
/// fingerprint or age are ignored.
#[must_use]
pub fn decode_content_report(body: &WireBody) -> Option<ContentReport> {
    let WireBody::ContentReport(report) = body else {
        return None;
    };
    let losses = report.losses.iter().filter_map(|loss| {
        Some(ContentLoss {
            key: decode_key(&loss.fingerprint, loss.rank)?,
            crash: CrashName::from_text(&loss.crash),
            is_cleared: loss.is_cleared,
            age: Duration::from_millis(u64::try_from(loss.age_ms).ok()?),
            was_answered: loss.was_answered,
        })
    });
    let answered = report.answered.iter();
    let answered = answered.filter_map(|key| decode_key(&key.fingerprint, key.rank));
    Some(ContentReport {
        losses: losses.collect(),
        answered: answered.collect(),
    })
}
