//! JSON of the OpenAI-compatible completion API.

use serde::{Deserialize, Serialize};

use crate::engine::Usage;

/// Maximum number of output tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 128;

/// Completion endpoint of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Message {
    role: String,
    content: String,
}

/// Body of a completion request. Unknown fields are ignored, since clients send those of other
/// servers.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct CompletionRequest {
    pub(crate) model: String,
    messages: Option<Vec<Message>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
}

impl CompletionRequest {
    /// The prompt for the engine, or the name of the field that is missing.
    pub(crate) fn prompt(&self, endpoint: Endpoint) -> Result<String, &'static str> {
        match endpoint {
            Endpoint::Text => self.prompt.clone().ok_or("prompt"),
            Endpoint::Chat => {
                let messages = self
                    .messages
                    .as_ref()
                    .filter(|messages| !messages.is_empty());
                let lines = messages.ok_or("messages")?.iter();
                let lines = lines.map(|message| format!("{}: {}\n", message.role, message.content));
                Ok(lines.collect())
            }
        }
    }

    pub(crate) fn max_tokens(&self) -> u32 {
        let requested = self.max_completion_tokens.or(self.max_tokens);
        requested.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

#[derive(Debug, Default, Serialize)]
struct MessageBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug, Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<MessageBody<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<MessageBody<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

/// A complete answer, or one event of a streamed answer.
#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
    /// Token with which the stream can be resumed at any instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    resume: Option<&'a str>,
}

/// Fields that all events of an answer share.
#[derive(Debug, Clone)]
pub(crate) struct CompletionMetadata {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) endpoint: Endpoint,
    pub(crate) created: u64,
}

impl CompletionMetadata {
    fn object(&self, streamed: bool) -> &'static str {
        match (self.endpoint, streamed) {
            (Endpoint::Chat, true) => "chat.completion.chunk",
            (Endpoint::Chat, false) => "chat.completion",
            (Endpoint::Text, _) => "text_completion",
        }
    }

    fn completion<'a>(&'a self, streamed: bool, choice: Choice<'a>) -> Completion<'a> {
        Completion {
            id: &self.id,
            object: self.object(streamed),
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage: None,
            resume: None,
        }
    }

    /// Encodes the event of a token.
    pub(crate) fn token(&self, number: u32, text: &str, resume: &str) -> String {
        let choice = match self.endpoint {
            Endpoint::Text => Choice {
                text: Some(text),
                ..Choice::default()
            },
            Endpoint::Chat => Choice {
                delta: Some(MessageBody {
                    role: (number == 1).then_some("assistant"),
                    content: Some(text),
                }),
                ..Choice::default()
            },
        };
        let event = Completion {
            resume: Some(resume),
            ..self.completion(true, choice)
        };
        format!("id: {number}\ndata: {}\n\n", to_json(&event))
    }

    /// Encodes the final events of a stream.
    pub(crate) fn end(&self, usage: Usage) -> String {
        let choice = match self.endpoint {
            Endpoint::Text => Choice {
                text: Some(""),
                finish_reason: Some("stop"),
                ..Choice::default()
            },
            Endpoint::Chat => Choice {
                delta: Some(MessageBody::default()),
                finish_reason: Some("stop"),
                ..Choice::default()
            },
        };
        let event = Completion {
            usage: Some(usage.into()),
            ..self.completion(true, choice)
        };
        format!("data: {}\n\ndata: [DONE]\n\n", to_json(&event))
    }

    /// Encodes a complete answer.
    pub(crate) fn complete(&self, text: &str, usage: Usage) -> String {
        let choice = match self.endpoint {
            Endpoint::Text => Choice {
                text: Some(text),
                finish_reason: Some("stop"),
                ..Choice::default()
            },
            Endpoint::Chat => Choice {
                message: Some(MessageBody {
                    role: Some("assistant"),
                    content: Some(text),
                }),
                finish_reason: Some("stop"),
                ..Choice::default()
            },
        };
        to_json(&Completion {
            usage: Some(usage.into()),
            ..self.completion(false, choice)
        })
    }
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
        }
    }
}

fn to_json(completion: &Completion) -> String {
    serde_json::to_string(completion).unwrap_or_default()
}
