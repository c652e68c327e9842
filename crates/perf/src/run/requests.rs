//! The way of requests: to engines, elsewhere, and to their end.

use model::{Iteration, Job};
use plan::{AttemptTimeout, EngineProfile};
use rand::Rng;

use super::{
    Booked, COUNTED_ATTEMPTS, EVENT_GAPS, LEAST_TOKENS, PATIENCE, Sim, Step, known_slowness,
};
use crate::Policy;
use crate::figures::Ended;
use crate::trace::rank;

impl Sim<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let node = self.requests[request].node;
        self.counter
            .asked(arrival.at_ms, &arrival.kind.to_string(), arrival.member);
        self.retries[node].deposit();
        let (prompt, output) = (
            f64::from(arrival.prompt_tokens),
            f64::from(arrival.expected_tokens),
        );
        let rank = rank(arrival.kind);
        self.nodes[node]
            .forecast
            .record_arrival(self.now_ms as u64, rank, prompt, output);
        self.calendar.add(
            arrival.at_ms + arrival.deadline_ms * PATIENCE,
            Step::Leave(request),
        );
        self.send(request);
    }

    /// Sends a request to an engine, for the first time or again.
    pub(super) fn send(&mut self, request: usize) {
        let arrival = self.trace.arrivals[request];
        let left_ms = arrival.at_ms + arrival.deadline_ms - self.now_ms;
        let progress = &mut self.requests[request];
        let node = &mut self.nodes[progress.node];
        let chosen = node.choose(self.now_ms, &arrival, left_ms, &progress.tried);
        let Ok(choice) = chosen else {
            progress.over = true;
            self.counter.refused(&arrival.kind.to_string());
            return;
        };
        progress.attempt += 1;
        progress.engine = Some(choice.engine);
        progress.sent_ms = self.now_ms;
        progress.token_ms = choice.token_ms / known_slowness(node, choice.engine);
        let booked = Booked {
            prompt: choice.uncached_tokens,
            output: f64::from(arrival.expected_tokens),
            started: false,
        };
        progress.booked = Some(booked);
        let known = node.fleet.get_mut(choice.engine);
        let now_ms = self.now_ms as u64;
        known.record_sent(now_ms, rank(arrival.kind), booked.prompt, booked.output);
        let attempt = progress.attempt;
        let distance_ms = known.one_way_delay_ms;
        self.calendar.add(
            self.now_ms + distance_ms,
            Step::Deliver {
                request,
                attempt,
                engine: choice.engine,
            },
        );
        if self.setting.policy.is_routed() && self.setting.policy != Policy::CountedRetries {
            let due_ms = arrival.at_ms + arrival.deadline_ms;
            let tokens = f64::from(arrival.expected_tokens);
            let give_up_ms = plan::give_up_ms(&EngineProfile::default(), due_ms, tokens);
            self.calendar
                .add(give_up_ms, Step::GiveUp { request, attempt });
        }
        if let Some(spend_ms) = self.attempt_ms(request, left_ms) {
            self.calendar
                .add(self.now_ms + spend_ms, Step::Silence { request, attempt });
        }
    }

    /// Time that an attempt may take to its first token.
    pub(super) fn attempt_ms(&self, request: usize, left_ms: f64) -> Option<f64> {
        let arrival = &self.trace.arrivals[request];
        match self.setting.policy {
            Policy::CountedRetries => Some(arrival.deadline_ms),
            policy if policy.is_routed() => {
                let others = self.engines.len() - 1 - self.requests[request].tried.len();
                let budget = AttemptTimeout::next(left_ms.max(0.0) as u64, others);
                budget.map(|budget| budget.timeout_ms as f64)
            }
            _ => None,
        }
    }

    pub(super) fn deliver(&mut self, request: usize, attempt: usize, engine: usize) {
        if self.requests[request].over || self.requests[request].attempt != attempt {
            return;
        }
        if !self.engines[engine].takes() {
            let crashed = !self.engines[engine].alive;
            self.fail(request, crashed);
            return;
        }
        let arrival = &self.trace.arrivals[request];
        let id = (request as u64) << 8 | attempt as u64;
        self.jobs.insert(id, request);
        self.engines[engine].push(Job {
            id,
            rank: rank(arrival.kind),
            order_in_rank: 0,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            prefix: arrival.prefix,
            prefix_tokens: arrival.prefix_tokens,
        });
        self.begin(engine);
    }

    pub(super) fn begin(&mut self, engine: usize) {
        if let Some(ms) = self.engines[engine].begin() {
            let life = self.lives[engine];
            self.calendar
                .add(self.now_ms + ms, Step::Iterated { engine, life });
        }
    }

    pub(super) fn iterated(&mut self, engine: usize, life: u64) {
        if self.lives[engine] != life {
            return;
        }
        let iteration = self.engines[engine].end();
        self.begun(engine, &iteration);
        for (id, tokens) in &iteration.tokens {
            if let Some(request) = self.current(*id) {
                let node = self.requests[request].node;
                self.nodes[node]
                    .fleet
                    .get_mut(engine)
                    .health
                    .record_activity(self.now_ms as u64);
            }
            if *tokens == 1
                && let Some(request) = self.current(*id)
            {
                self.first_token(request);
            }
        }
        for id in &iteration.finished {
            if let Some(request) = self.current(*id) {
                self.done(request);
            }
            self.jobs.remove(id);
        }
        self.begin(engine);
        self.maybe_change(engine);
    }

    /// The request of a job, unless it has moved on to another engine or is over.
    pub(super) fn current(&self, id: u64) -> Option<usize> {
        let request = *self.jobs.get(&id)?;
        let progress = &self.requests[request];
        (!progress.over && progress.attempt as u64 == id & 0xff).then_some(request)
    }

    pub(super) fn begun(&mut self, engine: usize, iteration: &Iteration) {
        for (id, _) in &iteration.started {
            let Some(&request) = self.jobs.get(id) else {
                continue;
            };
            let arrival = self.trace.arrivals[request];
            let node = self.requests[request].node;
            if arrival.prefix == 0 || self.nodes[node].rng.random_bool(EVENT_GAPS) {
                continue;
            }
            let event = Step::CacheEvent {
                engine,
                prefix: arrival.prefix,
                tokens: f64::from(arrival.prefix_tokens),
            };
            self.calendar.add(self.now_ms + self.trace.lag_ms, event);
        }
    }

    pub(super) fn first_token(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let progress = &mut self.requests[request];
        let (Some(engine), Some(booked)) = (progress.engine, progress.booked.as_mut()) else {
            return;
        };
        let known = self.nodes[progress.node].fleet.get_mut(engine);
        let at_ms = self.now_ms + known.one_way_delay_ms;
        progress.first_ms = Some(at_ms);
        booked.started = true;
        known.record_first_token(rank(arrival.kind), booked.prompt);
    }

    /// Compares the pace of the output with what was predicted.
    pub(super) fn judge(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let progress = &self.requests[request];
        let (Some(engine), Some(first_ms)) = (progress.engine, progress.first_ms) else {
            return;
        };
        let judged = self.setting.policy != Policy::WithoutEjection && progress.token_ms > 0.0;
        if judged && arrival.output_tokens >= LEAST_TOKENS {
            let pace_ms = (self.now_ms - first_ms) / f64::from(arrival.output_tokens - 1);
            let known = self.nodes[progress.node].fleet.get_mut(engine);
            known
                .health
                .record_latency(self.now_ms as u64, progress.token_ms, pace_ms);
        }
    }

    pub(super) fn done(&mut self, request: usize) {
        let arrival = self.trace.arrivals[request];
        self.judge(request);
        let distance_ms = self.unbook(request);
        let progress = &mut self.requests[request];
        progress.over = true;
        let at_ms = self.now_ms + distance_ms;
        let took_ms = at_ms - arrival.at_ms;
        self.counter.ended(&Ended {
            class: &arrival.kind.to_string(),
            member: arrival.member,
            arrived_ms: arrival.at_ms,
            took_ms,
            first_ms: progress.first_ms.unwrap_or(at_ms) - arrival.at_ms,
            tokens: arrival.output_tokens,
            in_time: took_ms <= arrival.deadline_ms,
        });
    }

    /// Takes a request off its engine's books and gives the way to it.
    pub(super) fn unbook(&mut self, request: usize) -> f64 {
        let rank = rank(self.trace.arrivals[request].kind);
        let progress = &mut self.requests[request];
        let (Some(engine), Some(booked)) = (progress.engine, progress.booked.take()) else {
            return 0.0;
        };
        let known = self.nodes[progress.node].fleet.get_mut(engine);
        if booked.started {
            known.record_finished(booked.output);
        } else {
            known.record_dropped(rank, booked.prompt, booked.output);
        }
        known.one_way_delay_ms
    }

    /// An attempt failed: another engine is tried if the policy allows it.
    pub(super) fn fail(&mut self, request: usize, blame: bool) {
        self.unbook(request);
        let progress = &mut self.requests[request];
        let Some(engine) = progress.engine.take() else {
            return;
        };
        progress.tried.push(engine);
        progress.first_ms = None;
        let node = progress.node;
        if blame
            && self.setting.policy.is_routed()
            && self.setting.policy != Policy::WithoutEjection
        {
            let known = self.nodes[node].fleet.get_mut(engine);
            known.health.record_failure(self.now_ms as u64);
        }
        let allowed =
            if self.setting.policy.is_routed() && self.setting.policy != Policy::CountedRetries {
                self.retries[node].try_withdraw()
            } else {
                self.requests[request].attempt < COUNTED_ATTEMPTS
            };
        if allowed {
            self.send(request);
            return;
        }
        self.requests[request].over = true;
        let class = self.trace.arrivals[request].kind.to_string();
        self.counter.abandoned(&class);
    }

    pub(super) fn silence(&mut self, request: usize, attempt: usize) {
        let progress = &self.requests[request];
        let waits = progress.attempt == attempt && progress.first_ms.is_none() && !progress.over;
        if !waits {
            return;
        }
        if let Some(engine) = progress.engine
            && self.setting.policy.is_routed()
            && self.setting.policy != Policy::CountedRetries
            && !self.nodes[progress.node]
                .fleet
                .get(engine)
                .health
                .is_silent_since(progress.sent_ms as u64)
        {
            return;
        }
        self.cancel(request);
        self.fail(request, true);
    }

    /// A request that has not started and can no longer be in time is answered at once.
    pub(super) fn give_up(&mut self, request: usize, attempt: usize) {
        let progress = &self.requests[request];
        if progress.attempt == attempt && progress.first_ms.is_none() {
            self.leave(request);
        }
    }

    pub(super) fn cancel(&mut self, request: usize) {
        let progress = &self.requests[request];
        let id = (request as u64) << 8 | progress.attempt as u64;
        if let Some(engine) = progress.engine {
            self.engines[engine].cancel(id);
            self.jobs.remove(&id);
            self.maybe_change(engine);
        }
    }

    pub(super) fn leave(&mut self, request: usize) {
        if self.requests[request].over {
            return;
        }
        self.cancel(request);
        self.unbook(request);
        self.requests[request].over = true;
        let class = self.trace.arrivals[request].kind.to_string();
        self.counter.abandoned(&class);
    }
}
