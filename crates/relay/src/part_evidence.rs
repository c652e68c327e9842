//! What the answers to a request show of the parts of its prompt.
//!
//! A part may crash each engine that begins to write an answer on it. So for each answer it is known how far it has
//! come when it is lost. See docs/design/prompt-parts.md.

use view::{AnswerProgress, PartKey};

use crate::call::Call;
use crate::dialect::Prompt;
use crate::relay::Relay;
use crate::send::SendResult;
use crate::upstream::Upstream;

/// The keys of a prompt's parts, each once, without the last, which no other request has.
pub(crate) fn shared_parts(prompt: Option<&Prompt>) -> Vec<PartKey> {
    let Some((_, shared)) = prompt.and_then(|prompt| prompt.parts.split_last()) else {
        return Vec::new();
    };
    let mut keys: Vec<PartKey> = Vec::with_capacity(shared.len());
    for part in shared {
        let key = PartKey::of(part.id);
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys
}

/// Records that a request is about to be sent to an upstream that may write an answer.
pub(crate) fn note_sent(call: &Call) {
    call.progress.set(AnswerProgress::Waiting);
    call.events.set(0);
}

/// Records whether a send brought the head of an answer.
pub(crate) fn note_send_result(call: &Call, sent: &SendResult) {
    let progress = match sent {
        SendResult::Answer(checked) if checked.response.status().is_success() => {
            AnswerProgress::Begun
        }
        SendResult::Answer(_)
        | SendResult::Unsent(_)
        | SendResult::NotRun(_)
        | SendResult::Lost(_)
        | SendResult::HandedOver(_) => AnswerProgress::NotSent,
    };
    call.progress.set(progress);
}

/// Records how many events of the answer have come; from the second on, its parts are known to end no upstreams.
pub(crate) fn note_events(relay: &Relay, call: &Call, events: u32) {
    let before = call.progress.get();
    let after = before.after_events(events);
    call.events.set(events);
    call.progress.set(after);
    if after != before && after == AnswerProgress::WentOn {
        relay.clear_parts(call);
    }
}

/// Logs how far an answer had come when it was lost, the parts of its prompt, and those that it accuses should the
/// upstream have ended.
pub(crate) fn log_lost_parts(relay: &Relay, call: &Call, upstream: &Upstream) {
    if call.shared_parts.is_empty() || !relay.failure_log_limit.take(relay.now_ms()) {
        return;
    }
    let suspected = relay.unproven_parts(call);
    log::info!(
        request = call.id(), key:% = call.key, upstream = upstream.id, progress:? = call.progress.get(),
        events = call.events.get(), parts = joined(&call.shared_parts),
        suspected = joined(&suspected);
        "answer on a prompt lost"
    );
}

fn joined(parts: &[PartKey]) -> String {
    let parts: Vec<String> = parts.iter().map(PartKey::to_string).collect();
    parts.join(",")
}
