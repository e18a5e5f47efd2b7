//! Settings of a gateway.

use std::{net::SocketAddr, time::Duration};

use cornelarch_core::{
    base::{DomainName, EnvironmentName, InstanceName},
    retry::WindowOptions,
};

/// Configures a [`Gateway`](crate::Gateway).
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Environment, part of the names of stored objects.
    pub environment: EnvironmentName,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the balancer asks whether the instance takes requests.
    pub ready_listen: SocketAddr,
    /// Path of that question.
    pub ready_path: String,
    /// Address at which the metrics are served as text under `/metrics`; `None` serves none.
    pub metrics_listen: Option<SocketAddr>,
    /// Address for messages of other instances, as UDP.
    pub peer_listen: SocketAddr,
    /// Addresses of some instances, from which the others are learnt.
    pub seeds: Vec<SocketAddr>,
    /// Time from the request to stop until the process must have ended.
    pub grace: Duration,
    /// Limit of repeats per service over the whole fleet.
    pub retry_budget: WindowOptions,
    /// Time for which balances should last without the platform. Covers the longest outage in
    /// which customers are still to be served.
    pub outage_reserve: Duration,
    /// Number of ledger objects at the platform; must never change once budgets exist.
    pub ledger_shards: u32,
    /// Number of failure domains.
    pub domains: u32,
}
