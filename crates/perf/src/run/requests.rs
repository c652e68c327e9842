//! Requests: routing, attempts, retries and completion.

use model::{Iteration, Job};
use plan::{AttemptTimeout, EngineProfile};
use rand::Rng;

use super::{
    CACHE_EVENT_LOSS, CALLER_PATIENCE, MAX_COUNTED_ATTEMPTS, MIN_PACE_TOKENS, Reservation, Sim,
    SimEvent, engine_slowness,
};
use crate::Policy;
use crate::figures::Completion;
use crate::trace::rank;

impl Sim<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let instance = self.requests[request].instance;
        self.recorder
            .record_arrival(arrival.at_ms, &arrival.kind.to_string(), arrival.member);
        self.retries[instance].deposit();
        let (prompt, output) = (
            f64::from(arrival.prompt_tokens),
            f64::from(arrival.expected_tokens),
        );
        let rank = rank(arrival.kind);
        self.instances[instance]
            .forecast
            .record_arrival(self.now_ms as u64, rank, prompt, output);
        self.event_queue.add(
            arrival.at_ms + arrival.deadline_ms * CALLER_PATIENCE,
            SimEvent::CallerTimeout(request),
        );
        self.send(request);
    }

    /// Sends a request to an engine, as its first attempt or a retry, or refuses it.
    pub(super) fn send(&mut self, request: usize) {
        let arrival = self.trace.arrivals[request];
        let remaining_ms = arrival.at_ms + arrival.deadline_ms - self.now_ms;
        let state = &mut self.requests[request];
        let instance = &mut self.instances[state.instance];
        let choice = instance.choose(self.now_ms, &arrival, remaining_ms, &state.tried);
        let Ok(choice) = choice else {
            state.ended = true;
            self.recorder.record_refusal(&arrival.kind.to_string());
            return;
        };
        state.attempt += 1;
        state.engine = Some(choice.engine);
        state.sent_ms = self.now_ms;
        state.token_ms = choice.token_ms / engine_slowness(instance, choice.engine);
        let reservation = Reservation {
            prompt: choice.uncached_tokens,
            output: f64::from(arrival.expected_tokens),
            started: false,
        };
        state.reservation = Some(reservation);
        let engine_view = instance.fleet.get_mut(choice.engine);
        let now_ms = self.now_ms as u64;
        engine_view.record_sent(
            now_ms,
            rank(arrival.kind),
            reservation.prompt,
            reservation.output,
        );
        let attempt = state.attempt;
        let delay_ms = engine_view.one_way_delay_ms;
        self.event_queue.add(
            self.now_ms + delay_ms,
            SimEvent::Deliver {
                request,
                attempt,
                engine: choice.engine,
            },
        );
        if self.settings.policy.is_routed() && self.settings.policy != Policy::CountedRetries {
            let deadline_ms = arrival.at_ms + arrival.deadline_ms;
            let tokens = f64::from(arrival.expected_tokens);
            let give_up_ms = plan::give_up_ms(&EngineProfile::default(), deadline_ms, tokens);
            self.event_queue
                .add(give_up_ms, SimEvent::GiveUp { request, attempt });
        }
        if let Some(timeout_ms) = self.attempt_timeout_ms(request, remaining_ms) {
            self.event_queue.add(
                self.now_ms + timeout_ms,
                SimEvent::AttemptTimeout { request, attempt },
            );
        }
    }

    /// Time that an attempt may take to its first token, in ms; `None` if it is not limited.
    pub(super) fn attempt_timeout_ms(&self, request: usize, remaining_ms: f64) -> Option<f64> {
        let arrival = &self.trace.arrivals[request];
        match self.settings.policy {
            Policy::CountedRetries => Some(arrival.deadline_ms),
            policy if policy.is_routed() => {
                let other_engines = self.engines.len() - 1 - self.requests[request].tried.len();
                let timeout = AttemptTimeout::next(remaining_ms.max(0.0) as u64, other_engines);
                timeout.map(|timeout| timeout.timeout_ms as f64)
            }
            _ => None,
        }
    }

    pub(super) fn deliver(&mut self, request: usize, attempt: usize, engine: usize) {
        if self.requests[request].ended || self.requests[request].attempt != attempt {
            return;
        }
        if !self.engines[engine].accepts_requests() {
            let crashed = !self.engines[engine].alive;
            self.handle_failure(request, crashed);
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
        self.start_iteration(engine);
    }

    pub(super) fn start_iteration(&mut self, engine: usize) {
        if let Some(ms) = self.engines[engine].start_iteration() {
            let crash_count = self.crash_counts[engine];
            self.event_queue.add(
                self.now_ms + ms,
                SimEvent::IterationEnd {
                    engine,
                    crash_count,
                },
            );
        }
    }

    pub(super) fn finish_iteration(&mut self, engine: usize, crash_count: u64) {
        if self.crash_counts[engine] != crash_count {
            return;
        }
        let iteration = self.engines[engine].end_iteration();
        self.schedule_cache_events(engine, &iteration);
        for (id, tokens) in &iteration.tokens {
            if let Some(request) = self.current_request(*id) {
                let instance = self.requests[request].instance;
                self.instances[instance]
                    .fleet
                    .get_mut(engine)
                    .health
                    .record_activity(self.now_ms as u64);
            }
            if *tokens == 1
                && let Some(request) = self.current_request(*id)
            {
                self.record_first_token(request);
            }
        }
        for id in &iteration.finished {
            if let Some(request) = self.current_request(*id) {
                self.complete(request);
            }
            self.jobs.remove(id);
        }
        self.start_iteration(engine);
        self.start_pending_role_change(engine);
    }

    /// The request of a job, unless it has ended or the job belongs to an earlier attempt.
    pub(super) fn current_request(&self, id: u64) -> Option<usize> {
        let request = *self.jobs.get(&id)?;
        let state = &self.requests[request];
        (!state.ended && state.attempt as u64 == id & 0xff).then_some(request)
    }

    pub(super) fn schedule_cache_events(&mut self, engine: usize, iteration: &Iteration) {
        for (id, _) in &iteration.started {
            let Some(&request) = self.jobs.get(id) else {
                continue;
            };
            let arrival = self.trace.arrivals[request];
            let instance = self.requests[request].instance;
            if arrival.prefix == 0 || self.instances[instance].rng.random_bool(CACHE_EVENT_LOSS) {
                continue;
            }
            let event = SimEvent::CacheEvent {
                engine,
                prefix: arrival.prefix,
                tokens: f64::from(arrival.prefix_tokens),
            };
            self.event_queue.add(self.now_ms + self.trace.lag_ms, event);
        }
    }

    pub(super) fn record_first_token(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let state = &mut self.requests[request];
        let (Some(engine), Some(reservation)) = (state.engine, state.reservation.as_mut()) else {
            return;
        };
        let engine_view = self.instances[state.instance].fleet.get_mut(engine);
        let at_ms = self.now_ms + engine_view.one_way_delay_ms;
        state.first_token_ms = Some(at_ms);
        reservation.started = true;
        engine_view.record_first_token(rank(arrival.kind), reservation.prompt);
    }

    /// Records the measured time per output token against the predicted one.
    pub(super) fn record_pace(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let state = &self.requests[request];
        let (Some(engine), Some(first_token_ms)) = (state.engine, state.first_token_ms) else {
            return;
        };
        let is_measured = self.settings.policy != Policy::WithoutEjection && state.token_ms > 0.0;
        if is_measured && arrival.output_tokens >= MIN_PACE_TOKENS {
            let pace_ms = (self.now_ms - first_token_ms) / f64::from(arrival.output_tokens - 1);
            let engine_view = self.instances[state.instance].fleet.get_mut(engine);
            engine_view
                .health
                .record_latency(self.now_ms as u64, state.token_ms, pace_ms);
        }
    }

    pub(super) fn complete(&mut self, request: usize) {
        let arrival = self.trace.arrivals[request];
        self.record_pace(request);
        let delay_ms = self.release_reservation(request);
        let state = &mut self.requests[request];
        state.ended = true;
        let at_ms = self.now_ms + delay_ms;
        let duration_ms = at_ms - arrival.at_ms;
        self.recorder.record_completion(&Completion {
            class: &arrival.kind.to_string(),
            member: arrival.member,
            arrived_ms: arrival.at_ms,
            duration_ms,
            first_token_ms: state.first_token_ms.unwrap_or(at_ms) - arrival.at_ms,
            tokens: arrival.output_tokens,
            in_time: duration_ms <= arrival.deadline_ms,
        });
    }

    /// Releases the reservation of a request and returns the one-way delay to its engine, in ms.
    pub(super) fn release_reservation(&mut self, request: usize) -> f64 {
        let rank = rank(self.trace.arrivals[request].kind);
        let state = &mut self.requests[request];
        let (Some(engine), Some(reservation)) = (state.engine, state.reservation.take()) else {
            return 0.0;
        };
        let engine_view = self.instances[state.instance].fleet.get_mut(engine);
        if reservation.started {
            engine_view.record_finished(reservation.output);
        } else {
            engine_view.record_dropped(rank, reservation.prompt, reservation.output);
        }
        engine_view.one_way_delay_ms
    }

    /// Handles a failed attempt: retries at another engine if the policy allows it.
    pub(super) fn handle_failure(&mut self, request: usize, is_engine_fault: bool) {
        self.release_reservation(request);
        let state = &mut self.requests[request];
        let Some(engine) = state.engine.take() else {
            return;
        };
        state.tried.push(engine);
        state.first_token_ms = None;
        let instance = state.instance;
        if is_engine_fault
            && self.settings.policy.is_routed()
            && self.settings.policy != Policy::WithoutEjection
        {
            let engine_view = self.instances[instance].fleet.get_mut(engine);
            engine_view.health.record_failure(self.now_ms as u64);
        }
        let may_retry =
            if self.settings.policy.is_routed() && self.settings.policy != Policy::CountedRetries {
                self.retries[instance].try_withdraw()
            } else {
                self.requests[request].attempt < MAX_COUNTED_ATTEMPTS
            };
        if may_retry {
            self.send(request);
            return;
        }
        self.requests[request].ended = true;
        let class = self.trace.arrivals[request].kind.to_string();
        self.recorder.record_abandoned(&class);
    }

    pub(super) fn handle_attempt_timeout(&mut self, request: usize, attempt: usize) {
        let state = &self.requests[request];
        let awaits_first_token =
            state.attempt == attempt && state.first_token_ms.is_none() && !state.ended;
        if !awaits_first_token {
            return;
        }
        if let Some(engine) = state.engine
            && self.settings.policy.is_routed()
            && self.settings.policy != Policy::CountedRetries
            && !self.instances[state.instance]
                .fleet
                .get(engine)
                .health
                .is_silent_since(state.sent_ms as u64)
        {
            return;
        }
        self.cancel(request);
        self.handle_failure(request, true);
    }

    /// Ends a request that has no token yet and can no longer meet its deadline.
    pub(super) fn give_up(&mut self, request: usize, attempt: usize) {
        let state = &self.requests[request];
        if state.attempt == attempt && state.first_token_ms.is_none() {
            self.abandon(request);
        }
    }

    pub(super) fn cancel(&mut self, request: usize) {
        let state = &self.requests[request];
        let id = (request as u64) << 8 | state.attempt as u64;
        if let Some(engine) = state.engine {
            self.engines[engine].cancel(id);
            self.jobs.remove(&id);
            self.start_pending_role_change(engine);
        }
    }

    pub(super) fn abandon(&mut self, request: usize) {
        if self.requests[request].ended {
            return;
        }
        self.cancel(request);
        self.release_reservation(request);
        self.requests[request].ended = true;
        let class = self.trace.arrivals[request].kind.to_string();
        self.recorder.record_abandoned(&class);
    }
}
