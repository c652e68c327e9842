//! Streamed completions, verified token by token and resumed when an instance fails.

use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::{Value, json};
use standin::expected_token;

use crate::{Caller, Outcome};

/// Maximum number of attempts per completion.
const MAX_ATTEMPTS: u32 = 8;

/// Time without an event after which a stream counts as broken, in ms.
const IDLE_TIMEOUT_MS: u64 = 6_000;

/// A completion to request.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Request class.
    pub class: String,
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of output tokens.
    pub tokens: u32,
    /// Deadline of the complete answer, in ms from the start of the request.
    pub deadline_ms: u64,
}

/// Result of a request, as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time to the end, in ms, over all attempts.
    pub duration_ms: u64,
    /// Time to the first token, in ms; 0 if there was none.
    pub first_token_ms: u64,
    /// Whether a partial stream broke and the caller went on at another instance.
    pub resumed: bool,
}

enum AttemptResult {
    Complete,
    Wrong,
    Refused {
        ran: bool,
        retry_after_ms: Option<u64>,
    },
    Broken,
}

struct Progress {
    received_tokens: u32,
    resume: Option<String>,
    first_token_ms: Option<u64>,
    resumed: bool,
}

impl Caller {
    /// Requests a completion and reads its stream to the end, with retries and resumes.
    pub async fn complete(&self, completion: &CompletionRequest) -> RequestResult {
        let started_ms = self.clock.now_ms();
        let mut progress = Progress {
            received_tokens: 0,
            resume: None,
            first_token_ms: None,
            resumed: false,
        };
        let mut outcome = Outcome::Refused;
        for _ in 0..MAX_ATTEMPTS {
            let elapsed_ms = self.clock.now_ms() - started_ms;
            if progress.received_tokens == 0 && elapsed_ms >= completion.deadline_ms {
                break;
            }
            let Some(instance) = self.instance().await else {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            match self
                .attempt(&instance, completion, started_ms, &mut progress)
                .await
            {
                AttemptResult::Complete => {
                    let in_time = self.clock.now_ms() - started_ms <= completion.deadline_ms;
                    outcome = if in_time {
                        Outcome::InTime
                    } else {
                        Outcome::Late
                    };
                    break;
                }
                AttemptResult::Wrong => {
                    outcome = Outcome::Wrong;
                    break;
                }
                AttemptResult::Refused {
                    ran,
                    retry_after_ms,
                } => {
                    outcome = if ran {
                        Outcome::Unknown
                    } else {
                        Outcome::Refused
                    };
                    match retry_after_ms {
                        Some(ms) if elapsed_ms + ms < completion.deadline_ms => {
                            actix_rt::time::sleep(Duration::from_millis(ms)).await;
                        }
                        _ => break,
                    }
                }
                AttemptResult::Broken => {
                    outcome = Outcome::Unknown;
                    self.mark_failed(&instance);
                    progress.resumed |= progress.received_tokens > 0;
                }
            }
        }
        RequestResult {
            outcome,
            duration_ms: self.clock.now_ms() - started_ms,
            first_token_ms: progress.first_token_ms.unwrap_or(0),
            resumed: progress.resumed,
        }
    }

    async fn attempt(
        &self,
        instance: &str,
        completion: &CompletionRequest,
        started_ms: u64,
        progress: &mut Progress,
    ) -> AttemptResult {
        let elapsed_ms = self.clock.now_ms() - started_ms;
        let remaining_ms = completion.deadline_ms.saturating_sub(elapsed_ms).max(1);
        let sent = if let Some(token) = &progress.resume {
            let url = format!("http://{instance}/v1/streams/{token}");
            let request = self.client.get(url).bearer_auth(&self.tenant.key);
            let request = request.insert_header(("last-event-id", progress.received_tokens));
            request.send().await
        } else {
            let body = json!({
                "model": completion.model,
                "prompt": completion.prompt,
                "max_tokens": completion.tokens,
                "stream": true,
            });
            let url = format!("http://{instance}/v1/completions");
            let request = self.client.post(url).bearer_auth(&self.tenant.key);
            let request = request.insert_header(("x-request-class", completion.class.as_str()));
            let request = request.insert_header(("x-deadline-ms", remaining_ms));
            request.send_json(&body).await
        };
        let Ok(mut response) = sent else {
            return AttemptResult::Broken;
        };
        if !response.status().is_success() {
            // The stream can no longer be resumed, so the request starts over.
            if progress.resume.take().is_some() {
                progress.received_tokens = 0;
                return AttemptResult::Broken;
            }
            let body: Value = response.json().await.unwrap_or_default();
            return AttemptResult::Refused {
                ran: body["ran"] != "not_run",
                retry_after_ms: body["retry_after_ms"].as_u64(),
            };
        }
        let mut events = response.eventsource();
        loop {
            let limit = Duration::from_millis(IDLE_TIMEOUT_MS);
            let Ok(Some(Ok(event))) = actix_rt::time::timeout(limit, events.next()).await else {
                return AttemptResult::Broken;
            };
            if let Some(result) = self.process_event(completion, started_ms, progress, &event) {
                return result;
            }
        }
    }

    fn process_event(
        &self,
        completion: &CompletionRequest,
        started_ms: u64,
        progress: &mut Progress,
        event: &eventsource_stream::Event,
    ) -> Option<AttemptResult> {
        if event.data == "[DONE]" {
            let complete = progress.received_tokens == completion.tokens;
            return Some(if complete {
                AttemptResult::Complete
            } else {
                AttemptResult::Wrong
            });
        }
        if event.event == "error" {
            return Some(AttemptResult::Broken);
        }
        let data: Value = serde_json::from_str(&event.data).ok()?;
        let text = data["choices"][0]["text"].as_str().unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        if text != expected_token(&completion.prompt, progress.received_tokens as usize) {
            return Some(AttemptResult::Wrong);
        }
        progress.received_tokens += 1;
        progress
            .first_token_ms
            .get_or_insert(self.clock.now_ms() - started_ms);
        progress.resume = data["resume"].as_str().map(str::to_owned);
        None
    }
}
