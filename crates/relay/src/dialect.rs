//! Translation between the relay's types and the wire names of a deployment.
//!
//! An implementation of [`Dialect`] parses and writes the headers, paths and small bodies of one
//! deployment. It makes no decisions.

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use keys::KeyHash;

use crate::role_orders::RoleOrder;
pub use crate::upstream::ReportedLoad;
use crate::upstream::Stage;

/// Part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Prompt and output lengths that a generation request declares.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Length of the whole prompt, in tokens.
    pub input_tokens: u32,
    /// Maximum length of the output, in tokens.
    pub output_tokens: u32,
    /// The caller's estimate of the output length; accurate in the median, but often far off.
    pub output_hint_tokens: Option<u32>,
    /// Parts of the prompt in order. The last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
}

/// Fields of a request's head that the relay uses.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Id of the attempt, as the caller wrote it.
    pub attempt: Option<HeaderValue>,
    /// Time for which the caller waits for the answer, in ms.
    pub deadline_ms: Option<u64>,
    /// The prompt, on requests that generate text.
    pub prompt: Option<Prompt>,
    /// Last event that the caller received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of that stream.
    pub resumes: Option<HeaderValue>,
    /// The key that the caller presents.
    pub key: PresentedKey,
}

/// The key that a caller presents. Only its hash is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PresentedKey {
    /// No key.
    #[default]
    Missing,
    /// One key.
    Single(KeyHash),
    /// Several keys, of which none takes precedence.
    Multiple,
}

/// Location of the KV cache of a prompt that another engine has prefilled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvHandle {
    /// Address of the engine that holds it.
    pub holder: std::net::SocketAddr,
    /// Id that the engine gave the cache.
    pub id: String,
}

/// Part of a generation that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Step {
    /// The whole generation, or the rest after a transferred prefill.
    #[default]
    Whole,
    /// Only the prefill.
    Prefill,
}

/// Values that the relay sets on a request to an upstream.
#[derive(Debug, Clone, Default)]
pub struct SendOptions<'a> {
    /// Id of the incarnation that may run the request; any other one rejects it.
    pub instance: &'a str,
    /// Time until the deadline, in ms.
    pub deadline_ms: u64,
    /// Rank in the engine's queue, 0 first.
    pub priority: Option<u8>,
    /// Part of the generation to run.
    pub step: Step,
    /// KV cache of the prompt, to be fetched before decoding.
    pub kv: Option<&'a KvHandle>,
    /// Engine from which the receiving one copies the cached prefix that it lacks.
    pub copy_from: Option<std::net::SocketAddr>,
    /// Event after which a resumed stream continues.
    pub last_event: Option<u64>,
}

/// Fields of an answer's head that the relay uses.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// Id of the attempt that is answered.
    pub attempt: Option<HeaderValue>,
    /// Whether the answer carries the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Id of the incarnation that answers, if it is named.
    pub instance: Option<String>,
    /// The upstream's load.
    pub load: Option<ReportedLoad>,
    /// Rate limit that the upstream names, in requests per second from all instances together.
    pub limit_per_s: Option<f64>,
    /// Whether the upstream announces that it is leaving.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests from this instance, in ms, if it rejected one.
    pub rest_ms: Option<u64>,
}

/// State that an engine reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Part of a generation that it runs.
    pub stage: Stage,
    /// Whether it is executing an order.
    pub is_busy: bool,
    /// Number of orders that it has accepted since its start.
    pub orders: u64,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// Parses and writes the headers, paths and small bodies of one deployment.
pub trait Dialect {
    /// The id that the caller gave to this attempt.
    fn parse_attempt(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Parses the head of a request.
    fn parse_request_head(&self, headers: &HeaderMap) -> RequestHead;
    /// Removes the headers that a caller must not set.
    fn strip_reserved_headers(&self, headers: &mut HeaderMap);
    /// Whether a header is forwarded even if the caller names it in `Connection`.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;
    /// Writes the headers that the relay sets.
    fn write_send_options(&self, headers: &mut HeaderMap, options: &SendOptions);
    /// Writes what is left of a request that another instance goes on with: the time until its deadline, and the event
    /// after which a resumed stream continues.
    fn write_rest(&self, headers: &mut HeaderMap, left_ms: u64, last_event: Option<u64>);
    /// Writes the name of the workspace that a request belongs to.
    fn write_workspace(&self, headers: &mut HeaderMap, name: &str);
    /// Parses the head of an answer.
    fn parse_response_head(&self, headers: &HeaderMap) -> ResponseHead;
    /// Parses the id that an engine gave to the KV cache of a prompt that it prefilled.
    fn parse_prefill_response(&self, body: &[u8]) -> Option<String>;
    /// Method and path of the call that frees an unused KV cache.
    fn free_kv_request(&self, handle: &KvHandle) -> (Method, String);
    /// Path of an upstream's report; it takes no slot there.
    fn report_path(&self) -> &str;
    /// Parses an engine's report.
    fn parse_engine_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// Start of the incarnation that an upstream's report names, on the upstream's clock, in ms; none if the body does
    /// not tell it.
    fn parse_reported_start(&self, body: &[u8]) -> Option<u64>;
    /// Path and body of an order to an engine.
    fn order_request(&self, order: &RoleOrder) -> (String, Vec<u8>);
    /// Writes the id of the only incarnation that may accept a request.
    fn write_expected_instance(&self, headers: &mut HeaderMap, instance: &str);
    /// Path of the readiness check.
    fn ready_path(&self) -> &str;
    /// Path at which callers look up addresses.
    fn resolve_path(&self) -> &str;
    /// Encodes the answer to a lookup of addresses.
    fn encode_addresses(&self, addresses: &[std::net::SocketAddr], ttl_ms: u64) -> Vec<u8>;
    /// The caller's zone, if the query of a lookup names one.
    fn parse_caller_zone(&self, query: &str) -> Option<String>;
    /// Encodes the body of an error that this instance answers itself.
    fn encode_error(&self, reason: &str) -> Vec<u8>;
}
