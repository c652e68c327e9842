//! Paces of upstreams, as gossip passes them on.
//!
//! A datagram carries few of them: first those that changed, then the others in turn, so that an
//! instance that missed one or has just started learns it within some seconds.

use std::collections::{HashMap, VecDeque};

use super::GossipState;
use crate::UpstreamKey;
use crate::message::{MessageKind, PaceReport};

/// Most paces in one datagram.
pub const MAX_PACES: usize = 16;

/// Paces in one datagram that are repeated although they did not change.
const REPEATED_PACES: usize = 4;

/// Ratio of two paces from which a difference counts as a change.
const CHANGE_RATIO: f64 = 1.2;

/// Growth of a silence that counts as a change, in ms: it is reported again before the report expires.
const SILENCE_GROWTH_MS: u32 = 100;

/// Age up to which an unchanged pace is repeated to hubs, in ms; they repeat older ones themselves.
const REPEATED_FOR_MS: u32 = 5_000;

/// Time for which a report of a silence counts, in ms.
const SILENCE_REPORT_MS: u32 = 300;

/// Age of a pace that makes it worthless as the current one, in ms.
const CURRENT_MS: u32 = 500;

/// The latest report on one upstream.
#[derive(Debug, Clone, Copy)]
struct Entry {
    report: PaceReport,
    /// When the report was current, on this instance's clock.
    as_of_ms: u64,
    /// What was last sent.
    sent: Option<PaceReport>,
}

impl Entry {
    /// The report with its times as of `now_ms`.
    fn at(&self, now_ms: u64) -> PaceReport {
        let elapsed_ms = u32::try_from(now_ms.saturating_sub(self.as_of_ms)).unwrap_or(u32::MAX);
        let silent_ms = self.report.silent_ms;
        PaceReport {
            age_ms: self.report.age_ms.saturating_add(elapsed_ms),
            silent_ms: if silent_ms > 0 && elapsed_ms < SILENCE_REPORT_MS {
                silent_ms.saturating_add(elapsed_ms)
            } else {
                0
            },
            ..self.report
        }
    }

    /// Whether the report differs from what was last sent by enough to be sent before others.
    fn is_changed(&self) -> bool {
        let Some(sent) = self.sent else {
            return true;
        };
        let report = &self.report;
        let silence_changed = match (sent.silent_ms, report.silent_ms) {
            (0, 0) => false,
            (0, _) | (_, 0) => true,
            (before_ms, now_ms) => now_ms >= before_ms.saturating_add(SILENCE_GROWTH_MS),
        };
        let current_changed =
            report.age_ms < CURRENT_MS && differs(sent.current_percent, report.current_percent);
        silence_changed || current_changed || differs(sent.lasting_percent, report.lasting_percent)
    }
}

fn differs(one: u16, other: u16) -> bool {
    let (less, more) = (f64::from(one.min(other)), f64::from(one.max(other)));
    more > less * CHANGE_RATIO
}

/// Latest reports by upstream, and the order in which they are sent.
#[derive(Debug, Default)]
pub(super) struct PaceBoard {
    entries: HashMap<UpstreamKey, Entry>,
    changed: VecDeque<UpstreamKey>,
    in_turn: VecDeque<UpstreamKey>,
}

impl PaceBoard {
    /// Adds a report unless a later one is known.
    fn add(&mut self, now_ms: u64, report: PaceReport) {
        let key = report.upstream;
        let known = self.entries.get(&key);
        if known.is_some_and(|known| known.at(now_ms).is_later_than(&report)) {
            return;
        }
        if known.is_none() {
            self.in_turn.push_back(key);
        }
        let lasting_percent = match (report.lasting_percent, known) {
            (0, Some(known)) => known.report.lasting_percent,
            (lasting_percent, _) => lasting_percent,
        };
        let entry = Entry {
            report: PaceReport {
                lasting_percent,
                ..report
            },
            as_of_ms: now_ms,
            sent: known.and_then(|known| known.sent),
        };
        if entry.is_changed() && !self.changed.contains(&key) {
            self.changed.push_back(key);
        }
        self.entries.insert(key, entry);
    }

