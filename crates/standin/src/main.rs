//! Runs one stand-in until it is interrupted: `cornelarch-standin platform|engine|service`.

use std::{io, net::SocketAddr, process::ExitCode, str::FromStr, time::Duration};

use cornelarch_standin::{engine, platform, service};
use getopts::{Matches, Options};
use log::info;
use snafu::{OptionExt, ResultExt, Whatever, whatever};

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(std::env::args().skip(1).collect()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Vec<String>) -> Result<(), Whatever> {
    let options = build_options();
    let brief = "Usage: cornelarch-standin platform|engine|service [OPTIONS]";
    let matches = options
        .parse(&arguments)
        .whatever_context("failed to parse the arguments")?;
    if matches.opt_present("help") {
        print!("{}", options.usage(brief));
        return Ok(());
    }
    let kind = matches
        .free
        .first()
        .with_whatever_context(|| options.usage(brief))?;
    match kind.as_str() {
        "platform" => run_platform(&matches).await,
        "engine" => run_engine(&matches).await,
        "service" => run_service(&matches).await,
        kind => whatever!("unknown stand-in {kind:?}\n{}", options.usage(brief)),
    }
}

fn build_options() -> Options {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optopt(
            "l",
            "listen",
            "address to listen on (127.0.0.1:0)",
            "IP:PORT",
        )
        .optopt(
            "",
            "reads",
            "platform: maximum reads per second (2000)",
            "N",
        )
        .optopt(
            "",
            "writes",
            "platform: maximum writes per second (500)",
            "N",
        )
        .optopt(
            "",
            "prefill",
            "engine: prompt tokens per second (50000)",
            "N",
        )
        .optopt(
            "",
            "decode",
            "engine: generated tokens per second (5000)",
            "N",
        )
        .optopt("", "batch", "engine: maximum concurrent requests (16)", "N")
        .optopt("", "call-ms", "service: duration of a call (2)", "MS")
        .optflag(
            "",
            "fencing",
            "service: reject orders with an outdated fencing number",
        );
    options
}

async fn run_platform(matches: &Matches) -> Result<(), Whatever> {
    let default = platform::PlatformOptions::default();
    let options = platform::PlatformOptions {
        address: read_option(matches, "listen", default.address)?,
        reads_per_s: read_option(matches, "reads", default.reads_per_s)?,
        writes_per_s: read_option(matches, "writes", default.writes_per_s)?,
    };
    let handle = check_bind(platform::bind(options).await)?;
    wait_for_signal("platform", handle.address()).await?;
    handle.close().await;
    Ok(())
}

async fn run_engine(matches: &Matches) -> Result<(), Whatever> {
    let default = engine::EngineOptions::default();
    let options = engine::EngineOptions {
        address: read_option(matches, "listen", default.address)?,
        prefill_tokens_per_s: read_option(matches, "prefill", default.prefill_tokens_per_s)?,
        decode_tokens_per_s: read_option(matches, "decode", default.decode_tokens_per_s)?,
        batch_limit: read_option(matches, "batch", default.batch_limit)?,
        record_runs: false,
        ..default
    };
    let handle = check_bind(engine::bind(options).await)?;
    wait_for_signal("engine", handle.address()).await?;
    handle.close().await;
    Ok(())
}

async fn run_service(matches: &Matches) -> Result<(), Whatever> {
    let default = service::ServiceOptions::default();
    let call_ms = read_option(matches, "call-ms", 2)?;
    let options = service::ServiceOptions {
        address: read_option(matches, "listen", default.address)?,
        call_duration: Duration::from_millis(call_ms),
        fencing: matches.opt_present("fencing"),
        ..default
    };
    let handle = check_bind(service::bind(options).await)?;
    wait_for_signal("service", handle.address()).await?;
    handle.close().await;
    Ok(())
}

fn read_option<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, Whatever> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .ok()
            .with_whatever_context(|| format!("invalid value {text:?} for --{name}")),
    }
}

fn check_bind<T>(result: io::Result<T>) -> Result<T, Whatever> {
    result.whatever_context("failed to bind the listen address")
}

async fn wait_for_signal(kind: &str, address: SocketAddr) -> Result<(), Whatever> {
    info!("{kind} stand-in listens at {address}");
    let result = tokio::signal::ctrl_c().await;
    result.whatever_context("failed to wait for the interrupt signal")
}
