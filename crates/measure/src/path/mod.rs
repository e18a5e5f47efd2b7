//! Cost of the request path: real HTTP on loopback, direct to an engine stand-in against through
//! a router, in the same run.
//!
//! Client, router and stand-ins share one process but have separate threads, so the processor
//! time of the router is measured alone. Memory is that of the whole process.

mod fleet;
mod load;
mod usage;

use std::{process::ExitCode, time::Duration};

use cornelarch_standin::engine::EngineOptions;
use getopts::Options;
use tokio::task::JoinSet;

use crate::path::{
    fleet::{PathFleet, ROUTER_THREAD, build_runtime},
    load::{AnswerMode, PathClient, TimeSummary},
};

/// Error of a measurement that cannot be made.
pub(crate) type PathError = Box<dyn std::error::Error + Send + Sync>;

/// Rates of the latency measurement, in requests per second.
const RATES: [u32; 3] = [100, 500, 1_000];

/// Rate for which the latency targets are set, in requests per second.
const TARGET_RATE: u32 = 1_000;

/// Targets of the added latency in milliseconds, at the median and at the 99th percentile.
const TARGET_P50_MS: f64 = 0.3;
const TARGET_P99_MS: f64 = 1.0;

/// Target of streamed tokens per second and core of the router.
const TARGET_TOKENS_PER_CORE: f64 = 80_000.0;

/// Growth of the memory with open streams that still counts as constant, relative.
const MEMORY_GROWTH: f64 = 0.05;

/// Length of the answers in the latency measurement, in tokens.
const SHORT_ANSWER: u64 = 16;

/// Step of the engine with paced streams. It dominates the time to the first token, so that noise
/// of the machine does not look like an overloaded engine to the router.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(10);

/// Pause between the starts of two streams; a burst would look like an overloaded engine.
const STREAM_PAUSE: Duration = Duration::from_millis(2);

/// Streams per engine. The router's adaptive limit keeps about 100 to 150 requests at one engine,
/// so more streams need more engines.
const STREAMS_PER_ENGINE: u64 = 50;

/// Longest wait until all streams are open.
const OPEN_LIMIT: Duration = Duration::from_secs(30);

/// Blocks of direct and routed requests, which alternate so that both see the same machine.
const BLOCKS: u32 = 4;

/// Open files per stream: both ends of the connections to the router and to the engine.
const FILES_PER_STREAM: u64 = 4;

/// Open files that are kept for everything else.
const SPARE_FILES: u64 = 1_600;

