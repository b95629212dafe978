//! The response to a completion request, whole or streamed, in the OpenAI format.

use crate::entry::request::{CompletionRequest, OUTCOME_HEADER, Problem, Shape};
use serde_json::{Value, json};
use sorrellock_core::request::RequestKey;
use sorrellock_http::{BodyStream, PushError, Responder};
use std::time::{SystemTime, UNIX_EPOCH};

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// A response that is being sent to the caller.
pub struct Answer {
    id: String,
    model: String,
    shape: Shape,
    created: u64,
    prompt_tokens: usize,
    completion_tokens: u32,
    /// The text so far, if the response is kept for retries.
    kept: Option<String>,
    body: AnswerBody,
}

enum AnswerBody {
    Whole { responder: Responder, text: String },
    Waiting(Responder),
    Streaming { stream: BodyStream, pending: String },
    Ended,
}

impl Answer {
    /// Creates a response; nothing is sent yet.
    pub fn new(
        request: RequestKey,
        completion: &CompletionRequest,
        responder: Responder,
    ) -> Answer {
        let body = match completion.stream {
            true => AnswerBody::Waiting(responder),
            false => AnswerBody::Whole { responder, text: String::new() },
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Answer {
            id: format!("cmpl-{request}"),
            model: completion.model.clone(),
            shape: completion.shape,
            created: now.as_secs(),
            prompt_tokens: completion.prompt.len(),
            completion_tokens: 0,
            kept: None,
            body,
        }
    }

    /// Keeps the text from now on, so that [`Answer::replay`] can return the whole response.
    pub fn keep(&mut self) {
        self.kept = Some(String::new());
    }

    /// Returns content type and body of the whole response for a retry, if the text was kept.
    pub fn replay(&self, end_of_text: bool, stream: bool) -> Option<(&'static str, String)> {
        let text = self.kept.as_ref()?;
        let reason = finish_reason(end_of_text);
        if !stream {
            return Some(("application/json", self.whole(text, reason).to_string()));
        }
        let (event, last) = (self.event_of(text, None), self.event_of("", Some(reason)));
        Some(("text/event-stream", format!("{event}{last}data: [DONE]\n\n")))
    }

    /// Appends the text of the next token. A stream sends its response head with the first token.
    pub fn push(&mut self, token: &str) -> Result<(), CallerGone> {
        self.completion_tokens += 1;
        if let Some(kept) = &mut self.kept {
            kept.push_str(token);
        }
        self.start_stream();
        let event = self.event(token, None);
        match &mut self.body {
            AnswerBody::Whole { text, .. } => text.push_str(token),
            AnswerBody::Streaming { stream, pending } => {
                pending.push_str(&event);
                return send_pending(stream, pending);
            }
            AnswerBody::Waiting(_) | AnswerBody::Ended => {}
        }
        Ok(())
    }

    /// Completes the response.
    pub fn finish(&mut self, end_of_text: bool) {
        let reason = finish_reason(end_of_text);
        self.start_stream();
        let last = self.event("", Some(reason));
        match std::mem::replace(&mut self.body, AnswerBody::Ended) {
            AnswerBody::Whole { responder, text } => {
                let headers = [("content-type", "application/json"), (OUTCOME_HEADER, "done")];
                responder.send(200, &headers, self.whole(&text, reason).to_string());
            }
            AnswerBody::Streaming { stream, pending } => {
                stream.finish_with(format!("{pending}{last}data: [DONE]\n\n"));
            }
            AnswerBody::Waiting(_) | AnswerBody::Ended => {}
        }
    }

    /// Ends the response with a problem; a stream that has started ends with an error event.
    pub fn fail(&mut self, problem: &Problem) {
        match std::mem::replace(&mut self.body, AnswerBody::Ended) {
            AnswerBody::Whole { responder, .. } | AnswerBody::Waiting(responder) => {
                problem.send(responder)
            }
            AnswerBody::Streaming { stream, pending } => {
                let event = json!({ "error": problem.json() });
                stream.finish_with(format!("{pending}event: error\ndata: {event}\n\n"));
            }
            AnswerBody::Ended => {}
        }
    }

    fn start_stream(&mut self) {
        let body = std::mem::replace(&mut self.body, AnswerBody::Ended);
        self.body = match body {
            AnswerBody::Waiting(responder) => {
                let headers = [
                    ("content-type", "text/event-stream"),
                    ("cache-control", "no-cache"),
                    (OUTCOME_HEADER, "done"),
                ];
                let stream = responder.stream(200, &headers);
                AnswerBody::Streaming { stream, pending: String::new() }
            }
            other => other,
        };
    }

    fn event(&self, text: &str, finish_reason: Option<&str>) -> String {
        if !matches!(self.body, AnswerBody::Streaming { .. }) {
            return String::new();
        }
        self.event_of(text, finish_reason)
    }

    fn event_of(&self, text: &str, finish_reason: Option<&str>) -> String {
        let choice = match self.shape {
            Shape::Completion => {
                json!({ "index": 0, "text": text, "finish_reason": finish_reason })
            }
            Shape::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason })
            }
        };
        let object = match self.shape {
            Shape::Completion => "text_completion",
            Shape::Chat => "chat.completion.chunk",
        };
        format!("data: {}\n\n", self.envelope(object, choice))
    }

    fn whole(&self, text: &str, finish_reason: &str) -> Value {
        let (object, choice) = match self.shape {
            Shape::Completion => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            ),
            Shape::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                (
                    "chat.completion",
                    json!({ "index": 0, "message": message, "finish_reason": finish_reason }),
                )
            }
        };
        let mut body = self.envelope(object, choice);
        body["usage"] = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens as usize,
        });
        body
    }

    fn envelope(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn finish_reason(end_of_text: bool) -> &'static str {
    if end_of_text { "stop" } else { "length" }
}

/// Sends the buffered events. While the caller reads slowly they stay buffered; the response's length bounds them.
fn send_pending(stream: &BodyStream, pending: &mut String) -> Result<(), CallerGone> {
    match stream.push(pending.clone()) {
        Ok(()) => pending.clear(),
        Err(PushError::Full) => {}
        Err(PushError::Gone) => return Err(CallerGone),
    }
    Ok(())
}
