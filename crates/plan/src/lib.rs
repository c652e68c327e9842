//! Routing, admission, retry and role decisions as pure functions.
//!
//! Time, random numbers and observations are passed in as arguments, so the daemon and the
//! simulator run the same code. See docs/design/routing.md, admission.md, retries.md and roles.md.

mod admission;
mod deadline;
mod ejection;
mod engine_process;
mod engine_profile;
mod fleet;
mod forecast;
mod inquiry;
mod known_since;
mod kv_copy;
mod latency_model;
mod lateness;
mod pace;
mod placement;
mod prefix_index;
mod rate_limit;
mod reach;
mod rest;
mod retry_budget;
mod role_swap;
mod roles;
mod rollout;
mod route;
pub mod shares;
mod split;
mod stream_version;
mod zones;

pub use admission::{Refusal, RefusalReason, WorkspaceLimiter};
pub use deadline::{AttemptTimeout, RetryBudget, give_up_ms};
pub use ejection::{Health, HealthStatus};
pub use engine_process::{
    ENTRY_LAPSES_MS, ProcessEvidence, ProcessStep, REGISTERED_MS, TOLD_MS, process_step,
};
pub use engine_profile::{EngineProfile, RANKS, rank_index};

pub use fleet::{Engine, Fleet, LoadReport, Outstanding, Presence};
pub use forecast::Forecast;
pub use inquiry::{Inquiry, InquiryStep, Sign, Verdict};
pub use known_since::KnownSince;
pub use kv_copy::{KvCopy, KvLink, PrefixHolder, best_copy};
pub use latency_model::{LatencyModel, PrefillSample, UnconfirmedFor};
pub use lateness::{LateRequest, LatestStart};
pub use pace::{Pace, PaceEstimator, TimedPace, speed_class, unexplained_silence_ms};
pub use placement::{DecodeRequest, EngineView, Prediction, cheapest, work_tokens};
pub use prefix_index::PrefixIndex;
pub use rate_limit::{InstancePosition, TokenBucket};
pub use reach::{EVIDENCE_WAIT_MS, Reach, ReachState, TELLING_UPSTREAMS};
pub use rest::{MAX_REST_MS, Rest, common_rest_ms};
pub use retry_budget::{BudgetShare, FleetRetryBudget, RetryBudgetSettings};
pub use role_swap::{
    RoleSpeeds, SwapEngine, SwapPair, SwapProgress, SwapStep, swap_pairs, swap_step,
};
pub use roles::{RoleChange, RoleCounts, RolePlanner, RoleSettings};
pub use rollout::should_switch_version;
pub use route::{Choice, Request, RouteSettings, Router};
pub use shares::MemberShares;
pub use split::{
    Demand, MovingRate, PeakDemand, RoleSplit, SplitChange, SplitGoal, SplitPlanner,
    max_changes_at_once, max_changing, wanted_prefill_engines,
};
pub use stream_version::{
    OriginEvidence, SPREAD_MS, STREAM_AGE_MS, ServiceVersions, Unrecorded, origin_version,
};
pub use zones::{
    DEFAULT_CROSS_ZONE_PRICE, PlacedStep, ZoneChoice, ZoneRelation, ZoneTendency, crossing_ms,
};
