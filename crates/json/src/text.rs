//! Bytes as text, with a mark where they are no UTF-8.

use std::borrow::Cow;
use std::collections::HashSet;
use std::ops::RangeInclusive;

/// Characters without a meaning of their own, one of which marks bytes that are no UTF-8.
const MARKS: RangeInclusive<char> = '\u{e000}'..='\u{f8ff}';

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
        let chars = body.utf8_chunks().flat_map(|chunk| chunk.valid().chars());
        let held: HashSet<char> = chars.filter(|c| MARKS.contains(c)).collect();
        let mark = MARKS.into_iter().find(|mark| !held.contains(mark))?;
        let mut text = String::with_capacity(body.len());
        for chunk in body.utf8_chunks() {
            text.push_str(chunk.valid());
            if !chunk.invalid().is_empty() {
                text.push(mark);
            }
        }
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
