//! Arguments of `sorrellock`, each also a `SORRELLOCK_…` variable.

use crate::explain::Grouping;
use clap::{Arg, ArgAction, Command, ValueHint, value_parser};
use clap_complete::Shell;
use std::net::SocketAddr;

/// How long `--wait` waits, unless set, in milliseconds.
const TIMEOUT_MS: &str = "10000";
/// Changes of state that `fleet` shows, unless set.
const JOURNAL: &str = "10";

/// The whole command.
pub fn command() -> Command {
    Command::new("sorrellock")
        .about("Operates a fleet of sorrellock, a router for pipelines over mixed accelerators")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(common_args())
        .subcommand(table())
        .subcommand(workspace())
        .subcommand(pipeline())
        .subcommand(fleet())
        .subcommand(dump())
        .subcommand(
            Command::new("try")
                .about("Runs the whole path in one process, on stand-ins, and checks it"),
        )
        .subcommand(explain())
        .subcommand(completions())
}

fn common_args() -> [Arg; 5] {
    let addr = |name| named(name).value_name("IP:PORT").value_parser(value_parser!(SocketAddr));
    [
        addr("platform").help("The platform's object API"),
        addr("daemons")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .help("Operators' listeners of daemons, any of which tells of the whole fleet"),
        named("by").value_name("NAME").help("Whose change it is [default: the user's name]"),
        named("json").action(ArgAction::SetTrue).help("Prints JSON, for scripts"),
        named("timeout-ms")
            .value_name("MS")
            .default_value(TIMEOUT_MS)
            .value_parser(value_parser!(u64))
            .help("How long --wait waits"),
    ]
    .map(|arg| arg.global(true))
}

fn table() -> Command {
    let rows = Arg::new("rows")
        .value_name("ROW|COLUMN=VALUE")
        .help("Rows as WORKSPACE/KIND, then the cells to set in each of them; repeat at will")
        .num_args(2..)
        .required(true);
    group("table", "The shared table of weights and limits")
        .subcommand(
            Command::new("get")
                .about("Shows rows, aligned")
                .arg(Arg::new("workspace").value_name("WORKSPACE").help("Only its rows")),
        )
        .subcommand(changing("set", "Sets cells of one row or of many").arg(rows))
        .subcommand(changing("remove", "Removes a row").arg(row()))
        .subcommand(Command::new("history").about("Who changed a row last").arg(row()))
        .subcommand(Command::new("export").about("Writes all rows as CSV to standard output"))
        .subcommand(changing("import", "Takes rows in from CSV").arg(file()))
}

fn workspace() -> Command {
    group("workspace", "Who may call, and what")
        .subcommand(Command::new("list").about("Shows all workspaces"))
        .subcommand(changing("add", "Adds a workspace").arg(name()).arg(key()).arg(may_call(true)))
        .subcommand(changing("key", "Gives a workspace another key").arg(name()).arg(key()))
        .subcommand(
            changing("calls", "Sets what a workspace may call").arg(name()).arg(may_call(true)),
        )
        .subcommand(changing("remove", "Removes a workspace and its rows").arg(name()))
}

fn pipeline() -> Command {
    let layers = Arg::new("layers").long("layers").value_name("NUMBER").required(true);
    let stages = Arg::new("stages").long("stages").value_name("NUMBER").default_value("0");
    let share = Arg::new("share").long("share").value_name("NUMBER").default_value("1");
    group("pipeline", "The pipelines that callers name as `model`")
        .subcommand(Command::new("list").about("Shows all pipelines"))
        .subcommand(
            changing("add", "Adds a pipeline")
                .arg(name())
                .arg(
                    Arg::new("model")
                        .long("model")
                        .value_name("MODEL")
                        .help("The model that its engines run [default: its own name]"),
                )
                .arg(layers.value_parser(value_parser!(u16)).help("Layers of the model"))
                .arg(
                    stages.value_parser(value_parser!(u16)).help(
                        "Ranges of layers that its engines are ordered to hold; 0: no orders",
                    ),
                )
                .arg(
                    share
                        .value_parser(value_parser!(u32))
                        .help("Its share of the engines' work, against that of other pipelines"),
                ),
        )
        .subcommand(changing("remove", "Removes a pipeline").arg(name()))
}

fn fleet() -> Command {
    Command::new("fleet").about("Shows the daemons by place, with state, load and revision").arg(
        Arg::new("journal")
            .long("journal")
            .value_name("NUMBER")
            .default_value(JOURNAL)
            .value_parser(value_parser!(usize))
            .help("How many of the last changes of state to show"),
    )
}

fn dump() -> Command {
    Command::new("dump").about("Prints the whole state of each daemon named by --daemons, as JSON")
}

fn explain() -> Command {
    let ms = |name, default, help| {
        named(name)
            .value_name("MS")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let log = Arg::new("log").value_name("LOG").required(true).num_args(1..);
    Command::new("explain")
        .about("Counts requests that gateways didn't serve in time or at all, by cause, from their logs")
        .arg(log.help("Logs of gateways; -: standard input").value_hint(ValueHint::FilePath))
        .arg(ms("first-event-ms", "600", "Time until a stream's first event that callers accept"))
        .arg(ms("pause-ms", "300", "Pause between two events that callers accept"))
        .arg(ms("period-ms", "2000", "Length of the periods in the CSV"))
        .arg(named("csv").value_name("FILE").help("Writes requests by period and cause there"))
        .arg(
            named("group")
                .value_name("FIELD")
                .value_parser(Grouping::NAMES)
                .help("Also counts those refused, late and failed by this field of their requests"),
        )
}

fn completions() -> Command {
    let shell = Arg::new("shell").value_name("SHELL").required(true);
    Command::new("completions")
        .about("Prints the completions for a shell")
        .arg(shell.value_parser(value_parser!(Shell)))
}

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).subcommand_required(true).arg_required_else_help(true)
}

/// A command that changes the configuration.
fn changing(name: &'static str, about: &'static str) -> Command {
    let if_revision = Arg::new("if-revision")
        .long("if-revision")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
        .help("Refuses if it was changed after this revision, as `get` showed it");
    let wait = Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Waits until the change is in force on all daemons");
    Command::new(name).about(about).arg(if_revision).arg(wait)
}

fn named(name: &'static str) -> Arg {
    let env = format!("SORRELLOCK_{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name).long(name).env(env)
}

fn name() -> Arg {
    Arg::new("name").value_name("NAME").help("Its name").required(true)
}

fn row() -> Arg {
    Arg::new("row").value_name("WORKSPACE/KIND").help("The row").required(true)
}

fn file() -> Arg {
    let file = Arg::new("file").value_name("FILE").value_hint(ValueHint::FilePath);
    file.help("The CSV file, or - for standard input").required(true)
}

fn key() -> Arg {
    let key = named("key").value_name("KEY").hide_env_values(true).required(true);
    key.help("The key that its callers send; only its hash is kept")
}

fn may_call(required: bool) -> Arg {
    let may_call = Arg::new("may-call").long("may-call").value_name("NAMES").required(required);
    may_call
        .value_delimiter(',')
        .action(ArgAction::Append)
        .help("Pipelines and services that it may call, divided by commas")
}
