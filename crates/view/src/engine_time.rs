//! Engine time of each workspace, in short windows, as this instance and its peers count it.
//!
//! Within a window the times only grow and start at nothing, so a tally that is lost, late, or told
//! twice never makes them larger than they are. Hubs add up what their reporters tell, so the cost
//! does not grow with instances times workspaces. See docs/design/shares.md.

mod unsent;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use self::unsent::Unsent;
use crate::{GossipMessage, InstanceKey, MessageKind, WorkspaceKey};

/// Length of a window, in ms.
pub const WINDOW_MS: u64 = 500;

/// Windows over which use is counted, the present one included.
pub const WINDOWS: u64 = 8;

/// How many windows after the present one a tally may be for; clocks differ by less.
const MAX_WINDOWS_AHEAD: u64 = 1;

/// Windows without a datagram after which a receiver of tallies counts as new; it has missed some.
const MISSED_WINDOWS: u64 = 2;

/// Interval at which tallies are sent, in ms.
const SEND_INTERVAL_MS: u64 = 100;

/// What engine time is counted for: a workspace, at one priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareKey {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Priority of the requests, 0 first.
    pub rank: u8,
}

/// Engine time of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineTime {
    /// Of all requests, in ms.
    pub requested_ms: u32,
    /// Of the requests that were placed, in ms.
    pub granted_ms: u32,
}

impl EngineTime {
    fn plus(self, other: Self) -> Self {
        Self {
            requested_ms: self.requested_ms.saturating_add(other.requested_ms),
            granted_ms: self.granted_ms.saturating_add(other.granted_ms),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            requested_ms: self.requested_ms.max(other.requested_ms),
            granted_ms: self.granted_ms.max(other.granted_ms),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            requested_ms: self.requested_ms.saturating_sub(other.requested_ms),
            granted_ms: self.granted_ms.saturating_sub(other.granted_ms),
        }
    }
}

/// Engine time in one window, as one incarnation counted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTimeTally {
    /// Number of the sender's incarnation.
    pub incarnation: u32,
    /// Number of the window.
    pub window: u64,
    /// Times that changed.
    pub times: Vec<(ShareKey, EngineTime)>,
}

/// Times by window.
#[derive(Debug, Clone, Default)]
struct Windows(BTreeMap<u64, HashMap<ShareKey, EngineTime>>);

impl Windows {
    fn get(&self, window: u64, key: ShareKey) -> EngineTime {
        let times = self.0.get(&window);
        let time = times.and_then(|times| times.get(&key));
        time.copied().unwrap_or_default()
    }

    fn entry(&mut self, window: u64, key: ShareKey) -> &mut EngineTime {
        self.0.entry(window).or_default().entry(key).or_default()
    }

    fn add(&mut self, window: u64, key: ShareKey, time: EngineTime) {
        let total = self.entry(window, key);
        *total = total.plus(time);
    }

    /// Raises a time to one that was told; returns by how much it grew.
    fn raise(&mut self, window: u64, key: ShareKey, told: EngineTime) -> EngineTime {
        let known = self.entry(window, key);
        let grown = told.minus(*known);
        *known = known.max(told);
        grown
    }

    fn entries(&self) -> impl Iterator<Item = (u64, ShareKey)> {
        let of_window = |(window, times): (&u64, &HashMap<ShareKey, EngineTime>)| {
            let window = *window;
            let keys: Vec<ShareKey> = times.keys().copied().collect();
            keys.into_iter().map(move |key| (window, key))
        };
        self.0.iter().flat_map(of_window)
    }

    fn drop_before(&mut self, first: u64) {
        while let Some(oldest) = self.0.first_entry()
            && *oldest.key() < first
        {
            oldest.remove();
        }
    }
}

/// Engine time that this instance knows to be requested and granted in the fleet.
#[derive(Debug, Clone)]
pub struct EngineTimeLedger {
    incarnation: u32,
    /// Own times without rounding, in ms.
    own: BTreeMap<u64, HashMap<ShareKey, (f64, f64)>>,
    received: HashMap<(InstanceKey, u32), Windows>,
    /// Window of the last datagram of each hub or reporter that this instance sends tallies to.
    receivers: HashMap<(InstanceKey, MessageKind), u64>,
    /// Times of this instance and its reporters, for the hub or the other hubs.
    reported: Windows,
    /// The same with what other hubs told, for the reporters.
    fleet: Windows,
    /// Largest times of the fleet that hubs told this instance.
    digests: Windows,
    unsent_reported: Unsent,
    unsent_fleet: Unsent,
    sent_ms: u64,
    /// Hub that got the last tallies; none if this instance is a hub.
    hub: Option<SocketAddr>,
}

impl EngineTimeLedger {
    /// An empty ledger for the incarnation with this number.
    pub fn new(incarnation: u32) -> Self {
        Self {
            incarnation,
            own: BTreeMap::new(),
            received: HashMap::new(),
            receivers: HashMap::new(),
            reported: Windows::default(),
            fleet: Windows::default(),
            digests: Windows::default(),
            unsent_reported: Unsent::default(),
            unsent_fleet: Unsent::default(),
            sent_ms: 0,
            hub: None,
        }
    }

    /// Records engine time that a request of this instance needs, and how much of it was granted.
    pub fn record(&mut self, window: u64, key: ShareKey, requested_ms: f64, granted_ms: f64) {
        let exact = self.own.entry(window).or_default().entry(key).or_default();
        let before = rounded(*exact);
        exact.0 += requested_ms;
        exact.1 += granted_ms;
        let grown = rounded(*exact).minus(before);
        if grown != EngineTime::default() {
            self.add(window, key, grown, true);
        }
    }

