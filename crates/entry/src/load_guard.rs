//! Accounting of this instance's load on an engine.

use std::rc::Rc;

use plan::Choice;

use crate::app::App;
use crate::runner::CompletionJob;

/// Adds a request to this instance's load on an engine, and removes it on drop however the attempt
/// ends.
pub(crate) struct LoadGuard {
    app: Rc<App>,
    /// Index of the engine in the fleet.
    pub(crate) engine: usize,
    rank: usize,
    prompt: f64,
    output: f64,
    pub(crate) started: bool,
}

impl LoadGuard {
    /// Adds a request that is about to be sent.
    pub(crate) fn new(app: &Rc<App>, job: &CompletionJob, choice: &Choice, output: f64) -> Self {
        let prompt = choice.uncached_tokens;
        let mut fleet = app.fleet.borrow_mut();
        fleet
            .get_mut(choice.engine)
            .record_sent(app.now_ms(), job.rank, prompt, output);
        Self {
            app: app.clone(),
            engine: choice.engine,
            rank: job.rank,
            prompt,
            output,
            started: false,
        }
    }

    /// Records the first token; later calls have no effect.
    pub(crate) fn record_first_token(&mut self) {
        if !std::mem::replace(&mut self.started, true) {
            let mut fleet = self.app.fleet.borrow_mut();
            fleet
                .get_mut(self.engine)
                .record_first_token(self.rank, self.prompt);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(self.engine);
        if self.started {
            engine.record_finished(self.output);
        } else {
            engine.record_dropped(self.rank, self.prompt, self.output);
        }
    }
}
