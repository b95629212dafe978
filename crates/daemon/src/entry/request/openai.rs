//! Completion requests in the OpenAI format.

use crate::entry::request::Problem;
use serde::Deserialize;
use sorrellock_core::id::TokenId;

/// Token limit of a request that sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 128;
/// Maximum number of tokens that a caller may request.
pub const MAX_TOKENS: u32 = 32_768;
/// Maximum prompt length, in tokens.
pub const MAX_PROMPT_TOKENS: usize = 131_072;

/// API that a request uses, which determines the format of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// A validated completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// API used.
    pub shape: Shape,
    /// Name of the pipeline.
    pub model: String,
    /// Prompt, at least one token.
    pub prompt: Vec<TokenId>,
    /// Maximum number of tokens to generate, at least one.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

impl CompletionRequest {
    /// Parses and validates a request body.
    pub fn parse(shape: Shape, body: &[u8]) -> Result<CompletionRequest, Problem> {
        let malformed = |err: serde_json::Error| {
            Problem::bad(
                400,
                "malformed body",
                format!("the body is no request of this kind: {err}"),
            )
        };
        let (model, prompt, max_tokens, stream) = match shape {
            Shape::Completion => {
                let body: CompletionBody = serde_json::from_slice(body).map_err(malformed)?;
                (body.model, body.prompt, body.max_tokens, body.stream)
            }
            Shape::Chat => {
                let body: ChatBody = serde_json::from_slice(body).map_err(malformed)?;
                let max_tokens = body.max_completion_tokens.or(body.max_tokens);
                (body.model, chat_prompt(&body.messages), max_tokens, body.stream)
            }
        };
        let max_tokens = check_max_tokens(max_tokens)?;
        let prompt = check_prompt(&prompt)?;
        Ok(CompletionRequest { shape, model, prompt, max_tokens, stream })
    }
}

fn chat_prompt(messages: &[ChatMessage]) -> String {
    messages.iter().map(|message| format!("{}: {}\n", message.role, message.content)).collect()
}

fn check_max_tokens(max_tokens: Option<u32>) -> Result<u32, Problem> {
    match max_tokens.unwrap_or(DEFAULT_MAX_TOKENS) {
        0 => Err(Problem::bad(400, "bad max_tokens", "max_tokens is 0; ask for at least 1")),
        n if n > MAX_TOKENS => {
            let detail = format!("max_tokens is {n}; ask for at most {MAX_TOKENS}");
            Err(Problem::bad(400, "bad max_tokens", detail))
        }
        n => Ok(n),
    }
}

/// Turns each byte of the prompt into one token: the models' own tokenizers run in the engines.
fn check_prompt(prompt: &str) -> Result<Vec<TokenId>, Problem> {
    if prompt.is_empty() {
        return Err(Problem::bad(
            400,
            "empty prompt",
            "the prompt is empty; send at least one character",
        ));
    }
    if prompt.len() > MAX_PROMPT_TOKENS {
        let detail =
            format!("the prompt has {} tokens; send at most {MAX_PROMPT_TOKENS}", prompt.len());
        return Err(Problem::bad(413, "long prompt", detail));
    }
    Ok(prompt.bytes().map(TokenId::from).collect())
}
