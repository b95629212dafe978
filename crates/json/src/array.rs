//! Splits arrays of objects of which some aren't valid JSON.

use serde::de::DeserializeOwned;
use serde_json::Deserializer;
use serde_json::value::RawValue;

/// Maximum length of an element's prefix, up to and including its first colon, in bytes.
const MAX_PREFIX_BYTES: usize = 64;

/// Raw text of an array element.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Element<'a> {
    /// Valid JSON.
    Whole(&'a str),
    /// Not valid JSON.
    Broken(&'a str),
}

/// Parses the value of the first key named `key`. The text around it needn't be valid JSON.
pub fn find_value<T: DeserializeOwned>(text: &str, key: &str) -> Option<T> {
    let values = value_at(text, key)?;
    Deserializer::from_str(values).into_iter().next()?.ok()
}

/// Returns the text from the value of the first key named `key` to the end.
fn value_at<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let key = format!("\"{key}\"");
    let after_key = &text[text.find(&key)? + key.len()..];
    Some(after_key.trim_start().strip_prefix(':')?.trim_start())
}

/// Splits the array at key `array` out of a body. Returns its elements, which may not be valid JSON, and the
/// body with an empty array in its place. The elements must be objects with the same first key, which holds
/// where a single writer serialized them. Returns `None` if there is no such array.
pub fn split_array<'a>(text: &'a str, array: &str) -> Option<(Vec<Element<'a>>, String)> {
    let start = content_start(text, array)?;
    let end = text.rfind(']').filter(|end| *end >= start)?;
    let body = [&text[..start], &text[end..]].concat();
    let mut rest = text[start..end].trim_start();
    if rest.is_empty() {
        return Some((Vec::new(), body));
    }
    let prefix = prefix(rest)?;
    let mut elements = Vec::new();
    while !rest.is_empty() {
        let (element, len) = match whole_element(rest) {
            Some(len) => (Element::Whole(&rest[..len]), len),
            None => {
                let len = broken_len(rest, prefix);
                (Element::Broken(&rest[..len]), len)
            }
        };
        elements.push(element);
        let after = rest[len..].trim_start();
        rest = after.strip_prefix(',').unwrap_or(after).trim_start();
    }
    Some((elements, body))
}

/// Returns the offset of the array's content, after its opening bracket.
fn content_start(text: &str, array: &str) -> Option<usize> {
    let elements = value_at(text, array)?.strip_prefix('[')?;
    Some(text.len() - elements.len())
}

/// Returns the start of the first element, up to and including its first colon.
fn prefix(elements: &str) -> Option<&str> {
    let colon = elements.find(':').filter(|colon| *colon < MAX_PREFIX_BYTES)?;
    elements.starts_with('{').then(|| &elements[..=colon])
}

/// Returns the length of the element at the start of `rest`, if it is valid JSON followed by a comma or the end.
fn whole_element(rest: &str) -> Option<usize> {
    let mut values = Deserializer::from_str(rest).into_iter::<&RawValue>();
    values.next()?.ok()?;
    let len = values.byte_offset();
    let after = rest[len..].trim_start();
    (after.is_empty() || after.starts_with(',')).then_some(len)
}

/// Returns the length of the broken element at the start of `rest`: up to the comma before the next prefix, or the
/// end.
fn broken_len(rest: &str, prefix: &str) -> usize {
    let starts = rest.match_indices(prefix).map(|(at, _)| rest[..at].trim_end());
    starts
        .map(|before| before.strip_suffix(','))
        .find_map(|before| Some(before?.len()))
        .unwrap_or(rest.len())
}
