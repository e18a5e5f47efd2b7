//! Facade of cornelarch: the operator tool's commands, the explanation of logs and the demo.

pub mod demo;
pub mod explain;
pub mod operator;
