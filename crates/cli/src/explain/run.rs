//! Reads logs and prints the account.

use super::{Account, Aims, Cause, CauseTable, ExplainError, GroupCounts, Grouping, LogLine};
use crate::operate::aligned;
use clap::ArgMatches;
use csv::Writer;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write, stdin, stdout};

/// Reads the log from standard input.
const STDIN: &str = "-";

/// Runs `sorrellock explain`.
pub fn run(args: &ArgMatches) -> Result<(), ExplainError> {
    let number = |name| *args.get_one::<u64>(name).expect("it has a default");
    let aims = Aims {
        first_ms: number("first-event-ms"),
        pause_ms: number("pause-ms"),
        period_ms: number("period-ms"),
    };
    let grouping = args.get_one::<String>("group").and_then(|name| Grouping::parse(name));
    let mut account = Account::new(aims).with_grouping(grouping);
    for file in args.get_many::<String>("log").expect("it is required") {
        read(file, &mut account).map_err(|source| error("read", file, source))?;
    }
    let table = account.finish();
    if let Some(file) = args.get_one::<String>("csv") {
        fs::write(file, csv_text(&table)).map_err(|source| error("write", file, source))?;
    }
    // A reader that has gone has read what it wanted.
    let _ = writeln!(stdout(), "{} requests\n{}", table.taken(), text(&table));
    if !table.groups().is_empty() {
        let _ = writeln!(stdout(), "\n{}", group_text(&table));
    }
    Ok(())
}

fn error(step: &'static str, file: &str, source: io::Error) -> ExplainError {
    ExplainError { step, file: file.to_owned(), source }
}

fn read(file: &str, account: &mut Account) -> io::Result<()> {
    let input: Box<dyn BufRead> = match file {
        STDIN => Box::new(stdin().lock()),
        _ => Box::new(BufReader::new(File::open(file)?)),
    };
    for line in input.split(b'\n') {
        if let Some(line) = LogLine::parse(&String::from_utf8_lossy(&line?)) {
            account.add(&line);
        }
    }
    Ok(())
}

fn text(table: &CauseTable) -> String {
    let taken = table.taken().max(1) as f64;
    let row = |(cause, count): (Cause, u64)| {
        let share = format!("{:.2}", 100.0 * count as f64 / taken);
        vec![cause.to_string(), count.to_string(), share]
    };
    aligned(&["cause", "requests", "% of all"], table.by_cause().into_iter().map(row))
}

fn group_text(table: &CauseTable) -> String {
    let row = |(group, counts): (&String, &GroupCounts)| {
        let GroupCounts { taken, refused, late, failed } = *counts;
        let share = |count: u64| format!("{:.2}", 100.0 * count as f64 / taken.max(1) as f64);
        let shares = [refused, late, failed].map(share);
        [vec![group.clone(), taken.to_string()], shares.to_vec()].concat()
    };
    let head = ["group", "requests", "% refused", "% late", "% failed"];
    aligned(&head, table.groups().iter().map(row))
}

/// Returns a row for each period and cause: start in s, requests of the period, cause, requests of the cause.
fn csv_text(table: &CauseTable) -> Vec<u8> {
    let mut writer = Writer::from_writer(Vec::new());
    writer.write_record(["start_s", "taken", "cause", "requests"]).expect("memory takes it");
    for (start_s, taken, causes) in table.by_period() {
        for (cause, count) in causes {
            let record =
                [start_s.to_string(), taken.to_string(), cause.to_string(), count.to_string()];
            writer.write_record(record).expect("memory takes it");
        }
    }
    writer.into_inner().expect("memory takes it")
}
