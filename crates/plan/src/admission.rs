//! Reasons for which a request is refused, and the limit on requests per workspace.

use std::collections::HashMap;

use derive_more::Display;
use serde::Serialize;

/// Reason for which a request is refused before any part of it is sent to an upstream.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No upstream is predicted to finish it by its deadline.
    #[display("no upstream would finish it by its deadline")]
    Deadline,
    /// The member has used more than its share while the fleet is under pressure.
    #[display("the member is above its share")]
    Share,
    /// The workspace has reached its limit of requests in flight.
    #[display("the workspace has too many requests in flight")]
    Workspace,
    /// No upstream of the model can be given work.
    #[display("no upstream may serve it")]
    NoUpstream,
}

/// A refused request, with the time after which the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why it is refused.
    pub reason: RefusalReason,
    /// Time after which a retry is likelier to succeed.
    pub retry_after_ms: u64,
}

/// Limits the requests in flight of each workspace at this instance.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceLimiter {
    in_flight: HashMap<String, u32>,
}

impl WorkspaceLimiter {
    /// Counts one more request of a workspace, or returns false if `max_in_flight` are in flight.
    pub fn try_acquire(&mut self, workspace: &str, max_in_flight: u32) -> bool {
        if let Some(count) = self.in_flight.get_mut(workspace) {
            if *count >= max_in_flight {
                return false;
            }
            *count += 1;
            return true;
        }
        self.in_flight.insert(workspace.to_owned(), 1);
        max_in_flight > 0
    }

    /// Counts one request less; the entry of a workspace is removed with its last request.
    pub fn release(&mut self, workspace: &str) {
        let Some(count) = self.in_flight.get_mut(workspace) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(workspace);
        }
    }

    /// Number of workspaces with requests in flight.
    pub fn active(&self) -> usize {
        self.in_flight.len()
    }
}
