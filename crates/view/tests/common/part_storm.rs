//! A simulated fleet whose engines end under requests, at random or by a part of their prompts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use view::parts::Trial;
use view::{
    AnswerProgress, InstanceKey, PartEvidence, PartKey, PartTracker, PartVerdict, UpstreamKey,
};

/// Time for which an engine that ended is gone, in ms.
const GONE_MS: u64 = 3_000;

/// Longest time for which a request waits for another one's trial, its polls, and a trial's wait for crossing claims,
/// in ms.
const WAIT_MS: u64 = 500;
const POLL_MS: u64 = 50;
const CLAIM_MS: u64 = 200;

/// Time until what was found is in the store, and until the list of poison requests has reached all, in ms.
const STORED_MS: u64 = 300;
const LISTED_MS: u64 = 350;

/// Most sends of a request.
const MAX_SENDS: u32 = 2;

/// The part that all prompts begin with.
pub const FIRST_PART: u64 = 1;

/// Ids of bad parts count from here, those of sessions from the other.
const BAD_PARTS: u64 = 100;
const SESSION_PARTS: u64 = 1_000;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Storm {
    pub seed: u64,
    pub instances: usize,
    pub engines: usize,
    pub seconds: u64,
    /// Sound requests a second, and the sessions that they belong to.
    pub sound_per_s: f64,
    pub sessions: u64,
    /// Requests with a bad part a second while they come, when they begin to come, and the number of bad parts.
    pub bad_per_s: f64,
    pub bad_from_ms: u64,
    pub bad_parts: u64,
    /// Engines that end for reasons of their own, a minute.
    pub ends_per_min: f64,
    /// Share of evidence that does not reach an instance.
    pub lost: f64,
    /// Instances are all started anew at this time.
    pub restart_ms: Option<u64>,
}

/// What came of it.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Times at which engines ended under a bad part.
    pub bad_ends: Vec<(u64, PartKey)>,
    /// When requests with a bad part reached engines.
    pub bad_sends: Vec<(u64, PartKey)>,
    pub first_held_ms: Option<u64>,
    pub first_convicted_ms: Option<u64>,
    /// Convictions of parts that are not bad.
    pub wrongly_convicted: HashSet<PartKey>,
    /// Sound requests that came, by second, and those that were refused at their first attempt.
    pub sound: HashMap<u64, (u32, u32)>,
    /// Longest time between the first refusal of a sound part and its next answer, in ms.
    pub longest_hold_ms: u64,
    /// Parts of sound requests that were refused and had no answer at the end.
    pub still_refused: usize,
    pub evidence: u64,
    pub evidence_bytes: u64,
    pub most_tracked: usize,
}

impl Outcome {
    /// Share of the sound requests of some seconds that were sent at their first attempt.
    pub fn sound_share(&self, seconds: std::ops::Range<u64>) -> f64 {
        let of = |second: &u64| self.sound.get(second).copied().unwrap_or_default();
        let (came, refused) = seconds
            .map(|it| of(&it))
            .fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        1.0 - f64::from(refused) / f64::from(came.max(1))
    }

    /// Sound requests refused at their first attempt.
    pub fn refused(&self) -> u32 {
        self.sound.values().map(|(_, refused)| refused).sum()
    }

    /// Most requests with one bad part that reached engines later than 3 s after the fifth end under it.
    pub fn late_sends(&self) -> usize {
        let parts: HashSet<PartKey> = self.bad_ends.iter().map(|(_, part)| *part).collect();
        let late = parts.into_iter().map(|part| {
            let mut ends = self.bad_ends.iter().filter(|(_, of)| *of == part);
            let fifth_ms = ends.nth(4).map_or(u64::MAX - 3_000, |(at_ms, _)| *at_ms);
            let is_late = |(at_ms, of): &&(u64, PartKey)| *of == part && *at_ms > fifth_ms + 3_000;
            self.bad_sends.iter().filter(is_late).count()
        });
        late.max().unwrap_or_default()
    }
}

/// Numbers that look random and are the same in each run.
struct Dice(u64);

impl Dice {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }

    /// Time to the next of events that come at random, in ms.
    fn pause_ms(&mut self, per_s: f64) -> u64 {
        (-(1.0 - self.share()).ln() / per_s * 1_000.0) as u64
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive {
        bad: bool,
    },
    Decide {
        request: usize,
        since_ms: u64,
    },
    TrySend {
        request: usize,
        part: PartKeyOrd,
    },
    Progress {
        answer: usize,
        progress: AnswerProgress,
    },
    Finish {
        answer: usize,
    },
    End {
        engine: usize,
    },
    Back {
        engine: usize,
    },
    Known {
        instance: usize,
        upstream: u32,
    },
    Heard {
        instance: usize,
        item: usize,
    },
    Listed {
        instance: usize,
        part: PartKeyOrd,
        failed_trials: u8,
    },
    Stored {
        part: PartKeyOrd,
        failed_trials: u8,
    },
    Restart,
}

