//! One attempt at one engine: its stream opened, read, and opened again after a break.

use std::time::Duration;

use futures_util::StreamExt;
use plan::{AttemptTimeout, EngineProfile};

use super::{Ended, Event, Pump, SILENCE_MS};
use crate::booking::Booking;
use crate::engine::{self, Ask, EngineError, Part, Parts};

/// Tokens from which an answer's pace is judged.
const LEAST_TOKENS: u32 = 8;

/// Times that a stream is resumed on one engine.
const RESUMES: u32 = 3;

/// Time for which a caller may leave its answer unread before its work is cancelled.
const UNREAD_MS: u64 = 30_000;

/// One attempt at one engine.
pub(super) struct Attempt {
    pub(super) name: String,
    pub(super) address: String,
    pub(super) request_id: String,
    pub(super) booking: Booking,
    /// Predicted time between two tokens, without what the engine's slowness adds.
    pub(super) token_ms: f64,
    pub(super) sent_ms: u64,
    /// Number and time of the first token of this attempt.
    pub(super) first: Option<(u32, u64)>,
    pub(super) budget: AttemptTimeout,
}

impl Pump {
    /// Reads the stream of an attempt to its end, whatever end that is.
    pub(super) async fn carry(&mut self, attempt: &mut Attempt) -> Ended {
        let mut parts = match self.open(attempt).await {
            Ok(parts) => parts,
            Err(ended) => return ended,
        };
        let mut resumes = 0;
        loop {
            let reason = match self.read(attempt, &mut parts).await {
                Ok(ended) => return ended,
                Err(EngineError::Hopeless) => return Ended::Hopeless,
                Err(error) => error,
            };
            log::info!(
                step = "stream", request_id = attempt.request_id.as_str(),
                peer = attempt.name.as_str(), number = self.produced; "{reason}"
            );
            // Opening the stream again on an engine that has shown nobody a sign of life would
            // spend the time that another engine needs.
            let dead = matches!(reason, EngineError::Silent { .. }) && !attempt.booking.started;
            if dead || resumes == RESUMES {
                return self.blame(attempt, "stream");
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
            parts = match timed(attempt.budget.timeout_ms, again).await {
                Ok(parts) => parts,
                Err(error) => {
                    self.note_end(attempt, &error);
                    return self.blame(attempt, "resume");
                }
            };
        }
    }

    async fn open(&mut self, attempt: &Attempt) -> Result<Parts, Ended> {
        let generated = self.text.clone();
        let ask = Ask {
            request_id: &attempt.request_id,
            model: &self.work.loaded,
            prompt: &self.work.prompt,
            generated: &generated,
            max_tokens: self.work.max_tokens,
            priority: self.work.rank,
        };
        let open = engine::open(&self.app, &attempt.address, &ask);
        let opened = tokio::select! {
            opened = timed(attempt.budget.timeout_ms, open) => opened,
            () = self.sender.closed() => return Err(Ended::CallerGone),
        };
        let error = match opened {
            Ok(parts) => {
                self.touched = true;
                return Ok(parts);
            }
            Err(error) => error,
        };
        log::info!(
            step = "open", request_id = attempt.request_id.as_str(),
            peer = attempt.name.as_str(); "{error}"
        );
        Err(match error {
            EngineError::NeverSent { .. } => self.blame(attempt, "connect"),
            EngineError::Refused { .. } => Ended::Again("refused"),
            EngineError::Crossed => {
                self.touched = true;
                self.app
                    .metrics
                    .strays
                    .with_label_values(&["crossed"])
                    .inc();
                self.blame(attempt, "crossed")
            }
            EngineError::Broken { .. } => {
                self.touched = true;
                self.look(attempt).await;
                self.blame(attempt, "open")
            }
            EngineError::Silent { .. } | EngineError::Hopeless => {
                self.touched = true;
                self.blame(attempt, "open")
            }
        })
    }

    fn blame(&self, attempt: &Attempt, reason: &'static str) -> Ended {
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.booking.engine);
        engine.health.record_failure(self.app.now_ms());
        Ended::Again(reason)
    }

