//! Many callers whose requests come at random times, whatever becomes of earlier ones.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use model::{Deployment, Phase, RequestKind, RequestSizes};

use crate::{Caller, CompletionRequest, Tally};

/// Deadlines by kind, in ms.
fn deadline_ms(kind: RequestKind) -> u64 {
    match kind {
        RequestKind::Long => 10_000,
        RequestKind::Quick => 5_000,
        RequestKind::Urgent | RequestKind::Once => 2_000,
    }
}

/// A load that is being made.
pub struct LoadRun {
    /// What became of requests so far.
    pub tally: Rc<RefCell<Tally>>,
    /// Bodies of calls that were answered, each of which must have run exactly once.
    pub completed_calls: Rc<RefCell<Vec<String>>>,
    /// Bodies of calls that were refused as not run.
    pub refused_calls: Rc<RefCell<Vec<String>>>,
}

/// Makes requests through the phases and waits for the last of them.
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
            // Exponential gaps: the requests of many callers who do not know of each other.
            let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / phase.mix.total();
            actix_rt::time::sleep(Duration::from_secs_f64(gap)).await;
            number += 1;
            let kind = phase.mix.draw(&mut rng);
            let caller = callers[rng.random_range(0..callers.len())].clone();
            let one = One {
                caller,
                deployment,
                kind,
                number,
                tally: running.tally.clone(),
                completed_calls: running.completed_calls.clone(),
                refused_calls: running.refused_calls.clone(),
            };
            tasks.push(actix_rt::spawn(one.make()));
        }
    }
    for task in tasks {
        let _ = task.await;
    }
}

struct One {
    caller: Caller,
    deployment: Deployment,
    kind: RequestKind,
    number: u64,
    tally: Rc<RefCell<Tally>>,
    completed_calls: Rc<RefCell<Vec<String>>>,
    refused_calls: Rc<RefCell<Vec<String>>>,
}

impl One {
    async fn make(self) {
        let deadline_ms = deadline_ms(self.kind);
        let class = self.kind.to_string();
        let seen = if self.kind == RequestKind::Once {
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
            seen.outcome,
            seen.duration_ms,
            seen.first_token_ms,
            seen.resumed,
        );
    }

    async fn call(&self, deadline_ms: u64) -> crate::completion::RequestResult {
        let (service, path) = self.deployment.service();
        let body = format!("lot {}", self.number);
        let seen = self
            .caller
            .call_once(service, path, &body, deadline_ms)
            .await;
        match seen.outcome {
            crate::Outcome::InTime | crate::Outcome::Late => {
                self.completed_calls.borrow_mut().push(body)
            }
            crate::Outcome::Refused => self.refused_calls.borrow_mut().push(body),
            crate::Outcome::Unknown | crate::Outcome::Wrong => {}
        }
        seen
    }
}

/// A prompt unlike any other, of about the given number of tokens.
fn prompt(number: u64, tokens: u32) -> String {
    let line = format!("item {number}: ");
    let mut text = String::with_capacity(tokens as usize * 4 + line.len());
    while text.len() < tokens as usize * 4 {
        text.push_str(&line);
    }
    text.truncate(tokens as usize * 4);
    text
}
