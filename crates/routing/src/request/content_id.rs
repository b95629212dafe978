//! Identifies requests that ask for the same.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Length of an id in bytes.
const ID_BYTES: usize = 16;

/// Identity of a request's content. Requests with the same workspace, path and body share it, whoever sends them and
/// to which gateway. A second content with the same id can't be constructed, as it is part of a SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId([u8; ID_BYTES]);

impl ContentId {
    /// Computes the id of a request. `path` includes the query.
    pub fn new(workspace: Option<&str>, path: &str, body: &[u8]) -> ContentId {
        let mut hasher = Sha256::new();
        for part in [workspace.unwrap_or_default().as_bytes(), path.as_bytes(), body] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&digest[..ID_BYTES]);
        ContentId(id)
    }
}

impl fmt::Display for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The text is not the id of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidContentId;

impl fmt::Display for InvalidContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a content id has {} hexadecimal digits", ID_BYTES * 2)
    }
}

impl std::error::Error for InvalidContentId {}

impl FromStr for ContentId {
    type Err = InvalidContentId;

    fn from_str(text: &str) -> Result<ContentId, InvalidContentId> {
        let digits = text.as_bytes();
        if digits.len() != ID_BYTES * 2 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(InvalidContentId);
        }
        let mut id = [0; ID_BYTES];
        for (byte, pair) in id.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| InvalidContentId)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| InvalidContentId)?;
        }
        Ok(ContentId(id))
    }
}

/// Text in formats for people, bytes in others.
impl Serialize for ContentId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for ContentId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ContentId, D::Error> {
        match deserializer.is_human_readable() {
            true => String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom),
            false => Ok(ContentId(<[u8; ID_BYTES]>::deserialize(deserializer)?)),
        }
    }
}
