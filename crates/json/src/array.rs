//! Arrays of objects of which some are no JSON.

use serde::de::DeserializeOwned;
use serde_json::Deserializer;
use serde_json::value::RawValue;

/// The longest begin of an element, up to its first colon, in bytes.
const OPENING_MOST: usize = 64;

/// An element of an array, as it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Element<'a> {
    /// It is JSON.
    Whole(&'a str),
    /// It is no JSON.
    Broken(&'a str),
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

/// Takes the array at key `array` out of a body of which elements may be no JSON: its elements, and the
/// body with an empty array in its place. The elements are objects whose first key is the same, as one
/// writer gives them. None where no such array is found.
pub fn split_array<'a>(text: &'a str, array: &str) -> Option<(Vec<Element<'a>>, String)> {
    let begin = array_begin(text, array)?;
    let end = text.rfind(']').filter(|end| *end >= begin)?;
    let body = [&text[..begin], &text[end..]].concat();
    let mut rest = text[begin..end].trim_start();
    if rest.is_empty() {
        return Some((Vec::new(), body));
    }
    let opening = opening(rest)?;
    let mut elements = Vec::new();
    while !rest.is_empty() {
        let (element, len) = match whole_element(rest) {
            Some(len) => (Element::Whole(&rest[..len]), len),
            None => {
                let len = broken_len(rest, opening);
                (Element::Broken(&rest[..len]), len)
            }
        };
        elements.push(element);
        let after = rest[len..].trim_start();
        rest = after.strip_prefix(',').unwrap_or(after).trim_start();
    }
    Some((elements, body))
}

/// Where the elements of an array begin, after its bracket.
fn array_begin(text: &str, array: &str) -> Option<usize> {
    let elements = value_at(text, array)?.strip_prefix('[')?;
    Some(text.len() - elements.len())
}

/// The begin of the first element, up to its first colon.
fn opening(elements: &str) -> Option<&str> {
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
