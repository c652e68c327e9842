//! Streamed completions, checked token by token and resumed when their instance dies.

use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::{Value, json};
use standin::expected_token;

use crate::{Caller, Outcome};

/// Times that a caller asks again before it gives up.
const TRIES: u32 = 8;

/// Silence after which a caller looks for the rest elsewhere.
const SILENCE_MS: u64 = 6_000;

/// One question.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Class it is asked under.
    pub class: String,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Time to the whole answer.
    pub deadline_ms: u64,
}

/// What a caller saw of one question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Time to the end.
    pub duration_ms: u64,
    /// Time to the first token.
    pub first_token_ms: u64,
    /// The rest came from another instance.
    pub resumed: bool,
}

enum Step {
    Whole,
    Wrong,
    Refused {
        ran: bool,
        retry_after_ms: Option<u64>,
    },
    Broken,
}

struct Progress {
    have: u32,
    resume: Option<String>,
    first_token_ms: Option<u64>,
    resumed: bool,
}

impl Caller {
    /// Asks a question and follows its answer to the end.
    pub async fn complete(&self, question: &CompletionRequest) -> RequestResult {
        let begun_ms = self.clock.now_ms();
        let mut progress = Progress {
            have: 0,
            resume: None,
            first_token_ms: None,
            resumed: false,
        };
        let mut last = Outcome::Refused;
        for _ in 0..TRIES {
            let spent_ms = self.clock.now_ms() - begun_ms;
            if progress.have == 0 && spent_ms >= question.deadline_ms {
                break;
            }
            let Some(instance) = self.instance().await else {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            match self
                .step(&instance, question, begun_ms, &mut progress)
                .await
            {
                Step::Whole => {
                    let in_time = self.clock.now_ms() - begun_ms <= question.deadline_ms;
                    last = if in_time {
                        Outcome::InTime
                    } else {
                        Outcome::Late
                    };
                    break;
                }
                Step::Wrong => {
                    last = Outcome::Wrong;
                    break;
                }
                Step::Refused {
                    ran,
                    retry_after_ms,
                } => {
                    last = if ran {
                        Outcome::Unknown
                    } else {
                        Outcome::Refused
                    };
                    match retry_after_ms {
                        Some(ms) if spent_ms + ms < question.deadline_ms => {
                            actix_rt::time::sleep(Duration::from_millis(ms)).await;
                        }
                        _ => break,
                    }
                }
                Step::Broken => {
                    last = Outcome::Unknown;
                    self.failed(&instance);
                    progress.resumed |= progress.have > 0;
                }
            }
        }
        RequestResult {
            outcome: last,
            duration_ms: self.clock.now_ms() - begun_ms,
            first_token_ms: progress.first_token_ms.unwrap_or(0),
            resumed: progress.resumed,
        }
    }

    async fn step(
        &self,
        instance: &str,
        question: &CompletionRequest,
        begun_ms: u64,
        progress: &mut Progress,
    ) -> Step {
        let spent_ms = self.clock.now_ms() - begun_ms;
        let left_ms = question.deadline_ms.saturating_sub(spent_ms).max(1);
        let sent = if let Some(token) = &progress.resume {
            let url = format!("http://{instance}/v1/streams/{token}");
            let request = self.client.get(url).bearer_auth(&self.tenant.key);
            let request = request.insert_header(("last-event-id", progress.have));
            request.send().await
        } else {
            let body = json!({
                "model": question.model,
                "prompt": question.prompt,
                "max_tokens": question.tokens,
                "stream": true,
            });
            let url = format!("http://{instance}/v1/completions");
            let request = self.client.post(url).bearer_auth(&self.tenant.key);
            let request = request.insert_header(("x-request-class", question.class.as_str()));
            let request = request.insert_header(("x-deadline-ms", left_ms));
            request.send_json(&body).await
        };
        let Ok(mut response) = sent else {
            return Step::Broken;
        };
        if !response.status().is_success() {
            // A stream that is gone cannot be resumed; the question is asked again from the start.
            if progress.resume.take().is_some() {
                progress.have = 0;
                return Step::Broken;
            }
            let body: Value = response.json().await.unwrap_or_default();
            return Step::Refused {
                ran: body["ran"] != "not_run",
                retry_after_ms: body["retry_after_ms"].as_u64(),
            };
        }
        let mut events = response.eventsource();
        loop {
            let limit = Duration::from_millis(SILENCE_MS);
            let Ok(Some(Ok(event))) = actix_rt::time::timeout(limit, events.next()).await else {
                return Step::Broken;
            };
            if let Some(step) = self.take(question, begun_ms, progress, &event) {
                return step;
            }
        }
    }

    fn take(
        &self,
        question: &CompletionRequest,
        begun_ms: u64,
        progress: &mut Progress,
        event: &eventsource_stream::Event,
    ) -> Option<Step> {
        if event.data == "[DONE]" {
            let whole = progress.have == question.tokens;
            return Some(if whole { Step::Whole } else { Step::Wrong });
        }
        if event.event == "error" {
            return Some(Step::Broken);
        }
        let data: Value = serde_json::from_str(&event.data).ok()?;
        let text = data["choices"][0]["text"].as_str().unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        if text != expected_token(&question.prompt, progress.have as usize) {
            return Some(Step::Wrong);
        }
        progress.have += 1;
        progress
            .first_token_ms
            .get_or_insert(self.clock.now_ms() - begun_ms);
        progress.resume = data["resume"].as_str().map(str::to_owned);
        None
    }
}
