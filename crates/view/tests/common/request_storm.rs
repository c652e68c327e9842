//! A simulated fleet whose upstreams end under requests that many callers send alike: by the request, or for a reason of
//! their own.

use std::collections::HashMap;

use view::poison::StoreStep;
use view::trials::CLAIM_MS;
use view::{
    FailureEvidence, InstanceKey, PoisonTracker, RequestKey, RequestTrial, RequestVerdict,
    TrialNews, UpstreamKey,
};

/// Time in which instances count as calm after a disturbance, in ms.
pub const STABLE_MS: u64 = 3_000;

const STEP_MS: u64 = 10;

/// Time until a list shows that an upstream is gone, and interval at which instances tell what they hold, in ms.
const LISTED_MS: u64 = 3_600;
const LIST_MS: u64 = 200;

/// Time of a sound answer, in ms.
const ANSWER_MS: u64 = 60;

/// A request that callers send alike, and how often a second, all of them together.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub request: RequestKey,
    pub per_s: u64,
    /// Whether it ends each upstream that begins to run it.
    pub is_bad: bool,
}

/// Ends of upstreams for a reason of their own: these at this time, for so long, in ms.
pub type Ends = (u64, Vec<usize>, u64);

/// What is played.
#[derive(Debug, Clone)]
pub struct Storm {
    pub seed: u64,
    pub instances: usize,
    pub upstreams: usize,
    pub for_ms: u64,
    pub loads: Vec<Load>,
    pub ends: Vec<Ends>,
    /// Share of what instances tell that is lost, in percent.
    pub lost_percent: u64,
    /// When all instances are killed at once, in ms.
    pub killed_ms: Option<u64>,
    /// While the store takes nothing, from and to in ms.
    pub store_away_ms: (u64, u64),
}

/// What came of it, by load.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// When it was sent to upstreams, and when it ended them.
    pub sends_ms: Vec<u64>,
    pub ends_ms: Vec<u64>,
    /// When it was answered, and refused although an upstream was there.
    pub answers_ms: Vec<u64>,
    pub refusals_ms: Vec<u64>,
}

impl Outcome {
    /// Sends later than the time in which instances are calm again after the third end.
    pub fn late_sends(&self) -> usize {
        let Some(third_ms) = self.ends_ms.get(2) else {
            return 0;
        };
        let late = self
            .sends_ms
            .iter()
            .filter(|at_ms| **at_ms > third_ms + STABLE_MS);
        late.count()
    }
}

#[derive(Debug, Clone, Copy)]
enum News {
    Evidence(FailureEvidence),
    Trial(TrialNews),
}

struct Upstream {
    key: UpstreamKey,
    life: u32,
    back_ms: Option<u64>,
}

struct Running {
    load: usize,
    instance: usize,
    upstream: usize,
    over_ms: u64,
}

struct Waiting {
    load: usize,
    instance: usize,
    at_ms: u64,
    trial: RequestTrial,
}

struct Play {
    storm: Storm,
    random: u64,
    now_ms: u64,
    trackers: Vec<PoisonTracker>,
    upstreams: Vec<Upstream>,
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    in_transit: Vec<(u64, usize, News)>,
    /// Ends that an inquiry or the list will show: when, to whom, and which.
    unknown: Vec<(u64, Option<usize>, UpstreamKey)>,
    stored: HashMap<RequestKey, u8>,
    outcomes: Vec<Outcome>,
}

fn own(instance: usize) -> InstanceKey {
    InstanceKey(1 + instance as u32)
}

/// Plays a storm; returns what came of each load.
pub fn play(storm: Storm) -> Vec<Outcome> {
    let upstream = |index| Upstream {
        key: UpstreamKey(index as u32),
        life: 0,
        back_ms: None,
    };
    let mut play = Play {
        random: storm.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) | 1,
        now_ms: 0,
        trackers: (0..storm.instances)
            .map(|_| PoisonTracker::default())
            .collect(),
        upstreams: (0..storm.upstreams).map(upstream).collect(),
        running: Vec::new(),
        waiting: Vec::new(),
        in_transit: Vec::new(),
        unknown: Vec::new(),
        stored: HashMap::new(),
        outcomes: vec![Outcome::default(); storm.loads.len()],
        storm,
    };
    while play.now_ms < play.storm.for_ms {
        play.now_ms += STEP_MS;
        play.step();
    }
    play.outcomes
}

