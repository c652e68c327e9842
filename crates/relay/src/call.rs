//! State of one request of a caller, from its arrival to the end of its answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use view::parts::Trial;
use view::{AnswerProgress, PartKey, RequestKey, RequestTrial, VersionKey};
use xxhash_rust::xxh3::xxh3_64;

use crate::access::Admitted;
use crate::claimed_trial::ClaimedTrial;
use crate::config::{Route, Workspace};
use crate::dialect::{Dialect, RequestHead, SendOptions};
use crate::handover::{Handover, Spent};
use crate::part_evidence::shared_parts;
use crate::relay::Relay;
use crate::urgency::Urgency;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Time after the deadline for which data of an answer that is ready is still passed on, in ms.
const READY_GRACE_MS: u64 = 250;

/// One attempt of a caller's request.
pub struct Call {
    /// Its route.
    pub route: Rc<Route>,
    /// Workspace of the caller's key, if it presented one.
    pub workspace: Option<Rc<Workspace>>,
    /// Service that it is sent to.
    pub service: String,
    /// The fields that the dialect read from its head.
    pub head: RequestHead,
    /// Identity of its content, the same for all attempts of one request.
    pub key: RequestKey,
    /// Hash of the attempt's id, the same at every instance; the time of arrival if it has none.
    pub id_hash: u64,
    /// When its head was received, on the instance's clock.
    pub arrived_ms: u64,
    /// Whether longer prompts of its route are ranked before it.
    pub yields_to_longer: bool,
    /// Time that its caller had waited before this attempt, estimated from its deadline.
    pub prior_wait_ms: u64,
    /// Deadline of the complete answer, on the instance's clock.
    pub deadline_at_ms: u64,
    /// Number of its sends that may have run.
    pub possible_runs: Cell<u32>,
    /// The same before a peer handed it over.
    possible_runs_before: Cell<u32>,
    /// Number of upstreams that it was sent to, including those that rejected it.
    pub attempts: Cell<u32>,
    /// Separate prefills that reached an engine, without the first that was accepted.
    prefill_sends: Cell<u32>,
    /// Whether a separate prefill has been accepted.
    pub(crate) prefill_accepted: Cell<bool>,
    /// Arrivals at its service that the retry budget has allowed so far, the first included.
    pub(crate) allowed_arrivals: Cell<u32>,
    /// Whether an upstream is known to have started it.
    pub has_started: Cell<bool>,
    /// Whether its answer has ended, successfully or not.
    pub is_finished: Cell<bool>,
    /// Whether it has been sent to an upstream at least once.
    pub is_sent: Cell<bool>,
    /// Id of the upstream that it was last sent to; empty before the first send.
    pub current_upstream: RefCell<String>,
    /// Version of the only upstreams that may go on with its stream; none before an event of the stream is known.
    pub(crate) began_version: Cell<Option<VersionKey>>,
    /// Whether other instances were told that this version is not known yet.
    pub(crate) is_origin_told: Cell<bool>,
    /// The parts of its prompt that other requests may have as well.
    pub(crate) shared_parts: Vec<PartKey>,
    /// How far the answer to its last send has come, and the number of its events.
    pub(crate) progress: Cell<AnswerProgress>,
    pub(crate) events: Cell<u32>,
    /// Engine time that it was recorded to ask for; none before.
    pub(crate) share_asked_ms: Cell<Option<f64>>,
    /// The part of that for its output.
    pub(crate) share_decode_ms: Cell<f64>,
    /// Whether engine time was recorded as granted to it.
    pub(crate) share_granted: Cell<bool>,
    /// The trial of one of these parts that it is.
    pub(crate) part_trial: Cell<Option<ClaimedTrial<Trial>>>,
    /// The trial of itself that it is, since upstreams ended under it.
    pub(crate) request_trial: Cell<Option<ClaimedTrial<RequestTrial>>>,
    /// Whether a peer that is cut off from upstreams handed it over; it goes no further then.
    pub is_taken_over: Cell<bool>,
    /// Whether it was handed over to a peer, which counts it from then on.
    pub(crate) is_handed_over: Cell<bool>,
    /// Whether its first send was counted for the retry budget.
    pub(crate) is_first_counted: Cell<bool>,
    /// Whether it is sent only to engines that have room, if there are any.
    pub(crate) needs_room: Cell<bool>,
    /// Time for which it waited here for room, in ms.
    pub(crate) queued_ms: Cell<u64>,
    /// Sends that engines rejected for lack of capacity and after which it waited for room.
    unrun_rejections: Cell<u32>,
    /// Whether its demand was recorded.
    pub(crate) is_demand_recorded: Cell<bool>,
    relay: Rc<Relay>,
    method: Method,
    target: PathAndQuery,
    headers: HeaderMap,
    /// The end-to-end headers as its caller sent them.
    received_headers: HeaderMap,
    body: Bytes,
}

