//! Messages about calls that must run at most once. See docs/design/once.md.

use crate::codec::read_text;
use crate::peer_capnp::{self as schema, CallState as WireState, ClaimVerdict as WireVerdict};
use crate::{Error, Result};

/// Length of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// A witness's reply to a home that is about to dispatch a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimVerdict {
    /// The home may dispatch the call.
    Granted,
    /// The key was fenced, so the call must never be dispatched.
    Fenced,
    /// The key is older than the witness's records.
    Expired,
    /// The key names another witness, or an earlier incarnation of this one.
    Foreign,
}

/// State of the call that a key identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallState {
    /// The call was not dispatched and never will be.
    Unseen,
    /// The call may be running.
    Running,
    /// The call was dispatched and its outcome is lost.
    Unknown,
    /// The call ran and its answer is known.
    Done,
    /// The key was first used for a call with a different digest.
    Conflict,
    /// The key is older than the records that are kept.
    Expired,
    /// The key names a different instance than the one that was asked.
    Foreign,
}

/// A complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// State of a call, with its answer if the call is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallStatus {
    /// State of the call.
    pub state: CallState,
    /// Answer of the service; present only in the state `Done`.
    pub answer: Option<Answer>,
}

/// A call that another instance forwards to its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Idempotency key.
    pub key: String,
    /// SHA-256 of service, path and body.
    pub body_digest: [u8; DIGEST_BYTES],
    /// Name of the service.
    pub service: String,
    /// Path on the service.
    pub path: String,
    /// Body of the call.
    pub body: Vec<u8>,
    /// Time left until the caller's deadline, in ms.
    pub deadline_ms: u64,
    /// Member that makes the call.
    pub member: String,
}

impl Call {
    /// Writes the call into a message.
    pub fn fill(&self, mut out: schema::call::Builder) {
        out.set_key(&self.key);
        out.set_body_digest(&self.body_digest);
        out.set_service(&self.service);
        out.set_path(&self.path);
        out.set_body(&self.body);
        out.set_deadline_ms(self.deadline_ms);
        out.set_member(&self.member);
    }
}

impl Answer {
    /// Writes the answer into a message.
    pub fn fill(&self, mut out: schema::answer::Builder) {
        out.set_status(self.status);
        out.set_content_type(&self.content_type);
        out.set_body(&self.body);
    }
}

impl CallStatus {
    /// Creates a status for a call that is not done.
    pub fn without_answer(state: CallState) -> Self {
        Self {
            state,
            answer: None,
        }
    }

    /// Writes the status into a message.
    pub fn fill(&self, mut out: schema::call_status::Builder) {
        out.set_state(self.state.into());
        if let Some(answer) = &self.answer {
            answer.fill(out.init_answer());
        }
    }
}

/// Converts the bytes of a digest and checks their length, which the schema cannot restrict.
pub fn parse_digest(field: &'static str, bytes: &[u8]) -> Result<[u8; DIGEST_BYTES]> {
    bytes.try_into().map_err(|_| Error::Field {
        field,
        detail: format!("{} bytes, not {DIGEST_BYTES}", bytes.len()),
    })
}

impl TryFrom<schema::call::Reader<'_>> for Call {
    type Error = Error;

    fn try_from(wire: schema::call::Reader) -> Result<Self> {
        Ok(Self {
            key: read_text("call.key", wire.get_key())?,
            body_digest: parse_digest("call.bodyDigest", wire.get_body_digest()?)?,
            service: read_text("call.service", wire.get_service())?,
            path: read_text("call.path", wire.get_path())?,
            body: wire.get_body()?.to_vec(),
            deadline_ms: wire.get_deadline_ms(),
            member: read_text("call.member", wire.get_member())?,
        })
    }
}

impl TryFrom<schema::answer::Reader<'_>> for Answer {
    type Error = Error;

    fn try_from(wire: schema::answer::Reader) -> Result<Self> {
        Ok(Self {
            status: wire.get_status(),
            content_type: read_text("answer.contentType", wire.get_content_type())?,
            body: wire.get_body()?.to_vec(),
        })
    }
}

impl TryFrom<schema::call_status::Reader<'_>> for CallStatus {
    type Error = Error;

    fn try_from(wire: schema::call_status::Reader) -> Result<Self> {
        let state = wire.get_state()?.into();
        let answer = match state {
            CallState::Done if !wire.has_answer() => {
                return Err(Error::Field {
                    field: "callStatus.answer",
                    detail: "missing from a call that is done".to_owned(),
                });
            }
            CallState::Done => Some(wire.get_answer()?.try_into()?),
            _ => None,
        };
        Ok(Self { state, answer })
    }
}

impl From<CallState> for WireState {
    fn from(state: CallState) -> Self {
        match state {
            CallState::Unseen => Self::Unseen,
            CallState::Running => Self::Running,
            CallState::Unknown => Self::Unknown,
            CallState::Done => Self::Done,
            CallState::Conflict => Self::Conflict,
            CallState::Expired => Self::Expired,
            CallState::Foreign => Self::Foreign,
        }
    }
}

impl From<WireState> for CallState {
    fn from(state: WireState) -> Self {
        match state {
            WireState::Unseen => Self::Unseen,
            WireState::Running => Self::Running,
            WireState::Unknown => Self::Unknown,
            WireState::Done => Self::Done,
            WireState::Conflict => Self::Conflict,
            WireState::Expired => Self::Expired,
            WireState::Foreign => Self::Foreign,
        }
    }
}

impl From<ClaimVerdict> for WireVerdict {
    fn from(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Granted => Self::Granted,
            ClaimVerdict::Fenced => Self::Fenced,
            ClaimVerdict::Expired => Self::Expired,
            ClaimVerdict::Foreign => Self::Foreign,
        }
    }
}

impl From<WireVerdict> for ClaimVerdict {
    fn from(verdict: WireVerdict) -> Self {
        match verdict {
            WireVerdict::Granted => Self::Granted,
            WireVerdict::Fenced => Self::Fenced,
            WireVerdict::Expired => Self::Expired,
            WireVerdict::Foreign => Self::Foreign,
        }
    }
}
