//! The shared table as CSV, as spreadsheets read and write it.

use crate::operate::OperateError;
use csv::{ReaderBuilder, StringRecord, Writer};
use sorrellock_core::version::{Column, Row};

const WORKSPACE: &str = "workspace";
const KIND: &str = "kind";

/// Rows as CSV, under a line with the columns' names.
pub fn write_csv(rows: &[Row]) -> String {
    let mut writer = Writer::from_writer(Vec::new());
    let head = [WORKSPACE, KIND].into_iter().chain(Column::ALL.iter().map(|column| column.name()));
    writer.write_record(head).expect("memory takes it");
    for row in rows {
        let cells = Column::ALL.iter().map(|column| row.cell(*column));
        let names = [row.workspace.clone(), row.kind.clone()];
        writer.write_record(names.into_iter().chain(cells)).expect("memory takes it");
    }
    let bytes = writer.into_inner().expect("memory takes it");
    String::from_utf8(bytes).expect("the cells are text")
}

/// Reads rows; columns may stand in any order, and those left out take the defaults.
pub fn read_csv(text: &str) -> Result<Vec<Row>, OperateError> {
    let mut reader = ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let bad = |err: csv::Error| OperateError::argument("CSV", "the file", err.to_string());
    let head = reader.headers().map_err(bad)?.clone();
    check_head(&head)?;
    let mut rows = Vec::new();
    for (number, record) in reader.records().enumerate() {
        // The head is line 1.
        let line = number + 2;
        rows.push(read_row(&head, &record.map_err(bad)?, line)?);
    }
    Ok(rows)
}

fn check_head(head: &StringRecord) -> Result<(), OperateError> {
    let known = |name: &str| [WORKSPACE, KIND].contains(&name) || Column::parse(name).is_some();
    if let Some(unknown) = head.iter().find(|name| !known(name)) {
        let mend = "the table has no such column; `sorrellock table export` shows them";
        return Err(OperateError::argument("CSV line 1, column", unknown, mend));
    }
    for needed in [WORKSPACE, KIND] {
        if !head.iter().any(|name| name == needed) {
            let mend = format!("there is no column `{needed}`; add it");
            return Err(OperateError::argument(
                "CSV line 1",
                &head.iter().collect::<Vec<_>>().join(","),
                mend,
            ));
        }
    }
    Ok(())
}

fn read_row(head: &StringRecord, record: &StringRecord, line: usize) -> Result<Row, OperateError> {
    let named = |wanted: &str| {
        let mut cells = head.iter().zip(record);
        cells.find(|(name, _)| *name == wanted).map_or("", |(_, value)| value)
    };
    let mut row = Row::new(named(WORKSPACE), named(KIND));
    for (name, value) in head.iter().zip(record) {
        let Some(column) = Column::parse(name) else { continue };
        let at = format!("CSV line {line}, {name}");
        row.set_cell(column, value)
            .map_err(|err| OperateError::argument(&at, value, err.to_string()))?;
    }
    Ok(row)
}
