//! One attempt at an engine: opens its stream, reads it, and resumes it after a failure.

use std::time::Duration;

use futures_util::StreamExt;
use plan::{AttemptTimeout, EngineProfile};

use super::{AttemptOutcome, CompletionEvent, CompletionRunner, TOKEN_TIMEOUT_MS};
use crate::engine::{self, EngineError, EngineEvent, EngineEvents, EngineRequest};
use crate::load_guard::LoadGuard;

/// Minimum number of tokens from which the output rate of an engine is measured.
const MIN_PACE_TOKENS: u32 = 8;

/// Maximum number of resumes on one engine.
const MAX_RESUMES: u32 = 3;

/// Time after which a completion is cancelled if its caller does not read the answer.
const CALLER_STALL_TIMEOUT_MS: u64 = 30_000;

/// An attempt at an engine.
pub(super) struct Attempt {
    pub(super) name: String,
    pub(super) address: String,
    pub(super) request_id: String,
    pub(super) load_guard: LoadGuard,
    /// Predicted time between two tokens of a healthy engine, in ms.
    pub(super) expected_token_ms: f64,
    pub(super) sent_ms: u64,
    /// Number and time of the first token of this attempt.
    pub(super) first_token: Option<(u32, u64)>,
    pub(super) timeout: AttemptTimeout,
}

impl CompletionRunner {
    /// Opens and reads the stream of an attempt until it completes or fails, resuming it as needed.
    pub(super) async fn run_attempt(&mut self, attempt: &mut Attempt) -> AttemptOutcome {
        let mut events = match self.open(attempt).await {
            Ok(events) => events,
            Err(outcome) => return outcome,
        };
        let mut resumes = 0;
        let mut resumed_at = None;
        loop {
            let reason = match self.read(attempt, &mut events).await {
                Ok(outcome) => return outcome,
                Err(EngineError::TooLate) => return AttemptOutcome::TooLate,
                Err(error) => error,
            };
            log::info!(
                step = "stream", request_id = attempt.request_id.as_str(),
                peer = attempt.name.as_str(), number = self.produced; "{reason}"
            );
            if reason == EngineError::EndedEarly && resumed_at == Some(self.produced) {
                self.attribute_loss(attempt, engine::sign_of(&reason));
                return self.fail_attempt(attempt, "resume");
            }
            // Resuming on an engine that has answered no request since this one was sent would
            // spend the time that another engine needs.
            let is_unresponsive =
                matches!(reason, EngineError::Timeout { .. }) && !attempt.load_guard.started;
            if is_unresponsive || resumes == MAX_RESUMES {
                return self.fail_attempt(attempt, "stream");
            }
            resumes += 1;
            self.app
                .metrics
                .retries
                .with_label_values(&["resume"])
                .inc();
            let reopened = engine::resume(
                &self.app,
                &attempt.address,
                &attempt.request_id,
                self.produced,
            );
            events = match with_timeout(attempt.timeout.timeout_ms, reopened).await {
                Ok(events) => events,
                Err(error) => {
                    self.attribute_loss(attempt, engine::sign_of(&error));
                    return self.fail_attempt(attempt, "resume");
                }
            };
            resumed_at = Some(self.produced);
        }
    }

    async fn open(&mut self, attempt: &Attempt) -> Result<EngineEvents, AttemptOutcome> {
        let generated = self.text.clone();
        let request = EngineRequest {
            request_id: &attempt.request_id,
            model: &self.job.model_version,
            prompt: &self.job.prompt,
            generated: &generated,
            max_tokens: self.job.max_tokens,
            priority: self.job.rank,
        };
        let open = engine::open(&self.app, &attempt.address, &request);
        let opened = tokio::select! {
            opened = with_timeout(attempt.timeout.timeout_ms, open) => opened,
            () = self.sender.closed() => return Err(AttemptOutcome::CallerGone),
        };
        let error = match opened {
            Ok(events) => {
                self.may_have_run = true;
                return Ok(events);
            }
            Err(error) => error,
        };
        log::info!(
            step = "open", request_id = attempt.request_id.as_str(),
            peer = attempt.name.as_str(); "{error}"
        );
        Err(match error {
            EngineError::NeverSent { .. } => self.fail_attempt(attempt, "connect"),
            EngineError::Refused { .. } => AttemptOutcome::Retry("refused"),
            EngineError::WrongRequest => {
                self.may_have_run = true;
                self.app
                    .metrics
                    .stray_answers
                    .with_label_values(&["crossed"])
                    .inc();
                self.fail_attempt(attempt, "crossed")
            }
            EngineError::Broken { .. } | EngineError::EndedEarly => {
                self.may_have_run = true;
                let sign = self.sign_of_first_event(attempt).await;
                self.attribute_loss(attempt, sign);
                self.fail_attempt(attempt, "open")
            }
            EngineError::Timeout { .. } | EngineError::TooLate => {
                self.may_have_run = true;
                self.fail_attempt(attempt, "open")
            }
        })
    }

