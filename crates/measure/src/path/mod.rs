//! Overhead of the request path: compares HTTP requests sent directly to an engine stand-in with
//! requests routed through a router, over loopback and in the same run.
//!
//! Client, router and stand-ins run in one process on separate threads, so processor time is
//! measured for the router alone. Memory is measured for the whole process.

mod fleet;
mod load;
mod usage;

use std::{process::ExitCode, time::Duration};

use cornelarch_standin::engine::EngineOptions;
use getopts::Options;
use tokio::task::JoinSet;

use crate::path::{
    fleet::{PathFleet, ROUTER_THREAD, build_runtime},
    load::{LatencySummary, PathClient, ResponseMode},
};

/// Error that prevents a measurement.
pub(crate) type PathError = Box<dyn std::error::Error + Send + Sync>;

/// Request rates of the latency measurement, in requests per second.
const REQUEST_RATES: [u32; 3] = [100, 500, 1_000];

/// Request rate to which the latency targets apply, in requests per second.
const TARGET_RATE: u32 = 1_000;

/// Targets for the latency added by the router, in milliseconds, at the median and at the 99th
/// percentile.
const TARGET_P50_MS: f64 = 0.3;
const TARGET_P99_MS: f64 = 1.0;

/// Target throughput of the router in streamed tokens per second and core.
const TARGET_TOKENS_PER_CORE: f64 = 80_000.0;

/// Largest relative memory growth with open streams that still counts as constant.
const MAX_MEMORY_GROWTH: f64 = 0.05;

/// Length of the responses in the latency and request rate measurements, in tokens.
const RESPONSE_TOKENS: u64 = 16;

/// Minimum step time of the engine with paced streams. It dominates the time to the first token,
/// so that timing noise of the host does not look like an overloaded engine to the router.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(10);

/// Interval between the starts of two streams; a burst would look like an overloaded engine to the
/// router.
const STREAM_START_INTERVAL: Duration = Duration::from_millis(2);

/// Streams per engine. The router's adaptive limit keeps about 100 to 150 requests at one engine,
/// so more streams need more engines.
const STREAMS_PER_ENGINE: u64 = 50;

/// Time limit for opening all streams.
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of alternating blocks of direct and routed requests; alternation exposes both to the same
/// conditions on the host.
const BLOCKS: u32 = 4;

/// File descriptors per stream: both ends of the connections to the router and to the engine.
const FILES_PER_STREAM: u64 = 4;

/// File descriptors reserved for everything else.
const RESERVED_FILES: u64 = 1_600;

