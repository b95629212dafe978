//! The state of a process as JSON, without keys or bodies.

use serde_json::{Map, Value};

/// Tells its state. Not on the request path.
pub trait Dump: Send + Sync + 'static {
    /// The state as JSON.
    fn dump(&self) -> Value;
}

/// Counters as a JSON object.
pub fn counters_json(counters: &[(&'static str, u64)]) -> Value {
    let pairs = counters.iter().map(|(name, value)| ((*name).to_owned(), Value::from(*value)));
    Value::Object(pairs.collect::<Map<_, _>>())
}
