//! One attempt at one engine: its stream opened, read, and opened again after a break.

use std::time::Duration;

use futures_util::StreamExt;
use plan::{AttemptTimeout, EngineProfile};

use super::{AttemptOutcome, CompletionEvent, CompletionRunner, TOKEN_TIMEOUT_MS};
use crate::engine::{self, EngineError, EngineEvent, EngineEvents, EngineRequest};
use crate::load_guard::LoadGuard;

/// Tokens from which an answer's pace is judged.
const MIN_PACE_TOKENS: u32 = 8;

/// Times that a stream is resumed on one engine.
const MAX_RESUMES: u32 = 3;

/// Time for which a caller may leave its answer unread before its work is cancelled.
const CALLER_STALL_TIMEOUT_MS: u64 = 30_000;

/// One attempt at one engine.
pub(super) struct Attempt {
    pub(super) name: String,
    pub(super) address: String,
    pub(super) request_id: String,
    pub(super) load_guard: LoadGuard,
    /// Predicted time between two tokens, without what the engine's slowness adds.
    pub(super) expected_token_ms: f64,
    pub(super) sent_ms: u64,
    /// Number and time of the first token of this attempt.
    pub(super) first_token: Option<(u32, u64)>,
    pub(super) timeout: AttemptTimeout,
}

impl CompletionRunner {
    /// Reads the stream of an attempt to its end, whatever end that is.
    pub(super) async fn run_attempt(&mut self, attempt: &mut Attempt) -> AttemptOutcome {
        let mut events = match self.open(attempt).await {
            Ok(events) => events,
            Err(ended) => return ended,
        };
        let mut resumes = 0;
        loop {
            let reason = match self.read(attempt, &mut events).await {
                Ok(ended) => return ended,
                Err(EngineError::TooLate) => return AttemptOutcome::TooLate,
                Err(error) => error,
            };
            log::info!(
                step = "stream", request_id = attempt.request_id.as_str(),
                peer = attempt.name.as_str(), number = self.produced; "{reason}"
            );
            // Opening the stream again on an engine that has shown nobody a sign of life would
            // spend the time that another engine needs.
            let dead = matches!(reason, EngineError::Timeout { .. }) && !attempt.load_guard.started;
            if dead || resumes == MAX_RESUMES {
                return self.fail_attempt(attempt, "stream");
            }
            resumes += 1;
            self.app
                .metrics
                .retries
                .with_label_values(&["resume"])
                .inc();
            let again = engine::resume(
                &self.app,
                &attempt.address,
                &attempt.request_id,
                self.produced,
            );
            events = match with_timeout(attempt.timeout.timeout_ms, again).await {
                Ok(events) => events,
                Err(error) => {
                    self.record_engine_loss(attempt, &error);
                    return self.fail_attempt(attempt, "resume");
                }
            };
        }
    }

    async fn open(&mut self, attempt: &Attempt) -> Result<EngineEvents, AttemptOutcome> {
        let generated = self.text.clone();
        let request = EngineRequest {
            request_id: &attempt.request_id,
            model: &self.job.loaded,
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
            EngineError::Broken { .. } => {
                self.may_have_run = true;
                self.probe_engine(attempt).await;
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

    /// Reads parts until the end; an error means that the stream must be opened again.
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
                    let (whole, have) = (usage.completion_tokens, self.produced);
                    return Err(EngineError::Broken {
                        detail: format!("end mark at {whole}, {have} tokens came"),
                    });
                }
            }
        }
    }

    /// Waits for the next part: for a first token as long as it can still be in time and the
    /// engine shows that it lives, later for a bounded silence.
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
                return event.unwrap_or(Err(ended_early()));
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

    /// Time for which an answer that has not started can still be in time.
    fn remaining_start_ms(&self) -> u64 {
        let tokens = f64::from(self.job.max_tokens);
        let until_ms = plan::give_up_ms(
            &EngineProfile::default(),
            self.job.deadline_ms as f64,
            tokens,
        );
        (until_ms - self.app.now_ms() as f64).max(0.0) as u64
    }

    /// Hands one token on, unless the caller has it; `false` when the caller is gone.
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

    /// Compares the pace of the output with what was predicted of an engine in good health.
    fn record_pace(&self, attempt: &Attempt) {
        let Some((first_token, first_ms)) = attempt.first_token else {
            return;
        };
        let tokens = self.produced.saturating_sub(first_token);
        if tokens < MIN_PACE_TOKENS {
            return;
        }
        let now_ms = self.app.now_ms();
        let pace_ms = now_ms.saturating_sub(first_ms) as f64 / f64::from(tokens);
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.load_guard.engine);
        engine
            .health
            .record_latency(now_ms, attempt.expected_token_ms, pace_ms);
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

fn ended_early() -> EngineError {
    EngineError::Broken {
        detail: "ended without its end mark".to_owned(),
    }
}

fn timed_out(limit_ms: u64) -> EngineError {
    EngineError::Timeout { limit_ms }
}

async fn with_timeout<T>(
    limit_ms: u64,
    step: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    let limit = Duration::from_millis(limit_ms);
    let done = actix_rt::time::timeout(limit, step).await;
    done.unwrap_or_else(|_| Err(timed_out(limit_ms)))
}
