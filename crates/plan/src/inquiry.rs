//! What shows that an upstream lives, and what only shows that something listens at its address.
//!
//! The load that it answers: an upstream ends under a request, but connections to its address are still established for
//! a while, by the kernel, a supervisor or a proxy. If that counted as a sign of life, the request would be sent to one
//! upstream after the other, and each would end. See docs/design/reachability.md.

/// What an attempt to get an answer from an upstream on a new connection showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// It answered, and nothing says that it is another incarnation.
    Answered,
    /// Another incarnation answered at its address.
    Replaced,
    /// The connection was refused: nothing listens at the address, or the path refuses.
    Refused,
    /// No answer came, whether or not a connection was established.
    Unanswered,
    /// It wants no requests now and was not asked; its address does not refuse connections.
    NotAsked,
}

impl Sign {
    /// Whether it shows that the path to the address works in both directions. A connection that was established does
    /// not: it may be reset before its request is read, or pass one direction only.
    pub fn proves_path(self) -> bool {
        match self {
            Self::Answered | Self::Replaced => true,
            Self::Refused | Self::Unanswered | Self::NotAsked => false,
        }
    }
}
