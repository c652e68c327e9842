//! What was owed to callers and what they got, by kind, zone, size and second, and whether that was enough.

use std::collections::BTreeMap;
use std::fmt::Write;

use derive_more::Display;
use serde::Serialize;

/// How a request ended for its caller, over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A complete answer on time.
    #[display("on time")]
    OnTime,
    /// A complete answer, late.
    #[display("late")]
    Late,
    /// Refused as not run.
    #[display("refused")]
    Refused,
    /// No complete answer.
    #[display("failed")]
    Failed,
}

/// Size class of a request among those of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum SizeClass {
    /// The largest tenth.
    #[display("largest tenth")]
    LargestTenth,
    /// The fifth below it.
    #[display("next fifth")]
    NextFifth,
    /// All others.
    #[display("rest")]
    Rest,
}

/// One request and what became of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServedRequest {
    /// Number of its kind.
    pub class: usize,
    /// Number of its caller's zone.
    pub zone: usize,
    /// Time of its first attempt since the start of traffic, in ms.
    pub at_ms: u64,
    /// Size by which the requests of a kind are ordered.
    pub size: f64,
    /// What was owed.
    pub owed: f64,
    /// What was earned.
    pub earned: f64,
    /// How it ended.
    pub ending: Ending,
}

/// Sums over a group of requests.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Served {
    /// Requests.
    pub asked: u64,
    /// Answered on time.
    pub on_time: u64,
    /// Answered late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// What was owed.
    pub owed: f64,
    /// What was earned.
    pub earned: f64,
}

impl Served {
    fn add(&mut self, request: &ServedRequest) {
        self.asked += 1;
        self.owed += request.owed;
        self.earned += request.earned;
        *match request.ending {
            Ending::OnTime => &mut self.on_time,
            Ending::Late => &mut self.late,
            Ending::Refused => &mut self.refused,
            Ending::Failed => &mut self.failed,
        } += 1;
    }

    fn of<'a>(requests: impl Iterator<Item = &'a ServedRequest>) -> Self {
        let mut served = Self::default();
        requests.for_each(|request| served.add(request));
        served
    }

    /// Earned of what was owed; 0 if nothing was.
    pub fn earned_share(&self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            0.0
        }
    }

    /// Share of requests that were answered, on time or late.
    pub fn served_share(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.asked.max(1) as f64
    }

    fn unserved_share(&self) -> f64 {
        (self.refused + self.failed) as f64 / self.asked.max(1) as f64
    }
}

/// Least shares that have to be earned or served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Floors {
    /// Of what is owed to all.
    pub all: f64,
    /// Of what is owed to the callers of one kind of request.
    pub class: f64,
    /// Of what is owed to the callers of one zone.
    pub zone: f64,
    /// Largest share of requests that may be refused or failed.
    pub max_unserved: f64,
    /// Least served share of a size class, relative to that of its kind.
    pub size: f64,
}

impl Floors {
    /// For a time without a disturbance.
    pub const QUIET: Self = Self {
        all: 0.43,
        class: 0.38,
        zone: 0.43,
        max_unserved: 0.6,
        size: 0.5,
    };

    /// For a time with disturbances.
    pub const DISTURBED: Self = Self {
        all: 0.38,
        class: 0.31,
        zone: 0.38,
        max_unserved: 0.6,
        size: 0.5,
    };
}

/// Share of all requests from which a kind or a zone has a floor of its own.
const JUDGED_SHARE: f64 = 0.05;

/// Fewest requests of a group from which its share says something.
const MIN_JUDGED: u64 = 20;

/// A floor that was missed.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Shortfall {
    /// Too little was earned.
    #[display("SHORT: {group}: {earned:.2} of what is owed was earned, {floor:.2} is the least")]
    Earned {
        /// What was looked at.
        group: String,
        /// Earned share.
        earned: f64,
        /// Least share.
        floor: f64,
    },
    /// Too many were refused or failed.
    #[display("SHORT: {share:.2} of requests were refused or failed, {most:.2} is the most")]
    Unserved {
        /// Share that was refused or failed.
        share: f64,
        /// Largest share allowed.
        most: f64,
    },
    /// Large requests were left unserved.
    #[display("SIZES: {class}: {size} served {share:.2}, all of the kind {of_class:.2}")]
    Size {
        /// Kind of request.
        class: String,
        /// Size class.
        size: SizeClass,
        /// Served share of the size class.
        share: f64,
        /// Served share of the kind.
        of_class: f64,
    },
    /// Too few requests to judge a group.
    #[display("not judged: {group}: {asked} requests")]
    NotAsked {
        /// What was looked at.
        group: String,
        /// Requests in it.
        asked: u64,
    },
}

/// All requests of a run.
#[derive(Debug, Clone, Default)]
pub struct ServiceRecord {
    /// Names of the kinds.
    pub classes: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The requests, in any order.
    pub requests: Vec<ServedRequest>,
}

impl ServiceRecord {
    /// The requests whose first attempt was made in a span of time, in ms.
    #[must_use]
    pub fn between(&self, from_ms: u64, until_ms: u64) -> Self {
        let is_inside = |request: &&ServedRequest| (from_ms..until_ms).contains(&request.at_ms);
        Self {
            requests: self.requests.iter().filter(is_inside).copied().collect(),
            ..self.clone()
        }
    }

    /// All requests together.
    pub fn total(&self) -> Served {
        Served::of(self.requests.iter())
    }

