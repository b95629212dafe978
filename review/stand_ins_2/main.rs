//! Stand-ins for the platform, and the scripts of the cases: `stand_ins_2 CASE RECORD TROUBLE`. With 0 as the last word the disruption is left out.

#![allow(dead_code)]

mod engine;
mod gateway;
mod http;
mod json;
mod record;
mod refused;
mod replaced_machines;
mod service;
mod spoiled_event;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = args.as_slice() else {
        eprintln!("usage: stand_ins_2 CASE RECORD TROUBLE");
        std::process::exit(2);
    };
    let record = record::Record::new(path);
    let has_trouble = trouble != "0";
    let code = match case.as_str() {
        "refused" => refused::run(&record, has_trouble),
        "spoiled_event" => spoiled_event::run(&record, has_trouble),
        "replaced_machines" => replaced_machines::run(&record, has_trouble),
        _ => 2,
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
