//! Keys in paths and queries, versions in tags.

use sorrellock_core::id::Revision;
use std::fmt::Write;

/// Name of the header that tells when to come back, in seconds.
pub const RETRY_AFTER: &str = "retry-after";

/// The path of an object.
pub fn objects_path(key: &str) -> String {
    format!("/v1/objects/{}", encode(key))
}

/// Percent-encodes text for a path or a query; `/` stays as it is.
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                out.push(char::from(byte));
            }
            _ => write!(out, "%{byte:02X}").expect("a string takes any text"),
        }
    }
    out
}

/// Undoes [`encode`]; nothing if the text is malformed.
pub fn decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let high = char::from(bytes.next()?).to_digit(16)?;
        let low = char::from(bytes.next()?).to_digit(16)?;
        out.push((high * 16 + low) as u8);
    }
    String::from_utf8(out).ok()
}

/// A version as an `ETag`.
pub fn to_etag(version: Revision) -> String {
    format!("\"{version}\"")
}

/// The version in an `ETag`.
pub fn parse_etag(tag: &str) -> Option<Revision> {
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}
