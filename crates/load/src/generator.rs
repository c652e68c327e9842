//! Open-loop load generator: requests arrive at random times, independent of earlier ones.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use model::{Deployment, Phase, RequestKind, RequestSizes};

use crate::{Caller, CompletionRequest, Tally};

/// Deadline of a kind of request, in ms.
fn deadline_ms(kind: RequestKind) -> u64 {
    match kind {
        RequestKind::Long => 10_000,
        RequestKind::Quick => 5_000,
        RequestKind::Urgent | RequestKind::Once => 2_000,
    }
}

/// Results of a load run, filled while it is under way.
pub struct LoadRun {
    /// Outcome counts so far.
    pub tally: Rc<RefCell<Tally>>,
    /// Bodies of answered calls, each of which must have run exactly once.
    pub completed_calls: Rc<RefCell<Vec<String>>>,
    /// Bodies of calls that were refused as not run; none of them may have run.
    pub refused_calls: Rc<RefCell<Vec<String>>>,
}

/// Sends requests through all phases and waits until the last one has ended.
pub async fn run(
    running: &LoadRun,
    callers: Vec<Caller>,
    deployment: Deployment,
    phases: &[Phase],
    seed: u64,
) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut tasks = Vec::new();
    let mut number = 0_u64;
    for phase in phases {
        let end = Instant::now() + Duration::from_millis(phase.duration_ms);
        while Instant::now() < end {
            // Exponential gaps give the Poisson arrivals of many independent callers.
            let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / phase.mix.total();
            actix_rt::time::sleep(Duration::from_secs_f64(gap)).await;
            number += 1;
            let kind = phase.mix.draw(&mut rng);
            let caller = callers[rng.random_range(0..callers.len())].clone();
            let request = GeneratedRequest {
                caller,
                deployment,
                kind,
                number,
                tally: running.tally.clone(),
                completed_calls: running.completed_calls.clone(),
                refused_calls: running.refused_calls.clone(),
            };
            tasks.push(actix_rt::spawn(request.send()));
        }
    }
    for task in tasks {
        let _ = task.await;
    }
}

struct GeneratedRequest {
    caller: Caller,
    deployment: Deployment,
    kind: RequestKind,
    number: u64,
    tally: Rc<RefCell<Tally>>,
    completed_calls: Rc<RefCell<Vec<String>>>,
    refused_calls: Rc<RefCell<Vec<String>>>,
}

impl GeneratedRequest {
    async fn send(self) {
        let deadline_ms = deadline_ms(self.kind);
        let class = self.kind.to_string();
        let result = if self.kind == RequestKind::Once {
            self.call(deadline_ms).await
        } else {
            let (prompt_tokens, tokens) = RequestSizes::of(self.deployment).tokens(self.kind);
            let question = CompletionRequest {
                class: class.clone(),
                model: self.deployment.model().to_owned(),
                prompt: prompt(self.number, prompt_tokens),
                tokens,
                deadline_ms,
            };
            self.caller.complete(&question).await
        };
        let mut tally = self.tally.borrow_mut();
        tally.add(
            &class,
            result.outcome,
            result.duration_ms,
            result.first_token_ms,
            result.resumed,
        );
    }

    async fn call(&self, deadline_ms: u64) -> crate::completion::RequestResult {
        let (service, path) = self.deployment.service();
        let body = format!("lot {}", self.number);
        let result = self
            .caller
            .call_once(service, path, &body, deadline_ms)
            .await;
        match result.outcome {
            crate::Outcome::InTime | crate::Outcome::Late => {
                self.completed_calls.borrow_mut().push(body);
            }
            crate::Outcome::Refused => self.refused_calls.borrow_mut().push(body),
            crate::Outcome::Unknown | crate::Outcome::Wrong => {}
        }
        result
    }
}

/// Builds a unique prompt of about the given number of tokens.
fn prompt(number: u64, tokens: u32) -> String {
    let line = format!("item {number}: ");
    let mut text = String::with_capacity(tokens as usize * 4 + line.len());
    while text.len() < tokens as usize * 4 {
        text.push_str(&line);
    }
    text.truncate(tokens as usize * 4);
    text
}
