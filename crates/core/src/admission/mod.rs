//! Requests that an instance hands back because it cannot carry them.
//!
//! - An instance whose own path to the upstreams is congested takes no more requests than it carries.
//!   The others are refused at once, so that another instance serves them in time.
//! - Callers with a short objective go first, since a detour costs them most. So do those that have
//!   less time left than is usual on their route, such as callers that were refused and have come
//!   back.
//! - A customer that sends more than its usual share is refused before the others.

mod limit;
mod pressure;
mod rotation;
mod usage;
mod window;

pub use pressure::{ArrivedRequest, DETOUR, PathPressure};
