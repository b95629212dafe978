//! A batch and its outputs as JSON.

use crate::api::{Batch, EngineStep, Sampled, SessionId, StepOutput};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sorrellock_core::id::{Position, TokenId};
use sorrellock_core::request::{Activations, LayerRange};
use std::borrow::Cow;
use std::fmt;

/// The body of `POST /v1/batch`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCall<'a> {
    /// The steps.
    #[serde(borrow)]
    pub steps: Vec<StepFormat<'a>>,
}

/// One step of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepFormat<'a> {
    /// Whose KV cache to use.
    #[serde(borrow)]
    pub session: Cow<'a, str>,
    /// The first position.
    pub first: Position,
    /// The input token at each position.
    pub tokens: Cow<'a, [TokenId]>,
    /// Output of the layers before.
    #[serde(default, skip_serializing_if = "ActivationsFormat::is_empty")]
    pub activations: ActivationsFormat<'a>,
    /// The layers to run.
    pub layers: LayerRange,
    /// Whether to choose a token for the last position.
    pub sample: bool,
    /// Higher goes first.
    pub priority: u8,
}

/// Activations, their bytes as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivationsFormat<'a> {
    /// Bytes per position.
    pub width: u32,
    /// The blocks, in order of position.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub data: Cow<'a, [u8]>,
}

/// The answer to `POST /v1/batch`: one output a step, in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// The outputs.
    pub outputs: Vec<OutputFormat>,
}

/// What a step gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutputFormat {
    /// Output of the layers.
    Activations(ActivationsFormat<'static>),
    /// The token chosen after the last position.
    Sampled(Sampled),
    /// The engine refused the step.
    Refused(String),
}

impl<'a> BatchCall<'a> {
    /// A batch to be sent; it borrows tokens and activations.
    pub fn from_batch(batch: &'a Batch) -> BatchCall<'a> {
        BatchCall { steps: batch.steps.iter().map(StepFormat::from_step).collect() }
    }

    /// The batch that was received.
    pub fn into_batch(self) -> Batch {
        Batch { steps: self.steps.into_iter().map(StepFormat::into_step).collect() }
    }
}

impl<'a> StepFormat<'a> {
    fn from_step(step: &'a EngineStep) -> StepFormat<'a> {
        StepFormat {
            session: Cow::Borrowed(&step.session),
            first: step.first,
            tokens: Cow::Borrowed(&step.tokens),
            activations: ActivationsFormat {
                width: step.activations.width,
                data: Cow::Borrowed(&step.activations.data),
            },
            layers: step.layers,
            sample: step.sample,
            priority: step.priority,
        }
    }

    fn into_step(self) -> EngineStep {
        EngineStep {
            session: SessionId::from(self.session),
            first: self.first,
            tokens: self.tokens.into_owned(),
            activations: self.activations.into_activations(),
            layers: self.layers,
            sample: self.sample,
            priority: self.priority,
        }
    }
}

impl ActivationsFormat<'_> {
    fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    fn into_activations(self) -> Activations {
        Activations::new(self.width, self.data.into_owned())
    }
}

/// An output to be sent.
pub fn output_to_format(output: StepOutput) -> OutputFormat {
    match output {
        StepOutput::Activations(activations) => OutputFormat::Activations(ActivationsFormat {
            width: activations.width,
            data: Cow::Owned(activations.data),
        }),
        StepOutput::Sampled(sampled) => OutputFormat::Sampled(sampled),
        StepOutput::Refused(why) => OutputFormat::Refused(why),
    }
}

/// The output that was received.
pub fn output_from_format(output: OutputFormat) -> StepOutput {
    match output {
        OutputFormat::Activations(activations) => {
            StepOutput::Activations(activations.into_activations())
        }
        OutputFormat::Sampled(sampled) => StepOutput::Sampled(sampled),
        OutputFormat::Refused(why) => StepOutput::Refused(why),
    }
}

fn to_base64<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(data))
}

fn from_base64<'a, 'de, D: Deserializer<'de>>(deserializer: D) -> Result<Cow<'a, [u8]>, D::Error> {
    deserializer.deserialize_str(Base64Visitor).map(Cow::Owned)
}

/// Decodes base64 from the text where it stands, without a copy of it.
struct Base64Visitor;

impl Visitor<'_> for Base64Visitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes in base64")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Vec<u8>, E> {
        STANDARD.decode(text).map_err(E::custom)
    }
}
