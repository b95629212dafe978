//! Results for people, aligned, or as JSON for scripts.

use comfy_table::{Table, presets};
use serde_json::Value;
use std::io::{Write, stdout};

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    /// As JSON, and not for people.
    pub(super) json: bool,
}

impl Output {
    /// Prints rows under a head, or the same as JSON.
    pub(super) fn rows(
        self,
        head: &[&str],
        rows: impl IntoIterator<Item = Vec<String>>,
        json: impl FnOnce() -> Value,
    ) {
        match self.json {
            true => print_json(&json()),
            false => print_line(&aligned(head, rows)),
        }
    }

    /// Prints a sentence, or the same as JSON.
    pub(super) fn sentence(self, text: &str, json: impl FnOnce() -> Value) {
        match self.json {
            true => print_json(&json()),
            false => print_line(text),
        }
    }
}

/// Prints JSON, indented.
pub(super) fn print_json(value: &Value) {
    print_line(&format!("{value:#}"));
}

/// Prints a line. A reader that has gone, such as `head`, has read what it wanted.
pub(super) fn print_line(text: &str) {
    let _ = writeln!(stdout(), "{text}");
}

/// Columns aligned, without lines: what scripts of the shell can cut, too.
pub(crate) fn aligned(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(head.iter().copied());
    rows.into_iter().for_each(|row| {
        table.add_row(row);
    });
    // Each cell has a blank on either side; none is needed at the margin.
    let lines =
        table.lines().map(|line| line.strip_prefix(' ').unwrap_or(&line).trim_end().to_owned());
    lines.collect::<Vec<_>>().join("\n")
}
