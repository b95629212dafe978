//! Bytes as text, with a mark where they are no UTF-8.

use std::borrow::Cow;
use std::collections::HashSet;
use std::ops::RangeInclusive;

/// Characters for private use, one of which marks bytes that are no UTF-8. There are so many that a
/// body which holds them all is larger than any that the store writes whole.
const MARKS: RangeInclusive<char> = '\u{f0000}'..='\u{10fffd}';
/// How many bytes each of them takes.
const MARK_BYTES: usize = 4;

/// The text of a body. Bytes that are no UTF-8 are replaced by a mark that the rest doesn't hold.
pub struct Text<'a> {
    text: Cow<'a, str>,
    mark: Option<char>,
}

impl<'a> Text<'a> {
    /// Reads a body. None if it is no UTF-8 and holds each character that could be the mark.
    pub fn read(body: &'a [u8]) -> Option<Text<'a>> {
        if let Ok(text) = std::str::from_utf8(body) {
            return Some(Text { text: Cow::Borrowed(text), mark: None });
        }
        let parts = valid_parts(body);
        let held = held_marks(&parts);
        let mut marks = MARKS;
        let mark = marks.find(|mark| !held.contains(mark))?;
        let text = parts.join(mark.encode_utf8(&mut [0; MARK_BYTES]));
        Some(Text { text: Cow::Owned(text), mark: Some(mark) })
    }

    /// All of it.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether a part of it held bytes that are no UTF-8.
    pub fn is_damaged(&self, part: &str) -> bool {
        self.mark.is_some_and(|mark| part.contains(mark))
    }
}

/// The parts of a body between bytes that are no UTF-8; the first and the last may be empty.
fn valid_parts(body: &[u8]) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = body;
    loop {
        let err = match std::str::from_utf8(rest) {
            Ok(last) => {
                parts.push(last);
                return parts;
            }
            Err(err) => err,
        };
        let (valid, after) = rest.split_at(err.valid_up_to());
        let valid = std::str::from_utf8(valid).unwrap_or_default();
        // Bad bytes in a row need one mark.
        if !valid.is_empty() || parts.is_empty() {
            parts.push(valid);
        }
        rest = &after[err.error_len().unwrap_or(after.len())..];
    }
}

fn held_marks(parts: &[&str]) -> HashSet<char> {
    let with_others = parts.iter().filter(|part| !part.is_ascii());
    with_others.flat_map(|part| part.chars()).filter(|c| MARKS.contains(c)).collect()
}
