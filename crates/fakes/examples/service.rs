//! Runs a stand-in service until it is ended.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use sorrellock_fakes::{FakeService, ServiceConfig};
use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<()> {
    let args = command().get_matches();
    let service = FakeService::start(config(&args)).wrap_err("start the stand-in service")?;
    println!("the stand-in service listens at {}", service.addr());
    loop {
        std::thread::park();
    }
}

fn command() -> Command {
    Command::new("service")
        .about("A stand-in for a plain service, which echoes its calls")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Where to listen, as IP:PORT")
                .default_value("127.0.0.1:7600")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(Arg::new("name").long("name").help("Name of the service").default_value("ledger"))
        .arg(
            Arg::new("latency-ms")
                .long("latency-ms")
                .help("Milliseconds that each call takes")
                .default_value("0")
                .value_parser(value_parser!(u32)),
        )
}

fn config(args: &ArgMatches) -> ServiceConfig {
    let addr = *args.get_one::<SocketAddr>("listen").expect("it has a default");
    let latency_ms = *args.get_one::<u32>("latency-ms").expect("it has a default");
    let name = args.get_one::<String>("name").expect("it has a default");
    ServiceConfig::new(addr).with_name(name).with_latency(Duration::from_millis(latency_ms.into()))
}
