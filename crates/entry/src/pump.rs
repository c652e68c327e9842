//! Carries one completion from engines to its caller, whole and once.

mod blame;
mod stream;

use std::rc::Rc;

use plan::{AttemptTimeout, Choice, Presence, Request};
use tokio::sync::mpsc;
use view::RequestKey;

use crate::app::App;
use crate::booking::Booking;
use crate::engine::{self, Usage};
use crate::refusal::{Code, Refusal};
use stream::Attempt;

/// Silence between two tokens after which a stream is resumed.
const SILENCE_MS: u64 = 2_500;

/// One completion, which keeps the model version it was admitted under.
#[derive(Clone)]
pub(crate) struct Work {
    pub(crate) id: String,
    /// What is asked, the same whenever the caller asks it.
    pub(crate) key: RequestKey,
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
        self.app.retries.borrow_mut().deposit();
        loop {
            let choice = match self.admit().and_then(|()| self.choose()) {
                Ok(choice) => choice,
                Err(refusal) => return self.fail(refusal).await,
            };
            match self.attempt(&choice).await {
                Ended::Whole(usage) => {
                    self.note_answered();
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
                    if !self.app.retries.borrow_mut().try_withdraw() {
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
                .indices_of_model(&work.model)
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
        fleet
            .indices_of_model(&self.work.model)
            .iter()
            .filter(fit)
            .count()
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
        let Some(budget) =
            AttemptTimeout::next(left_ms.max(SILENCE_MS), self.others(choice.engine))
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
}
