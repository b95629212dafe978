//! The arguments of `sorrellockd`. Each can also be set by a `SORRELLOCK_…` environment variable.

use crate::beside::process::{BesideSettings, ServiceEndpoint};
use crate::entry::process::EntrySettings;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sorrellock_core::process::ledger::HolderConfig;
use sorrellock_gateway::Options;
use sorrellock_wire::connection::LinkKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Default for how long a graceful shutdown waits for requests in progress.
const DEFAULT_DRAIN_WAIT: Duration = Duration::from_secs(600);

/// Returns the whole command.
pub fn command() -> Command {
    Command::new("sorrellockd")
        .about("The daemon of sorrellock, a router for pipelines over mixed accelerators")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(entry_command())
        .subcommand(beside_command())
        .subcommand(gateway_command())
        .subcommand(check_command())
        .subcommand(
            Command::new("metrics").about("Prints the table of all metrics in docs/METRICS.md"),
        )
}

fn check_command() -> Command {
    Command::new("check")
        .about("Validates settings and prints the source of each value; starts nothing")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(entry_command())
        .subcommand(beside_command())
        .subcommand(gateway_command())
}

fn gateway_command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .env(sorrellock_platform::SETTINGS_VARIABLE)
        .value_name("FILE")
        .help("The settings file that the platform provides")
        .default_value(sorrellock_platform::SETTINGS_DEFAULT_PATH)
        .value_parser(value_parser!(PathBuf));
    Command::new("gateway")
        .about("Takes callers' requests on the users' platform and forwards them to engines that pass on tokens themselves")
        .arg(settings)
        .arg(
            named("relays-from", "Number of gateways from which they learn of each other through relays")
                .value_name("NUMBER")
                .default_value(Options::RELAYS_FROM.to_string())
                .value_parser(value_parser!(u32).range(2..)),
        )
}

fn entry_command() -> Command {
    Command::new("entry")
        .about("Takes callers' requests and drives each to exactly one outcome")
        .args(common_args())
        .arg(addr("callers", "Address to listen on for callers").default_value("127.0.0.1:8080"))
        .arg(addr("platform", "The platform's object API and list of instances").required(true))
        .arg(count(
            "max-in-progress",
            EntrySettings::MAX_IN_PROGRESS,
            "Maximum number of requests in progress",
        ))
        .arg(count(
            "max-connections",
            EntrySettings::MAX_CONNECTIONS,
            "Maximum number of connections of callers",
        ))
        .arg(count(
            "max-body-bytes",
            EntrySettings::MAX_BODY_BYTES,
            "Maximum size of a request body, in bytes",
        ))
        .arg(millis(
            "header-timeout-ms",
            EntrySettings::HEADER_TIMEOUT,
            "Timeout for receiving the head of a request",
        ))
        .arg(millis(
            "body-timeout-ms",
            EntrySettings::BODY_TIMEOUT,
            "Timeout for receiving the body of a request",
        ))
        .arg(count(
            "workers",
            EntrySettings::WORKERS,
            "Number of threads that handle callers' requests",
        ))
        .arg(millis(
            "ready-grace-ms",
            EntrySettings::READY_GRACE,
            "How long a leaving entry accepts work after /readyz starts to fail",
        ))
}

fn beside_command() -> Command {
    let engine = addr("engine", "An engine to serve; may be given several times");
    let service = Arg::new("service")
        .long("service")
        .env("SORRELLOCK_SERVICE")
        .value_name("ENDPOINT=SERVICE@ADDR")
        .help("An instance of a plain service; may be given several times")
        .value_delimiter(',')
        .value_parser(parse_service)
        .action(ArgAction::Append);
    Command::new("beside")
        .about("Runs beside endpoints, and is the only process that gives them work")
        .args(common_args())
        .arg(addr("platform", "The platform's object API and list of instances"))
        .arg(engine.value_delimiter(',').action(ArgAction::Append))
        .arg(service)
        .arg(count(
            "replay-budget-bytes",
            BesideSettings::REPLAY_BUDGET,
            "Output kept for replay per request and stage, in bytes",
        ))
        .arg(count(
            "max-sessions",
            BesideSettings::MAX_SESSIONS,
            "Maximum number of requests open at one engine",
        ))
        .arg(count(
            "max-calls",
            BesideSettings::MAX_CALLS,
            "Maximum number of calls that run at one plain service",
        ))
        .arg(count(
            "call-queue",
            BesideSettings::CALL_QUEUE,
            "Maximum number of calls that wait for one plain service",
        ))
        .arg(millis(
            "linger-ms",
            BesideSettings::LINGER,
            "Minimum time that a leaving daemon keeps running, to refuse late requests",
        ))
}

fn common_args() -> [Arg; 8] {
    let place = Arg::new("place").long("place").env("SORRELLOCK_PLACE").value_name("PLACE");
    let log = Arg::new("log-format").long("log-format").env("SORRELLOCK_LOG_FORMAT");
    [
        place.help("The place of this instance").required(true),
        addr("link", "Address to listen on for other daemons").required(true),
        link_kind(),
        addr("operators", "Address to listen on for operators, who can request /dump")
            .default_value("127.0.0.1:0"),
        addr("metrics", "Address to which metrics are sent over UDP"),
        log.value_parser(["human", "json", "off"])
            .default_value("human")
            .help("Format of log lines"),
        millis(
            "drain-ms",
            DEFAULT_DRAIN_WAIT,
            "How long a graceful shutdown waits for requests in progress",
        ),
        millis(
            "key-retention-ms",
            HolderConfig::RETENTION,
            "How long an Idempotency-Key is remembered; must be the same for all daemons",
        ),
    ]
}

