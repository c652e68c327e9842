//! Carries one completion from engines to its caller, whole and once.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use plan::{AttemptBudget, Choice, Presence, Request, Shape};
use tokio::sync::mpsc;

use crate::app::App;
use crate::booking::Booking;
use crate::engine::{self, Ask, EngineError, Part, Parts, Usage};
use crate::refusal::{Code, Refusal};

/// Silence between two tokens after which a stream is resumed.
const SILENCE_MS: u64 = 2_500;

/// Tokens from which an answer's pace is judged.
const LEAST_TOKENS: u32 = 8;

/// Times that a stream is resumed on one engine.
const RESUMES: u32 = 3;

/// Time for which a caller may leave its answer unread before its work is cancelled.
const UNREAD_MS: u64 = 30_000;

/// One completion, which keeps the model version it was admitted under.
#[derive(Clone)]
pub(crate) struct Work {
    pub(crate) id: String,
    pub(crate) member: String,
    pub(crate) share: u32,
    pub(crate) class: String,
    pub(crate) rank: usize,
    pub(crate) model: String,
    pub(crate) loaded: String,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: f64,
    pub(crate) max_tokens: u32,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
}

/// What the caller's side gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Event {
    /// A token, its number, and the engine and name under which the rest can be had.
    Token {
        number: u32,
        text: String,
        engine: String,
        request_id: String,
    },
    /// The answer is whole.
    End(Usage),
    /// There is no answer, or no more of it.
    Failed(Refusal),
}

enum Ended {
    Whole(Usage),
    CallerGone,
    Hopeless,
    Again(&'static str),
}

/// One completion on its way.
pub(crate) struct Pump {
    app: Rc<App>,
    work: Work,
    sender: mpsc::Sender<Event>,
    produced: u32,
    text: String,
    tried: Vec<usize>,
    attempts: u32,
    touched: bool,
}

impl Pump {
    pub(crate) fn new(app: Rc<App>, work: Work, sender: mpsc::Sender<Event>) -> Self {
        Self {
            app,
            work,
            sender,
            produced: 0,
            text: String::new(),
            tried: Vec::new(),
            attempts: 0,
            touched: false,
        }
    }

    /// Runs to the end; the last event is `End` or `Failed`.
    pub(crate) async fn run(mut self) {
        self.app.retries.borrow_mut().earn();
        loop {
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(refusal) => return self.fail(refusal).await,
            };
            match self.attempt(&choice).await {
                Ended::Whole(usage) => {
                    let _ = self.sender.send(Event::End(usage)).await;
                    return;
                }
                Ended::CallerGone => return,
                Ended::Hopeless => {
                    let text = "it can no longer be in time";
                    return self
                        .fail(Refusal::new(Code::TooLate, text).retry_after(1_000))
                        .await;
                }
                Ended::Again(reason) => {
                    self.tried.push(choice.engine);
                    self.app.metrics.retries.with_label_values(&[reason]).inc();
                    if !self.app.retries.borrow_mut().spend() {
                        let refusal = Refusal::unknown(Code::Upstream, "no retry is left");
                        return self.fail(refusal.retry_after(1_000)).await;
                    }
                }
            }
        }
    }

    async fn fail(&self, refusal: Refusal) {
        // What was asked of an engine may have run there, whatever came of it.
        let refusal = if self.touched {
            Refusal {
                ran: crate::refusal::Ran::Unknown,
                ..refusal
            }
        } else {
            refusal
        };
        let _ = self.sender.send(Event::Failed(refusal)).await;
    }