/// The number of a part, which has an order.
type PartKeyOrd = u64;

#[derive(Debug, Clone)]
struct Request {
    instance: usize,
    parts: [PartKey; 2],
    is_bad: bool,
    sends: u32,
    trial: Option<Trial>,
}

#[derive(Debug, Clone)]
struct Answer {
    request: usize,
    engine: usize,
    upstream: UpstreamKey,
    progress: AnswerProgress,
    is_over: bool,
    is_trial: bool,
}

struct Play {
    storm: Storm,
    dice: Dice,
    now_ms: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    trackers: Vec<PartTracker>,
    incarnations: Vec<u32>,
    is_up: Vec<bool>,
    requests: Vec<Request>,
    answers: Vec<Answer>,
    /// Parts in the list of poison requests that each instance knows, and in the store.
    listed: Vec<HashMap<PartKey, u8>>,
    stored: HashMap<PartKey, u8>,
    items: Vec<PartEvidence>,
    /// When each item was last passed on; hubs pass it on once.
    passed_ms: Vec<u64>,
    refused_since: HashMap<PartKey, u64>,
    outcome: Outcome,
}

/// Plays a storm.
pub fn play(storm: Storm) -> Outcome {
    let mut play = Play {
        storm,
        dice: Dice(storm.seed),
        now_ms: 0,
        steps: BinaryHeap::new(),
        number: 0,
        trackers: (0..storm.instances)
            .map(|instance| PartTracker::of(key(instance)))
            .collect(),
        incarnations: vec![0; storm.engines],
        is_up: vec![true; storm.engines],
        requests: Vec::new(),
        answers: Vec::new(),
        listed: vec![HashMap::new(); storm.instances],
        stored: HashMap::new(),
        items: Vec::new(),
        passed_ms: Vec::new(),
        refused_since: HashMap::new(),
        outcome: Outcome::default(),
    };
    play.at(0, Step::Arrive { bad: false });
    if storm.bad_per_s > 0.0 {
        play.at(storm.bad_from_ms, Step::Arrive { bad: true });
    }
    if let Some(restart_ms) = storm.restart_ms {
        play.at(restart_ms, Step::Restart);
    }
    play.plan_end();
    play.run();
    play.outcome
}

