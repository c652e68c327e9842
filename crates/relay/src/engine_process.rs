//! Tells whether the process of an engine is the listed incarnation, and so of the version that the list names.
//!
//! An engine that crashed may be back at its address and id at once with another version, which the list tells later. See
//! docs/design/stream-versions.md.

use std::cell::Cell;
use std::rc::Rc;

use plan::Sign;

use crate::inquiry::ask;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Time after which the list names an incarnation that has started, in ms, while the store takes what upstreams write.
const REGISTERED_MS: u64 = 1_000;

/// Time after the list was last late in which it may lack incarnations that started meanwhile, in ms: they register anew
/// once the store is back.
const UNSETTLED_MS: u64 = 2_600;

/// What this instance knows of the processes of all engines.
#[derive(Debug, Default)]
pub struct EngineProcesses {
    /// Until when the list of upstreams may lack incarnations that started while it was late.
    unsettled_until_ms: Cell<u64>,
}

impl Relay {
    /// Notes whether the list of upstreams is late.
    pub(crate) fn note_list_age(&self) {
        let is_late = self
            .list_age_ms()
            .is_some_and(|age_ms| age_ms > REGISTERED_MS);
        if is_late {
            let until_ms = self.now_ms() + UNSETTLED_MS;
            self.engine_processes.unsettled_until_ms.set(until_ms);
        }
    }

    /// Whether the list would name a successor of an incarnation if one had started by a time of this instance's clock.
    /// A list that was never read is taken as it is.
    fn is_listed_since(&self, process_since_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let Some(age_ms) = self.list_age_ms() else {
            return true;
        };
        self.is_list_settled() && now_ms >= process_since_ms + REGISTERED_MS + age_ms
    }

    /// Whether upstreams have been able to register for a while, so that the list names all that have started.
    pub(crate) fn is_list_settled(&self) -> bool {
        self.note_list_age();
        let now_ms = self.now_ms();
        now_ms >= self.engine_processes.unsettled_until_ms.get()
            && self.upstreams.borrow().may_have_lapsed_ms(now_ms) == 0
    }
}

/// Whether another incarnation than the listed one answers for an engine that is to go on with a stream; it is taken out
/// of use then.
///
/// An engine that crashed may be back at its address and id within 50 ms with another version, which the list tells
/// later. So it is asked also where the list knows of one version.
pub async fn came_back(relay: &Relay, engine: &Upstream) -> bool {
    if ask(relay, engine).await != Sign::Replaced {
        return false;
    }
    engine.note_replaced();
    relay.remove_replaced(engine);
    true
}

/// Whether the process of an engine that runs since `process_since_ms` is the listed incarnation, and so of the version
/// that the list names. If that is not known yet, the engine is asked, and a later call tells.
///
/// An engine may have come back with another version that the list does not name yet. So the list counts only if it was
/// read after that process would have registered; its age alone says nothing about a process that is younger.
pub fn is_from_listed(relay: &Rc<Relay>, engine: &Rc<Upstream>, process_since_ms: u64) -> bool {
    if engine.is_replaced() {
        return false;
    }
    if engine.is_confirmed_since(process_since_ms) || relay.is_listed_since(process_since_ms) {
        return true;
    }
    confirm(relay, engine);
    false
}

/// Logs that the version of a stream is not known, with what that rests on.
pub fn log_doubt(relay: &Relay, request: &str, engine: &Upstream, process_since_ms: u64) {
    if !relay.failure_log_limit.take(relay.now_ms()) {
        return;
    }
    let now_ms = relay.now_ms();
    log::info!(
        request, upstream = engine.id, process_age_ms = now_ms.saturating_sub(process_since_ms),
        confirmed_ago_ms = engine.confirmed_ago_ms().unwrap_or(u64::MAX),
        asked_ago_ms = engine.asked_ago_ms().unwrap_or(u64::MAX),
        list_age_ms = relay.list_age_ms().unwrap_or(u64::MAX), is_list_settled = relay.is_list_settled(),
        is_replaced = engine.is_replaced();
        "version of a stream is not known yet"
    );
}

/// Asks an engine which incarnation it is, unless it was asked just now.
pub fn confirm(relay: &Rc<Relay>, engine: &Rc<Upstream>) {
    if engine.begin_confirmation() {
        let (relay, engine) = (Rc::clone(relay), Rc::clone(engine));
        actix_rt::spawn(async move {
            if came_back(&relay, &engine).await {
                log::info!(upstream = engine.id; "engine found to be of another incarnation than the list names");
            }
        });
    }
}

/// Asks an engine to which no connection is open which incarnation it is, so that the answer is there by the first event.
pub fn confirm_before_events(relay: &Rc<Relay>, engine: &Rc<Upstream>) {
    if relay.list_age_ms().is_some() && engine.pool.process_since_ms().is_none() {
        confirm(relay, engine);
    }
}
