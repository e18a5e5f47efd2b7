//! Command-line dispatch of the operator tool.

use std::process::ExitCode;

use cornelarch_core::base::EnvironmentName;
use getopts::Options;

use crate::operator::{
    ApplyRequest, CommandReport, PromoteRequest, ToolError, apply_document,
    arguments::{CommandArguments, OptionGroup, add_group, usage_error},
    budget, check, explain, promote_version, prove_version, show,
};

const USAGE: &str = "\
usage: cornelarch COMMAND [OPTIONS]

  check DOCUMENT          check a document, and settings files with --settings
  diff [OLD] NEW          show what a document changes
  apply DOCUMENT          publish a document
  prove                   mark the newest trial version as proven
  promote VERSION         bring a proven version into production
  history                 show recent changes
  status                  show the status of instances
  dump                    show the state of instances
  budget show [BUDGET]    show paid, spent, held and available tokens
  budget top-up BUDGET TOKENS
  budget release BUDGET   write off the tokens of a lost holder
  unblock FINGERPRINT     allow a blocked request again
  explain ID [FILE]...    show how a request ended, from the logs of instances
  demo                    run a fleet on this machine

cornelarch COMMAND --help lists the options of a command.
exit codes: 0 done, 1 failed, 2 usage, 3 invalid file, 4 another operator was first,
            5 platform unavailable, 6 result unknown, 7 a condition does not hold";

/// A command of the operator tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Command {
    Check,
    Diff,
    Apply,
    Prove,
    Promote,
    History,
    Status,
    Dump,
    BudgetShow,
    BudgetTopUp,
    BudgetRelease,
    Unblock,
    Explain,
}

impl Command {
    fn parse(args: &[String]) -> Option<(Self, &[String])> {
        let command = match args.first()?.as_str() {
            "check" => Self::Check,
            "diff" => Self::Diff,
            "apply" => Self::Apply,
            "prove" => Self::Prove,
            "promote" => Self::Promote,
            "history" => Self::History,
            "status" => Self::Status,
            "dump" => Self::Dump,
            "unblock" => Self::Unblock,
            "explain" => Self::Explain,
            "budget" => {
                let command = match args.get(1)?.as_str() {
                    "show" => Self::BudgetShow,
                    "top-up" => Self::BudgetTopUp,
                    "release" => Self::BudgetRelease,
                    _ => return None,
                };
                return Some((command, &args[2..]));
            }
            _ => return None,
        };
        Some((command, &args[1..]))
    }

    const fn brief(self) -> &'static str {
        match self {
            Self::Check => "usage: cornelarch check DOCUMENT [--settings FILE]...",
            Self::Diff => "usage: cornelarch diff DOCUMENT | diff OLD NEW",
            Self::Apply => "usage: cornelarch apply DOCUMENT --from VERSION",
            Self::Prove => "usage: cornelarch prove",
            Self::Promote => {
                "usage: cornelarch promote VERSION [--write]\n\n\
                 Shows the difference; writes it only with --write."
            }
            Self::History => "usage: cornelarch history",
            Self::Status => "usage: cornelarch status",
            Self::Dump => "usage: cornelarch dump",
            Self::BudgetShow => "usage: cornelarch budget show [BUDGET]...",
            Self::BudgetTopUp => "usage: cornelarch budget top-up BUDGET TOKENS --operation-id ID",
            Self::BudgetRelease => {
                "usage: cornelarch budget release BUDGET --holder HOLDER --operation-id ID"
            }
            Self::Unblock => "usage: cornelarch unblock FINGERPRINT",
            Self::Explain => {
                "usage: cornelarch explain ID [FILE]...\n\n\
                 Each file is the log of one instance; without files, standard input is read."
            }
        }
    }

    fn options(self) -> Options {
        use OptionGroup::{Change, Environment, Instances, Ledger, Platform};
        let mut options = Options::new();
        let groups: &[OptionGroup] = match self {
            Self::Check | Self::Explain => &[],
            Self::Diff => &[Platform],
            Self::Apply => &[Platform, Change, Ledger],
            Self::Prove => &[Platform, Environment, Change, Instances],
            Self::Promote => &[Platform, Change],
            Self::History => &[Platform, Environment],
            Self::Status | Self::Dump | Self::Unblock => &[Instances],
            Self::BudgetShow => &[Platform, Environment, Ledger],
            Self::BudgetTopUp | Self::BudgetRelease => &[Platform, Environment, Change, Ledger],
        };
        groups
            .iter()
            .for_each(|group| add_group(&mut options, *group));
        match self {
            Self::Check => {
                options.optmulti("", "settings", "settings file of a router", "FILE");
            }
            Self::Apply => {
                options.optopt(
                    "",
                    "from",
                    "version that the document changes, 0 if new",
                    "VERSION",
                );
            }
            Self::Promote => {
                options.optopt(
                    "",
                    "source",
                    "environment of the proven version [trial]",
                    "NAME",
                );
                options.optopt("", "target", "environment to change [production]", "NAME");
                options.optopt(
                    "",
                    "from",
                    "version of the target that was compared",
                    "VERSION",
                );
                options.optflag("", "keep-upstreams", "keep the target's own upstreams");
                options.optflag("", "write", "publish the difference");
            }
            Self::BudgetShow => {
                options.optflag("", "rows", "show the rows of holders");
            }
            Self::BudgetRelease => {
                options.optopt("", "holder", "the lost holder as name~hex", "HOLDER");
                options.optflag("", "credit", "pay the same amount again");
            }
            _ => {}
        }
        options.optflag("", "json", "print JSON");
        options.optflag("h", "help", "print this text");
        options
    }

    async fn run(self, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
        match self {
            Self::Check => check::check(arguments),
            Self::Diff => check::diff(arguments).await,
            Self::Apply => apply(arguments).await,
            Self::Prove => prove(arguments).await,
            Self::Promote => promote(arguments).await,
            Self::History => show::history(arguments).await,
            Self::Status => show::status(arguments).await,
            Self::Dump => show::dump(arguments).await,
            Self::BudgetShow => budget::show(arguments).await,
            Self::BudgetTopUp => budget::top_up(arguments).await,
            Self::BudgetRelease => budget::release(arguments).await,
            Self::Unblock => show::unblock(arguments).await,
            Self::Explain => explain::explain(arguments),
        }
    }
}

