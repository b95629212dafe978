//! The fields of an object, each read by itself.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// The fields of an object, as they are written.
pub struct Fields<'a> {
    fields: BTreeMap<String, &'a RawValue>,
}

/// A value that can't be used, as it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found<'a>(pub &'a str);

impl<'a> Fields<'a> {
    /// Reads an object, or tells what is wrong with it.
    pub fn read(text: &'a str) -> Result<Fields<'a>, String> {
        let fields = serde_json::from_str(text).map_err(|err| err.to_string())?;
        Ok(Fields { fields })
    }

    /// A field's value: none if there is no such field, and what was found if it can't be used.
    pub fn get<T: DeserializeOwned>(
        &self,
        field: &str,
        is_valid: impl Fn(&T) -> bool,
    ) -> Result<Option<T>, Found<'a>> {
        let Some(raw) = self.fields.get(field) else { return Ok(None) };
        let value = serde_json::from_str(raw.get()).ok().filter(is_valid);
        value.map(Some).ok_or(Found(raw.get()))
    }
}