    fn add(&mut self, window: u64, key: ShareKey, grown: EngineTime, is_reported: bool) {
        if is_reported {
            self.reported.add(window, key, grown);
            self.unsent_reported.add((window, key));
        }
        self.fleet.add(window, key, grown);
        self.unsent_fleet.add((window, key));
    }

    /// Processes the tallies of a datagram, where `now` is the present window. Datagrams without
    /// tallies count too: their senders get tallies.
    pub fn receive(&mut self, now: u64, message: &GossipMessage) {
        self.note_receiver(now, message);
        for tally in &message.engine_times {
            if tally.window > now + MAX_WINDOWS_AHEAD || tally.window + WINDOWS <= now {
                continue;
            }
            for (key, told) in &tally.times {
                if message.kind == MessageKind::Digest {
                    self.digests.raise(tally.window, *key, *told);
                    continue;
                }
                let sender = (message.from, tally.incarnation);
                let known = self.received.entry(sender).or_default();
                let grown = known.raise(tally.window, *key, *told);
                if grown != EngineTime::default() {
                    let is_reported = message.kind == MessageKind::Report;
                    self.add(tally.window, *key, grown, is_reported);
                }
            }
        }
    }

    /// Tells a receiver that is new, or was silent, all times of the windows: what changed meanwhile
    /// is not told again by itself.
    fn note_receiver(&mut self, now: u64, message: &GossipMessage) {
        let (unsent, windows) = match message.kind {
            MessageKind::Report => (&mut self.unsent_fleet, &self.fleet),
            MessageKind::Sum => (&mut self.unsent_reported, &self.reported),
            MessageKind::Digest => return,
        };
        let heard = self.receivers.insert((message.from, message.kind), now);
        if heard.is_none_or(|heard| heard + MISSED_WINDOWS < now) {
            unsent.send_again(windows.entries());
        }
    }

    /// Adds tallies to the outgoing datagrams if they are due.
    pub fn add_tallies(&mut self, now_ms: u64, now: u64, out: &mut [(SocketAddr, GossipMessage)]) {
        self.drop_old_windows(now);
        if out.is_empty() || now_ms < self.sent_ms + SEND_INTERVAL_MS {
            return;
        }
        self.sent_ms = now_ms;
        let is_report =
            |(_, message): &&(SocketAddr, GossipMessage)| message.kind == MessageKind::Report;
        let hub = out.iter().find(is_report).map(|(peer, _)| *peer);
        if std::mem::replace(&mut self.hub, hub) != hub {
            // What the former receiver was told must not count twice.
            self.reported = Windows::default();
        }
        let has_kind = |kind| out.iter().any(|(_, message)| message.kind == kind);
        let has_digests = has_kind(MessageKind::Digest);
        let has_reports = hub.is_some() || has_kind(MessageKind::Sum);
        let reported = self.tallies(has_reports, |ledger| {
            (&mut ledger.unsent_reported, &ledger.reported)
        });
        let fleet = self.tallies(has_digests, |ledger| {
            (&mut ledger.unsent_fleet, &ledger.fleet)
        });
        for (_, message) in out {
            let tallies = match message.kind {
                MessageKind::Report | MessageKind::Sum => &reported,
                MessageKind::Digest => &fleet,
            };
            message.engine_times.clone_from(tallies);
        }
    }

    fn tallies(
        &mut self,
        has_receivers: bool,
        parts: impl Fn(&mut Self) -> (&mut Unsent, &Windows),
    ) -> Vec<EngineTimeTally> {
        let incarnation = self.incarnation;
        let (unsent, windows) = parts(self);
        if !has_receivers {
            unsent.clear();
            return Vec::new();
        }
        let mut by_window: BTreeMap<u64, Vec<(ShareKey, EngineTime)>> = BTreeMap::new();
        for (window, key) in unsent.next_batch() {
            let time = windows.get(window, key);
            if time != EngineTime::default() {
                by_window.entry(window).or_default().push((key, time));
            }
        }
        let tally = |(window, times)| EngineTimeTally {
            incarnation,
            window,
            times,
        };
        by_window.into_iter().map(tally).collect()
    }

    /// Engine time of each workspace in the fleet, over the windows up to the present one.
    pub fn totals(&self, now: u64) -> HashMap<ShareKey, EngineTime> {
        let mut totals: HashMap<ShareKey, EngineTime> = HashMap::new();
        let first = (now + 1).saturating_sub(WINDOWS);
        for window in first..=now + MAX_WINDOWS_AHEAD {
            let known = |windows: &Windows| windows.0.get(&window).cloned().unwrap_or_default();
            let mut times = known(&self.fleet);
            for (key, told) in known(&self.digests) {
                let time = times.entry(key).or_default();
                *time = time.max(told);
            }
            for (key, time) in times {
                let total = totals.entry(key).or_default();
                *total = total.plus(time);
            }
        }
        totals
    }

    fn drop_old_windows(&mut self, now: u64) {
        let first = (now + 1).saturating_sub(WINDOWS);
        self.own = self.own.split_off(&first);
        let all = [&mut self.reported, &mut self.fleet, &mut self.digests];
        for windows in all.into_iter().chain(self.received.values_mut()) {
            windows.drop_before(first);
        }
        self.received.retain(|_, windows| !windows.0.is_empty());
        self.receivers
            .retain(|_, heard| heard.saturating_add(WINDOWS) > now);
        self.unsent_reported.drop_before(first);
        self.unsent_fleet.drop_before(first);
    }
}

fn rounded((requested_ms, granted_ms): (f64, f64)) -> EngineTime {
    EngineTime {
        requested_ms: requested_ms.round() as u32,
        granted_ms: granted_ms.round() as u32,
    }
}