    /// Reads parts until the end; an error means that the stream must be opened again.
    async fn read(
        &mut self,
        attempt: &mut Attempt,
        parts: &mut Parts,
    ) -> Result<Ended, EngineError> {
        loop {
            let part = tokio::select! {
                part = self.next(attempt, parts) => part?,
                () = self.sender.closed() => return Ok(Ended::CallerGone),
            };
            match part {
                Part::Token(number, text) => {
                    if !self.take(attempt, number, text).await? {
                        return Ok(Ended::CallerGone);
                    }
                }
                Part::End(usage) if usage.completion_tokens == self.produced => {
                    self.judge(attempt);
                    return Ok(Ended::Whole(usage));
                }
                Part::End(usage) => {
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
    async fn next(&self, attempt: &Attempt, parts: &mut Parts) -> Result<Part, EngineError> {
        let mut limit_ms = if attempt.booking.started {
            SILENCE_MS
        } else {
            attempt.budget.timeout_ms
        };
        loop {
            let limit = Duration::from_millis(limit_ms);
            if let Ok(part) = actix_rt::time::timeout(limit, parts.next()).await {
                return part.unwrap_or(Err(ended_early()));
            }
            if attempt.booking.started || self.is_silent(attempt) {
                return Err(silent(limit_ms));
            }
            limit_ms = self.hope_ms();
            if limit_ms == 0 {
                return Err(EngineError::Hopeless);
            }
        }
    }

    fn is_silent(&self, attempt: &Attempt) -> bool {
        let fleet = self.app.fleet.borrow();
        let engine = fleet.get(attempt.booking.engine);
        engine.health.is_silent_since(attempt.sent_ms)
    }

    /// Time for which an answer that has not started can still be in time.
    fn hope_ms(&self) -> u64 {
        let tokens = f64::from(self.work.max_tokens);
        let until_ms = plan::give_up_ms(
            &EngineProfile::default(),
            self.work.deadline_ms as f64,
            tokens,
        );
        (until_ms - self.app.now_ms() as f64).max(0.0) as u64
    }

    /// Hands one token on, unless the caller has it; `false` when the caller is gone.
    async fn take(
        &mut self,
        attempt: &mut Attempt,
        number: u32,
        text: String,
    ) -> Result<bool, EngineError> {
        if number <= self.produced {
            self.app
                .metrics
                .strays
                .with_label_values(&["repeated"])
                .inc();
            return Ok(true);
        }
        if number != self.produced + 1 {
            return Err(EngineError::Broken {
                detail: format!("token {number} after {}", self.produced),
            });
        }
        if !attempt.booking.started {
            self.first(attempt);
        }
        self.produced = number;
        self.text.push_str(&text);
        let event = Event::Token {
            number,
            text,
            engine: attempt.name.clone(),
            request_id: attempt.request_id.clone(),
        };
        let limit = Duration::from_millis(UNREAD_MS);
        let sent = actix_rt::time::timeout(limit, self.sender.send(event)).await;
        Ok(matches!(sent, Ok(Ok(()))))
    }

    /// Compares the pace of the output with what was predicted of an engine in good health.
    fn judge(&self, attempt: &Attempt) {
        let Some((first, first_ms)) = attempt.first else {
            return;
        };
        let tokens = self.produced.saturating_sub(first);
        if tokens < LEAST_TOKENS {
            return;
        }
        let now_ms = self.app.now_ms();
        let pace_ms = now_ms.saturating_sub(first_ms) as f64 / f64::from(tokens);
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.booking.engine);
        engine
            .health
            .record_latency(now_ms, attempt.token_ms, pace_ms);
    }

    fn first(&self, attempt: &mut Attempt) {
        attempt.booking.start();
        let now_ms = self.app.now_ms();
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.booking.engine);
        engine.health.record_activity(now_ms);
        attempt.first = Some((self.produced + 1, now_ms));
        if self.produced == 0 {
            let since_ms = now_ms.saturating_sub(self.work.arrived_ms) as f64;
            let metric = &self.app.metrics.first_token;
            metric
                .with_label_values(&[&self.work.class])
                .observe(since_ms / 1_000.0);
        }
    }
}

fn ended_early() -> EngineError {
    EngineError::Broken {
        detail: "ended without its end mark".to_owned(),
    }
}

fn silent(limit_ms: u64) -> EngineError {
    EngineError::Silent { limit_ms }
}

async fn timed<T>(
    limit_ms: u64,
    step: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    let limit = Duration::from_millis(limit_ms);
    let done = actix_rt::time::timeout(limit, step).await;
    done.unwrap_or_else(|_| Err(silent(limit_ms)))
}