    fn choose(&self) -> Result<Choice, Refusal> {
        let now_ms = self.app.now_ms();
        let work = &self.work;
        let left_ms = work.deadline_ms.saturating_sub(now_ms);
        // A caller that has part of its answer gets the rest, even late: it can use nothing else.
        let left_ms = if self.produced > 0 {
            u64::MAX / 4
        } else {
            left_ms
        };
        let request = Request {
            member: &work.member,
            share: work.share,
            model: &work.model,
            rank: work.rank,
            prompt_tokens: work.prompt_tokens + f64::from(self.produced),
            output_tokens: f64::from(work.max_tokens.saturating_sub(self.produced).max(1)),
            left_ms: left_ms as f64,
        };
        let upstreams = self.app.upstreams.borrow();
        let fleet = self.app.fleet.borrow();
        let mut skip = self.tried.clone();
        // An engine that has not loaded the version of this request cannot serve it.
        skip.extend(
            fleet
                .of_model(&work.model)
                .iter()
                .copied()
                .filter(|&place| {
                    let entry = upstreams.engines.get(&fleet.get(place).name);
                    let report = entry.and_then(|entry| entry.report.as_ref());
                    report.is_none_or(|report| !report.loaded.contains(&work.loaded))
                }),
        );
        let mut router = self.app.router.borrow_mut();
        let mut rng = self.app.rng.borrow_mut();
        Ok(router.route(now_ms, &fleet, &request, |_| 0.0, &skip, &mut *rng)?)
    }

    /// Engines that could serve instead of one, for the share of time that one may spend.
    fn others(&self, engine: usize) -> usize {
        let fleet = self.app.fleet.borrow();
        let fit = |place: &&usize| {
            **place != engine
                && !self.tried.contains(place)
                && fleet.get(**place).presence == Presence::Live
        };
        fleet.of_model(&self.work.model).iter().filter(fit).count()
    }

    async fn attempt(&mut self, choice: &Choice) -> Ended {
        let app = self.app.clone();
        let (name, slowness) = {
            let fleet = app.fleet.borrow();
            let engine = fleet.get(choice.engine);
            (engine.name.clone(), engine.health.slowness())
        };
        let address = app
            .upstreams
            .borrow()
            .engines
            .get(&name)
            .map(|engine| engine.address.clone());
        let Some(address) = address else {
            return Ended::Again("gone");
        };
        self.attempts += 1;
        let request_id = format!("{}.{}", self.work.id, self.attempts);
        let left_ms = self.work.deadline_ms.saturating_sub(app.now_ms());
        let Some(budget) = AttemptBudget::next(left_ms.max(SILENCE_MS), self.others(choice.engine))
        else {
            return Ended::Again("deadline");
        };
        let output = f64::from(self.work.max_tokens);
        let booking = Booking::new(&app, &self.work, choice, output);
        let mut attempt = Attempt {
            name,
            address,
            request_id,
            booking,
            token_ms: choice.token_ms / slowness,
            sent_ms: app.now_ms(),
            first: None,
            budget,
        };
        let ended = self.carry(&mut attempt).await;
        if !matches!(ended, Ended::Whole(_)) {
            engine::cancel(&app, &attempt.address, &attempt.request_id).await;
        }
        ended
    }

    async fn carry(&mut self, attempt: &mut Attempt) -> Ended {
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
            parts = match timed(attempt.budget.spend_ms, again).await {
                Ok(parts) => parts,
                Err(_) => return self.blame(attempt, "resume"),
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
            opened = timed(attempt.budget.spend_ms, open) => opened,
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
            EngineError::Broken { .. } | EngineError::Silent { .. } | EngineError::Hopeless => {
                self.touched = true;
                self.blame(attempt, "open")
            }
        })
    }

    fn blame(&self, attempt: &Attempt, reason: &'static str) -> Ended {
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.booking.engine);
        engine.health.failed(self.app.now_ms());
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
            attempt.budget.spend_ms
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
        let until_ms = plan::give_up_ms(&Shape::default(), self.work.deadline_ms as f64, tokens);
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
        engine.health.answered(now_ms, attempt.token_ms, pace_ms);
    }

    fn first(&self, attempt: &mut Attempt) {
        attempt.booking.start();
        let now_ms = self.app.now_ms();
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.booking.engine);
        engine.health.sign(now_ms);
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

struct Attempt {
    name: String,
    address: String,
    request_id: String,
    booking: Booking,
    /// Predicted time between two tokens, without what the engine's slowness adds.
    token_ms: f64,
    sent_ms: u64,
    /// Number and time of the first token of this attempt.
    first: Option<(u32, u64)>,
    budget: AttemptBudget,
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