    /// By kind.
    pub fn by_class(&self, class: usize) -> Served {
        Served::of(self.requests.iter().filter(|it| it.class == class))
    }

    /// By zone.
    pub fn by_zone(&self, zone: usize) -> Served {
        Served::of(self.requests.iter().filter(|it| it.zone == zone))
    }

    /// The size classes of a kind; none if all its requests are alike.
    pub fn by_size(&self, class: usize) -> BTreeMap<SizeClass, Served> {
        let mut all: Vec<&ServedRequest> = self
            .requests
            .iter()
            .filter(|it| it.class == class)
            .collect();
        all.sort_by(|a, b| b.size.total_cmp(&a.size));
        let is_alike = all.first().map(|it| it.size) == all.last().map(|it| it.size);
        if is_alike {
            return BTreeMap::new();
        }
        let count = all.len();
        let (tenth, fifth) = (count / 10, count / 10 + count / 5);
        let classes = [
            (SizeClass::LargestTenth, &all[..tenth]),
            (SizeClass::NextFifth, &all[tenth..fifth]),
            (SizeClass::Rest, &all[fifth..]),
        ];
        let served = |(size, group): (SizeClass, &[&ServedRequest])| {
            (size, Served::of(group.iter().copied()))
        };
        classes.into_iter().map(served).collect()
    }

    /// By second of the first attempt.
    pub fn by_second(&self) -> BTreeMap<u64, Served> {
        let mut seconds: BTreeMap<u64, Served> = BTreeMap::new();
        for request in &self.requests {
            seconds
                .entry(request.at_ms / 1_000)
                .or_default()
                .add(request);
        }
        seconds
    }

    /// The floors that were missed. A group that was asked for too little to judge is named too, so that a
    /// check does not pass for lack of requests.
    pub fn shortfalls(&self, floors: &Floors) -> Vec<Shortfall> {
        let total = self.total();
        if total.asked < MIN_JUDGED {
            return vec![Shortfall::NotAsked {
                group: "all requests".to_owned(),
                asked: total.asked,
            }];
        }
        let mut missed = Vec::new();
        missed.extend(earned_shortfall("all requests", &total, floors.all));
        if total.unserved_share() > floors.max_unserved {
            missed.push(Shortfall::Unserved {
                share: total.unserved_share(),
                most: floors.max_unserved,
            });
        }
        let judged = |served: &Served| served.asked as f64 >= total.asked as f64 * JUDGED_SHARE;
        for (class, name) in self.classes.iter().enumerate() {
            let served = self.by_class(class);
            if judged(&served) {
                missed.extend(earned_shortfall(name, &served, floors.class));
            }
            missed.extend(self.size_shortfalls(class, name, floors));
        }
        for (zone, name) in self.zones.iter().enumerate() {
            let served = self.by_zone(zone);
            if judged(&served) {
                missed.extend(earned_shortfall(name, &served, floors.zone));
            }
        }
        missed
    }

    fn size_shortfalls(&self, class: usize, name: &str, floors: &Floors) -> Vec<Shortfall> {
        let of_class = self.by_class(class).served_share();
        let sizes = self.by_size(class).into_iter();
        let judged = sizes.filter(|(size, _)| *size != SizeClass::Rest);
        let shortfall = |(size, served): (SizeClass, Served)| {
            if served.asked < MIN_JUDGED {
                return Some(Shortfall::NotAsked {
                    group: format!("{name}, {size}"),
                    asked: served.asked,
                });
            }
            let share = served.served_share();
            (share < of_class * floors.size).then(|| Shortfall::Size {
                class: name.to_owned(),
                size,
                share,
                of_class,
            })
        };
        judged.filter_map(shortfall).collect()
    }

    /// The groups as a text table, and the seconds that earned the least.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<34}{:>8}{:>9}{:>7}{:>9}{:>8}{:>9}{:>8}\n",
            "group", "asked", "on time", "late", "refused", "failed", "earned", "served"
        );
        row(&mut text, "all", &self.total());
        for (class, name) in self.classes.iter().enumerate() {
            row(&mut text, name, &self.by_class(class));
            for (size, served) in self.by_size(class) {
                row(&mut text, &format!("  {size}"), &served);
            }
        }
        for (zone, name) in self.zones.iter().enumerate() {
            row(&mut text, name, &self.by_zone(zone));
        }
        text
    }

    /// Earned share of each second, ten seconds a line.
    pub fn seconds_table(&self) -> String {
        let mut text = String::new();
        for (second, served) in self.by_second() {
            if second % 10 == 0 {
                let _ = write!(text, "\n{second:>5} s");
            }
            let _ = write!(text, " {:.2}", served.earned_share());
        }
        text.push('\n');
        text
    }
}

fn row(text: &mut String, name: &str, served: &Served) {
    let _ = writeln!(
        text,
        "{name:<34}{:>8}{:>9}{:>7}{:>9}{:>8}{:>9.3}{:>8.3}",
        served.asked,
        served.on_time,
        served.late,
        served.refused,
        served.failed,
        served.earned_share(),
        served.served_share()
    );
}

fn earned_shortfall(group: &str, served: &Served, floor: f64) -> Option<Shortfall> {
    let earned = served.earned_share();
    (earned < floor).then(|| Shortfall::Earned {
        group: group.to_owned(),
        earned,
        floor,
    })
}
