//! What instances tell each other, and what each believes by it.
//!
//! An instance sees one request in some hundreds, and decides well only if it knows what the others
//! have sent where. Nobody tells everybody: some instances, the hubs, gather what those around them
//! have outstanding, exchange sums, and give each of theirs the rest of the fleet back. All of it is
//! advice: a hub that is gone, slow or wrong costs accuracy for some tenths of a second and no
//! promise. Nothing here does input or output. See docs/design/views.md.

pub mod beats;
pub mod cadence;
mod clock;
pub mod demand;
pub mod entry;
pub mod followed;
pub mod hubs;
pub mod key;
pub mod load;
pub mod members;
pub mod news;
pub mod queue;
pub mod shared;
pub mod suspects;
pub mod told;

pub use clock::FleetClock;
pub use demand::ServiceDemand;
pub use entry::{Change, Entry, Stage, Standing};
pub use followed::{Followed, Mark, Said, Source};
pub use key::{InstanceKey, RequestKey, UpstreamKey, WorkspaceKey};
pub use load::Load;
pub use members::{Member, Members};
pub use news::{News, RecentNews};
pub use queue::{Queue, RANKS};
pub use shared::{Heard, Own, Shared};
pub use suspects::{Fate, Suspects};
pub use told::{Kind, LimitTold, PartRead, Reading, Tally, Told, Turning, decode, encode};