    /// Whether a changed report waits to be sent.
    fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// The reports for the next datagram.
    fn next_batch(&mut self, now_ms: u64, repeated_for_ms: u32) -> Vec<PaceReport> {
        let count = self.changed.len().min(MAX_PACES);
        let mut keys: Vec<UpstreamKey> = self.changed.drain(..count).collect();
        let repeated = REPEATED_PACES
            .min(MAX_PACES - count)
            .min(self.in_turn.len());
        for _ in 0..repeated {
            self.in_turn.rotate_left(1);
            let is_repeated = |key: &&UpstreamKey| {
                let entry = self.entries.get(key);
                let is_due = entry.is_some_and(|it| it.at(now_ms).age_ms < repeated_for_ms);
                is_due && !keys.contains(key)
            };
            let next = self.in_turn.back().filter(is_repeated).copied();
            keys.extend(next);
        }
        let mut batch = Vec::new();
        for key in keys {
            if let Some(entry) = self.entries.get_mut(&key) {
                let report = entry.at(now_ms);
                entry.sent = Some(report);
                batch.push(report);
            }
        }
        batch
    }

    /// Forgets the upstreams that are gone.
    fn retain(&mut self, is_used: &impl Fn(UpstreamKey) -> bool) {
        self.entries.retain(|key, _| is_used(*key));
        self.changed.retain(|key| is_used(*key));
        self.in_turn.retain(|key| is_used(*key));
    }

    fn clear(&mut self) {
        *self = Self::default();
    }
}

impl PaceReport {
    /// Whether this report rests on a later answer, or on the same one and tells of a silence since.
    fn is_later_than(&self, other: &Self) -> bool {
        let silent = |report: &Self| report.silent_ms > 0;
        if silent(self) != silent(other) {
            // Whichever is the silent one, an answer after the start of its silence ends it.
            let (silent_report, heard) = if silent(self) {
                (self, other)
            } else {
                (other, self)
            };
            let is_ended = heard.age_ms < silent_report.silent_ms;
            return is_ended != silent(self);
        }
        self.age_ms < other.age_ms
    }
}

/// Paces that wait to be sent.
#[derive(Debug, Default)]
pub(super) struct PaceGossip {
    /// From this instance and its reporters, for hubs.
    up: PaceBoard,
    /// From the whole fleet, for reporters.
    down: PaceBoard,
}

impl PaceGossip {
    /// Whether a changed report waits to be sent, by a hub also to reporters.
    pub(super) fn has_changed(&self, is_hub: bool) -> bool {
        self.up.has_changed() || (is_hub && self.down.has_changed())
    }

    /// The reports for the next datagram to hubs.
    pub(super) fn next_up(&mut self, now_ms: u64) -> Vec<PaceReport> {
        self.up.next_batch(now_ms, REPEATED_FOR_MS)
    }

    /// The reports for the next datagram to reporters.
    pub(super) fn next_down(&mut self, now_ms: u64) -> Vec<PaceReport> {
        self.down.next_batch(now_ms, u32::MAX)
    }

    /// Drops what only a hub passes on.
    pub(super) fn clear_down(&mut self) {
        self.down.clear();
    }
}

impl GossipState {
    /// Adds what this instance knows of an upstream's pace.
    pub fn add_pace(&mut self, now_ms: u64, report: PaceReport) {
        self.paces.up.add(now_ms, report);
        self.paces.down.add(now_ms, report);
    }

    /// Passes on what a peer knows of an upstream's pace, to the instances that datagrams of its sender
    /// do not reach.
    pub fn forward_pace(&mut self, now_ms: u64, report: PaceReport, sender_kind: MessageKind) {
        match sender_kind {
            MessageKind::Report => self.add_pace(now_ms, report),
            MessageKind::Sum => self.paces.down.add(now_ms, report),
            MessageKind::Digest => {}
        }
    }

    /// Forgets the paces of upstreams that are gone.
    pub fn retain_paces(&mut self, is_used: impl Fn(UpstreamKey) -> bool) {
        self.paces.up.retain(&is_used);
        self.paces.down.retain(&is_used);
    }
}