/// Runs the measurement. The exit code reports failure if it could not be completed, but not if a
/// target is missed.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optopt("", "seconds", "length of each block (2)", "S")
        .optopt(
            "",
            "streams",
            "number of open streams in the memory measurement (5000)",
            "N",
        )
        .optopt(
            "",
            "seed",
            "accepted for consistency with the other subcommands; has no effect",
            "N",
        );
    let parsed = options.parse(arguments).map_err(|error| error.to_string());
    let values = parsed.and_then(|matches| {
        let seconds = matches
            .opt_get_default("seconds", 2.0)
            .map_err(|_| "--seconds")?;
        let streams = matches
            .opt_get_default("streams", 5_000)
            .map_err(|_| "--streams")?;
        Ok((matches.opt_present("help"), seconds, streams))
    });
    let (help, seconds, streams): (bool, f64, u64) = match values {
        Ok(values) => values,
        Err(error) => return fail(&error),
    };
    if help {
        print!(
            "{}",
            options.usage("Usage: cornelarch-measure path [OPTIONS]")
        );
        return ExitCode::SUCCESS;
    }
    let result = build_runtime("path-client").and_then(|runtime| {
        let block = Duration::from_secs_f64(seconds.max(0.1));
        runtime.block_on(measure_all(block, streams))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("path: {message}");
    ExitCode::FAILURE
}

async fn measure_all(block: Duration, streams: u64) -> Result<(), PathError> {
    println!("load average at the start: {}", usage::load_average());
    let fast = EngineOptions {
        prefill_tokens_per_s: 0,
        decode_tokens_per_s: 0,
        min_step_time: Duration::ZERO,
        batch_limit: 100_000,
        queue_limit: 100_000,
        record_runs: false,
        ..EngineOptions::default()
    };
    let fleet = PathFleet::start(fast.clone(), 1).await?;
    measure_latency(&fleet, block).await?;
    measure_requests(&fleet, block).await?;
    measure_tokens(&fleet, "unpaced, 32 streams", 32, 2_000, block * 2).await?;
    fleet.close().await;
    let paced = EngineOptions {
        min_step_time: FIRST_TOKEN_TIME,
        min_token_interval: Duration::from_millis(20),
        ..fast.clone()
    };
    measure_paced(paced, 500, block * 2).await?;
    let slow = EngineOptions {
        min_step_time: FIRST_TOKEN_TIME,
        min_token_interval: Duration::from_millis(500),
        ..fast
    };
    measure_memory(slow, streams, block * 10).await?;
    println!("load average at the end: {}", usage::load_average());
    Ok(())
}

/// Compares the latency of direct and routed requests at each rate in [`REQUEST_RATES`].
async fn measure_latency(fleet: &PathFleet, block: Duration) -> Result<(), PathError> {
    println!(
        "\nlatency in ms: whole JSON answer, or first event of a stream; {RESPONSE_TOKENS} tokens\n\
         mode    rate/s  direct p50    p99  routed p50    p99   added p50    p99  failed"
    );
    for mode in [ResponseMode::Json, ResponseMode::Stream] {
        let direct = PathClient::direct(&fleet.engines[0], mode, RESPONSE_TOKENS)?;
        let routed = PathClient::new(&fleet.router_url, mode, RESPONSE_TOKENS)?;
        let mut warm_up = LatencySummary::new()?;
        direct
            .send_at_rate(REQUEST_RATES[0], block / 4, &mut warm_up)
            .await;
        routed
            .send_at_rate(REQUEST_RATES[0], block / 4, &mut warm_up)
            .await;
        for rate in REQUEST_RATES {
            let (mut direct_summary, mut routed_summary) =
                (LatencySummary::new()?, LatencySummary::new()?);
            for _ in 0..BLOCKS {
                direct
                    .send_at_rate(rate, block / BLOCKS * 2, &mut direct_summary)
                    .await;
                routed
                    .send_at_rate(rate, block / BLOCKS * 2, &mut routed_summary)
                    .await;
            }
            print_latency(mode, rate, &direct_summary, &routed_summary);
        }
    }
    Ok(())
}

fn print_latency(
    mode: ResponseMode,
    rate: u32,
    direct_summary: &LatencySummary,
    routed_summary: &LatencySummary,
) {
    let quantiles = [0.5, 0.99].map(|quantile| {
        let (direct, routed) = (
            direct_summary.quantile_ms(quantile),
            routed_summary.quantile_ms(quantile),
        );
        (direct, routed, routed - direct)
    });
    let [(direct50, routed50, added50), (direct99, routed99, added99)] = quantiles;
    let failed = direct_summary.failed + routed_summary.failed;
    println!(
        "{:<6}{rate:>8}{direct50:>12.3}{direct99:>7.2}{routed50:>12.3}{routed99:>7.2}\
         {added50:>12.3}{added99:>7.2}{failed:>8}",
        mode.as_str()
    );
    if rate == TARGET_RATE {
        print_target(
            "added p50",
            added50,
            TARGET_P50_MS,
            "ms",
            added50 <= TARGET_P50_MS,
        );
        print_target(
            "added p99",
            added99,
            TARGET_P99_MS,
            "ms",
            added99 <= TARGET_P99_MS,
        );
    }
}

fn print_target(label: &str, value: f64, target: f64, unit: &str, met: bool) {
    let verdict = if met { "pass" } else { "MISS" };
    println!("        {verdict}  {label}: {value:.3} {unit}, target {target} {unit}");
}

/// Measures the requests per second and core that the router handles.
async fn measure_requests(fleet: &PathFleet, block: Duration) -> Result<(), PathError> {
    println!("\nrequests per second and core of the router (its threads only, 64 in progress)");
    for mode in [ResponseMode::Json, ResponseMode::Stream] {
        let client = PathClient::new(&fleet.router_url, mode, RESPONSE_TOKENS)?;
        let mut summary = LatencySummary::new()?;
        let before = usage::thread_time(ROUTER_THREAD)?;
        client.send_closed_loop(64, block, &mut summary).await;
        let used = usage::thread_time(ROUTER_THREAD)?.saturating_sub(before);
        println!(
            "{:<8}{:>8.0} /s    {:>8.0} /s and core    {} failed",
            mode.as_str(),
            summary.response_count() as f64 / block.as_secs_f64(),
            summary.response_count() as f64 / used.as_secs_f64(),
            summary.failed
        );
    }
    Ok(())
}

/// Measures the streamed tokens per second and core that the router forwards.
async fn measure_tokens(
    fleet: &PathFleet,
    label: &str,
    streams: usize,
    length: u64,
    time: Duration,
) -> Result<(), PathError> {
    println!("\nstreamed tokens per second and core of the router (its threads only; {label})");
    let client = PathClient::new(&fleet.router_url, ResponseMode::Stream, length)?;
    let mut summary = LatencySummary::new()?;
    let before = usage::thread_time(ROUTER_THREAD)?;
    let started = std::time::Instant::now();
    client.send_closed_loop(streams, time, &mut summary).await;
    let wall = started.elapsed().as_secs_f64();
    let used = usage::thread_time(ROUTER_THREAD)?
        .saturating_sub(before)
        .as_secs_f64();
    println!("{} failed", summary.failed);
    print_tokens(summary.tokens, wall, used);
    Ok(())
}

fn print_tokens(tokens: u64, wall_s: f64, used_s: f64) {
    let per_core = tokens as f64 / used_s;
    println!(
        "{:.0} tokens/s with {:.2} cores",
        tokens as f64 / wall_s,
        used_s / wall_s
    );
    let met = per_core >= TARGET_TOKENS_PER_CORE;
    let unit = "tokens/s and core";
    print_target("streamed", per_core, TARGET_TOKENS_PER_CORE, unit, met);
}

fn engine_count(streams: u64) -> usize {
    streams.div_ceil(STREAMS_PER_ENGINE).max(1) as usize
}

/// Opens long-lived streams one after the other. Returns their tasks and the number of streams that
/// are open.
async fn open_streams(fleet: &PathFleet, streams: u64) -> Result<(JoinSet<()>, u64), PathError> {
    let client = PathClient::new(&fleet.router_url, ResponseMode::Stream, 1_000_000)?;
    let mut tasks = JoinSet::new();
    for _ in 0..streams {
        let client = client.clone();
        tasks.spawn(async move {
            client.send().await;
        });
        tokio::time::sleep(STREAM_START_INTERVAL).await;
    }
    let deadline = tokio::time::Instant::now() + OPEN_TIMEOUT;
    while fleet.running_requests() < streams && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok((tasks, fleet.running_requests()))
}

/// Measures the streamed tokens per second and core that the router forwards when every token
/// arrives as a separate event, as real engines send them.
async fn measure_paced(
    options: EngineOptions,
    streams: u64,
    time: Duration,
) -> Result<(), PathError> {
    println!(
        "\nstreamed tokens per second and core of the router (its threads only; {streams} streams, \
         {:.0} tokens/s each at most)",
        1.0 / options.min_token_interval.as_secs_f64()
    );
    let fleet = PathFleet::start(options, engine_count(streams)).await?;
    let (mut tasks, open) = open_streams(&fleet, streams).await?;
    let before = (fleet.tokens(), usage::thread_time(ROUTER_THREAD)?);
    let ticks = usage::thread_ticks(ROUTER_THREAD)?;
    let started = std::time::Instant::now();
    tokio::time::sleep(time).await;
    let tokens = fleet.tokens() - before.0;
    let used = usage::thread_time(ROUTER_THREAD)?.saturating_sub(before.1);
    let (user, system) = usage::thread_ticks(ROUTER_THREAD)?;
    let (user, system) = (user - ticks.0, system - ticks.1);
    let share = system as f64 / (user + system).max(1) as f64 * 100.0;
    println!(
        "{open} of {streams} streams are open; {share:.0}% of the router's time is system time"
    );
    print_tokens(tokens, started.elapsed().as_secs_f64(), used.as_secs_f64());
    tasks.abort_all();
    fleet.close().await;
    Ok(())
}

/// Samples the resident memory of the process with many open streams at the start, in the middle
/// and at the end.
async fn measure_memory(
    options: EngineOptions,
    requested: u64,
    time: Duration,
) -> Result<(), PathError> {
    let limit = usage::open_file_limit()?.saturating_sub(RESERVED_FILES) / FILES_PER_STREAM;
    let streams = requested.min(limit);
    println!(
        "\nresident memory with {streams} open streams (whole process: router, stand-ins, client)"
    );
    if streams < requested {
        println!("limited by the number of open files; {requested} were wanted");
    }
    let fleet = PathFleet::start(options, engine_count(streams)).await?;
    let before = usage::resident_kib()?;
    let (mut tasks, open) = open_streams(&fleet, streams).await?;
    // The first tokens allocate buffers that remain in use, so they precede the first sample.
    tokio::time::sleep(time / 10).await;
    let tokens = fleet.tokens();
    let mut kib = [usage::resident_kib()?, 0, 0];
    for sample in &mut kib[1..] {
        tokio::time::sleep(time / 2).await;
        *sample = usage::resident_kib()?;
    }
    let tokens = fleet.tokens() - tokens;
    let still = fleet.running_requests();
    println!(
        "before {before} KiB, start {} KiB, middle {} KiB, end {} KiB after {:.0} s and {tokens} \
         tokens",
        kib[0],
        kib[1],
        kib[2],
        time.as_secs_f64()
    );
    let per_stream = kib[2].saturating_sub(before) as f64 / open.max(1) as f64;
    println!("{open} streams open at the start, {still} at the end, {per_stream:.1} KiB each");
    let growth = kib[2] as f64 / kib[0] as f64 - 1.0;
    let met = growth <= MAX_MEMORY_GROWTH && open == streams && still == streams;
    print_target("growth", growth, MAX_MEMORY_GROWTH, "of the memory", met);
    tasks.abort_all();
    fleet.close().await;
    Ok(())
}
