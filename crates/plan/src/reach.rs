//! Whether an instance reaches the upstreams of a service.
//!
//! The load that it answers: an instance loses its path to all upstreams for some seconds, and sends each request to
//! one after the other in vain, while its peers reach all of them and have room. Seen from the instance alone, that
//! is the same as upstreams that are all down; what its peers reach tells them apart.

/// Upstreams that must be found unreachable one after the other; all of them if there are fewer.
pub const TELLING_UPSTREAMS: usize = 3;

/// Time by which what a peer reached must be later than the first failure here, in ms: the error of ages that are
/// told in datagrams.
const EVIDENCE_MARGIN_MS: u64 = 50;

/// Time for which an instance that reaches no upstream waits for word from its peers, in ms, before it takes the
/// upstreams for down: two datagrams of each hop at any fleet size.
pub const EVIDENCE_WAIT_MS: u64 = 450;

/// What an instance believes of its path to the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReachState {
    /// It reaches them, or some of them.
    #[default]
    Reached,
    /// The last upstreams that it tried were unreachable; whether others reach them is not known yet.
    Suspected,
    /// It reaches none, and peers do.
    CutOff,
    /// It reaches none, and no peer was heard to.
    Down,
}

/// What an instance knows of its path to the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Reach {
    state: ReachState,
    /// When data of an upstream last came on any connection.
    heard_ms: Option<u64>,
    /// Start of the first attempt that failed since an upstream answered on a new connection.
    failing_since_ms: Option<u64>,
    /// Upstreams found unreachable since then.
    failed: usize,
    /// Whether the last of them accepted connections and only gave no answer.
    is_silence: bool,
    /// When a peer last heard an upstream.
    peers_heard_ms: Option<u64>,
    /// When this instance was last cut off.
    cut_off_ms: Option<u64>,
}

impl Reach {
    /// What the instance believes.
    pub fn state(&self) -> ReachState {
        self.state
    }

    /// When an upstream was last heard here.
    pub fn heard_ms(&self) -> Option<u64> {
        self.heard_ms
    }

    /// When an upstream was last heard here or, as far as is known, by a peer.
    pub fn last_heard_anywhere_ms(&self) -> Option<u64> {
        self.heard_ms.max(self.peers_heard_ms)
    }

    /// Start of the first attempt that failed since an upstream answered on a new connection; none while they do.
    pub fn failing_since_ms(&self) -> Option<u64> {
        self.failing_since_ms
    }

    /// Whether the instance was cut off at some time since `since_ms`.
    pub fn was_cut_off_since(&self, since_ms: u64) -> bool {
        self.state == ReachState::CutOff || self.cut_off_ms.is_some_and(|at_ms| at_ms >= since_ms)
    }

    /// Records data of an upstream on an open connection.
    ///
    /// It does not end a suspicion: open connections may live on while no new one can be opened.
    pub fn record_heard(&mut self, now_ms: u64) {
        self.heard_ms = self.heard_ms.max(Some(now_ms));
    }

    /// Records that an upstream answered on a connection that was opened since the first failure, which ends any
    /// doubt. A connection that was merely established does not: it may be reset before its request is read.
    pub fn record_proven(&mut self, now_ms: u64) {
        self.record_heard(now_ms);
        self.end_doubt(now_ms);
    }

    fn end_doubt(&mut self, now_ms: u64) {
        if self.state == ReachState::CutOff {
            self.cut_off_ms = Some(now_ms);
        }
        self.state = ReachState::Reached;
        self.failing_since_ms = None;
        self.failed = 0;
    }

    /// Records that `failed` upstreams, of `known`, accepted connections and gave no answer to attempts that began at
    /// `began_ms`: their path may pass one direction only, or they may be silent for a moment.
    pub fn record_silent(&mut self, now_ms: u64, began_ms: u64, failed: usize, known: usize) {
        self.is_silence = true;
        self.record_failed(now_ms, began_ms, failed, known);
    }

    /// Records that `failed` upstreams, of `known`, were found unreachable by attempts that began at `began_ms`.
    pub fn record_unreachable(&mut self, now_ms: u64, began_ms: u64, failed: usize, known: usize) {
        self.is_silence = false;
        self.record_failed(now_ms, began_ms, failed, known);
    }

    fn record_failed(&mut self, now_ms: u64, began_ms: u64, failed: usize, known: usize) {
        self.failing_since_ms.get_or_insert(began_ms);
        self.failed = self.failed.max(failed);
        if self.state == ReachState::Reached && self.failed >= known.clamp(1, TELLING_UPSTREAMS) {
            self.state = ReachState::Suspected;
        }
        self.decide(now_ms);
    }

    /// Records when a peer heard an upstream, on this instance's clock.
    pub fn record_peers_heard(&mut self, now_ms: u64, heard_ms: u64) {
        self.peers_heard_ms = self.peers_heard_ms.max(Some(heard_ms));
        self.decide(now_ms);
    }

    /// Decides what the failures mean, by what peers heard since.
    pub fn decide(&mut self, now_ms: u64) {
        let Some(since_ms) = self.failing_since_ms else {
            return;
        };
        // Connections open and data comes, so the path passes both directions: silent upstreams went on.
        let told_ms = since_ms + EVIDENCE_MARGIN_MS;
        if self.is_silence && self.heard_ms.is_some_and(|heard_ms| heard_ms >= told_ms) {
            self.end_doubt(now_ms);
            return;
        }
        if !matches!(self.state, ReachState::Suspected | ReachState::Down) {
            return;
        }
        let is_heard_by_peers = self
            .peers_heard_ms
            .is_some_and(|heard_ms| heard_ms >= told_ms);
        if is_heard_by_peers {
            self.state = ReachState::CutOff;
        } else if now_ms >= since_ms + EVIDENCE_WAIT_MS {
            self.state = ReachState::Down;
        }
    }
}
