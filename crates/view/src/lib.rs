//! What instances tell each other, and what each believes by it.
//!
//! An instance sees one request in some hundreds, and decides well only if it knows what the others
//! have sent where. Nobody tells everybody: some instances, the hubs, gather what those around them
//! have outstanding, exchange sums, and give each of theirs the rest of the fleet back. All of it is
//! advice: a hub that is gone, slow or wrong costs accuracy for some tenths of a second and no
//! promise. Nothing here does input or output. See docs/design/views.md.

mod clock;
pub mod demand;
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
pub mod poison;
pub mod polling;
pub mod queue;

pub use clock::FleetClock;
pub use demand::ServiceDemand;
pub use entry::{ListChange, Stage, UpstreamEntry, UpstreamState};
pub use gossip::{ChangedLoads, GossipState, LocalState};
pub use key::{InstanceKey, RequestKey, UpstreamKey, WorkspaceKey};
pub use list_changes::{GossipedChange, RecentChanges};
pub use load::Load;
pub use log_follower::{ListedEntries, LogFollower, LogPosition, ReadId};
pub use members::{Member, Members};
pub use message::{
    GossipMessage, MessageKind, PendingRoleChange, PrefillProgress, PrefilledPart, Tally,
    UpstreamLimit, decode, encode,
};
pub use poison::{FailureEvidence, PoisonTracker};
pub use queue::{PrefillQueue, RANKS};
