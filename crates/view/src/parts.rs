//! Detects prompt parts that crash every upstream that begins to write an answer on them.
//!
//! No two requests with such a part are alike, so the ends that they cause never meet under one [`crate::RequestKey`].
//! An upstream that ends loses all its answers, so each end accuses the parts of bystanders as well: parts that many
//! requests share, and those of other sessions. A part is cleared by any answer under it that goes past its first
//! event, wherever in the fleet. One that is accused by several ends and cleared by none is held: its requests are
//! refused, except one at a time that is sent as a trial and either clears the part or convicts it. From then on the
//! part is refused like a poison request. See docs/design/prompt-parts.md.

mod trial;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

pub use self::trial::Trial;
use self::trial::{Conviction, RunningTrial};
use crate::part_losses::{LostPart, PartLosses};
use crate::sound_parts::SoundParts;
use crate::trials::{CLAIM_MS, MAX_TRIALS, spread_ms};
use crate::{AnswerProgress, InstanceKey, PartKey, Suspicion, UpstreamKey, trials};

/// Points from which a part is held: two upstreams that had just begun to write.
const HOLD_POINTS: usize = 4;

/// Most parts that one instance accuses of the end of one upstream, those that it suspects most first.
const MAX_ACCUSED: usize = 16;

/// Most ends remembered under a part: more than it takes to hold it.
const MAX_ENDS: usize = 8;

/// Most parts tracked: a few dozen ends with all the parts that each accuses.
pub const MAX_TRACKED: usize = 512;

/// How long a part is remembered after it was last accused or refused, in ms: as long as poison requests are.
const RETENTION_MS: u64 = crate::poison::RETENTION_MS;

/// Time without a new end after which a request with several held parts is tried, in ms. Before, one that has only one
/// of them may come and tell which it is.
const COMBINED_TRIAL_AFTER_MS: u64 = 2_000;

/// Time by which instances may differ on when a convicted part is due, in ms: they hear of its conviction by gossip, and
/// spread their claims.
const DUE_SLACK_MS: u64 = trials::SPREAD_MS + 500;

/// Evidence on parts that instances gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartEvidence {
    /// An upstream ended with an answer on the part.
    EndedUnder {
        /// The part.
        part: PartKey,
        /// The upstream.
        upstream: UpstreamKey,
        /// How strongly that speaks against the part.
        suspicion: Suspicion,
    },
    /// An answer on the part went past its first event.
    WentOn(PartKey),
    /// An instance sends one request with a held part.
    TrialBegan(Trial),
    /// That trial showed nothing.
    TrialOver(Trial),
    /// Upstreams ended in that many trials of the part.
    Convicted {
        /// The part.
        part: PartKey,
        /// The number of trials.
        failed_trials: u8,
    },
}

/// What becomes of a request with some parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict {
    /// None of its parts is held.
    Allowed,
    /// Only a trial may tell; another one is running, or a request that tells more may come.
    Held,
    /// It may be sent once, as the trial of this part.
    MayTry(PartKey),
    /// One of its parts ends upstreams.
    Convicted,
}

/// The effect of evidence from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PartEffect {
    /// Whether it is new here, so that it is passed on.
    pub is_new: bool,
    /// Evidence to gossip in return.
    pub reply: Option<PartEvidence>,
}

#[derive(Debug, Default)]
struct Suspect {
    ends: Vec<(UpstreamKey, Suspicion)>,
    conviction: Option<Conviction>,
    /// Trials that were claimed and may have been sent.
    trials: u8,
    /// When it was last accused.
    accused_ms: u64,
    /// When it was last accused or refused.
    at_ms: u64,
}

impl Suspect {
    fn is_old(&self, now_ms: u64) -> bool {
        now_ms >= self.at_ms + RETENTION_MS
    }

    fn ended(&self, upstream: UpstreamKey) -> bool {
        self.ends.iter().any(|(ended, _)| *ended == upstream)
    }
}

