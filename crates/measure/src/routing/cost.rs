//! Measures the processor time of a routing decision.

use std::{hint::black_box, time::Instant};

use cornelarch_core::{
    base::{ModelName, MonotonicTime},
    retry::AttemptOutcome,
    routing::{
        LoadReport, PrefixHint, RouteRequest, RouteTarget, RoutingOptions, UpstreamSpec,
        UpstreamTable,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Numbers of upstreams in the measured tables.
const TABLE_SIZES: [usize; 3] = [12, 350, 4_200];
/// Selections per measurement.
const ROUNDS: u32 = 200_000;
/// Number of failure domains at the target size.
const DOMAIN_COUNT: usize = 12;

/// Prints the processor time of one selection, with and without a prefix hint, and of a selection
/// with the start, first token and end of its attempt.
pub(super) fn print_cost(seed: u64) {
    println!("\nprocessor time (one thread, {ROUNDS} rounds)");
    println!("upstreams  select_ns  select_prefix_ns  select_start_finish_ns");
    for size in TABLE_SIZES {
        let plain = measure(size, seed, false, false);
        let prefix = measure(size, seed, true, false);
        let attempt = measure(size, seed, false, true);
        println!("{size:9}  {plain:9.0}  {prefix:16.0}  {attempt:22.0}");
    }
}

fn measure(size: usize, seed: u64, has_prefix: bool, with_attempt: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = build_table(size, &mut rng);
    let mut request = RouteRequest::new(RouteTarget::Model(ModelName::new("m")));
    request.prompt_tokens = 600;
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = MonotonicTime::from_micros(1_000_000 + u64::from(round));
        request.prefix = has_prefix.then(|| PrefixHint {
            digest: rng.random(),
            tokens: 400,
        });
        let selection = table.select(&request, now, &mut rng).expect("usable");
        if with_attempt {
            let attempt_key = table.started(selection.key, &request, now);
            table.first_token(attempt_key, now);
            table.finished(attempt_key, AttemptOutcome::Answered, now);
        }
        black_box(&selection);
    }
    start.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn build_table(size: usize, rng: &mut ChaCha8Rng) -> UpstreamTable {
    let domains = DOMAIN_COUNT.min(size / 4);
    let specs: Vec<UpstreamSpec> = (0..size)
        .map(|index| {
            let domain = format!("d{}", index % domains);
            let models = vec![ModelName::new("m")];
            UpstreamSpec::engine(format!("e{index}").into(), domain.into(), models)
        })
        .collect();
    let mut table = UpstreamTable::new(RoutingOptions::new("d0".into()));
    table.apply(&specs, MonotonicTime::START);
    for spec in &specs {
        let report = LoadReport {
            running: rng.random_range(0..60),
            ..LoadReport::default()
        };
        table.load_report(&spec.name, report, MonotonicTime::from_millis(900));
    }
    table
}
