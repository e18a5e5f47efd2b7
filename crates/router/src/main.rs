//! Router daemon.

use std::{env, path::PathBuf, process::ExitCode};

use cornelarch_router::{Router, RouterSettings, RouterView};
use getopts::Options;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;
/// Exit status if the daemon cannot start or its shutdown is interrupted.
const EXIT_FAILURE: u8 = 1;

/// Signal handlers of the daemon.
struct DaemonSignals {
    terminate: Signal,
    interrupt: Signal,
    dump: Signal,
}

impl DaemonSignals {
    fn open() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            dump: signal(SignalKind::user_defined1())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, and logs a state dump for each SIGUSR1 in the meantime.
    async fn wait_for_stop(&mut self, view: &RouterView) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.dump.recv() => view.log_dump(),
            }
        }
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let path = match read_arguments() {
        Ok(Some(path)) => path,
        Ok(None) => return ExitCode::SUCCESS,
        Err(message) => return fail(EXIT_USAGE, &message),
    };
    let settings = match RouterSettings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error.to_string()),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_FAILURE, &format!("cannot start runtime: {error}")),
    };
    runtime.block_on(run_daemon(settings))
}

/// Returns the path of the settings file, or `None` if only the help text was requested.
fn read_arguments() -> Result<Option<PathBuf>, String> {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file", "FILE");
    options.optflag("h", "help", "print this text");
    let usage = options.usage("Usage: cornelarch-router --settings FILE");
    let matches = options
        .parse(env::args().skip(1))
        .map_err(|error| format!("{error}\n{usage}"))?;
    if matches.opt_present("help") {
        println!("{usage}");
        return Ok(None);
    }
    match matches.opt_str("settings") {
        Some(path) if matches.free.is_empty() => Ok(Some(PathBuf::from(path))),
        _ => Err(usage),
    }
}

async fn run_daemon(settings: RouterSettings) -> ExitCode {
    let mut signals = match DaemonSignals::open() {
        Ok(signals) => signals,
        Err(error) => return fail(EXIT_FAILURE, &format!("cannot handle signals: {error}")),
    };
    let router = match Router::bind(settings).await {
        Ok(router) => router,
        Err(error) => return fail(EXIT_FAILURE, &error.to_string()),
    };
    let view = router.view();
    signals.wait_for_stop(&view).await;
    tokio::select! {
        () = router.close() => ExitCode::SUCCESS,
        () = signals.wait_for_stop(&view) => {
            view.log_interrupted();
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn fail(status: u8, message: &str) -> ExitCode {
    eprintln!("cornelarch-router: {message}");
    ExitCode::from(status)
}
