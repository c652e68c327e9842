//! Answers of engines that are waited for, so that one which is given up still teaches how slow its engine is.

use std::cell::Cell;
use std::rc::Rc;

use plan::{Prediction, PrefillSample};

use crate::call::Call;
use crate::placement::PrefillPlacement;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// What the answer is to.
#[derive(Debug, Clone, Copy)]
pub enum AwaitedStep {
    /// A separate prefill; the elapsed time of the sample is not set yet.
    Prefill(PrefillSample),
    /// The first event of a stream.
    FirstEvent {
        /// What was predicted.
        predicted: Prediction,
        /// Whether the prompt's KV cache comes from another engine.
        is_transferred: bool,
    },
}

/// An answer that is waited for.
///
/// If it is dropped before the wait has ended, the request was given up: its deadline passed, its caller left, or
/// the answer was presumed lost. That counts as an answer after the time waited, if the engine has sent anything
/// since; a silent one is not slow but gone.
pub struct AwaitedAnswer<'a> {
    relay: &'a Relay,
    call: &'a Call,
    engine: &'a Rc<Upstream>,
    step: AwaitedStep,
    time_factor: f64,
    began_ms: u64,
    has_ended: Cell<bool>,
}

impl<'a> AwaitedAnswer<'a> {
    /// Starts waiting; `time_factor` is the engine's in what was predicted.
    pub fn begin(
        relay: &'a Relay,
        call: &'a Call,
        engine: &'a Rc<Upstream>,
        step: AwaitedStep,
        time_factor: f64,
    ) -> Self {
        Self {
            relay,
            call,
            engine,
            step,
            time_factor,
            began_ms: relay.now_ms(),
            has_ended: Cell::default(),
        }
    }

    /// Starts waiting for the answer to a separate prefill.
    pub fn to_prefill(
        relay: &'a Relay,
        call: &'a Call,
        placement: &'a PrefillPlacement,
        sample: PrefillSample,
    ) -> Self {
        let step = AwaitedStep::Prefill(sample);
        Self::begin(relay, call, &placement.engine, step, placement.time_factor)
    }

    /// Records that an answer or an error has come.
    pub fn end(&self) {
        self.has_ended.set(true);
    }
}

impl Drop for AwaitedAnswer<'_> {
    fn drop(&mut self) {
        if self.has_ended.get() || !self.engine.has_answered_since(self.began_ms) {
            return;
        }
        let now_ms = self.relay.now_ms();
        let waited_ms = (now_ms - self.began_ms) as f64 / self.time_factor;
        let service = self.call.service.as_str();
        let estimates = &self.relay.estimates;
        match self.step {
            AwaitedStep::Prefill(sample) => {
                let elapsed_ms = waited_ms;
                let sample = PrefillSample {
                    elapsed_ms,
                    ..sample
                };
                estimates.observe_abandoned_prefill(now_ms, service, &sample);
            }
            AwaitedStep::FirstEvent {
                predicted,
                is_transferred,
            } => estimates.observe_abandoned_first_event(
                now_ms,
                service,
                &predicted.at_usual_speed(self.time_factor),
                is_transferred,
                waited_ms,
            ),
        }
    }
}
