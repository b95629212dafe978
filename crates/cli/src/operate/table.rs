//! `sorrellock table`: the shared table of weights and limits.

use crate::cli::Exit;
use crate::operate::{OperateError, OperatorCx, finish, read_csv, write_csv};
use clap::ArgMatches;
use serde_json::{Value, json};
use sorrellock_core::id::Revision;
use sorrellock_core::version::{Column, Row, Versioned};
use sorrellock_ports::config::RowEdit;
use std::io::{Read, stdin};

/// Runs a command on the table.
pub(super) fn run(cx: &OperatorCx, sub: &str, args: &ArgMatches) -> Result<Exit, OperateError> {
    match sub {
        "get" => get(cx, args),
        "set" => set(cx, args),
        "remove" => remove(cx, args),
        "history" => history(cx, args),
        "export" => export(cx),
        _ => import(cx, args),
    }
}

fn get(cx: &OperatorCx, args: &ArgMatches) -> Result<Exit, OperateError> {
    let config = cx.config()?;
    let rows = match args.get_one::<String>("workspace") {
        Some(workspace) => config.rows_of(workspace)?,
        None => config.rows()?,
    };
    let mut head = vec!["WORKSPACE", "KIND"];
    let columns: Vec<String> =
        Column::ALL.iter().map(|column| column.name().to_uppercase()).collect();
    head.extend(columns.iter().map(String::as_str));
    head.push("REVISION");
    cx.output.rows(&head, rows.iter().map(cells), || rows.iter().map(row_json).collect());
    Ok(Exit::Done)
}

fn cells(row: &Versioned<Row>) -> Vec<String> {
    let mut cells = vec![row.item.workspace.clone(), row.item.kind.clone()];
    cells.extend(Column::ALL.iter().map(|column| row.item.cell(*column)));
    cells.push(row.change.revision.to_string());
    cells
}

fn row_json(row: &Versioned<Row>) -> Value {
    json!({ "row": row.item, "change": row.change })
}

fn set(cx: &OperatorCx, args: &ArgMatches) -> Result<Exit, OperateError> {
    let words: Vec<&str> =
        args.get_many::<String>("rows").unwrap_or_default().map(|word| word.as_str()).collect();
    let edits = parse_edits(&words)?;
    let report = cx.config()?.set(&edits, if_revision(args))?;
    finish(cx, args, &report)
}

fn remove(cx: &OperatorCx, args: &ArgMatches) -> Result<Exit, OperateError> {
    let (workspace, kind) = row_argument(args)?;
    let report = cx.config()?.remove_row(workspace, kind, if_revision(args))?;
    finish(cx, args, &report)
}

fn history(cx: &OperatorCx, args: &ArgMatches) -> Result<Exit, OperateError> {
    let (workspace, kind) = row_argument(args)?;
    let row = cx.config()?.row(workspace, kind)?;
    let change = &row.change;
    let cells = vec![
        change.revision.to_string(),
        change.by.clone(),
        time_text(change.at_ms),
        format!("{:016x}", change.id),
    ];
    cx.output.rows(&["REVISION", "BY", "AT", "CHANGE"], [cells], || row_json(&row));
    Ok(Exit::Done)
}

fn export(cx: &OperatorCx) -> Result<Exit, OperateError> {
    let rows: Vec<Row> = cx.config()?.rows()?.into_iter().map(|row| row.item).collect();
    match cx.output.json {
        true => crate::operate::output::print_json(&json!(rows)),
        false => crate::operate::output::print_line(write_csv(&rows).trim_end()),
    }
    Ok(Exit::Done)
}

fn import(cx: &OperatorCx, args: &ArgMatches) -> Result<Exit, OperateError> {
    let file = args.get_one::<String>("file").expect("the file is required");
    let rows = read_csv(&read(file)?)?;
    let report = cx.config()?.import(&rows, if_revision(args))?;
    finish(cx, args, &report)
}

fn read(file: &str) -> Result<String, OperateError> {
    let mut text = String::new();
    let result = match file {
        "-" => stdin().read_to_string(&mut text).map(drop),
        _ => std::fs::read_to_string(file).map(|read| text = read),
    };
    let failed = |err: std::io::Error| OperateError::argument("FILE", file, err.to_string());
    result.map_err(failed).map(|()| text)
}

/// Reads rows and cells: the cells after some rows are set in each of them.
pub fn parse_edits(words: &[&str]) -> Result<Vec<RowEdit>, OperateError> {
    let mut edits: Vec<RowEdit> = Vec::new();
    // Rows whose cells are being read; a row after a cell begins the next group.
    let mut group = 0;
    for word in words {
        match word.split_once('=') {
            Some((column, value)) => {
                let column = parse_column(column, word)?;
                if group == edits.len() {
                    return Err(OperateError::argument(
                        "cell",
                        word,
                        "name a row before its cells",
                    ));
                }
                edits[group..].iter_mut().for_each(|edit| edit.cells.push((column, value.into())));
            }
            None => {
                if edits.last().is_some_and(|edit| !edit.cells.is_empty()) {
                    group = edits.len();
                }
                let (workspace, kind) = parse_row(word)?;
                edits.push(RowEdit::new(workspace, kind));
            }
        }
    }
    match edits.iter().find(|edit| edit.cells.is_empty()) {
        Some(edit) => {
            let mend = "give cells after it, as COLUMN=VALUE";
            Err(OperateError::argument("row", &edit.name(), mend))
        }
        None => Ok(edits),
    }
}

fn parse_column(name: &str, word: &str) -> Result<Column, OperateError> {
    let known: Vec<&str> = Column::ALL.iter().map(|column| column.name()).collect();
    let mend = || format!("there is no column `{name}`; take one of {}", known.join(", "));
    Column::parse(name).ok_or_else(|| OperateError::argument("cell", word, mend()))
}

fn parse_row(text: &str) -> Result<(&str, &str), OperateError> {
    let parts =
        text.split_once('/').filter(|(workspace, kind)| !workspace.is_empty() && !kind.is_empty());
    let mend = "write WORKSPACE/KIND, such as treasury/default";
    parts.ok_or_else(|| OperateError::argument("row", text, mend))
}

fn row_argument(args: &ArgMatches) -> Result<(&str, &str), OperateError> {
    parse_row(args.get_one::<String>("row").expect("the row is required"))
}

/// The revision of `--if-revision`, if given.
pub(super) fn if_revision(args: &ArgMatches) -> Option<Revision> {
    args.get_one::<Revision>("if-revision").copied()
}

/// A time for people, in UTC.
fn time_text(at_ms: u64) -> String {
    const DAY_S: u64 = 86_400;
    let (days, second) = (at_ms / 1000 / DAY_S, at_ms / 1000 % DAY_S);
    let (year, month, day) = date_of(days);
    format!(
        "{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02} UTC",
        second / 3600,
        second / 60 % 60,
        second % 60
    )
}

/// Year, month and day of a day since the Unix epoch, in the Gregorian calendar.
fn date_of(days: u64) -> (u64, u64, u64) {
    // Eras of 400 years that begin on 1 March, so that the leap day comes last.
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_index = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_index + 2) / 5 + 1;
    let month = if month_index < 10 { month_index + 3 } else { month_index - 9 };
    (era * 400 + year_of_era + u64::from(month <= 2), month, day)
}
