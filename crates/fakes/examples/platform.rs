//! Runs the stand-in platform until it is ended.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use sorrellock_fakes::{FakePlatform, PlatformConfig};
use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<()> {
    let args = command().get_matches();
    let platform = FakePlatform::start(config(&args)).wrap_err("start the stand-in platform")?;
    println!("the stand-in platform listens at {}", platform.addr());
    loop {
        std::thread::park();
    }
}

fn command() -> Command {
    Command::new("platform")
        .about("A stand-in for the platform: object API and list of instances")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Where to listen, as IP:PORT")
                .default_value("127.0.0.1:7400")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(number("latency-ms", "0", "Milliseconds that each call takes"))
        .arg(number("writes-per-s", "300", "Writes that it takes a second, 0 for any number"))
        .arg(number("reads-per-s", "2000", "Reads that it takes a second, 0 for any number"))
        .arg(number("instance-lag-ms", "0", "Milliseconds by which the list of instances lags"))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).help(help);
    arg.default_value(default).value_parser(value_parser!(u32))
}

fn config(args: &ArgMatches) -> PlatformConfig {
    let get = |name: &str| *args.get_one::<u32>(name).expect("it has a default");
    let millis = |name: &str| Duration::from_millis(get(name).into());
    let addr = *args.get_one::<SocketAddr>("listen").expect("it has a default");
    PlatformConfig::new(addr)
        .with_latency(millis("latency-ms"))
        .with_rates(get("writes-per-s"), get("reads-per-s"))
        .with_instance_lag(millis("instance-lag-ms"))
}
