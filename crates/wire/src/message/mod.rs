//! Conversions of the messages of the core into those of the wire.

mod member;
