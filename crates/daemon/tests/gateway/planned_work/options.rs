//! Sizes of a run: those of CI, or what `SOAK_PLANNED` names.

use std::path::PathBuf;
use std::time::Duration;

/// An impairment beside planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Planned work alone.
    Plain,
    /// Reports of engines come 200 ms late; streams pass.
    LateReports,
    /// Single gateways pause.
    GatewayPauses,
    /// One engine pauses for so long, again and again, and goes on.
    EnginePauses(Duration),
    /// All paths are full.
    Full,
}

/// A series of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Series {
    Configs,
    Gateways,
    HangUps,
    Engines,
}

const ALL_SERIES: [Series; 4] =
    [Series::Configs, Series::Gateways, Series::HangUps, Series::Engines];

/// Sizes of a run.
#[derive(Clone, Debug)]
pub struct Options {
    pub gateways: usize,
    /// Callers of streams, each with one at a time.
    pub streams: usize,
    /// Callers of plain calls.
    pub calls: usize,
    pub seconds: u64,
    /// Share of a core of most gateways; no quota from 1 on.
    pub share: f64,
    /// The same of each eighth gateway.
    pub large_share: f64,
    /// Streams, as a share of the slots of all first engines.
    pub load: f64,
    /// Engines of each data centre.
    pub engines: usize,
    /// Each such version of the configuration has many routes besides what it changes; 0: as any other kind of change.
    pub large_each: u64,
    pub variant: Variant,
    pub series: Vec<Series>,
    pub seeds: Vec<u64>,
    /// Where the logs of all gateways are kept.
    pub logs: Option<PathBuf>,
}

impl Options {
    /// Those of each CI run.
    fn of_ci() -> Options {
        Options {
            gateways: 12,
            streams: 200,
            calls: 12,
            seconds: 7,
            share: 0.03,
            large_share: 0.5,
            load: 0.85,
            engines: 4,
            large_each: 1,
            variant: Variant::Plain,
            series: ALL_SERIES.to_vec(),
            seeds: vec![4, 6],
            logs: None,
        }
    }

    /// What `SOAK_PLANNED` names, as `gateways=30,streams=600,seeds=1..5`; the rest as in CI.
    pub fn from_env() -> Options {
        let mut options = Options::of_ci();
        let text = std::env::var("SOAK_PLANNED").unwrap_or_default();
        for field in text.split(',').filter(|field| !field.is_empty()) {
            let (name, value) = field.split_once('=').expect("SOAK_PLANNED is NAME=VALUE,...");
            options.set(name, value);
        }
        options
    }

    fn set(&mut self, name: &str, value: &str) {
        let number = || value.parse::<f64>().expect("a number");
        match name {
            "gateways" => self.gateways = number() as usize,
            "streams" => self.streams = number() as usize,
            "calls" => self.calls = number() as usize,
            "seconds" => self.seconds = number() as u64,
            "share" => self.share = number(),
            "large_share" => self.large_share = number(),
            "load" => self.load = number(),
            "engines" => self.engines = number() as usize,
            "large_each" => self.large_each = number() as u64,
            "variant" => self.variant = variant(value),
            "series" => self.series = value.split('+').map(series).collect(),
            "seeds" => self.seeds = seeds(value),
            "logs" => self.logs = Some(value.into()),
            _ => panic!("SOAK_PLANNED knows no {name}"),
        }
    }
}

fn variant(name: &str) -> Variant {
    match name {
        "plain" => Variant::Plain,
        "late_reports" => Variant::LateReports,
        "gateway_pauses" => Variant::GatewayPauses,
        "engine_pauses_250" => Variant::EnginePauses(Duration::from_millis(250)),
        "engine_pauses_600" => Variant::EnginePauses(Duration::from_millis(600)),
        "full" => Variant::Full,
        _ => panic!("no variant is named {name}"),
    }
}

fn series(name: &str) -> Series {
    match name {
        "configs" => Series::Configs,
        "gateways" => Series::Gateways,
        "hang_ups" => Series::HangUps,
        "engines" => Series::Engines,
        _ => panic!("no series is named {name}"),
    }
}

fn seeds(text: &str) -> Vec<u64> {
    let number = |text: &str| text.parse::<u64>().expect("a seed is a number");
    match text.split_once("..") {
        Some((from, to)) => (number(from)..number(to)).collect(),
        None => vec![number(text)],
    }
}