impl Play {
    fn at(&mut self, at_ms: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at_ms, self.number, step)));
    }

    fn after(&mut self, ms: u64, step: Step) {
        self.at(self.now_ms + ms, step);
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, step))) = self.steps.pop() {
            if at_ms >= self.storm.seconds * 1_000 {
                break;
            }
            self.now_ms = at_ms;
            self.take(step);
        }
        self.outcome.still_refused = self.refused_since.len();
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive { bad } => self.arrive(bad),
            Step::Decide { request, since_ms } => self.decide(request, since_ms),
            Step::TrySend { request, part } => self.try_send(request, PartKey(part)),
            Step::Progress { answer, progress } => self.progress(answer, progress),
            Step::Finish { answer } => self.answers[answer].is_over = true,
            Step::End { engine } => {
                self.plan_end();
                self.end(engine);
            }
            Step::Back { engine } => {
                self.incarnations[engine] += 1;
                self.is_up[engine] = true;
            }
            Step::Known { instance, upstream } => self.known(instance, UpstreamKey(upstream)),
            Step::Heard { instance, item } => self.heard(instance, item),
            Step::Listed {
                instance,
                part,
                failed_trials,
            } => {
                self.listed[instance].insert(PartKey(part), failed_trials);
            }
            Step::Stored {
                part,
                failed_trials,
            } => {
                self.stored.insert(PartKey(part), failed_trials);
            }
            Step::Restart => self.restart(),
        }
    }

    /// All instances are killed at once, and read the store at their start.
    fn restart(&mut self) {
        let own = (0..self.storm.instances).map(|instance| PartTracker::of(key(instance)));
        self.trackers = own.collect();
        self.listed.fill_with(HashMap::new);
        for answer in &mut self.answers {
            answer.is_over = true;
        }
        for tracker in &mut self.trackers {
            for (part, failed_trials) in &self.stored {
                tracker.convict(self.now_ms, *part, *failed_trials);
            }
        }
    }

    fn plan_end(&mut self) {
        if self.storm.ends_per_min == 0.0 {
            return;
        }
        let pause_ms = self.dice.pause_ms(self.storm.ends_per_min / 60.0);
        let engine = self.dice.below(self.storm.engines as u64) as usize;
        self.after(pause_ms, Step::End { engine });
    }

    fn arrive(&mut self, is_bad: bool) {
        let per_s = if is_bad {
            self.storm.bad_per_s
        } else {
            self.storm.sound_per_s
        };
        let pause_ms = self.dice.pause_ms(per_s);
        self.after(pause_ms, Step::Arrive { bad: is_bad });
        let own = if is_bad {
            BAD_PARTS + self.dice.below(self.storm.bad_parts)
        } else {
            SESSION_PARTS + self.dice.below(self.storm.sessions)
        };
        let request = self.requests.len();
        self.requests.push(Request {
            instance: self.dice.below(self.storm.instances as u64) as usize,
            parts: [PartKey::of(FIRST_PART), PartKey::of(own)],
            is_bad,
            sends: 0,
            trial: None,
        });
        if !is_bad {
            self.outcome.sound.entry(self.now_ms / 1_000).or_default().0 += 1;
        }
        self.decide(request, self.now_ms);
    }

    fn decide(&mut self, request: usize, since_ms: u64) {
        let (instance, parts) = (
            self.requests[request].instance,
            self.requests[request].parts,
        );
        let tracker = &mut self.trackers[instance];
        for part in &parts {
            if let Some(failed_trials) = self.listed[instance].get(part) {
                tracker.learn_conviction(self.now_ms, *part, *failed_trials);
            }
        }
        match tracker.decide(self.now_ms, &parts) {
            PartVerdict::Allowed => self.send(request),
            PartVerdict::MayTry(part) => {
                let trial = Trial {
                    part,
                    instance: key(instance),
                };
                let claim = tracker.claim_trial(self.now_ms, trial);
                self.requests[request].trial = Some(trial);
                self.tell(instance, claim);
                self.after(
                    CLAIM_MS,
                    Step::TrySend {
                        request,
                        part: part.0,
                    },
                );
            }
            PartVerdict::Held
                if tracker.is_trial_running(self.now_ms, &parts)
                    && self.now_ms < since_ms + WAIT_MS =>
            {
                self.after(POLL_MS, Step::Decide { request, since_ms });
            }
            PartVerdict::Held => {
                self.note_refused(request);
                self.outcome.first_held_ms.get_or_insert(self.now_ms);
            }
            PartVerdict::Convicted => self.note_refused(request),
        }
    }

    fn note_refused(&mut self, request: usize) {
        let Request {
            is_bad,
            sends,
            parts,
            ..
        } = self.requests[request];
        if is_bad || sends > 0 {
            return;
        }
        self.outcome.sound.entry(self.now_ms / 1_000).or_default().1 += 1;
        self.refused_since.entry(parts[1]).or_insert(self.now_ms);
    }

    fn abandon(&mut self, trial: Trial) {
        let instance = trial.instance.0 as usize;
        if let Some(evidence) = self.trackers[instance].abandon_trial(trial) {
            self.tell(instance, evidence);
        }
    }

    fn try_send(&mut self, request: usize, part: PartKey) {
        let instance = self.requests[request].instance;
        let trial = Trial {
            part,
            instance: key(instance),
        };
        if self.trackers[instance].holds_trial(self.now_ms, trial) {
            return self.send(request);
        }
        self.requests[request].trial = None;
        self.decide(request, self.now_ms);
    }

    fn send(&mut self, request: usize) {
        let up: Vec<usize> = (0..self.storm.engines)
            .filter(|it| self.is_up[*it])
            .collect();
        if up.is_empty() {
            if let Some(trial) = self.requests[request].trial.take() {
                self.abandon(trial);
            }
            return;
        }
        let engine = up[self.dice.below(up.len() as u64) as usize];
        let Request {
            parts,
            is_bad,
            trial,
            ..
        } = self.requests[request];
        self.requests[request].sends += 1;
        if is_bad {
            self.outcome.bad_sends.push((self.now_ms, parts[1]));
        }
        let answer = self.answers.len();
        self.answers.push(Answer {
            request,
            engine,
            upstream: UpstreamKey(self.incarnations[engine] * 10_000 + engine as u32),
            progress: AnswerProgress::Waiting,
            is_over: false,
            is_trial: trial.is_some(),
        });
        let head_ms = self.dice.between(50, 250);
        let first_ms = head_ms + self.dice.between(10, 60);
        let second_ms = first_ms + self.dice.between(20, 60);
        let steps = [
            (head_ms, AnswerProgress::Begun),
            (first_ms, AnswerProgress::FirstEvent),
            (second_ms, AnswerProgress::WentOn),
        ];
        for (ms, progress) in steps {
            self.after(ms, Step::Progress { answer, progress });
        }
        let whole_ms = second_ms + self.dice.between(500, 3_000);
        self.after(whole_ms, Step::Finish { answer });
    }

    fn progress(&mut self, answer: usize, progress: AnswerProgress) {
        if self.answers[answer].is_over {
            return;
        }
        let request = self.answers[answer].request;
        let Request {
            instance,
            parts,
            is_bad,
            ..
        } = self.requests[request];
        if is_bad && progress == AnswerProgress::FirstEvent {
            self.outcome.bad_ends.push((self.now_ms, parts[1]));
            return self.end(self.answers[answer].engine);
        }
        self.answers[answer].progress = progress;
        if progress < AnswerProgress::WentOn {
            return;
        }
        for part in parts {
            self.listed.iter_mut().for_each(|it| {
                it.remove(&part);
            });
            if let Some(evidence) = self.trackers[instance].record_went_on(self.now_ms, part) {
                self.tell(instance, evidence);
            }
        }
        if let Some(since_ms) = self.refused_since.remove(&parts[1]) {
            let longest_ms = self.outcome.longest_hold_ms.max(self.now_ms - since_ms);
            self.outcome.longest_hold_ms = longest_ms;
        }
    }

    /// An engine ends with all its answers.
    fn end(&mut self, engine: usize) {
        if !std::mem::replace(&mut self.is_up[engine], false) {
            return;
        }
        self.after(GONE_MS, Step::Back { engine });
        let lost: Vec<usize> = (0..self.answers.len())
            .rev()
            .take(4_000)
            .filter(|it| self.answers[*it].engine == engine && !self.answers[*it].is_over)
            .collect();
        let mut instances = HashSet::new();
        for answer in lost {
            self.answers[answer].is_over = true;
            let Answer {
                request,
                upstream,
                progress,
                is_trial,
                ..
            } = self.answers[answer].clone();
            let Request {
                instance,
                parts,
                sends,
                trial,
                ..
            } = self.requests[request];
            let trial = trial.filter(|_| is_trial);
            self.trackers[instance].record_loss(self.now_ms, upstream, &parts, progress, trial);
            if instances.insert(instance) {
                let known_ms = self.dice.between(100, 400);
                self.after(
                    known_ms,
                    Step::Known {
                        instance,
                        upstream: upstream.0,
                    },
                );
            }
            if sends < MAX_SENDS && !is_trial {
                let since_ms = self.now_ms + 100;
                self.after(100, Step::Decide { request, since_ms });
            }
        }
    }

    fn known(&mut self, instance: usize, upstream: UpstreamKey) {
        let found = self.trackers[instance].upstream_ended(self.now_ms, key(instance), upstream);
        for evidence in found {
            if let PartEvidence::Convicted {
                part,
                failed_trials,
            } = evidence
            {
                self.note_convicted(part, failed_trials);
            }
            self.tell(instance, evidence);
        }
        let tracked = self.trackers[instance].tracked_count();
        self.outcome.most_tracked = self.outcome.most_tracked.max(tracked);
    }

    fn note_convicted(&mut self, part: PartKey, failed_trials: u8) {
        self.outcome.first_convicted_ms.get_or_insert(self.now_ms);
        let mut bad = (0..self.storm.bad_parts).map(|it| PartKey::of(BAD_PARTS + it));
        if !bad.any(|it| it == part) {
            self.outcome.wrongly_convicted.insert(part);
        }
        let part = part.0;
        self.after(
            STORED_MS,
            Step::Stored {
                part,
                failed_trials,
            },
        );
        for instance in 0..self.storm.instances {
            let listed = Step::Listed {
                instance,
                part,
                failed_trials,
            };
            self.after(LISTED_MS, listed);
        }
    }

    /// Gossips evidence: it reaches each other instance within some periods, or is lost.
    fn tell(&mut self, from: usize, evidence: PartEvidence) {
        let again =
            |at: &usize| self.items[*at] == evidence && self.now_ms < self.passed_ms[*at] + 200;
        let recent = self.items.len().saturating_sub(64)..self.items.len();
        if recent.into_iter().any(|at| again(&at)) {
            return;
        }
        let item = self.items.len();
        self.items.push(evidence);
        self.passed_ms.push(self.now_ms);
        self.outcome.evidence += 1;
        self.outcome.evidence_bytes += postcard::to_allocvec(&evidence).unwrap().len() as u64;
        for instance in (0..self.storm.instances).filter(|it| *it != from) {
            if self.dice.share() < self.storm.lost {
                continue;
            }
            let spread_ms = self.dice.between(30, 150);
            self.after(spread_ms, Step::Heard { instance, item });
        }
    }

    fn heard(&mut self, instance: usize, item: usize) {
        let effect = self.trackers[instance].receive(self.now_ms, self.items[item]);
        if let Some(reply) = effect.reply {
            self.tell(instance, reply);
        }
    }
}

fn key(instance: usize) -> InstanceKey {
    InstanceKey(instance as u32)
}