/// Parts under which upstreams ended lately, as seen by all instances.
#[derive(Debug, Default)]
pub struct PartTracker {
    own: InstanceKey,
    sound: SoundParts,
    losses: PartLosses,
    suspects: HashMap<PartKey, Suspect>,
    trial: Option<RunningTrial>,
    /// The trial before; gossip may still repeat that it began.
    last_trial: Option<Trial>,
    /// The last claim that came too late; gossip may repeat it.
    late_trial: Option<Trial>,
}

impl PartTracker {
    /// What an instance knows at its start.
    pub fn of(own: InstanceKey) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Records that an answer of this instance went past its first event; returns what peers need to hear of it.
    pub fn record_went_on(&mut self, now_ms: u64, part: PartKey) -> Option<PartEvidence> {
        self.sound.insert(now_ms, part);
        if !self.clear(part) {
            return None;
        }
        self.sound.take_report(now_ms, part);
        Some(PartEvidence::WentOn(part))
    }

    /// Records that this instance lost an answer on these parts. `trial` tells whether it was a trial.
    pub fn record_loss(
        &mut self,
        now_ms: u64,
        upstream: UpstreamKey,
        parts: &[PartKey],
        progress: AnswerProgress,
        trial: Option<Trial>,
    ) {
        if let Some(running) = self.trial.as_mut()
            && Some(running.trial) == trial
        {
            running.lost_at = Some(upstream);
        }
        let Some(suspicion) = progress.suspicion() else {
            return;
        };
        for part in parts {
            let lost = LostPart {
                part: *part,
                suspicion,
            };
            self.losses.record(now_ms, upstream, lost);
        }
    }

    /// Those of some parts on which no answer lately went on here or, as peers tell, elsewhere.
    pub fn unproven(&self, now_ms: u64, parts: &[PartKey]) -> Vec<PartKey> {
        let is_unproven = |part: &&PartKey| !self.sound.contains(now_ms, **part);
        parts.iter().filter(is_unproven).copied().collect()
    }

    /// Drops the losses at an upstream that says nothing against them, since the path to it was cut.
    pub fn excuse(&mut self, now_ms: u64, upstream: UpstreamKey) {
        self.losses.take(now_ms, upstream);
    }

    /// Records that an upstream has ended; returns what this instance knows against the parts of the answers that it
    /// lost there.
    pub fn upstream_ended(
        &mut self,
        now_ms: u64,
        own: InstanceKey,
        upstream: UpstreamKey,
    ) -> Vec<PartEvidence> {
        let mut lost = self.losses.take(now_ms, upstream);
        lost.retain(|lost| !self.sound.contains(now_ms, lost.part));
        lost.truncate(MAX_ACCUSED);
        let mut found = Vec::new();
        for LostPart { part, suspicion } in lost {
            if self.record_end(now_ms, part, upstream, suspicion) {
                found.push(PartEvidence::EndedUnder {
                    part,
                    upstream,
                    suspicion,
                });
            }
        }
        found.extend(self.failed_trial(now_ms, own, upstream));
        found
    }

    /// Convicts the part whose trial an upstream did not survive.
    fn failed_trial(
        &mut self,
        now_ms: u64,
        own: InstanceKey,
        upstream: UpstreamKey,
    ) -> Option<PartEvidence> {
        let running = self.trial?;
        if running.lost_at != Some(upstream) || running.trial.instance != own {
            return None;
        }
        let part = running.trial.part;
        let known = self
            .suspects
            .get(&part)
            .and_then(|suspect| suspect.conviction);
        let tried = self.suspects.get(&part).map_or(0, |suspect| suspect.trials);
        let failed_trials = tried.max(known.map_or(0, |known| known.failed_trials) + 1);
        self.convict(now_ms, part, failed_trials);
        Some(PartEvidence::Convicted {
            part,
            failed_trials,
        })
    }