    fn fail_attempt(&self, attempt: &Attempt, reason: &'static str) -> AttemptOutcome {
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.load_guard.engine);
        engine.health.record_failure(self.app.now_ms());
        AttemptOutcome::Retry(reason)
    }

    /// Reads events until the end of the stream. On an error the stream must be resumed.
    async fn read(
        &mut self,
        attempt: &mut Attempt,
        events: &mut EngineEvents,
    ) -> Result<AttemptOutcome, EngineError> {
        loop {
            let event = tokio::select! {
                event = self.next(attempt, events) => event?,
                () = self.sender.closed() => return Ok(AttemptOutcome::CallerGone),
            };
            match event {
                EngineEvent::Token(number, text) => {
                    if !self.forward_token(attempt, number, text).await? {
                        return Ok(AttemptOutcome::CallerGone);
                    }
                }
                EngineEvent::End(usage) if usage.completion_tokens == self.produced => {
                    self.record_pace(attempt);
                    return Ok(AttemptOutcome::Complete(usage));
                }
                EngineEvent::End(usage) => {
                    let (expected, received) = (usage.completion_tokens, self.produced);
                    return Err(EngineError::Broken {
                        detail: format!("stream ended after {received} of {expected} tokens"),
                    });
                }
            }
        }
    }

    /// Waits for the next event. The wait for the first token lasts as long as the answer can still
    /// meet its deadline and the engine is responsive; for later tokens it is `TOKEN_TIMEOUT_MS`.
    async fn next(
        &self,
        attempt: &Attempt,
        events: &mut EngineEvents,
    ) -> Result<EngineEvent, EngineError> {
        let mut limit_ms = if attempt.load_guard.started {
            TOKEN_TIMEOUT_MS
        } else {
            attempt.timeout.timeout_ms
        };
        loop {
            let limit = Duration::from_millis(limit_ms);
            if let Ok(event) = actix_rt::time::timeout(limit, events.next()).await {
                return event.unwrap_or(Err(EngineError::EndedEarly));
            }
            if attempt.load_guard.started || self.is_silent(attempt) {
                return Err(timed_out(limit_ms));
            }
            limit_ms = self.remaining_start_ms();
            if limit_ms == 0 {
                return Err(EngineError::TooLate);
            }
        }
    }

    fn is_silent(&self, attempt: &Attempt) -> bool {
        let fleet = self.app.fleet.borrow();
        let engine = fleet.get(attempt.load_guard.engine);
        engine.health.is_silent_since(attempt.sent_ms)
    }

    /// Time left for the answer to start and still meet its deadline, in ms.
    fn remaining_start_ms(&self) -> u64 {
        let tokens = f64::from(self.job.max_tokens);
        let latest_start_ms = plan::give_up_ms(
            &EngineProfile::default(),
            self.job.deadline_ms as f64,
            tokens,
        );
        (latest_start_ms - self.app.now_ms() as f64).max(0.0) as u64
    }

    /// Sends a token to the caller unless it has been sent already. Returns `false` if the caller
    /// has disconnected or does not read.
    async fn forward_token(
        &mut self,
        attempt: &mut Attempt,
        number: u32,
        text: String,
    ) -> Result<bool, EngineError> {
        if number <= self.produced {
            self.app
                .metrics
                .stray_answers
                .with_label_values(&["repeated"])
                .inc();
            return Ok(true);
        }
        if number != self.produced + 1 {
            return Err(EngineError::Broken {
                detail: format!("token {number} after {}", self.produced),
            });
        }
        if !attempt.load_guard.started {
            self.record_first_token(attempt);
        }
        self.produced = number;
        self.text.push_str(&text);
        let event = CompletionEvent::Token {
            number,
            text,
            engine: attempt.name.clone(),
            request_id: attempt.request_id.clone(),
        };
        let limit = Duration::from_millis(CALLER_STALL_TIMEOUT_MS);
        let sent = actix_rt::time::timeout(limit, self.sender.send(event)).await;
        Ok(matches!(sent, Ok(Ok(()))))
    }

    /// Reports the measured time per token, with the prediction for a healthy engine, to the health
    /// tracking.
    fn record_pace(&self, attempt: &Attempt) {
        let Some((first_token, first_ms)) = attempt.first_token else {
            return;
        };
        let tokens = self.produced.saturating_sub(first_token);
        if tokens < MIN_PACE_TOKENS {
            return;
        }
        let now_ms = self.app.now_ms();
        let token_ms = now_ms.saturating_sub(first_ms) as f64 / f64::from(tokens);
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.load_guard.engine);
        engine
            .health
            .record_latency(now_ms, attempt.expected_token_ms, token_ms);
    }

    fn record_first_token(&self, attempt: &mut Attempt) {
        attempt.load_guard.record_first_token();
        let now_ms = self.app.now_ms();
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.load_guard.engine);
        engine.health.record_activity(now_ms);
        attempt.first_token = Some((self.produced + 1, now_ms));
        if self.produced == 0 {
            let since_ms = now_ms.saturating_sub(self.job.arrived_ms) as f64;
            let metric = &self.app.metrics.first_token;
            metric
                .with_label_values(&[&self.job.class])
                .observe(since_ms / 1_000.0);
        }
    }
}

fn timed_out(limit_ms: u64) -> EngineError {
    EngineError::Timeout { limit_ms }
}

pub(super) async fn with_timeout<T>(
    limit_ms: u64,
    operation: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    let limit = Duration::from_millis(limit_ms);
    let done = actix_rt::time::timeout(limit, operation).await;
    done.unwrap_or_else(|_| Err(timed_out(limit_ms)))
}