impl Call {
    /// Builds the state of an admitted request; returns nothing if its route has no service.
    pub fn new(
        relay: &Rc<Relay>,
        admitted: Admitted,
        head: RequestHead,
        arrived_ms: u64,
        parts: Parts,
        body: Bytes,
    ) -> Option<Self> {
        let Admitted { route, workspace } = admitted;
        let dialect = &*relay.dialect;
        let id_hash = head
            .attempt
            .as_ref()
            .map_or(arrived_ms, |id| xxh3_64(id.as_bytes()));
        let service = route.service(id_hash)?.to_owned();
        let wait_ms = head.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let prior_wait_ms = relay.estimates.prior_wait_ms(&route.name, head.deadline_ms);
        let yields_to_longer = head.prompt.as_ref().is_some_and(|prompt| {
            relay
                .estimates
                .yields_to_longer(&route.name, f64::from(prompt.input_tokens))
        });
        let target = parts.uri.path_and_query().cloned()?;
        let caller = workspace.as_ref().map(|workspace| workspace.name.as_str());
        let key = RequestKey::of(&route.host, parts.method.as_str(), target.as_str(), &body)
            .of_caller(caller);
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers, |name| dialect.is_end_to_end(name));
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let received_headers = headers.clone();
        dialect.strip_reserved_headers(&mut headers);
        if let Some(workspace) = &workspace {
            dialect.write_workspace(&mut headers, &workspace.name);
        }
        let shared_parts = shared_parts(head.prompt.as_ref());
        Some(Self {
            route,
            workspace,
            service,
            head,
            key,
            id_hash,
            arrived_ms,
            yields_to_longer,
            prior_wait_ms,
            deadline_at_ms: arrived_ms.saturating_add(wait_ms),
            possible_runs: Cell::default(),
            possible_runs_before: Cell::default(),
            attempts: Cell::default(),
            prefill_sends: Cell::default(),
            prefill_accepted: Cell::default(),
            allowed_arrivals: Cell::new(1),
            has_started: Cell::default(),
            is_finished: Cell::default(),
            is_sent: Cell::default(),
            current_upstream: RefCell::default(),
            began_version: Cell::default(),
            is_origin_told: Cell::default(),
            shared_parts,
            progress: Cell::default(),
            events: Cell::default(),
            share_asked_ms: Cell::default(),
            share_decode_ms: Cell::default(),
            share_granted: Cell::default(),
            part_trial: Cell::default(),
            request_trial: Cell::default(),
            is_taken_over: Cell::default(),
            is_handed_over: Cell::default(),
            is_first_counted: Cell::default(),
            needs_room: Cell::default(),
            queued_ms: Cell::default(),
            unrun_rejections: Cell::default(),
            is_demand_recorded: Cell::default(),
            relay: Rc::clone(relay),
            method: parts.method,
            target,
            headers,
            received_headers,
            body,
        })
    }

    /// Length of its body, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Time left until its objective, with the time that its caller waited before; negative after it.
    pub fn left_to_goal_ms(&self, now_ms: u64) -> f64 {
        let spent_ms = self.prior_wait_ms + now_ms.saturating_sub(self.arrived_ms);
        self.route.goal_ms as f64 - spent_ms as f64
    }

    /// Time until the deadline.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_at_ms.saturating_sub(now_ms)
    }

    /// Whether its deadline passed so long ago that nothing more is passed on, even if it is ready.
    pub(crate) fn is_overdue(&self, now_ms: u64) -> bool {
        now_ms >= self.deadline_at_ms.saturating_add(READY_GRACE_MS)
    }

    /// Number of arrivals at its service as the retry budget counts them: every send, rejected or not,
    /// except the first separate prefill that was accepted.
    pub(crate) fn arrivals(&self) -> u32 {
        self.attempts.get() + self.prefill_sends.get()
    }

    /// Whether it is or was a trial, of itself or of a part of its prompt.
    pub(crate) fn is_trial(&self) -> bool {
        self.request_trial.get().is_some() || self.part_trial.get().is_some()
    }

    /// Whether it is a trial whose send is still to come.
    pub(crate) fn has_unused_trial(&self) -> bool {
        let runs = self.possible_runs.get();
        let is_unused = |trial: ClaimedTrial<RequestTrial>| trial.is_unused(runs);
        self.request_trial.get().is_some_and(is_unused)
    }

    /// Counts a separate prefill that is about to be sent.
    pub(crate) fn note_prefill_sent(&self) {
        self.prefill_sends.set(self.prefill_sends.get() + 1);
    }

    /// Takes back the count of a separate prefill that did not reach an engine.
    pub(crate) fn note_prefill_unsent(&self) {
        self.prefill_sends.set(self.prefill_sends.get() - 1);
    }

    /// Records that a separate prefill was accepted; the first one no longer counts as an arrival.
    pub(crate) fn note_prefill_accepted(&self) {
        if !self.prefill_accepted.replace(true) {
            self.prefill_sends.set(self.prefill_sends.get() - 1);
        }
    }

    /// Records that an engine rejected it for lack of capacity: it is placed again as if that engine had not been
    /// asked, but for the retry budget.
    pub(crate) fn note_unrun_rejection(&self) {
        self.unrun_rejections.set(self.unrun_rejections.get() + 1);
    }

    /// Sends that count towards the route's largest number of attempts.
    pub(crate) fn counted_attempts(&self) -> u32 {
        self.attempts
            .get()
            .saturating_sub(self.unrun_rejections.get())
    }

    /// Rank in an engine's queue, 0 first.
    pub fn rank(&self, urgency: Urgency) -> u8 {
        urgency.rank(self.priority(), self.yields_to_longer)
    }

    /// Its priority, 0 first: that of its workspace if set, else that of its route.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Name of its workspace for logs; `-` if there is none.
    pub fn workspace_name(&self) -> &str {
        self.workspace
            .as_ref()
            .map_or("-", |workspace| &workspace.name)
    }

    /// The caller's id of the attempt for logs; `-` if there is none.
    pub fn id(&self) -> &str {
        let attempt = self.head.attempt.as_ref();
        attempt.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Counts how it ended: by a status, or by a word if there was none.
    pub(crate) fn count_end(&self, end: &str) {
        let prompt = self.head.prompt.as_ref();
        let prompt_tokens = prompt.map(|prompt| prompt.input_tokens);
        let metrics = &self.relay.metrics;
        metrics.count_end(&self.route.name, prompt_tokens, end);
    }

    /// What was spent on it here so far, for a peer that goes on with it.
    pub(crate) fn spent(&self) -> Spent {
        Spent {
            attempts: self.attempts.get(),
            arrivals: self.arrivals(),
            possible_runs: self.possible_runs.get(),
            is_prefill_accepted: self.prefill_accepted.get(),
            is_first_counted: self.is_first_counted.get(),
        }
    }

    /// Whether none of this instance's own sends has run it.
    pub(crate) fn has_not_run_here(&self) -> bool {
        self.possible_runs.get() <= self.possible_runs_before.get()
    }

    /// Goes on with a request on which a peer has spent this; the next arrival at its service is covered there.
    pub(crate) fn take_over(&self, handover: &Handover) {
        let spent = &handover.spent;
        self.is_taken_over.set(true);
        self.began_version.set(handover.began_version);
        self.attempts.set(spent.attempts);
        self.prefill_sends
            .set(spent.arrivals.saturating_sub(spent.attempts));
        self.possible_runs.set(spent.possible_runs);
        self.possible_runs_before.set(spent.possible_runs);
        self.prefill_accepted.set(spent.is_prefill_accepted);
        self.is_first_counted.set(spent.is_first_counted);
        self.allowed_arrivals.set(self.arrivals() + 1);
    }

    /// Builds the request that is sent to a peer, as its caller sent it but for the time that is left.
    pub(crate) fn handover_request(&self, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let mut headers = self.received_headers.clone();
        let left_ms = self.left_ms(self.relay.now_ms());
        let dialect = &self.relay.dialect;
        dialect.write_rest(&mut headers, left_ms, last_event);
        if !headers.contains_key(header::HOST)
            && let Ok(host) = HeaderValue::from_str(&self.route.host)
        {
            headers.insert(header::HOST, host);
        }
        *request.headers_mut() = headers;
        request
    }

    /// Builds the request that is sent to an upstream.
    pub fn request(&self, dialect: &dyn Dialect, options: &SendOptions) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let mut headers = self.headers.clone();
        dialect.write_send_options(&mut headers, options);
        *request.headers_mut() = headers;
        request
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_handed_over.get() {
            let settings = self.relay.settings.borrow().singleton_tasks;
            self.relay.singleton_tasks.count_unanswered(settings, self);
        }
        self.relay.abandon_part_trial(self);
        self.relay.abandon_request_trial(self);
        if self.is_finished.get() {
            return;
        }
        // The caller closed its connection, which dropped all work on the request.
        let now_ms = self.relay.now_ms();
        self.count_end("left");
        if self.relay.failure_log_limit.take(now_ms) {
            log::info!(
                request = self.id(), route = self.route.name, workspace = self.workspace_name(),
                upstream = self.current_upstream.borrow().as_str(),
                took_ms = now_ms - self.arrived_ms, sends = self.possible_runs.get();
                "caller disconnected"
            );
        }
    }
}

/// Removes hop-by-hop headers, including those named in `Connection`.
///
/// Headers for which `keeps` returns true are kept even if they are named there; otherwise a caller could
/// remove the headers that identify its request.
pub fn strip_hop_by_hop(headers: &mut HeaderMap, keeps: impl Fn(&HeaderName) -> bool) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name: &HeaderName| !keeps(name) && name != header::HOST)
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// The host that a request names, in lower case and without the port.
pub fn host(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let named = headers.get(header::HOST).map(HeaderValue::to_str);
    let host = match (uri.authority(), named) {
        (Some(authority), _) => authority.as_str(),
        (None, Some(Ok(host))) => host,
        (None, _) => return None,
    };
    let bare = host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    });
    Some(bare.to_ascii_lowercase())
}
