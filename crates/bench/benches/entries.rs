//! Reading a list of endpoints' entries: all whole, a tenth with bad fields, a tenth that is no JSON.
//! The naive way, in the same run, reads the list as one body, where one bad entry costs them all.

use eyre::{Result, ensure};
use serde::Deserialize;
use serde_json::{Value, json};
use sorrellock_bench::figure_f64;
use sorrellock_platform::read_page;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Entries of the largest deployment that the gateway is built for.
const ENTRIES: usize = 790;
/// One of so many is bad.
const BAD_ONE_IN: usize = 10;
/// Readings of each list; the median counts.
const READINGS: usize = 400;

/// What makes an entry bad.
#[derive(Clone, Copy)]
enum Fault {
    None,
    /// A field of another type.
    Field,
    /// Bytes that are no JSON.
    NoJson,
    /// A byte that is no UTF-8.
    NoText,
}

fn main() -> Result<()> {
    let whole = page(Fault::None);
    ensure!(read(&whole) == ENTRIES, "all are whole");
    let lists =
        [("bad_field", Fault::Field), ("no_json", Fault::NoJson), ("no_text", Fault::NoText)];
    let lists = lists.map(|(name, fault)| (name, page(fault)));
    for (name, list) in &lists {
        ensure!(read(list) == ENTRIES - ENTRIES / BAD_ONE_IN, "{name}: the whole ones are read");
    }
    // In turn, so that a busy machine slows all alike.
    let mut times = vec![Vec::with_capacity(READINGS); lists.len() + 2];
    for _ in 0..READINGS {
        times[0].push(timed(|| read(&whole)));
        times[1].push(timed(|| read_as_one(&whole)));
        for (index, (_, list)) in lists.iter().enumerate() {
            times[index + 2].push(timed(|| read(list)));
        }
    }
    let medians: Vec<f64> = times.into_iter().map(median_us).collect();
    figure_f64("entries.whole_us", medians[0], "us");
    figure_f64("entries.naive.whole_us", medians[1], "us");
    for ((name, _), median) in lists.iter().zip(&medians[2..]) {
        figure_f64(&format!("entries.{name}_us"), *median, "us");
        figure_f64(&format!("entries.{name}_ratio"), median / medians[0], "times");
    }
    Ok(())
}

fn timed<T>(run: impl Fn() -> T) -> Duration {
    let began = Instant::now();
    black_box(run());
    began.elapsed()
}

fn median_us(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e6
}

/// How many entries name an endpoint.
fn read(body: &[u8]) -> usize {
    let page = read_page(black_box(body), 0).expect("the page is read");
    page.listing.objects.iter().filter(|object| object.endpoint().is_ok()).count()
}

#[derive(Deserialize)]
struct NaivePage {
    items: Vec<NaiveObject>,
}

#[derive(Deserialize)]
struct NaiveObject {
    metadata: NaiveMetadata,
    spec: Value,
}

#[derive(Deserialize)]
struct NaiveMetadata {
    name: String,
}

#[derive(Deserialize)]
#[expect(dead_code, reason = "only read")]
struct NaiveEntry {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: String,
}

/// The same as one body, with the fields that were read so.
fn read_as_one(body: &[u8]) -> usize {
    let page: NaivePage = serde_json::from_slice(black_box(body)).expect("all is whole");
    let is_whole = |object: &NaiveObject| {
        black_box(NaiveEntry::deserialize(&object.spec)).is_ok() && !object.metadata.name.is_empty()
    };
    page.items.iter().filter(|object| is_whole(object)).count()
}

fn page(fault: Fault) -> Vec<u8> {
    let mut page = b"{\"items\":[".to_vec();
    for index in 0..ENTRIES {
        let is_bad = index % BAD_ONE_IN == BAD_ONE_IN - 1;
        if index > 0 {
            page.push(b',');
        }
        page.extend(object(index, if is_bad { fault } else { Fault::None }));
    }
    page.extend_from_slice(b"],\"has_more\":false,\"at\":4711}");
    page
}

fn object(index: usize, fault: Fault) -> Vec<u8> {
    let metadata = json!({
        "name": format!("i-{index:010x}"), "revision": index, "created": 1_790_000_000_000_u64,
        "finalizers": [], "deleting": false,
    });
    let mut spec = json!({
        "address": format!("10.1.{}.{}:8080", index / 250, index % 250), "cold_remaining_ms": 0,
        "kind": "l40s", "layers": {"from": 20, "target": 31, "version": 1}, "sequence": 4,
        "models": [{"name": "m", "version": 1, "adapters": []}], "service": "lexis",
        "slots": 192, "stage": "both", "state": "ready", "version": "v1", "zone": "north",
        "born": 1_790_000_000_000_u64 + index as u64,
    });
    if matches!(fault, Fault::Field) {
        spec["state"] = json!(7);
    }
    let mut spec = spec.to_string().into_bytes();
    let middle = spec.len() / 2;
    match fault {
        Fault::None | Fault::Field => {}
        Fault::NoJson => spec.truncate(middle),
        Fault::NoText => spec[middle] = 0xff,
    }
    let mut object = format!("{{\"metadata\":{metadata},\"spec\":").into_bytes();
    object.extend(spec);
    object.extend_from_slice(b",\"status\":{}}");
    object
}
