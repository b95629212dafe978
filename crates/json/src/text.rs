//! Decodes bytes as text, with a marker in place of invalid UTF-8.

use std::borrow::Cow;
use std::collections::HashSet;
use std::ops::RangeInclusive;

/// Private-use characters, one of which is chosen to mark invalid UTF-8. There are so many that a body which
/// holds them all is larger than any that the store writes whole.
const MARKERS: RangeInclusive<char> = '\u{f0000}'..='\u{10fffd}';
/// Length of each marker in UTF-8.
const MARKER_BYTES: usize = 4;

/// Text of a body. Invalid UTF-8 is replaced by a marker character that doesn't occur in the rest.
pub struct Text<'a> {
    text: Cow<'a, str>,
    marker: Option<char>,
}

impl<'a> Text<'a> {
    /// Decodes a body. Returns `None` if it isn't valid UTF-8 and holds every possible marker.
    pub fn read(body: &'a [u8]) -> Option<Text<'a>> {
        if let Ok(text) = std::str::from_utf8(body) {
            return Some(Text { text: Cow::Borrowed(text), marker: None });
        }
        let parts = valid_parts(body);
        let used = used_markers(&parts);
        let mut markers = MARKERS;
        let marker = markers.find(|marker| !used.contains(marker))?;
        let text = parts.join(marker.encode_utf8(&mut [0; MARKER_BYTES]));
        Some(Text { text: Cow::Owned(text), marker: Some(marker) })
    }

    /// Returns the whole text, with markers.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether `part` of this text held bytes that aren't valid UTF-8.
    pub fn is_damaged(&self, part: &str) -> bool {
        self.marker.is_some_and(|marker| part.contains(marker))
    }
}

/// Splits a body at invalid UTF-8 into its valid parts; the first and the last may be empty.
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
        // Consecutive invalid bytes share one marker.
        if !valid.is_empty() || parts.is_empty() {
            parts.push(valid);
        }
        rest = &after[err.error_len().unwrap_or(after.len())..];
    }
}

fn used_markers(parts: &[&str]) -> HashSet<char> {
    let non_ascii = parts.iter().filter(|part| !part.is_ascii());
    non_ascii.flat_map(|part| part.chars()).filter(|c| MARKERS.contains(c)).collect()
}
