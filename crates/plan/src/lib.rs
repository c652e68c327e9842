//! Routing, admission, retries and roles as pure decisions.
//!
//! Time, random numbers and observations are arguments, so that the daemon and the bench run the
//! very same lines. See docs/design/routing.md, admission.md, retries.md and roles.md.

mod admission;
mod copying;
mod deadline;
mod ejection;
mod fairness;
mod fleet;
mod forecast;
mod lateness;
mod limits;
mod pace;
mod prefixes;
mod repeats;
mod roles;
mod rollout;
mod route;
mod shape;
mod split;
mod staged;

pub use admission::{Limit, Refusal, Workspaces};
pub use copying::{Copied, Holder, Link, best_copy};
pub use deadline::{AttemptBudget, RetryBudget, give_up_ms};
pub use ejection::{Health, Verdict};
pub use fairness::Fairness;
pub use fleet::{Engine, Fleet, Outstanding, Presence, Report};
pub use forecast::Forecast;
pub use lateness::{LatestStart, Waiting};
pub use limits::{Bucket, Position};
pub use pace::{Pace, Seen};
pub use prefixes::Prefixes;
pub use repeats::{RepeatTerms, Repeats, Share};
pub use roles::{Assignment, RoleChange, RolePlanner, RoleSettings};
pub use rollout::moves_over;
pub use route::{Choice, Request, RouteSettings, Router};
pub use shape::{RANKS, Shape, rank_index};
pub use split::{Demand, Peak, Rate, Split, SplitPlan, Turn, readers_wanted, turns_at_once};
pub use staged::{Ask, EngineView, Predicted, least, work_tokens};
