//! Fields of an object, each parsed separately.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Fields of an object as raw JSON.
pub struct Fields<'a> {
    fields: BTreeMap<String, &'a RawValue>,
}

/// Raw JSON of a value that has the wrong type or fails validation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidValue<'a>(pub &'a str);

impl<'a> Fields<'a> {
    /// Parses an object. The error is the parser's message.
    pub fn read(text: &'a str) -> Result<Fields<'a>, String> {
        let fields = serde_json::from_str(text).map_err(|err| err.to_string())?;
        Ok(Fields { fields })
    }

    /// Parses a field's value. Returns `None` if the field is absent, and an error with the raw value if it has the
    /// wrong type or fails `is_valid`.
    pub fn get<T: DeserializeOwned>(
        &self,
        field: &str,
        is_valid: impl Fn(&T) -> bool,
    ) -> Result<Option<T>, InvalidValue<'a>> {
        let Some(raw) = self.fields.get(field) else { return Ok(None) };
        let value = serde_json::from_str(raw.get()).ok().filter(is_valid);
        value.map(Some).ok_or(InvalidValue(raw.get()))
    }
}
