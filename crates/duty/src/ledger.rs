//! Usage counts of this instance and of its peers.
//!
//! Six in ten instances may be killed at once, and counts that only they had would be in no report.
//! So each instance sends its counts to its hub several times a second, and hubs send what was
//! reported to them to the few instances that may report usage. Counts of an incarnation only grow,
//! and a tally names its incarnation. So a tally that arrives twice, late or on two paths counts
//! once, and a restarted instance adds to what its previous incarnation sent.

use std::collections::{BTreeMap, HashMap};

use view::{Tally, WorkspaceKey};

/// Windows that are kept: several times the number that may wait to be reported.
const WINDOWS_KEPT: u64 = 12;

/// How many windows after the present one a tally may be for; clocks differ by less.
const MAX_WINDOWS_AHEAD: u64 = 1;

/// Datagrams that carry a tally after a change. With a tenth of them lost, one tally in a thousand
/// is missed.
const SENDS_PER_CHANGE: u8 = 3;

type Counts = BTreeMap<WorkspaceKey, u32>;

/// Counts of one incarnation in one window.
#[derive(Debug, Clone, Default)]
struct IncarnationCounts {
    counts: Counts,
    /// Sum of all counts. Of two tallies of an incarnation, the one with the larger sum is the
    /// later one.
    total: u64,
    /// Datagrams that must still carry these counts.
    sends_left: u8,
}

/// All usage counts that this instance knows.
#[derive(Debug, Clone)]
pub struct UsageLedger {
    own: u32,
    windows: BTreeMap<u64, HashMap<u32, IncarnationCounts>>,
}

impl UsageLedger {
    /// An empty ledger for the incarnation with this number.
    pub fn new(own: u32) -> Self {
        Self {
            own,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request of a workspace that starts to run.
    pub fn record_start(&mut self, window: u64, workspace: WorkspaceKey) {
        let incarnations = self.windows.entry(window).or_default();
        let counted = incarnations.entry(self.own).or_default();
        *counted.counts.entry(workspace).or_default() += 1;
        counted.total += 1;
        counted.sends_left = SENDS_PER_CHANGE;
        self.drop_old_windows(window);
    }

    /// Processes a tally from a peer, where `now` is the present window. `passes_on` says whether
    /// this instance must pass it on to the instances that may report usage.
    pub fn receive(&mut self, now: u64, tally: &Tally, passes_on: bool) {
        if tally.window > now + MAX_WINDOWS_AHEAD || tally.window + WINDOWS_KEPT < now {
            return;
        }
        let total = tally
            .counts
            .iter()
            .map(|(_, count)| u64::from(*count))
            .sum();
        let incarnations = self.windows.entry(tally.window).or_default();
        let counted = incarnations.entry(tally.incarnation).or_default();
        if tally.incarnation == self.own || total <= counted.total {
            return;
        }
        counted.counts = tally.counts.iter().copied().collect();
        counted.total = total;
        counted.sends_left = if passes_on { SENDS_PER_CHANGE } else { 0 };
        self.drop_old_windows(now);
    }

    /// Resends the counts of the last two windows, for a new receiver.
    pub fn resend_own(&mut self) {
        let recent = self.windows.values_mut().rev().take(2);
        for counted in recent.filter_map(|incarnations| incarnations.get_mut(&self.own)) {
            counted.sends_left = SENDS_PER_CHANGE;
        }
    }

    /// The tallies for the next datagram.
    pub fn to_send(&mut self) -> Vec<Tally> {
        let mut tallies = Vec::new();
        for (window, incarnations) in &mut self.windows {
            for (incarnation, counted) in
                incarnations.iter_mut().filter(|(_, it)| it.sends_left > 0)
            {
                counted.sends_left -= 1;
                tallies.push(Tally {
                    incarnation: *incarnation,
                    window: *window,
                    counts: counted
                        .counts
                        .iter()
                        .map(|(key, count)| (*key, *count))
                        .collect(),
                });
            }
        }
        tallies
    }

    /// Requests of each workspace that started in a window; `None` if no tally of it is known.
    pub fn sum(&self, window: u64) -> Option<BTreeMap<WorkspaceKey, u64>> {
        let incarnations = self.windows.get(&window)?;
        let mut sum = BTreeMap::new();
        for (key, count) in incarnations.values().flat_map(|counted| &counted.counts) {
            *sum.entry(*key).or_default() += u64::from(*count);
        }
        Some(sum)
    }

    fn drop_old_windows(&mut self, now: u64) {
        self.windows = self.windows.split_off(&now.saturating_sub(WINDOWS_KEPT));
    }
}
