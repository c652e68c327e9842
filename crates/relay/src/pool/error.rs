//! Errors of requests that brought no answer.

use std::net::SocketAddr;

use derive_more::Display;

/// Error of a request that brought no answer.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be opened; nothing was sent.
    #[display("connecting to {peer}: {why}")]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        why: String,
        /// Whether the peer, or a path that stands for it, refused: nothing listens at the address.
        is_refused: bool,
    },
    /// All connections that this instance may open are in use; nothing was sent.
    #[display("no connection to {peer} is free")]
    PoolExhausted {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// This instance's share of the peer's rate limit is used up; nothing was sent.
    #[display("rate limit of {peer} is used up")]
    RateLimited {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The peer is leaving and gets no new requests; nothing was sent.
    #[display("{peer} is leaving")]
    Leaving {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The peer asked this instance for rest; nothing was sent.
    #[display("{peer} asked for rest")]
    Resting {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// Another incarnation listens at the address; nothing was sent.
    #[display("{peer} is another incarnation")]
    Replaced {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The request was sent, at least in part, and may have run.
    #[display("answer of {peer}: {why}")]
    Lost {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        why: String,
        /// Whether it went on past a bound: bytes that are no answer.
        is_past_bound: bool,
    },
}
