//! The state of a process as JSON, without keys or bodies.

use serde_json::{Map, Value};

/// A component that can describe its state. Not called on the request path.
pub trait Dump: Send + Sync + 'static {
    /// Returns the state as JSON.
    fn dump(&self) -> Value;
}

/// Returns the counters as a JSON object.
pub fn counters_json(counters: &[(&'static str, u64)]) -> Value {
    let pairs = counters.iter().map(|(name, value)| ((*name).to_owned(), Value::from(*value)));
    Value::Object(pairs.collect::<Map<_, _>>())
}
