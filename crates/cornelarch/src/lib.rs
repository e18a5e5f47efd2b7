//! Library of the operator tool `cornelarch`: its commands, log analysis and the demo.

pub mod demo;
pub mod explain;
pub mod operator;
