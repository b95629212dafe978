//! Identifies requests that ask for the same, and parts of prompts.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Length of an id in bytes.
const ID_BYTES: usize = 16;

/// First bytes of the identity of a prompt's part, by which it differs from that of a content.
const PART_TAG: [u8; 4] = *b"part";

/// Identity of a request's content, or of a part of its prompt. Requests with the same workspace, path and body share it, whoever sends them and
/// to which gateway. A second content with the same id can't be constructed, as it is part of a SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId([u8; ID_BYTES]);

impl ContentId {
    /// Computes the id of a request. `path` includes the query.
    pub fn new(workspace: Option<&str>, path: &str, body: &[u8]) -> ContentId {
        ContentId(digest([workspace.unwrap_or_default().as_bytes(), path.as_bytes(), body]))
    }

    /// Computes the same id from a body in segments of `len` bytes together.
    pub fn of_segments<'a>(
        workspace: Option<&str>,
        path: &str,
        len: usize,
        segments: impl Iterator<Item = &'a [u8]>,
    ) -> ContentId {
        let mut hasher = Sha256::new();
        add_field(&mut hasher, workspace.unwrap_or_default().as_bytes());
        add_field(&mut hasher, path.as_bytes());
        add_len(&mut hasher, len);
        segments.for_each(|segment| hasher.update(segment));
        ContentId(id_of(hasher))
    }

    /// Computes the id of a part of a model's prompts, whichever request it is in.
    pub fn of_part(model: &str, part: &str) -> ContentId {
        let mut id = digest([model.as_bytes(), part.as_bytes()]);
        id[..PART_TAG.len()].copy_from_slice(&PART_TAG);
        ContentId(id)
    }

    /// Returns a short form of the id. Two contents may share it, which their callers must not depend on.
    pub fn short(&self) -> u64 {
        let (short, _) = self.0.split_at(size_of::<u64>());
        short.iter().fold(0, |id, byte| id << 8 | u64::from(*byte))
    }

    /// Returns whether this identifies a part of prompts.
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_TAG)
    }
}

fn digest<const N: usize>(fields: [&[u8]; N]) -> [u8; ID_BYTES] {
    let mut hasher = Sha256::new();
    fields.iter().for_each(|field| add_field(&mut hasher, field));
    id_of(hasher)
}

fn add_field(hasher: &mut Sha256, field: &[u8]) {
    add_len(hasher, field.len());
    hasher.update(field);
}

fn add_len(hasher: &mut Sha256, len: usize) {
    hasher.update((len as u64).to_le_bytes());
}

fn id_of(hasher: Sha256) -> [u8; ID_BYTES] {
    let digest = hasher.finalize();
    let mut id = [0; ID_BYTES];
    id.copy_from_slice(&digest[..ID_BYTES]);
    id
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