    /// Processes evidence of a peer.
    pub fn receive(&mut self, now_ms: u64, evidence: PartEvidence) -> PartEffect {
        let is_new = match evidence {
            PartEvidence::EndedUnder { part, .. } | PartEvidence::Convicted { part, .. }
                if self.sound.contains(now_ms, part) =>
            {
                return self.object(now_ms, part);
            }
            PartEvidence::EndedUnder {
                part,
                upstream,
                suspicion,
            } => self.record_end(now_ms, part, upstream, suspicion),
            PartEvidence::WentOn(part) => self.receive_went_on(now_ms, part),
            PartEvidence::TrialBegan(trial) => self.receive_trial(now_ms, trial),
            PartEvidence::TrialOver(trial) => self.give_back_trial(trial),
            PartEvidence::Convicted {
                part,
                failed_trials,
            } => self.convict(now_ms, part, failed_trials),
        };
        PartEffect {
            is_new,
            reply: None,
        }
    }

    /// Contradicts a peer that accuses a part under which an answer lately went on here.
    fn object(&mut self, now_ms: u64, part: PartKey) -> PartEffect {
        let is_told = self.sound.take_report(now_ms, part);
        PartEffect {
            is_new: false,
            reply: is_told.then_some(PartEvidence::WentOn(part)),
        }
    }

    fn receive_went_on(&mut self, now_ms: u64, part: PartKey) -> bool {
        let was_suspected = self.clear(part);
        // Hearsay is not renewed and not repeated; otherwise instances could keep a part sound for each other.
        let is_known = self.sound.contains(now_ms, part);
        if !is_known {
            self.sound.insert_heard(now_ms, part);
        }
        was_suspected || !is_known
    }

    /// Of two instances whose claims cross, the one with the lower key goes first.
    fn receive_trial(&mut self, now_ms: u64, trial: Trial) -> bool {
        if self.last_trial == Some(trial) || !self.may_be_due(now_ms, trial.part) {
            return false;
        }
        let running = self.trial.filter(|running| !running.has_lapsed(now_ms));
        if let Some(running) = running
            && running.trial.part == trial.part
            && now_ms >= running.began_ms + CLAIM_MS
        {
            return self.note_late_claim(running.trial, trial);
        }
        if running.is_some_and(|running| running.trial.instance <= trial.instance) {
            return false;
        }
        self.count_trial(trial.part, running.map(|running| running.trial.part));
        self.trial = Some(RunningTrial {
            trial,
            began_ms: now_ms,
            lost_at: None,
        });
        true
    }

    /// Counts the claim of an instance that missed an earlier one, which has been sent: both reach engines.
    fn note_late_claim(&mut self, running: Trial, late: Trial) -> bool {
        let is_new = running != late && self.late_trial.replace(late) != Some(late);
        if is_new {
            self.count_trial(late.part, None);
        }
        is_new
    }

    fn record_end(
        &mut self,
        now_ms: u64,
        part: PartKey,
        upstream: UpstreamKey,
        suspicion: Suspicion,
    ) -> bool {
        let suspect = self.suspects.entry(part).or_default();
        if suspect.is_old(now_ms) {
            *suspect = Suspect::default();
        }
        let known = suspect.ends.iter_mut().find(|(key, _)| *key == upstream);
        if let Some((_, known)) = known {
            let is_stronger = suspicion > *known;
            *known = suspicion.max(*known);
            return is_stronger;
        }
        if suspect.ends.len() >= MAX_ENDS {
            return false;
        }
        suspect.ends.push((upstream, suspicion));
        suspect.accused_ms = now_ms;
        suspect.at_ms = now_ms;
        self.evict(now_ms);
        true
    }

    /// Records that a part was convicted; returns whether that is new.
    pub fn convict(&mut self, now_ms: u64, part: PartKey, failed_trials: u8) -> bool {
        self.finish_trial(|running| running.part == part);
        let suspect = self.suspects.entry(part).or_default();
        let known = suspect.conviction.map_or(0, |known| known.failed_trials);
        if known >= failed_trials {
            return false;
        }
        let spread_ms = spread_ms(part.request_key(), failed_trials, self.own);
        suspect.conviction = Some(Conviction::new(now_ms + spread_ms, failed_trials));
        suspect.trials = suspect.trials.max(failed_trials);
        suspect.at_ms = now_ms;
        self.evict(now_ms);
        true
    }

