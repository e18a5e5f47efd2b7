//! Memory cost of the upstream table.

use cornelarch_core::{
    base::{DomainName, ModelName, MonotonicTime, UpstreamName},
    routing::{LoadReport, RoutingOptions, UpstreamSpec, UpstreamTable},
};

use super::{SlopeRow, memory::measure_growth};

/// Number of upstreams at a tenth of the target size and at the target size.
const UPSTREAM_COUNTS: [u32; 2] = [420, 4_200];
/// Tables per measurement. A single table is too small relative to the allocator's pages.
const TABLE_COUNT: u32 = 20;

/// Measures the memory of the upstream table per upstream.
pub(super) fn measure() -> Vec<SlopeRow> {
    let [small, large] = UPSTREAM_COUNTS.map(measure_memory);
    vec![SlopeRow {
        name: "upstream table memory, load known",
        unit: "bytes/upstream",
        small: (f64::from(UPSTREAM_COUNTS[0]), small),
        large: (f64::from(UPSTREAM_COUNTS[1]), large),
    }]
}

fn measure_memory(upstreams: u32) -> f64 {
    let build = || {
        (0..TABLE_COUNT)
            .map(|_| build_table(upstreams))
            .collect::<Vec<_>>()
    };
    measure_growth(build) / f64::from(TABLE_COUNT)
}

fn build_table(upstreams: u32) -> UpstreamTable {
    let mut table = UpstreamTable::new(RoutingOptions::new(DomainName::new("domain-0")));
    let specs: Vec<UpstreamSpec> = (0..upstreams)
        .map(|number| {
            UpstreamSpec::engine(
                UpstreamName::from(format!("engine-{number:04}")),
                DomainName::from(format!("domain-{}", number % 12)),
                vec![ModelName::from(format!("model-{}", number % 4))],
            )
        })
        .collect();
    let now = MonotonicTime::from_millis(1_000);
    table.apply(&specs, now);
    for spec in &specs {
        table.load_report(&spec.name, LoadReport::default(), now);
    }
    table
}