impl Play {
    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 16) % below.max(1)
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        if self.storm.killed_ms == Some(now_ms) {
            self.kill_all();
        }
        for (at_ms, which, down_ms) in self.storm.ends.clone() {
            if at_ms == now_ms {
                for index in which {
                    self.end(index, down_ms);
                }
            }
        }
        for index in 0..self.upstreams.len() {
            if self.upstreams[index]
                .back_ms
                .is_some_and(|at_ms| at_ms <= now_ms)
            {
                self.come_back(index);
            }
        }
        self.learn_ends();
        self.deliver();
        self.finish();
        self.send_claimed();
        for load in 0..self.storm.loads.len() {
            let per_s = self.storm.loads[load].per_s;
            let mut per_mille = per_s * STEP_MS;
            while per_mille >= 1_000 || self.draw(1_000) < per_mille {
                let instance = self.draw(self.storm.instances as u64) as usize;
                self.arrive(load, instance);
                per_mille = per_mille.saturating_sub(1_000);
                if per_mille == 0 {
                    break;
                }
            }
        }
        if now_ms.is_multiple_of(LIST_MS) {
            self.tell_lists();
        }
        let (away_from_ms, away_to_ms) = self.storm.store_away_ms;
        if now_ms.is_multiple_of(100) && !(away_from_ms..away_to_ms).contains(&now_ms) {
            self.store();
        }
    }

    fn kill_all(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.in_transit.clear();
        for tracker in &mut self.trackers {
            *tracker = PoisonTracker::default();
            for (request, trials) in &self.stored {
                tracker.mark_poison(self.now_ms, *request);
                tracker.learn_trials(self.now_ms, *request, *trials);
                tracker.mark_saved(*request, *trials);
            }
        }
    }

    /// An upstream ends with all that runs there. An inquiry shows it where another one is left, else the list does.
    fn end(&mut self, index: usize, down_ms: u64) {
        if self.upstreams[index].back_ms.is_some() {
            return;
        }
        self.upstreams[index].back_ms = Some(self.now_ms + down_ms);
        let upstream = self.upstreams[index].key;
        let (lost, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|it: &Running| it.upstream == index);
        self.running = running;
        let lost: Vec<Running> = lost;
        let is_other_left = self.upstreams.iter().any(|it| it.back_ms.is_none());
        for it in lost {
            let request = self.storm.loads[it.load].request;
            self.observe(it.instance, FailureEvidence::Lost { request, upstream });
            if is_other_left {
                let known_ms = self.now_ms + 30 + self.draw(370);
                self.unknown.push((known_ms, Some(it.instance), upstream));
            }
        }
        self.unknown.push((self.now_ms + LISTED_MS, None, upstream));
    }

    fn come_back(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.back_ms = None;
        upstream.life += 1;
        let before = upstream.key;
        upstream.key = UpstreamKey(upstream.life * 1_000 + index as u32);
        // The list names the successor at once.
        self.unknown.push((self.now_ms, None, before));
    }

    fn learn_ends(&mut self) {
        let now_ms = self.now_ms;
        let due = self.unknown.extract_if(.., |it| it.0 <= now_ms);
        for (_, instance, upstream) in due.collect::<Vec<_>>() {
            match instance {
                Some(instance) => self.observe(instance, FailureEvidence::Ended(upstream)),
                None => self.trackers.iter_mut().for_each(|tracker| {
                    tracker.upstream_unlisted(now_ms, upstream);
                }),
            }
        }
    }

    fn observe(&mut self, instance: usize, evidence: FailureEvidence) {
        if self.trackers[instance].observe(self.now_ms, evidence) {
            self.tell(instance, News::Evidence(evidence));
        }
    }

    fn tell(&mut self, from: usize, news: News) {
        for to in (0..self.storm.instances).filter(|to| *to != from) {
            if self.draw(100) >= self.storm.lost_percent {
                let at_ms = self.now_ms + 30 + self.draw(120);
                self.in_transit.push((at_ms, to, news));
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due = self.in_transit.extract_if(.., |it| it.0 <= now_ms);
        for (_, to, news) in due.collect::<Vec<_>>() {
            match news {
                News::Evidence(evidence) => {
                    self.trackers[to].receive(now_ms, evidence);
                }
                News::Trial(TrialNews::Claimed(trial))
                    if self.trackers[to].objects_to_trial(now_ms, own(to), trial) =>
                {
                    self.tell(to, News::Trial(TrialNews::Unsent(trial)));
                }
                News::Trial(news) => {
                    self.trackers[to].receive_trial(now_ms, news);
                }
            }
        }
    }

    /// What instances tell all the time: what they hold, and how often it was tried.
    fn tell_lists(&mut self) {
        let mut held: HashMap<RequestKey, u8> = HashMap::new();
        for tracker in &self.trackers {
            let listed = tracker.recent_poison(self.now_ms);
            held.extend(listed.iter().map(|request| (*request, 0)));
        }
        for tracker in &self.trackers {
            let listed = tracker.recent_poison(self.now_ms);
            for (request, number) in tracker.trial_counts(self.now_ms, &listed) {
                let most = held.entry(request).or_default();
                *most = number.max(*most);
            }
        }
        for to in 0..self.storm.instances {
            if self.draw(100) < self.storm.lost_percent {
                continue;
            }
            for (request, trials) in &held {
                if self.trackers[to].mark_poison(self.now_ms, *request) {
                    let answered = FailureEvidence::Answered(*request);
                    self.tell(to, News::Evidence(answered));
                }
                self.trackers[to].learn_trials(self.now_ms, *request, *trials);
            }
        }
    }

    fn store(&mut self) {
        for tracker in &mut self.trackers {
            for step in tracker.store_steps(self.now_ms) {
                match step {
                    StoreStep::Write(request) => {
                        let trials = tracker.trial_count(request);
                        self.stored.insert(request, trials);
                        tracker.mark_saved(request, trials);
                    }
                    StoreStep::Drop(request) => {
                        self.stored.remove(&request);
                        tracker.mark_dropped(request);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, load: usize, instance: usize) {
        let now_ms = self.now_ms;
        let request = self.storm.loads[load].request;
        let is_any_up = self.upstreams.iter().any(|it| it.back_ms.is_none());
        let tracker = &self.trackers[instance];
        let is_gone = |key| {
            self.upstreams
                .iter()
                .all(|it| it.key != key || it.back_ms.is_some())
        };
        let is_in_doubt = tracker.is_in_doubt(request, |key| is_gone(key).then_some(1_000));
        let verdict = tracker.decide(now_ms, request, own(instance));
        match verdict {
            _ if !is_any_up => return,
            RequestVerdict::Allowed if !is_in_doubt => return self.send(load, instance),
            RequestVerdict::MayTry(number) => {
                let trial = RequestTrial {
                    request,
                    number,
                    instance: own(instance),
                    nonce: now_ms as u32,
                };
                if self.trackers[instance].claim_trial(now_ms, trial) {
                    self.tell(instance, News::Trial(TrialNews::Claimed(trial)));
                    self.waiting.push(Waiting {
                        load,
                        instance,
                        at_ms: now_ms + CLAIM_MS,
                        trial,
                    });
                }
                return;
            }
            RequestVerdict::Allowed
            | RequestVerdict::TrialRunning
            | RequestVerdict::Held(_)
            | RequestVerdict::Refused => {}
        }
        self.outcomes[load].refusals_ms.push(now_ms);
    }

    fn send_claimed(&mut self) {
        let now_ms = self.now_ms;
        let due = self.waiting.extract_if(.., |it| it.at_ms <= now_ms);
        for it in due.collect::<Vec<_>>() {
            if !self.trackers[it.instance].holds_trial(it.trial) {
                continue;
            }
            if self.upstreams.iter().any(|it| it.back_ms.is_none()) {
                self.send(it.load, it.instance);
            } else if self.trackers[it.instance].give_back_trial(now_ms, it.trial) {
                self.tell(it.instance, News::Trial(TrialNews::Unsent(it.trial)));
            }
        }
    }

    fn send(&mut self, load: usize, instance: usize) {
        let up: Vec<usize> = (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].back_ms.is_none())
            .collect();
        let upstream = up[self.draw(up.len() as u64) as usize];
        let takes_ms = if self.storm.loads[load].is_bad {
            10 + self.draw(50)
        } else {
            ANSWER_MS
        };
        self.outcomes[load].sends_ms.push(self.now_ms);
        self.running.push(Running {
            load,
            instance,
            upstream,
            over_ms: self.now_ms + takes_ms,
        });
    }

    fn finish(&mut self) {
        let now_ms = self.now_ms;
        while let Some(at) = self.running.iter().position(|it| it.over_ms <= now_ms) {
            let Running {
                load,
                instance,
                upstream,
                ..
            } = self.running[at];
            if self.storm.loads[load].is_bad {
                self.outcomes[load].ends_ms.push(now_ms);
                let down_ms = 1_000 + self.draw(3_000);
                self.end(upstream, down_ms);
                continue;
            }
            self.running.swap_remove(at);
            self.outcomes[load].answers_ms.push(now_ms);
            let request = self.storm.loads[load].request;
            if self.trackers[instance].is_tracked(request) {
                self.observe(instance, FailureEvidence::Answered(request));
            }
        }
    }
}
