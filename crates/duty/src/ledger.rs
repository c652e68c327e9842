//! What ran for whom, as this instance and others have counted it.
//!
//! Failure: six in ten instances are killed at once, and what they alone knew is in no report. So each tells what it has
//! counted several times a second to its hub, and hubs tell all that was reported to them to the few instances that may
//! report it. Tallies only grow and carry the life that counted them: one that comes twice, late or by two ways counts
//! once, and a restarted instance adds to what its life before had told.

use std::collections::{BTreeMap, HashMap};

use view::{Tally, WorkspaceKey};

/// Windows that are remembered: several times those that wait to be reported.
const REMEMBERED: u64 = 12;

/// Windows ahead of the present one of which tallies are taken in: clocks differ by less.
const AHEAD: u64 = 1;

/// Datagrams in a row that tell a tally that has changed: with a tenth of them lost one in a thousand is missed.
const TIMES: u8 = 3;

type Counts = BTreeMap<WorkspaceKey, u32>;

/// One life's counts in one window.
#[derive(Debug, Clone, Default)]
struct Counted {
    counts: Counts,
    /// Sum of all counts, by which two tallies of one life compare.
    total: u64,
    /// Datagrams that are still to tell it.
    untold: u8,
}

/// All tallies that this instance knows of.
#[derive(Debug, Clone)]
pub struct UsageLedger {
    own: u32,
    windows: BTreeMap<u64, HashMap<u32, Counted>>,
}

impl UsageLedger {
    /// Of a process whose life has this number.
    pub fn new(own: u32) -> Self {
        Self {
            own,
            windows: BTreeMap::new(),
        }
    }

    /// A request of a workspace began to run.
    pub fn record_start(&mut self, window: u64, workspace: WorkspaceKey) {
        let lives = self.windows.entry(window).or_default();
        let counted = lives.entry(self.own).or_default();
        *counted.counts.entry(workspace).or_default() += 1;
        counted.total += 1;
        counted.untold = TIMES;
        self.forget(window);
    }

    /// Another instance told a tally while `now` is the present window; `passes_on` if it is this one's to tell to those
    /// that report.
    pub fn receive(&mut self, now: u64, tally: &Tally, passes_on: bool) {
        if tally.window > now + AHEAD || tally.window + REMEMBERED < now {
            return;
        }
        let total = tally
            .counts
            .iter()
            .map(|(_, count)| u64::from(*count))
            .sum();
        let lives = self.windows.entry(tally.window).or_default();
        let counted = lives.entry(tally.incarnation).or_default();
        if tally.incarnation == self.own || total <= counted.total {
            return;
        }
        counted.counts = tally.counts.iter().copied().collect();
        counted.total = total;
        counted.untold = if passes_on { TIMES } else { 0 };
        self.forget(now);
    }

    /// A new receiver has not heard what was told before.
    pub fn resend_own(&mut self) {
        let recent = self.windows.values_mut().rev().take(2);
        for counted in recent.filter_map(|lives| lives.get_mut(&self.own)) {
            counted.untold = TIMES;
        }
    }

    /// Tallies that are to be told in the next datagram.
    pub fn to_send(&mut self) -> Vec<Tally> {
        let mut told = Vec::new();
        for (window, lives) in &mut self.windows {
            for (origin, counted) in lives.iter_mut().filter(|(_, it)| it.untold > 0) {
                counted.untold -= 1;
                told.push(Tally {
                    incarnation: *origin,
                    window: *window,
                    counts: counted
                        .counts
                        .iter()
                        .map(|(key, count)| (*key, *count))
                        .collect(),
                });
            }
        }
        told
    }

    /// Requests of each workspace that began in a window; nothing if none is known of.
    pub fn sum(&self, window: u64) -> Option<BTreeMap<WorkspaceKey, u64>> {
        let lives = self.windows.get(&window)?;
        let mut sum = BTreeMap::new();
        for (key, count) in lives.values().flat_map(|counted| &counted.counts) {
            *sum.entry(*key).or_default() += u64::from(*count);
        }
        Some(sum)
    }

    fn forget(&mut self, now: u64) {
        self.windows = self.windows.split_off(&now.saturating_sub(REMEMBERED));
    }
}
