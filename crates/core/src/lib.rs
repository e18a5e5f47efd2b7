//! Placeholder summary, replaced as the crate grows.
