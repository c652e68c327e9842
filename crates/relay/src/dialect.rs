//! What a deployment calls things on the wire.
//!
//! The relay works with its own types; an implementation of [`Dialect`] reads and writes the
//! headers and bodies of one deployment. It decides nothing.

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use keys::KeyHash;

use crate::role_orders::RoleOrder;
use crate::upstream::Stage;

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of its text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a generation request says of its prompt and output.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Tokens of the whole prompt.
    pub input_tokens: u32,
    /// Most output tokens.
    pub output_tokens: u32,
    /// The caller's estimate of the output; right at the median and often far off.
    pub output_hint_tokens: Option<u32>,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
}

/// What the relay reads in a request's head.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Id of the attempt, as the caller wrote it.
    pub attempt: Option<HeaderValue>,
    /// How long the caller waits, in ms.
    pub deadline_ms: Option<u64>,
    /// Set on requests that generate text.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
    /// The key that it presents.
    pub key: PresentedKey,
}

/// The key that a caller presents, of which only the hash is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PresentedKey {
    /// None.
    #[default]
    Nothing,
    /// One.
    Key(KeyHash),
    /// More than one, and it is not told which counts.
    Several,
}

/// Where an engine finds the KV cache of a prompt that another has read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvHandle {
    /// Address of the engine that holds it.
    pub holder: std::net::SocketAddr,
    /// Name that it gave the cache.
    pub id: String,
}

/// Which part of a generation is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Step {
    /// All of it.
    #[default]
    Whole,
    /// Only the reading of the prompt.
    Prefill,
}

/// What the relay sets on a request that it sends to an upstream.
#[derive(Debug, Clone, Default)]
pub struct SendOptions<'a> {
    /// Incarnation that is to run it; any other rejects it.
    pub instance: &'a str,
    /// Time left, in ms.
    pub deadline_ms: u64,
    /// Urgency for the engine, 0 first.
    pub priority: Option<u8>,
    /// Part of the generation.
    pub step: Step,
    /// KV cache to go on from.
    pub kv: Option<&'a KvHandle>,
    /// Engine from which the one that is asked copies what it lacks of the prompt's start.
    pub copy_from: Option<std::net::SocketAddr>,
    /// Event after which a resumed stream goes on.
    pub last_event: Option<u64>,
}

/// Load as an upstream told it with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the relay reads in an answer's head.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// Id of the attempt that it answers.
    pub attempt: Option<HeaderValue>,
    /// Whether it bears the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// The incarnation that answers, where it says so.
    pub instance: Option<String>,
    /// The upstream's load.
    pub load: Option<ReportedLoad>,
    /// Requests a second that the upstream takes from all instances together, if it names a limit.
    pub limit_per_s: Option<f64>,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// What it does of a generation.
    pub stage: Stage,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Orders that it has taken since its start.
    pub orders: u64,
}

/// Reads and writes one deployment's headers, paths and small bodies.
pub trait Dialect {
    /// Reads a request's head.
    fn parse_request_head(&self, headers: &HeaderMap) -> RequestHead;
    /// Takes out what a caller may not set, and leaves all else.
    fn strip_reserved_headers(&self, headers: &mut HeaderMap);
    /// Whether a header belongs to the request even if the caller names it in `Connection`.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;
    /// Writes what the relay sets.
    fn write_send_options(&self, headers: &mut HeaderMap, sending: &SendOptions);
    /// Names the workspace that a request is for.
    fn write_workspace(&self, headers: &mut HeaderMap, name: &str);
    /// Reads an answer's head.
    fn parse_response_head(&self, headers: &HeaderMap) -> ResponseHead;
    /// Reads the name that an engine gave to the KV cache of a prompt that it read.
    fn parse_prefill_response(&self, body: &[u8]) -> Option<String>;
    /// The call that frees a KV cache which nobody will take.
    fn free_kv_request(&self, handle: &KvHandle) -> (Method, String);
    /// Path at which an engine reports on itself.
    fn report_path(&self) -> &str;
    /// Reads an engine's report.
    fn parse_engine_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// Path and body of an order to an engine.
    fn order_request(&self, order: &RoleOrder) -> (String, Vec<u8>);
    /// Names the incarnation that alone may take a call.
    fn write_expected_instance(&self, headers: &mut HeaderMap, instance: &str);
    /// Path at which instances say whether they are ready.
    fn ready_path(&self) -> &str;
    /// Path at which callers ask for addresses.
    fn resolve_path(&self) -> &str;
    /// Writes the answer to a caller who asks for addresses.
    fn encode_addresses(&self, addresses: &[std::net::SocketAddr], ttl_ms: u64) -> Vec<u8>;
    /// The zone that a caller who asks for addresses names in its query.
    fn parse_caller_zone(&self, query: &str) -> Option<String>;
    /// Writes the body of an error of our own.
    fn encode_error(&self, reason: &str) -> Vec<u8>;
}