    /// Takes over a conviction that peers list or the store has, unless more is known here.
    pub fn learn_conviction(&mut self, now_ms: u64, part: PartKey, failed_trials: u8) {
        let known = self.failed_trials(part).unwrap_or_default();
        if failed_trials > known && !self.sound.contains(now_ms, part) {
            self.convict(now_ms, part, failed_trials);
        }
    }

    /// Drops all that speaks against a part; returns whether there was anything.
    fn clear(&mut self, part: PartKey) -> bool {
        self.finish_trial(|running| running.part == part);
        self.suspects.remove(&part).is_some()
    }

    /// What becomes of a request with these parts, in the order of its prompt and without the last.
    pub fn decide(&mut self, now_ms: u64, parts: &[PartKey]) -> PartVerdict {
        let mut held = Vec::new();
        for part in parts {
            if self.is_refused(now_ms, *part) {
                return PartVerdict::Convicted;
            }
            if self.is_to_be_tried(now_ms, *part) {
                held.push(*part);
            }
        }
        let Some(deepest) = held.last() else {
            return PartVerdict::Allowed;
        };
        if self.running_trial(now_ms).is_some() {
            return PartVerdict::Held;
        }
        let is_quiet = |part: &PartKey| {
            let accused_ms = self.suspects.get(part).map_or(0, |it| it.accused_ms);
            now_ms >= accused_ms + COMBINED_TRIAL_AFTER_MS
        };
        if held.len() == 1 || held.iter().all(is_quiet) {
            PartVerdict::MayTry(*deepest)
        } else {
            PartVerdict::Held
        }
    }

