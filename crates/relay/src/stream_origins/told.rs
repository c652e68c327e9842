//! Streams that this instance told others of lately.
//!
//! A recorder that was killed is still named for the time in which it is missed, and takes with it what it was told and
//! has not appended. So each instance tells again what it told such a one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;

use view::{StreamKey, VersionKey};

/// Time for which a stream may be told again, in ms: until a silent instance is missed, and as long again for the
/// recorder's last appends before.
const TELL_AGAIN_MS: u64 = 3_000;

#[derive(Debug, Clone, Copy)]
struct ToldStream {
    at_ms: u64,
    stream: StreamKey,
    version: VersionKey,
    recorder: SocketAddr,
}

/// Streams that were told to a recorder, oldest first.
#[derive(Debug, Default)]
pub(super) struct ToldStreams(RefCell<VecDeque<ToldStream>>);

impl ToldStreams {
    /// Notes that a recorder was told of a stream.
    pub(super) fn add(
        &self,
        at_ms: u64,
        stream: StreamKey,
        version: VersionKey,
        recorder: SocketAddr,
    ) {
        let mut all = self.0.borrow_mut();
        drop_old(&mut all, at_ms);
        all.push_back(ToldStream {
            at_ms,
            stream,
            version,
            recorder,
        });
    }

    /// Takes the streams whose recorder is gone, in the order in which they were told.
    pub(super) fn take_lost(
        &self,
        now_ms: u64,
        is_reachable: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<(StreamKey, VersionKey)> {
        let mut all = self.0.borrow_mut();
        drop_old(&mut all, now_ms);
        let (kept, lost): (VecDeque<_>, VecDeque<_>) =
            all.drain(..).partition(|told| is_reachable(&told.recorder));
        *all = kept;
        let lost = lost.into_iter().map(|told| (told.stream, told.version));
        lost.collect()
    }
}

fn drop_old(all: &mut VecDeque<ToldStream>, now_ms: u64) {
    let is_old = |told: &ToldStream| now_ms >= told.at_ms + TELL_AGAIN_MS;
    while all.front().is_some_and(is_old) {
        all.pop_front();
    }
}