/// Runs the operator tool with the given command-line arguments.
#[must_use]
pub fn run(args: &[String]) -> ExitCode {
    if matches!(
        args.first().map(String::as_str),
        Some("-h" | "--help" | "help")
    ) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let Some((command, rest)) = Command::parse(args) else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let options = command.options();
    let matches = match options.parse(rest) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("cornelarch: {error}\n{}", options.usage(command.brief()));
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(command.brief()));
        return ExitCode::SUCCESS;
    }
    let json = matches.opt_present("json");
    let arguments = CommandArguments { matches };
    match run_command(command, &arguments) {
        Ok(report) if json => println!("{}", report.json),
        Ok(report) => println!("{}", report.text),
        Err(error) => {
            eprintln!("cornelarch: {error}");
            if json {
                let code = error.exit_code();
                let value = serde_json::json!({"error": error.to_string(), "exit_code": code});
                println!("{value}");
            }
            return ExitCode::from(error.exit_code());
        }
    }
    ExitCode::SUCCESS
}

fn run_command(command: Command, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .map_err(|error| usage_error(format!("the runtime cannot be started: {error}")))?;
    runtime.block_on(command.run(arguments))
}

async fn apply(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let [file] = arguments.positional(["DOCUMENT"])?;
    let request = ApplyRequest {
        document: check::load_document(file)?,
        from_version: arguments
            .parsed_option("from")?
            .ok_or_else(|| usage_error("--from is missing; cornelarch diff shows it".to_owned()))?,
        operator: arguments.operator()?,
        operation_id: arguments.operation_id()?,
        shards: arguments.shards()?,
    };
    apply_document(&arguments.store()?, &request).await
}

async fn prove(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    arguments.positional([])?;
    let environment = arguments
        .option_or_env("environment", "CORNELARCH_ENVIRONMENT")
        .map_or_else(|| EnvironmentName::new("trial"), EnvironmentName::from);
    let operator = arguments.operator()?;
    let (statuses, live) = show::read_statuses(&arguments.instances()?).await?;
    prove_version(
        &arguments.store()?,
        &environment,
        &operator,
        &statuses,
        &live,
    )
    .await
}

async fn promote(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let [version] = arguments.positional(["VERSION"])?;
    let name = |option: &str, default: &str| {
        let given = arguments.matches.opt_str(option);
        EnvironmentName::from(given.unwrap_or_else(|| default.to_owned()))
    };
    let request = PromoteRequest {
        source: name("source", "trial"),
        target: name("target", "production"),
        version: version
            .parse()
            .map_err(|_| usage_error(format!("{version:?} is not a version")))?,
        operator: arguments.operator()?,
        operation_id: arguments.operation_id()?,
        keep_upstreams: arguments.matches.opt_present("keep-upstreams"),
        write: arguments.matches.opt_present("write"),
        from_version: arguments.parsed_option("from")?,
    };
    promote_version(&arguments.store()?, &request).await
}
