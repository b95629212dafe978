//! Runs a stand-in engine until it is ended.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, eyre};
use sorrellock_core::id::Layer;
use sorrellock_core::request::LayerRange;
use sorrellock_fakes::{EngineConfig, FakeEngine};
use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<()> {
    let args = command().get_matches();
    let engine = FakeEngine::start(config(&args)).wrap_err("start the stand-in engine")?;
    println!("the stand-in engine listens at {}", engine.addr());
    loop {
        std::thread::park();
    }
}

fn command() -> Command {
    Command::new("engine")
        .about("A stand-in for a model engine")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Where to listen, as IP:PORT")
                .default_value("127.0.0.1:7500")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(text("endpoint", "engine", "Name of the engine"))
        .arg(text("model", "lexis", "Model that it holds"))
        .arg(text("layers", "0..4", "Layers that it holds, as FIRST..END").value_parser(layers))
        .arg(number("max-batch", "32", "Most steps that it runs together"))
        .arg(number("activation-bytes", "64", "Bytes of an activation, at least 8"))
        .arg(number("base-us", "0", "Microseconds that each batch takes"))
        .arg(number("per-token-us", "0", "Microseconds that each token adds"))
        .arg(number("per-token-layer-us", "0", "Microseconds that each layer of a token adds"))
        .arg(text("speed", "1", "Divides all times").value_parser(speed))
        .arg(number("max-sessions", "4096", "Sessions that it has memory for"))
        .arg(number("prefix-blocks", "1024", "Blocks of the prefix cache"))
        .arg(number("load-lag-ms", "0", "Milliseconds by which load reports lag"))
        .arg(number("event-lag-ms", "0", "Milliseconds by which cache events lag"))
        .arg(number("event-gap", "0", "Loses each n-th cache event, 0 for none"))
        .arg(number("end-of-text-every", "0", "Tokens divisible by this end a text, 0 for none"))
        .arg(
            Arg::new("ignore-fences")
                .long("ignore-fences")
                .help("Takes orders with an old fencing number")
                .action(ArgAction::SetTrue),
        )
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(value_parser!(u32))
}

fn layers(text: &str) -> Result<LayerRange> {
    let bad = || eyre!("`layers` is {text:?}: write FIRST..END, as in 0..4, with FIRST below END");
    let (first, end) = text.split_once("..").ok_or_else(bad)?;
    let first: Layer = first.parse().map_err(|_| bad())?;
    let end: Layer = end.parse().map_err(|_| bad())?;
    if first < end { Ok(LayerRange::new(first, end)) } else { Err(bad()) }
}

fn speed(text: &str) -> Result<f64> {
    let speed = text.parse().unwrap_or(0.0);
    if speed > 0.0 {
        return Ok(speed);
    }
    Err(eyre!("`speed` is {text:?}: write a number above 0, as in 0.5"))
}

fn config(args: &ArgMatches) -> EngineConfig {
    let get = |name: &str| *args.get_one::<u32>(name).expect("it has a default");
    let text = |name: &str| args.get_one::<String>(name).expect("it has a default").clone();
    let micros = |name: &str| Duration::from_micros(get(name).into());
    let millis = |name: &str| Duration::from_millis(get(name).into());
    let addr = *args.get_one::<SocketAddr>("listen").expect("it has a default");
    let layers = *args.get_one::<LayerRange>("layers").expect("it has a default");
    let cfg = EngineConfig::new(addr, text("model"), layers)
        .with_endpoint(text("endpoint"))
        .with_max_batch(get("max-batch"))
        .with_activation_bytes(get("activation-bytes"))
        .with_times(micros("base-us"), micros("per-token-us"))
        .with_layer_time(micros("per-token-layer-us"))
        .with_speed(*args.get_one::<f64>("speed").expect("it has a default"))
        .with_max_sessions(get("max-sessions") as usize)
        .with_prefix_blocks(get("prefix-blocks") as usize)
        .with_load_lag(millis("load-lag-ms"))
        .with_cache_events(millis("event-lag-ms"), get("event-gap").into())
        .with_end_of_text_every(get("end-of-text-every"));
    if args.get_flag("ignore-fences") { cfg.with_fences_ignored() } else { cfg }
}
