//! Arrays of objects of which some are no JSON.

use crate::Text;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_json::{Deserializer, Value};
use std::borrow::Cow;

/// The longest begin of an element, up to its first colon, in bytes.
const OPENING_MOST: usize = 64;

/// Reads a body with an array at key `array`. Elements of it that are no JSON are read as strings that
/// hold their text; `mended` keeps the body then.
pub fn read_array<'a, B: Deserialize<'a>>(
    text: &'a Text<'_>,
    array: &str,
    mended: &'a mut String,
) -> serde_json::Result<B> {
    let err = match serde_json::from_str(text.as_str()) {
        Ok(body) => return Ok(body),
        Err(err) => err,
    };
    *mended = mend_array(text.as_str(), array).ok_or(err)?;
    serde_json::from_str(mended)
}

/// The text of an element that may have been broken.
pub fn element_text(element: &str) -> Cow<'_, str> {
    serde_json::from_str(element).map_or(Cow::Borrowed(element), Cow::Owned)
}

/// The value at the first key of this name, in text that may be no JSON around it.
pub fn find_value<T: DeserializeOwned>(text: &str, key: &str) -> Option<T> {
    let values = value_at(text, key)?;
    Deserializer::from_str(values).into_iter().next()?.ok()
}

/// The text from the value at the first key of this name on.
fn value_at<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let key = format!("\"{key}\"");
    let after_key = &text[text.find(&key)? + key.len()..];
    Some(after_key.trim_start().strip_prefix(':')?.trim_start())
}

/// Replaces the elements of the array at key `array` that are no JSON by strings that hold their text.
/// The elements are objects whose first key is the same, as one writer gives them. None where no such
/// array is found.
pub fn mend_array(text: &str, array: &str) -> Option<String> {
    let begin = array_begin(text, array)?;
    let end = text.rfind(']').filter(|end| *end >= begin)?;
    let elements = &text[begin..end];
    if elements.trim_start().is_empty() {
        return Some(text.to_owned());
    }
    let opening = opening(elements)?;
    let mut mended = String::with_capacity(text.len() + text.len() / 8);
    mended.push_str(&text[..begin]);
    let mut rest = elements;
    while !rest.trim_start().is_empty() {
        let (element, after) = match whole_element(rest) {
            Some(len) => (Ok(&rest[..len]), &rest[len..]),
            None => {
                let len = broken_len(rest, opening);
                (Err(&rest[..len]), &rest[len..])
            }
        };
        match element {
            Ok(whole) => mended.push_str(whole),
            Err(broken) => mended.push_str(&Value::from(broken).to_string()),
        }
        rest = match after.trim_start().strip_prefix(',') {
            Some(next) => {
                mended.push(',');
                next
            }
            None => after,
        };
    }
    mended.push_str(&text[end..]);
    Some(mended)
}

/// Where the elements of an array begin, after its bracket.
fn array_begin(text: &str, array: &str) -> Option<usize> {
    let elements = value_at(text, array)?.strip_prefix('[')?;
    Some(text.len() - elements.len())
}

/// The begin of the first element, up to its first colon.
fn opening(elements: &str) -> Option<&str> {
    let elements = elements.trim_start();
    let colon = elements.find(':').filter(|colon| *colon < OPENING_MOST)?;
    elements.starts_with('{').then(|| &elements[..=colon])
}

/// The length of the element that `rest` begins with, if it is JSON up to a comma or the end.
fn whole_element(rest: &str) -> Option<usize> {
    let mut values = Deserializer::from_str(rest).into_iter::<&RawValue>();
    values.next()?.ok()?;
    let len = values.byte_offset();
    let after = rest[len..].trim_start();
    (after.is_empty() || after.starts_with(',')).then_some(len)
}

/// The length of the broken element that `rest` begins with: up to the begin of the next, or the end.
fn broken_len(rest: &str, opening: &str) -> usize {
    let begins = rest.match_indices(opening).map(|(at, _)| rest[..at].trim_end());
    begins
        .map(|before| before.strip_suffix(','))
        .find_map(|before| Some(before?.len()))
        .unwrap_or(rest.len())
}
