//! What identifies the request of a run among others.

use crate::request::ContentId;

/// A part of a prompt that other requests may have, too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identity.
    pub id: ContentId,
    /// Its name, for operators.
    pub name: String,
}

impl PromptPart {
    /// Creates the part of a model's prompts that callers name `name`.
    pub fn new(model: &str, name: &str) -> PromptPart {
        PromptPart { id: ContentId::of_part(model, name), name: name.to_owned() }
    }
}

/// The request of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRequest {
    /// Identity of its content.
    pub content: ContentId,
    /// The parts of its prompt that other requests may have, too.
    pub parts: Vec<PromptPart>,
    /// Name of its caller's workspace.
    pub workspace: Option<String>,
    /// Its path, for operators.
    pub path: String,
}

impl RunRequest {
    /// Returns the name of the part with this identity.
    pub fn part_name(&self, identity: ContentId) -> Option<String> {
        let part = self.parts.iter().find(|part| part.id == identity);
        part.map(|part| part.name.clone())
    }

    /// Returns the identities by which it may be one of several requests that crash endpoints: its content and its parts.
    pub fn identities(&self) -> impl Iterator<Item = ContentId> {
        [self.content].into_iter().chain(self.parts.iter().map(|part| part.id))
    }
}