    /// Whether a part is convicted and not to be tried now; such a part is remembered for longer.
    fn is_refused(&mut self, now_ms: u64, part: PartKey) -> bool {
        let is_running = self.is_trial_running(now_ms, &[part]);
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return false;
        };
        let is_refused = suspect
            .conviction
            .is_some_and(|conviction| !conviction.may_be_tried(now_ms));
        let is_refused = is_refused || suspect.trials >= MAX_TRIALS && !is_running;
        if is_refused && !suspect.is_old(now_ms) {
            suspect.at_ms = now_ms;
        }
        is_refused && !suspect.is_old(now_ms)
    }

    /// Whether a part is only sent as a trial.
    fn is_to_be_tried(&self, now_ms: u64, part: PartKey) -> bool {
        let Some(suspect) = self.suspects.get(&part) else {
            return false;
        };
        if suspect.is_old(now_ms) {
            return false;
        }
        match suspect.conviction {
            Some(conviction) => conviction.may_be_tried(now_ms),
            None => self.points(part, suspect) >= HOLD_POINTS,
        }
    }

    /// Whether a peer may have reason to try a part now.
    fn may_be_due(&self, now_ms: u64, part: PartKey) -> bool {
        self.is_to_be_tried(now_ms, part) || self.is_to_be_tried(now_ms + DUE_SLACK_MS, part)
    }

    /// Points against a part. An upstream that ended under a convicted part accuses no other one.
    fn points(&self, part: PartKey, suspect: &Suspect) -> usize {
        let unexplained = suspect
            .ends
            .iter()
            .filter(|(upstream, _)| !self.is_explained(part, *upstream));
        unexplained.map(|(_, suspicion)| suspicion.points()).sum()
    }

    fn is_explained(&self, part: PartKey, upstream: UpstreamKey) -> bool {
        let convicted = |(other, suspect): &(&PartKey, &Suspect)| {
            **other != part && suspect.conviction.is_some()
        };
        let mut convicted = self.suspects.iter().filter(convicted);
        convicted.any(|(_, suspect)| suspect.ended(upstream))
    }

    fn running_trial(&self, now_ms: u64) -> Option<Trial> {
        let running = self.trial.filter(|running| !running.has_lapsed(now_ms))?;
        Some(running.trial)
    }

    /// Whether a trial of one of these parts is running, whose outcome a request may wait for.
    pub fn is_trial_running(&self, now_ms: u64, parts: &[PartKey]) -> bool {
        self.running_trial(now_ms)
            .is_some_and(|trial| parts.contains(&trial.part))
    }

    /// Claims the trial of a part for an instance; returns what peers have to hear.
    pub fn claim_trial(&mut self, now_ms: u64, trial: Trial) -> PartEvidence {
        let before = self.trial.take();
        self.last_trial = before.map(|running| running.trial);
        let crossing = before.filter(|running| !running.has_lapsed(now_ms));
        self.count_trial(trial.part, crossing.map(|running| running.trial.part));
        self.trial = Some(RunningTrial {
            trial,
            began_ms: now_ms,
            lost_at: None,
        });
        PartEvidence::TrialBegan(trial)
    }

    /// Whether a claim still stands.
    pub fn holds_trial(&self, now_ms: u64, trial: Trial) -> bool {
        self.running_trial(now_ms) == Some(trial)
    }

    /// Ends a trial that showed nothing; returns what peers have to hear. One whose answer was lost goes on until it is
    /// known whether its upstream has ended.
    pub fn abandon_trial(&mut self, trial: Trial) -> Option<PartEvidence> {
        let running = self.trial?;
        if running.trial != trial || running.lost_at.is_some() {
            return None;
        }
        self.give_back_trial(trial);
        Some(PartEvidence::TrialOver(trial))
    }

    /// Counts a claim; of claims that cross, one is sent.
    fn count_trial(&mut self, part: PartKey, crossing: Option<PartKey>) {
        if let Some(suspect) = self.suspects.get_mut(&part)
            && crossing != Some(part)
        {
            suspect.trials = suspect.trials.saturating_add(1);
        }
    }

    /// Ends a trial that was not sent, so that it does not count.
    fn give_back_trial(&mut self, trial: Trial) -> bool {
        let is_finished = self.finish_trial(|running| running == trial);
        if is_finished && let Some(suspect) = self.suspects.get_mut(&trial.part) {
            suspect.trials = suspect.trials.saturating_sub(1);
        }
        is_finished
    }

    fn finish_trial(&mut self, is_finished: impl Fn(Trial) -> bool) -> bool {
        let Some(running) = self.trial.filter(|running| is_finished(running.trial)) else {
            return false;
        };
        self.trial = None;
        self.last_trial = Some(running.trial);
        true
    }

    /// Whether this instance knows that a part was convicted, and so decides on its trials.
    pub fn is_convicted(&self, part: PartKey) -> bool {
        self.failed_trials(part).is_some()
    }

    /// Trials of a convicted part that ended their upstream.
    pub fn failed_trials(&self, part: PartKey) -> Option<u8> {
        let conviction = self.suspects.get(&part)?.conviction?;
        Some(conviction.failed_trials)
    }

    /// Upstreams known to have ended under a part.
    pub fn ended_under(&self, part: PartKey) -> Vec<UpstreamKey> {
        let suspect = self.suspects.get(&part);
        let ends = suspect.map(|suspect| suspect.ends.iter().map(|(upstream, _)| *upstream));
        ends.into_iter().flatten().collect()
    }

    /// Number of parts that are held and not convicted.
    pub fn held_count(&self, now_ms: u64) -> usize {
        let open = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.conviction.is_none());
        open.filter(|(part, _)| self.is_to_be_tried(now_ms, **part))
            .count()
    }

    /// Number of convicted parts.
    pub fn convicted_count(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|it| it.conviction.is_some()).count()
    }

    /// Number of parts tracked.
    pub fn tracked_count(&self) -> usize {
        self.suspects.len()
    }

    /// If too many parts are tracked, drops old ones and then the one accused longest ago, convicted ones last.
    fn evict(&mut self, now_ms: u64) {
        if self.suspects.len() <= MAX_TRACKED {
            return;
        }
        self.suspects.retain(|_, suspect| !suspect.is_old(now_ms));
        let age = |suspect: &Suspect| (suspect.conviction.is_some(), suspect.at_ms);
        let first = self.suspects.iter().min_by_key(|(_, it)| age(it));
        let first = first.map(|(part, _)| *part);
        if let Some(first) = first.filter(|_| self.suspects.len() > MAX_TRACKED) {
            self.suspects.remove(&first);
        }
    }
}
