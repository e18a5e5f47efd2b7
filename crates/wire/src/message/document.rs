//! Conversions of the messages that exchange configurations.

use cornelarch_core::route::replica::{DocumentBucket, DocumentPart, DocumentRequest};

use crate::peer::{WireBody, WireDocumentBucket, WireDocumentPart, WireDocumentRequest};

fn encode_digests(digests: &[u32]) -> Vec<i32> {
    digests.iter().map(|digest| digest.cast_signed()).collect()
}

fn decode_digests(digests: &[i32]) -> Vec<u32> {
    digests
        .iter()
        .map(|digest| digest.cast_unsigned())
        .collect()
}

/// Encodes a request for a configuration.
#[must_use]
pub fn encode_document_request(request: &DocumentRequest) -> WireBody {
    WireBody::DocumentRequest(WireDocumentRequest::new(
        request.version.cast_signed(),
        encode_digests(&request.digests),
    ))
}

/// Decodes a request for a configuration; returns `None` for other messages.
#[must_use]
pub fn decode_document_request(body: &WireBody) -> Option<DocumentRequest> {
    let WireBody::DocumentRequest(request) = body else {
        return None;
    };
    Some(DocumentRequest {
        version: request.version.cast_unsigned(),
        digests: decode_digests(&request.digests),
    })
}

/// Encodes a part of a configuration.
#[must_use]
pub fn encode_document_part(part: DocumentPart) -> WireBody {
    let buckets = part.buckets.into_iter();
    let buckets = buckets
        .map(|bucket| WireDocumentBucket::new(bucket.index.cast_signed(), bucket.entries))
        .collect::<Vec<_>>();
    WireBody::DocumentPart(WireDocumentPart::new(
        part.version.cast_signed(),
        encode_digests(&part.digests),
        buckets,
        part.is_last,
    ))
}

/// Decodes a part of a configuration; returns `None` for other messages.
#[must_use]
pub fn decode_document_part(body: &WireBody) -> Option<DocumentPart> {
    let WireBody::DocumentPart(part) = body else {
        return None;
    };
    let buckets = part.buckets.iter().map(|bucket| DocumentBucket {
        index: bucket.index.cast_unsigned(),
        entries: bucket.entries.clone(),
    });
    Some(DocumentPart {
        version: part.version.cast_unsigned(),
        digests: decode_digests(&part.digests),
        buckets: buckets.collect(),
        is_last: part.is_last,
    })
}
