//! The columns of the shared table, and their cells as text.

use crate::version::check::refuse;
use crate::version::{Class, FieldError, Item, Row};
use std::fmt;
use std::str::FromStr;

/// A column of the shared table that operators edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Column {
    /// Relative share among the rows of the same class.
    Weight,
    /// Requests per second.
    RequestsPerS,
    /// Tokens per second.
    TokensPerS,
    /// Requests in flight.
    InFlight,
    /// Urgent or routine.
    Class,
    /// Default deadline of a request, in milliseconds.
    DeadlineMs,
    /// Whether a request may be run more than once.
    Idempotent,
}

impl Column {
    /// All columns, in the order of the table.
    pub const ALL: [Column; 7] = [
        Column::Weight,
        Column::RequestsPerS,
        Column::TokensPerS,
        Column::InFlight,
        Column::Class,
        Column::DeadlineMs,
        Column::Idempotent,
    ];

    /// Returns the column's name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Column::Weight => "weight",
            Column::RequestsPerS => "requests_per_s",
            Column::TokensPerS => "tokens_per_s",
            Column::InFlight => "in_flight",
            Column::Class => "class",
            Column::DeadlineMs => "deadline_ms",
            Column::Idempotent => "idempotent",
        }
    }

    /// Finds a column by its name.
    pub fn parse(name: &str) -> Option<Column> {
        Column::ALL.into_iter().find(|column| column.name() == name)
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Row {
    /// Formats the value of a cell as operators see and enter it.
    pub fn cell(&self, column: Column) -> String {
        match column {
            Column::Weight => self.weight.to_string(),
            Column::RequestsPerS => self.requests_per_s.to_string(),
            Column::TokensPerS => self.tokens_per_s.to_string(),
            Column::InFlight => self.in_flight.to_string(),
            Column::Class => self.class.name().to_owned(),
            Column::DeadlineMs => self.deadline_ms.to_string(),
            Column::Idempotent => self.idempotent.to_string(),
        }
    }

    /// Sets a cell from an operator's input. Returns an error and leaves the row unchanged if the value is malformed
    /// or out of range.
    pub fn set_cell(&mut self, column: Column, text: &str) -> Result<(), FieldError> {
        let mut row = self.clone();
        row.parse_cell(column, text.trim())?;
        row.check()?;
        *self = row;
        Ok(())
    }

    fn parse_cell(&mut self, column: Column, text: &str) -> Result<(), FieldError> {
        let subject = self.subject();
        match column {
            Column::Weight => self.weight = number(&subject, column, text)?,
            Column::RequestsPerS => self.requests_per_s = number(&subject, column, text)?,
            Column::TokensPerS => self.tokens_per_s = number(&subject, column, text)?,
            Column::InFlight => self.in_flight = number(&subject, column, text)?,
            Column::Class => self.class = class(&subject, text)?,
            Column::DeadlineMs => self.deadline_ms = number(&subject, column, text)?,
            Column::Idempotent => self.idempotent = boolean(&subject, text)?,
        }
        Ok(())
    }
}

fn number<T: FromStr>(subject: &str, column: Column, text: &str) -> Result<T, FieldError> {
    let fix = match column {
        Column::InFlight | Column::DeadlineMs => "give a whole number of 0 or more",
        _ => "give a number",
    };
    text.parse().map_err(|_| refuse(subject, column.name(), text, fix))
}

fn class(subject: &str, text: &str) -> Result<Class, FieldError> {
    match text {
        "urgent" => Ok(Class::Urgent),
        "routine" => Ok(Class::Routine),
        _ => Err(refuse(subject, "class", text, "give urgent or routine")),
    }
}

fn boolean(subject: &str, text: &str) -> Result<bool, FieldError> {
    match text {
        "true" | "yes" => Ok(true),
        "false" | "no" => Ok(false),
        _ => Err(refuse(subject, "idempotent", text, "give true or false")),
    }
}
