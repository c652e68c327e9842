//! Messages about calls that may not be repeated. See docs/design/once.md.

use crate::codec::name;
use crate::peer_capnp::{self as schema, CallState as WireState, ClaimVerdict as WireVerdict};
use crate::{Error, Result};

/// Length of a SHA-256, in bytes.
const DIGEST_BYTES: usize = 32;

/// A witness's word on a home that wants to dispatch a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimVerdict {
    /// The home may dispatch.
    Granted,
    /// The key was closed: it must never be dispatched.
    Fenced,
    /// The key is older than the witness keeps records.
    Expired,
    /// The key names another witness, or an earlier incarnation of this one.
    Foreign,
}

/// What is known of a call by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallState {
    /// It was never dispatched and never will be.
    Unseen,
    /// It may be under way.
    Running,
    /// It was dispatched and its outcome is lost.
    Unknown,
    /// It ran; the answer is here.
    Done,
    /// The key was first used with another body.
    Conflict,
    /// The key is older than records are kept.
    Expired,
    /// The one who was asked is not the one that the key names.
    Foreign,
}

/// A whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// What is known of a call, with its answer if there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallStatus {
    /// State of the call.
    pub state: CallState,
    /// Its answer, when the state is `Done`.
    pub answer: Option<Answer>,
}

/// A call on its way to its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Idempotency key.
    pub key: String,
    /// SHA-256 of service, path and body.
    pub body_digest: [u8; DIGEST_BYTES],
    /// Service by name.
    pub service: String,
    /// Path on the service.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Time left until the caller's deadline.
    pub deadline_ms: u64,
    /// Member on whose behalf the call is made.
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
    /// A status that has no answer.
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

/// Reads a digest, whose length the schema cannot state.
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
            key: name("call.key", wire.get_key())?,
            body_digest: parse_digest("call.bodyDigest", wire.get_body_digest()?)?,
            service: name("call.service", wire.get_service())?,
            path: name("call.path", wire.get_path())?,
            body: wire.get_body()?.to_vec(),
            deadline_ms: wire.get_deadline_ms(),
            member: name("call.member", wire.get_member())?,
        })
    }
}

impl TryFrom<schema::answer::Reader<'_>> for Answer {
    type Error = Error;

    fn try_from(wire: schema::answer::Reader) -> Result<Self> {
        Ok(Self {
            status: wire.get_status(),
            content_type: name("answer.contentType", wire.get_content_type())?,
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
