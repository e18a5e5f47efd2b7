//! Facade of the cornelarch router fleet, with the operator tool and the demonstration.

pub mod demo;
