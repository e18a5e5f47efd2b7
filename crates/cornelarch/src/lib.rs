//! Facade of cornelarch: the operator tool's commands and the demo.

pub mod demo;
pub mod operator;
