//! Runs one completion: streams tokens from engines to the caller, without gaps or duplicates,
//! across retries.

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

/// Time without a token after which a stream is resumed.
const TOKEN_TIMEOUT_MS: u64 = 2_500;

/// A completion to run. It keeps the model version that was served when it was admitted.
#[derive(Clone)]
pub(crate) struct CompletionJob {
    pub(crate) id: String,
    /// Hash that identifies the request; the same for all retries by a caller.
    pub(crate) key: RequestKey,
    pub(crate) member: String,
    pub(crate) share: u32,
    pub(crate) class: String,
    pub(crate) rank: usize,
    pub(crate) model: String,
    /// `model@version` that the engine must have loaded.
    pub(crate) model_version: String,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: f64,
    pub(crate) max_tokens: u32,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
}

/// Event of a completion, sent to the task that answers the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CompletionEvent {
    /// A token, its number from 1, and the engine and request id with which the stream can be
    /// resumed.
    Token {
        number: u32,
        text: String,
        engine: String,
        request_id: String,
    },
    /// The answer is complete.
    End(Usage),
    /// The completion failed, possibly after some tokens.
    Failed(Refusal),
}

enum AttemptOutcome {
    Complete(Usage),
    CallerGone,
    TooLate,
    /// The attempt failed and may be retried; the text is the label of the retry metric.
    Retry(&'static str),
}

/// State of a running completion.
pub(crate) struct CompletionRunner {
    app: Rc<App>,
    job: CompletionJob,
    sender: mpsc::Sender<CompletionEvent>,
    /// Number of tokens sent to the caller.
    produced: u32,
    text: String,
    /// Indices of the engines that failed.
    tried: Vec<usize>,
    attempts: u32,
    /// Whether a request may have reached an engine.
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

    /// Runs the completion. Unless the caller disconnects, the last event is `End` or `Failed`.
    pub(crate) async fn run(mut self) {
        self.app.retry_budget.borrow_mut().deposit();
        loop {
            let choice = match self.check_poison().await.and_then(|()| self.route()) {
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
        // A request that reached an engine may have run, whatever its answer was.
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
        // A caller that has received part of an answer gets the rest even after the deadline, since
        // the part alone is useless.
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
        // Engines that have not loaded the model version of this request cannot serve it.
        skip.extend(
            fleet
                .indices_of_model(&job.model)
                .iter()
                .copied()
                .filter(|&index| {
                    let entry = upstreams.engines.get(&fleet.get(index).name);
                    let report = entry.and_then(|entry| entry.report.as_ref());
                    report.is_none_or(|report| !report.loaded.contains(&job.model_version))
                }),
        );
        let mut router = self.app.router.borrow_mut();
        let mut rng = self.app.rng.borrow_mut();
        Ok(router.route(now_ms, &fleet, &request, |_| 0.0, &skip, &mut *rng)?)
    }

    /// Number of other engines that could serve the request, used to divide the time left among
    /// attempts.
    fn alternatives(&self, engine: usize) -> usize {
        let fleet = self.app.fleet.borrow();
        let is_candidate = |index: &&usize| {
            **index != engine
                && !self.tried.contains(index)
                && fleet.get(**index).presence == Presence::Live
        };
        fleet
            .indices_of_model(&self.job.model)
            .iter()
            .filter(is_candidate)
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
        let outcome = self.run_attempt(&mut attempt).await;
        if !matches!(outcome, AttemptOutcome::Complete(_)) {
            engine::cancel(&app, &attempt.address, &attempt.request_id).await;
        }
        outcome
    }
}
