//! One datagram of what an instance tells others, and its form on the wire.
//!
//! A telling goes out ten times a second to several instances, most of them in other availability
//! zones. As text it was five to ten times as long, and the largest part of what crosses zones.
//! Upstreams are named once and then by index, and the rest is written in as few bytes as it
//! needs. A form that this process does not know is passed over, as a lost datagram would be: a
//! change of version goes through all instances within seconds.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::followed::Mark;
use crate::upstream::{Queue, RANKS, Reading, Stage};

/// First byte of a telling; another form has another one.
const FORM: u8 = 3;

/// What one instance has outstanding at one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Outstanding {
    /// The upstream's incarnation.
    pub upstream: String,
    /// Requests.
    pub requests: u32,
    /// Work of reading prompts, in tokens by rank.
    pub queue: Queue,
    /// Prompt tokens of the requests that make output.
    pub context: u32,
}

/// A prompt part that an upstream has read or is reading.
#[derive(Debug, Clone, PartialEq)]
pub struct Read {
    /// The upstream's incarnation.
    pub upstream: String,
    /// The part.
    pub part: u64,
    /// Its length.
    pub tokens: u32,
    /// How far the upstream has come with it.
    pub reading: Reading,
}

/// An engine that was ordered to another stage.
#[derive(Debug, Clone, PartialEq)]
pub struct Turning {
    /// The engine's incarnation.
    pub upstream: String,
    /// What it is to do.
    pub stage: Stage,
    /// Time for which it gets no work, unless the list says before that it is there, in ms.
    pub left_ms: u32,
}

/// One telling.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Telling {
    /// Who tells.
    pub from: String,
    /// Upstreams at which it has requests, or had some when it last told.
    pub outstanding: Vec<Outstanding>,
    /// Parts that it had read lately.
    pub reads: Vec<Read>,
    /// Engines that it has ordered to another stage.
    pub turning: Vec<Turning>,
    /// Where the list of upstreams stands.
    pub list: Option<Mark>,
    /// Where the configuration stands.
    pub config: Option<Mark>,
}

/// Why a datagram is no telling.
#[derive(Debug, Display, Error)]
pub enum TellingError {
    /// It is of a form that this process does not know.
    #[display("form {form:?} is not known")]
    Form {
        /// Its first byte, if it has any.
        form: Option<u8>,
    },
    /// It cannot be read.
    #[display("{_0}")]
    Broken(postcard::Error),
    /// It names an upstream by an index beyond its table.
    #[display("no upstream {index} in its table")]
    Upstream {
        /// The index.
        index: u16,
    },
    /// It has more upstreams than an index can name.
    #[display("{count} upstreams are too many")]
    Crowded {
        /// How many.
        count: usize,
    },
}

#[derive(Serialize, Deserialize)]
struct WireOutstanding {
    upstream: u16,
    requests: u32,
    queue: Vec<(u8, u32)>,
    context: u32,
}

#[derive(Serialize, Deserialize)]
struct WireRead {
    upstream: u16,
    part: u64,
    tokens: u32,
    is_done: bool,
}

#[derive(Serialize, Deserialize)]
struct WireTurning {
    upstream: u16,
    stage: Stage,
    left_ms: u32,
}

#[derive(Serialize, Deserialize)]
struct WireTelling {
    from: String,
    upstreams: Vec<String>,
    outstanding: Vec<WireOutstanding>,
    reads: Vec<WireRead>,
    turning: Vec<WireTurning>,
    list: Option<Mark>,
    config: Option<Mark>,
}

/// Writes a telling.
pub fn encode(telling: &Telling) -> Result<Vec<u8>, TellingError> {
    let wire = WireTelling::try_from(telling)?;
    postcard::to_extend(&wire, vec![FORM]).map_err(TellingError::Broken)
}

/// Reads a telling.
pub fn decode(bytes: &[u8]) -> Result<Telling, TellingError> {
    let form = bytes.first().copied();
    if form != Some(FORM) {
        return Err(TellingError::Form { form });
    }
    let wire: WireTelling = postcard::from_bytes(&bytes[1..]).map_err(TellingError::Broken)?;
    wire.try_into()
}

impl TryFrom<&Telling> for WireTelling {
    type Error = TellingError;

    fn try_from(telling: &Telling) -> Result<Self, TellingError> {
        let outstanding = telling.outstanding.iter().map(|each| &each.upstream);
        let reads = telling.reads.iter().map(|each| &each.upstream);
        let turning = telling.turning.iter().map(|each| &each.upstream);
        let named = outstanding.chain(reads).chain(turning);
        let mut upstreams: Vec<String> = named.cloned().collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        let crowded = TellingError::Crowded {
            count: upstreams.len(),
        };
        if u16::try_from(upstreams.len()).is_err() {
            return Err(crowded);
        }
        let index = |id: &String| upstreams.binary_search(id).unwrap_or_default() as u16;
        Ok(Self {
            from: telling.from.clone(),
            outstanding: telling
                .outstanding
                .iter()
                .map(|each| WireOutstanding {
                    upstream: index(&each.upstream),
                    requests: each.requests,
                    queue: waiting(&each.queue),
                    context: each.context,
                })
                .collect(),
            reads: telling
                .reads
                .iter()
                .map(|each| WireRead {
                    upstream: index(&each.upstream),
                    part: each.part,
                    tokens: each.tokens,
                    is_done: each.reading == Reading::Done,
                })
                .collect(),
            turning: telling
                .turning
                .iter()
                .map(|each| WireTurning {
                    upstream: index(&each.upstream),
                    stage: each.stage,
                    left_ms: each.left_ms,
                })
                .collect(),
            list: telling.list,
            config: telling.config,
            upstreams,
        })
    }
}

impl TryFrom<WireTelling> for Telling {
    type Error = TellingError;

    fn try_from(wire: WireTelling) -> Result<Self, TellingError> {
        let upstreams = wire.upstreams;
        let name = |index: u16| {
            let found = upstreams.get(usize::from(index)).cloned();
            found.ok_or(TellingError::Upstream { index })
        };
        let outstanding = wire.outstanding.into_iter().map(|each| {
            Ok(Outstanding {
                upstream: name(each.upstream)?,
                requests: each.requests,
                queue: each.queue.iter().copied().collect(),
                context: each.context,
            })
        });
        let reads = wire.reads.into_iter().map(|each| {
            Ok(Read {
                upstream: name(each.upstream)?,
                part: each.part,
                tokens: each.tokens,
                reading: if each.is_done {
                    Reading::Done
                } else {
                    Reading::Begun
                },
            })
        });
        let turning = wire.turning.into_iter().map(|each| {
            Ok(Turning {
                upstream: name(each.upstream)?,
                stage: each.stage,
                left_ms: each.left_ms,
            })
        });
        Ok(Self {
            from: wire.from,
            outstanding: outstanding.collect::<Result<_, TellingError>>()?,
            reads: reads.collect::<Result<_, TellingError>>()?,
            turning: turning.collect::<Result<_, TellingError>>()?,
            list: wire.list,
            config: wire.config,
        })
    }
}

/// The ranks at which something waits.
fn waiting(queue: &Queue) -> Vec<(u8, u32)> {
    (0..RANKS as u8)
        .map(|rank| (rank, queue.at(rank).round() as u32))
        .filter(|(_, tokens)| *tokens > 0)
        .collect()
}