fn link_kind() -> Arg {
    named(
        "link-kind",
        "Transport for messages to other daemons; must be the same in the whole fleet",
    )
    .value_parser(["tcp", "nng"])
    .default_value("tcp")
}

fn addr(name: &'static str, help: &'static str) -> Arg {
    named(name, help).value_name("IP:PORT").value_parser(value_parser!(SocketAddr))
}

/// Returns an argument for a number with a default.
fn count(name: &'static str, default: usize, help: &'static str) -> Arg {
    number(name, help).default_value(default.to_string())
}

/// Returns an argument for a time in milliseconds with a default.
fn millis(name: &'static str, default: Duration, help: &'static str) -> Arg {
    number(name, help).value_name("MS").default_value(default.as_millis().to_string())
}

fn number(name: &'static str, help: &'static str) -> Arg {
    named(name, help).value_name("NUMBER").value_parser(value_parser!(usize))
}

fn named(name: &'static str, help: &'static str) -> Arg {
    let env = format!("SORRELLOCK_{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name).long(name).env(env).help(help)
}

fn parse_service(text: &str) -> Result<ServiceEndpoint, String> {
    let error = || format!("`{text}` is not a service; use the form ENDPOINT=SERVICE@IP:PORT");
    let (id, rest) = text.split_once('=').ok_or_else(error)?;
    let (service, addr) = rest.split_once('@').ok_or_else(error)?;
    let addr = addr.parse().map_err(|_| error())?;
    Ok(ServiceEndpoint { id: id.into(), service: service.into(), addr })
}

/// Returns the settings of an entry from its arguments.
pub fn parse_entry(args: &ArgMatches) -> EntrySettings {
    let (place, callers) = (text(args, "place"), required_addr(args, "callers"));
    let (link, platform) = (required_addr(args, "link"), required_addr(args, "platform"));
    let mut settings = EntrySettings::new(place, callers, link, platform);
    settings.link_kind = parsed_link_kind(args);
    settings.operators = optional_addr(args, "operators");
    settings.metrics = optional_addr(args, "metrics");
    set(&mut settings.max_in_progress, args, "max-in-progress");
    set(&mut settings.max_connections, args, "max-connections");
    set(&mut settings.max_body_bytes, args, "max-body-bytes");
    set_ms(&mut settings.header_timeout, args, "header-timeout-ms");
    set_ms(&mut settings.body_timeout, args, "body-timeout-ms");
    set(&mut settings.workers, args, "workers");
    set_ms(&mut settings.ready_grace, args, "ready-grace-ms");
    set_ms(&mut settings.key_retention, args, "key-retention-ms");
    settings
}

/// Returns the settings of a daemon beside endpoints from its arguments.
pub fn parse_beside(args: &ArgMatches) -> BesideSettings {
    let mut settings = BesideSettings::new(text(args, "place"), required_addr(args, "link"));
    settings.link_kind = parsed_link_kind(args);
    settings.operators = optional_addr(args, "operators");
    settings.metrics = optional_addr(args, "metrics");
    settings.platform = optional_addr(args, "platform");
    settings.engines = args.get_many("engine").unwrap_or_default().copied().collect();
    settings.services = args.get_many("service").unwrap_or_default().cloned().collect();
    set(&mut settings.replay_budget, args, "replay-budget-bytes");
    set(&mut settings.max_sessions, args, "max-sessions");
    set(&mut settings.max_calls, args, "max-calls");
    set(&mut settings.call_queue, args, "call-queue");
    set_ms(&mut settings.linger, args, "linger-ms");
    set_ms(&mut settings.key_retention, args, "key-retention-ms");
    settings
}

fn text(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

fn parsed_link_kind(args: &ArgMatches) -> LinkKind {
    text(args, "link-kind").parse().unwrap_or_default()
}

fn required_addr(args: &ArgMatches, name: &str) -> SocketAddr {
    optional_addr(args, name).expect("the argument is required")
}

fn optional_addr(args: &ArgMatches, name: &str) -> Option<SocketAddr> {
    args.get_one::<SocketAddr>(name).copied()
}

fn set(field: &mut usize, args: &ArgMatches, name: &str) {
    if let Some(value) = args.get_one::<usize>(name) {
        *field = *value;
    }
}

fn set_ms(field: &mut Duration, args: &ArgMatches, name: &str) {
    if let Some(value) = args.get_one::<usize>(name) {
        *field = Duration::from_millis(*value as u64);
    }
}

/// Returns the options of a gateway.
pub fn gateway_options(args: &ArgMatches) -> Options {
    let relays_from: u32 = *args.get_one("relays-from").expect("the argument has a default");
    Options { relays_from: relays_from as usize }
}

/// Returns the path of a gateway's settings file.
pub fn settings_file(args: &ArgMatches) -> PathBuf {
    args.get_one("settings").cloned().expect("the argument has a default")
}
