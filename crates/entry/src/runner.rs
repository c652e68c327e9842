//! Carries one completion from engines to its caller, whole and once.

mod attempt;
mod poison;

use std::rc::Rc;

use plan::{AttemptTimeout, Choice, Presence, Request};
use tokio::sync::mpsc;
use view::RequestKey;

use crate::app::App;
use crate::engine::{self, Usage};
use crate::load_guard::LoadGuard;
use crate::refusal::{Code, Refusal};
use attempt::Attempt;

/// Silence between two tokens after which a stream is resumed.
const TOKEN_TIMEOUT_MS: u64 = 2_500;

/// One completion, which keeps the model version it was admitted under.
#[derive(Clone)]
pub(crate) struct CompletionJob {
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
pub(crate) enum CompletionEvent {
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

enum AttemptOutcome {
    Complete(Usage),
    CallerGone,
    TooLate,
    Retry(&'static str),
}

/// One completion on its way.
pub(crate) struct CompletionRunner {
    app: Rc<App>,
    job: CompletionJob,
    sender: mpsc::Sender<CompletionEvent>,
    produced: u32,
    text: String,
    tried: Vec<usize>,
    attempts: u32,
    may_have_run: bool,
}

impl CompletionRunner {
    pub(crate) fn new(
        app: Rc<App>,
        job: CompletionJob,
        sender: mpsc::Sender<CompletionEvent>,
    ) -> Self {
        Self {
            app,
            job,
            sender,
            produced: 0,
            text: String::new(),
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
        }
    }

    /// Runs to the end; the last event is `End` or `Failed`.
    pub(crate) async fn run(mut self) {
        self.app.retry_budget.borrow_mut().deposit();
        loop {
            let choice = match self.check_poison().and_then(|()| self.route()) {
                Ok(choice) => choice,
                Err(refusal) => return self.fail(refusal).await,
            };
            match self.attempt(&choice).await {
                AttemptOutcome::Complete(usage) => {
                    self.record_answered();
                    let _ = self.sender.send(CompletionEvent::End(usage)).await;
                    return;
                }
                AttemptOutcome::CallerGone => return,
                AttemptOutcome::TooLate => {
                    let text = "it can no longer be in time";
                    return self
                        .fail(Refusal::new(Code::TooLate, text).retry_after(1_000))
                        .await;
                }
                AttemptOutcome::Retry(reason) => {
                    self.tried.push(choice.engine);
                    self.app.metrics.retries.with_label_values(&[reason]).inc();
                    if !self.app.retry_budget.borrow_mut().try_withdraw() {
                        let refusal = Refusal::unknown(Code::Upstream, "no retry is left");
                        return self.fail(refusal.retry_after(1_000)).await;
                    }
                }
            }
        }
    }

    async fn fail(&self, refusal: Refusal) {
        // What was asked of an engine may have run there, whatever came of it.
        let refusal = if self.may_have_run {
            Refusal {
                ran: crate::refusal::ExecutionStatus::Unknown,
                ..refusal
            }
        } else {
            refusal
        };
        let _ = self.sender.send(CompletionEvent::Failed(refusal)).await;
    }

    fn route(&self) -> Result<Choice, Refusal> {
        let now_ms = self.app.now_ms();
        let job = &self.job;
        let left_ms = job.deadline_ms.saturating_sub(now_ms);
        // A caller that has part of its answer gets the rest, even late: it can use nothing else.
        let left_ms = if self.produced > 0 {
            u64::MAX / 4
        } else {
            left_ms
        };
        let request = Request {
            member: &job.member,
            share: job.share,
            model: &job.model,
            rank: job.rank,
            prompt_tokens: job.prompt_tokens + f64::from(self.produced),
            output_tokens: f64::from(job.max_tokens.saturating_sub(self.produced).max(1)),
            left_ms: left_ms as f64,
        };
        let upstreams = self.app.upstreams.borrow();
        let fleet = self.app.fleet.borrow();
        let mut skip = self.tried.clone();
        // An engine that has not loaded the version of this request cannot serve it.
        skip.extend(
            fleet
                .indices_of_model(&job.model)
                .iter()
                .copied()
                .filter(|&index| {
                    let entry = upstreams.engines.get(&fleet.get(index).name);
                    let report = entry.and_then(|entry| entry.report.as_ref());
                    report.is_none_or(|report| !report.loaded.contains(&job.loaded))
                }),
        );
        let mut router = self.app.router.borrow_mut();
        let mut rng = self.app.rng.borrow_mut();
        Ok(router.route(now_ms, &fleet, &request, |_| 0.0, &skip, &mut *rng)?)
    }

    /// Engines that could serve instead of one, for the share of time that one may spend.
    fn alternatives(&self, engine: usize) -> usize {
        let fleet = self.app.fleet.borrow();
        let fit = |index: &&usize| {
            **index != engine
                && !self.tried.contains(index)
                && fleet.get(**index).presence == Presence::Live
        };
        fleet
            .indices_of_model(&self.job.model)
            .iter()
            .filter(fit)
            .count()
    }

    async fn attempt(&mut self, choice: &Choice) -> AttemptOutcome {
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
            return AttemptOutcome::Retry("gone");
        };
        self.attempts += 1;
        let request_id = format!("{}.{}", self.job.id, self.attempts);
        let left_ms = self.job.deadline_ms.saturating_sub(app.now_ms());
        let Some(timeout) = AttemptTimeout::next(
            left_ms.max(TOKEN_TIMEOUT_MS),
            self.alternatives(choice.engine),
        ) else {
            return AttemptOutcome::Retry("deadline");
        };
        let output = f64::from(self.job.max_tokens);
        let load_guard = LoadGuard::new(&app, &self.job, choice, output);
        let mut attempt = Attempt {
            name,
            address,
            request_id,
            load_guard,
            expected_token_ms: choice.token_ms / slowness,
            sent_ms: app.now_ms(),
            first_token: None,
            timeout,
        };
        let ended = self.run_attempt(&mut attempt).await;
        if !matches!(ended, AttemptOutcome::Complete(_)) {
            engine::cancel(&app, &attempt.address, &attempt.request_id).await;
        }
        ended
    }
}
