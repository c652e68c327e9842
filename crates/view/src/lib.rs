//! Gossip between instances, and what each instance believes about upstreams and its peers.
//!
//! An instance sees about one request in several hundred, so it can only choose upstreams well if
//! it knows what its peers have in flight. Instances do not all send to each other. Some of them,
//! the hubs, add up what the instances around them have outstanding, exchange the sums, and send
//! each of their instances the load of the rest of the fleet.
//!
//! All of it is advisory: a hub that is gone, slow or wrong costs accuracy for some tenths of a
//! second and breaks no guarantee. Nothing here does I/O. See docs/design/views.md.

mod clock;
pub mod demand;
pub mod engine_time;
pub mod entry;
pub mod gossip;
pub mod heartbeats;
pub mod hubs;
pub mod key;
pub mod list_changes;
pub mod load;
pub mod log_follower;
pub mod members;
pub mod message;
pub mod part_losses;
pub mod part_reads;
pub mod parts;
pub mod poison;
pub mod polling;
pub mod queue;
mod sections;
pub mod sound_parts;
pub mod stream_origin;
pub mod trials;

pub use clock::FleetClock;
pub use demand::ServiceDemand;
pub use engine_time::{EngineTime, EngineTimeLedger, EngineTimeTally, ShareKey};
pub use entry::{ListChange, Stage, UpstreamEntry, UpstreamState};
pub use gossip::{ChangedLoads, GossipState, LocalState};
pub use key::{
    InstanceKey, PartKey, RequestKey, ServiceKey, UpstreamKey, VersionKey, WorkspaceKey,
};
pub use list_changes::{GossipedChange, RecentChanges};
pub use load::Load;
pub use log_follower::{ListedEntries, LogFollower, LogPosition, ReadId};
pub use members::{Member, Members};
pub use message::{
    GossipMessage, MessageError, MessageKind, PaceReport, PendingRoleChange, PrefillProgress,
    PrefilledPart, ServiceHeard, Tally, Unreached, UpstreamLimit, decode, encode,
};
pub use part_losses::{AnswerProgress, Suspicion};
pub use part_reads::PartReads;
pub use parts::{PartEvidence, PartTracker, PartVerdict};
pub use poison::{FailureEvidence, PoisonTracker, RequestVerdict};
pub use queue::{PrefillQueue, RANKS};
pub use stream_origin::{OriginMessage, StreamBatch, StreamKey, ToldOrigin};
pub use trials::{RequestTrial, TrialNews};
