//! Failure attribution: whether a lost connection was caused by the request or by its upstream.
//!
//! A lost answer alone proves little, since the upstream may have closed just that connection. If the whole
//! upstream ended, and it happens again to the same request, the request may be the cause (`view::poison`). An
//! inquiry therefore asks the upstream for a sign of life until it is known whether it has ended
//! ([`plan::Inquiry`]); meanwhile the request waits if another upstream could be the one too many.

use std::rc::Rc;
use std::time::Duration;

use plan::{Inquiry, InquiryStep, ReachState, Sign, Verdict};
use view::FailureEvidence;

use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::claimed_trial::SendStep;
use crate::inquiry::ask;
use crate::part_evidence::log_lost_parts;
use crate::path_check::{suspect_path, suspect_path_after_loss};
use crate::reachability::settle;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Poll interval while an inquiry is running, in ms. One takes about a round trip, unless the upstream ends slowly.
const INQUIRY_POLL_MS: u64 = 2;

/// Longest time for which a request waits for inquiries before it is refused, in ms, and the part of the time to its
/// deadline that it may wait: its caller may have better use for the rest.
const MAX_WAIT_MS: u64 = 500;
const MAX_WAIT_FRACTION: u64 = 3;

/// Retry delay sent to a caller whose request waits for inquiries or for the trial of a prompt part, in ms: most
/// upstreams that end have ended by then.
pub(crate) const IN_DOUBT_RETRY_MS: u64 = 1_000;

/// Refuses a request under which upstreams ended, and one with a prompt part that may end them, unless it is the trial
/// that tells.
///
/// Called before each send: a prompt may wait for seconds between two sends, and other instances may have
/// identified it meanwhile. If the connection to an upstream was lost just now, this waits until it is known whether
/// that upstream has ended; otherwise the request could terminate a third one before the end of the first is known.
pub async fn ensure_not_poison(relay: &Rc<Relay>, call: &Call) -> Result<(), Refusal> {
    let began_ms = relay.now_ms();
    let mut is_path_checked = false;
    let wait_ms = (call.left_ms(began_ms) / MAX_WAIT_FRACTION).min(MAX_WAIT_MS);
    loop {
        inquire_into_losses(relay, call);
        let reason = if relay.waits_for_inquiry(call) {
            Reason::InDoubt
        } else if relay.request_step(call)? == SendStep::Wait {
            Reason::HeldRequest
        } else if relay.part_step(call)? == SendStep::Wait {
            Reason::HeldPart
        } else {
            return Ok(());
        };
        // What is held is not sent, so nothing else finds out that the upstreams are back.
        if !std::mem::replace(&mut is_path_checked, true)
            && relay.reach_state(&call.service) != ReachState::Reached
        {
            suspect_path(relay, &call.service, relay.now_ms());
        }
        // The claim of a trial spreads within a bound of its own.
        if relay.now_ms() >= began_ms + wait_ms && !call.has_unused_trial() {
            return Err(Refusal::with_retry_after(reason, IN_DOUBT_RETRY_MS));
        }
        actix_rt::time::sleep(Duration::from_millis(INQUIRY_POLL_MS)).await;
    }
}

/// Starts inquiries into losses that peers have told of: this instance does not know yet whether the upstreams live.
fn inquire_into_losses(relay: &Rc<Relay>, call: &Call) {
    for upstream in relay.upstreams_to_inquire(call) {
        begin_inquiry(relay, &upstream);
    }
}

/// Records that a connection ended under a request before the answer was complete, and starts an
/// inquiry into the upstream and a check of the path to its service unless they are running.
///
/// While this instance is cut off from the service, the loss says nothing about either.
pub fn note_lost_answer(relay: &Rc<Relay>, call: &Call, upstream: &Rc<Upstream>) {
    log_lost_parts(relay, call, upstream);
    if !relay.note_loss(call, upstream) {
        return;
    }
    relay.note_lost_parts(call, upstream);
    relay.record_attribution(FailureEvidence::Lost {
        request: call.key,
        upstream: upstream.key,
    });
    suspect_path_after_loss(relay, &upstream.service);
    begin_inquiry(relay, upstream);
}

/// Starts an inquiry unless one is running: an engine that terminates loses dozens of answers at once, and one inquiry is
/// enough for all of them.
fn begin_inquiry(relay: &Rc<Relay>, upstream: &Rc<Upstream>) {
    if !upstream.begin_health_check() {
        return;
    }
    let (relay, upstream) = (Rc::clone(relay), Rc::clone(upstream));
    actix_rt::spawn(async move {
        inquire(&relay, &upstream).await;
        upstream.end_health_check();
    });
}

/// Asks an upstream for a sign of life until it is known whether it has ended, and reports an end to the failure
/// attribution.
///
/// An instance that lost its own path would otherwise accuse the requests under way of ending all upstreams, and its
/// peers would refuse them.
async fn inquire(relay: &Rc<Relay>, upstream: &Upstream) {
    let mut inquiry = Inquiry::new(relay.now_ms());
    let mut is_first = true;
    let found = loop {
        let asked_ms = relay.now_ms();
        let mut sign = ask(relay, upstream).await;
        if matches!(sign, Sign::Refused | Sign::Unanswered | Sign::Silent) {
            upstream.note_unproven(relay.now_ms());
            upstream.note_unreachable(relay.now_ms());
            suspect_path(relay, &upstream.service, asked_ms);
            settle(relay, &upstream.service).await;
        }
        let reach = relay.reach_state(&upstream.service);
        if std::mem::take(&mut is_first) && !sign.proves_path() {
            log::info!(
                upstream = upstream.id, service = upstream.service, sign:?, reach:?;
                "upstream gave no sign of life after it lost an answer"
            );
        }
        if reach == ReachState::CutOff {
            break Found::CutOff;
        }
        // Where no upstream answers, neither silence nor a refusal says anything about a single one: if all instances
        // lost their paths, the requests under way would be refused for long after. An end shows in the list, or by a
        // successor that answers.
        if reach != ReachState::Reached && !sign.proves_path() {
            sign = Sign::NotAsked;
        }
        match inquiry.decide(relay.now_ms(), sign) {
            InquiryStep::Conclude(verdict) => break Found::Verdict(verdict),
            InquiryStep::AskAgain(pause_ms) => {
                actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    };
    conclude(relay, upstream, &inquiry, found);
}

/// What an inquiry found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// The verdict on the upstream.
    Verdict(Verdict),
    /// This instance has lost its own path, which says nothing about the upstream.
    CutOff,
}

impl Found {
    /// Label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Verdict(Verdict::Lives) => "lives",
            Self::Verdict(Verdict::Ended) => "ended",
            Self::Verdict(Verdict::Unknown) => "unknown",
            Self::CutOff => "cut_off",
        }
    }
}

fn conclude(relay: &Relay, upstream: &Upstream, inquiry: &Inquiry, found: Found) {
    let now_ms = relay.now_ms();
    let labels = [upstream.service.as_str(), found.label()];
    relay.metrics.inquiries.with_label_values(&labels).inc();
    match found {
        Found::Verdict(Verdict::Lives) => {
            relay.note_alive(upstream);
            upstream.forgive_since(now_ms, inquiry.began_ms());
        }
        Found::Verdict(Verdict::Ended) => {
            log::info!(
                upstream = upstream.id, service = upstream.service, took_ms = now_ms - inquiry.began_ms();
                "upstream has ended after it lost an answer"
            );
            relay.record_attribution(FailureEvidence::Ended(upstream.key));
        }
        Found::Verdict(Verdict::Unknown) | Found::CutOff => {}
    }
}