/// Runs the measurement; the exit status tells whether it could be made.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optopt("", "seconds", "length of each block (2)", "S")
        .optopt(
            "",
            "streams",
            "open streams of the memory measurement (5000)",
            "N",
        )
        .optopt(
            "",
            "seed",
            "accepted as for the other subcommands; nothing is random",
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

/// Compares the latency of direct and routed requests at several rates.
async fn measure_latency(fleet: &PathFleet, block: Duration) -> Result<(), PathError> {
    println!(
        "\nlatency in ms: whole JSON answer, or first event of a stream; {SHORT_ANSWER} tokens\n\
         mode    rate/s  direct p50    p99  routed p50    p99   added p50    p99  failed"
    );
    for mode in [AnswerMode::Json, AnswerMode::Stream] {
        let direct = PathClient::direct(&fleet.engines[0], mode, SHORT_ANSWER)?;
        let routed = PathClient::new(&fleet.router_url, mode, SHORT_ANSWER)?;
        let mut warm = TimeSummary::new()?;
        direct.send_at_rate(RATES[0], block / 4, &mut warm).await;
        routed.send_at_rate(RATES[0], block / 4, &mut warm).await;
        for rate in RATES {
            let (mut base, mut path) = (TimeSummary::new()?, TimeSummary::new()?);
            for _ in 0..BLOCKS {
                direct
                    .send_at_rate(rate, block / BLOCKS * 2, &mut base)
                    .await;
                routed
                    .send_at_rate(rate, block / BLOCKS * 2, &mut path)
                    .await;
            }
            print_latency(mode, rate, &base, &path);
        }
    }
    Ok(())
}

fn print_latency(mode: AnswerMode, rate: u32, base: &TimeSummary, path: &TimeSummary) {
    let quantiles = [0.5, 0.99].map(|quantile| {
        let (direct, routed) = (base.quantile_ms(quantile), path.quantile_ms(quantile));
        (direct, routed, routed - direct)
    });
    let [(direct50, routed50, added50), (direct99, routed99, added99)] = quantiles;
    let failed = base.failed + path.failed;
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

fn print_target(what: &str, value: f64, target: f64, unit: &str, met: bool) {
    let verdict = if met { "pass" } else { "MISS" };
    println!("        {verdict}  {what}: {value:.3} {unit}, target {target} {unit}");
}

/// Measures requests per second and core of the router.
async fn measure_requests(fleet: &PathFleet, block: Duration) -> Result<(), PathError> {
    println!("\nrequests per second and core of the router (its threads only, 64 in progress)");
    for mode in [AnswerMode::Json, AnswerMode::Stream] {
        let client = PathClient::new(&fleet.router_url, mode, SHORT_ANSWER)?;
        let mut summary = TimeSummary::new()?;
        let before = usage::thread_time(ROUTER_THREAD)?;
        client.send_closed(64, block, &mut summary).await;
        let used = usage::thread_time(ROUTER_THREAD)?.saturating_sub(before);
        println!(
            "{:<8}{:>8.0} /s    {:>8.0} /s and core    {} failed",
            mode.as_str(),
            summary.answers() as f64 / block.as_secs_f64(),
            summary.answers() as f64 / used.as_secs_f64(),
            summary.failed
        );
    }
    Ok(())
}

/// Measures streamed tokens per second and core of the router.
async fn measure_tokens(
    fleet: &PathFleet,
    what: &str,
    streams: usize,
    length: u64,
    time: Duration,
) -> Result<(), PathError> {
    println!("\nstreamed tokens per second and core of the router (its threads only; {what})");
    let client = PathClient::new(&fleet.router_url, AnswerMode::Stream, length)?;
    let mut summary = TimeSummary::new()?;
    let before = usage::thread_time(ROUTER_THREAD)?;
    let started = std::time::Instant::now();
    client.send_closed(streams, time, &mut summary).await;
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

fn engines_for(streams: u64) -> usize {
    streams.div_ceil(STREAMS_PER_ENGINE).max(1) as usize
}

/// Opens streams that do not end one after the other, and returns their tasks with the number
/// that is open.
async fn open_streams(fleet: &PathFleet, streams: u64) -> Result<(JoinSet<()>, u64), PathError> {
    let client = PathClient::new(&fleet.router_url, AnswerMode::Stream, 1_000_000)?;
    let mut tasks = JoinSet::new();
    for _ in 0..streams {
        let client = client.clone();
        tasks.spawn(async move {
            client.send().await;
        });
        tokio::time::sleep(STREAM_PAUSE).await;
    }
    let deadline = tokio::time::Instant::now() + OPEN_LIMIT;
    while fleet.running() < streams && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok((tasks, fleet.running()))
}

/// Measures streamed tokens per second and core of the router when every token is an event of its
/// own on the network, as engines send them.
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
    let fleet = PathFleet::start(options, engines_for(streams)).await?;
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

/// Measures the memory of the process with many open streams at the start, in the middle and at
/// the end.
async fn measure_memory(
    options: EngineOptions,
    wanted: u64,
    time: Duration,
) -> Result<(), PathError> {
    let limit = usage::open_file_limit()?.saturating_sub(SPARE_FILES) / FILES_PER_STREAM;
    let streams = wanted.min(limit);
    println!(
        "\nresident memory with {streams} open streams (whole process: router, stand-ins, client)"
    );
    if streams < wanted {
        println!("limited by the number of open files; {wanted} were wanted");
    }
    let fleet = PathFleet::start(options, engines_for(streams)).await?;
    let before = usage::resident_kib()?;
    let (mut tasks, open) = open_streams(&fleet, streams).await?;
    // The first tokens fill buffers that stay.
    tokio::time::sleep(time / 10).await;
    let tokens = fleet.tokens();
    let mut kib = [usage::resident_kib()?, 0, 0];
    for sample in &mut kib[1..] {
        tokio::time::sleep(time / 2).await;
        *sample = usage::resident_kib()?;
    }
    let tokens = fleet.tokens() - tokens;
    let still = fleet.running();
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
    let met = growth <= MEMORY_GROWTH && open == streams && still == streams;
    print_target("growth", growth, MEMORY_GROWTH, "of the memory", met);
    tasks.abort_all();
    fleet.close().await;
    Ok(())
}
