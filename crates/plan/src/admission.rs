//! What is refused at once, and why.

use std::collections::HashMap;

use derive_more::Display;
use serde::Serialize;

/// Why a request is refused before anything of it reached an upstream.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No upstream is predicted to finish it in time.
    #[display("no upstream would finish it by its deadline")]
    Deadline,
    /// The member is above its share while others wait.
    #[display("the member is above its share")]
    Share,
    /// The workspace has too many in flight.
    #[display("the workspace has too many requests in flight")]
    Workspace,
    /// No upstream may serve it.
    #[display("no upstream may serve it")]
    NoUpstream,
}

/// A refusal with when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When another try may go better.
    pub retry_after_ms: u64,
}

/// Requests in flight by workspace at this instance.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceLimiter {
    in_flight: HashMap<String, u32>,
}

impl WorkspaceLimiter {
    /// Takes a place for a request, if the workspace has one left.
    pub fn try_acquire(&mut self, workspace: &str, most: u32) -> bool {
        if let Some(count) = self.in_flight.get_mut(workspace) {
            if *count >= most {
                return false;
            }
            *count += 1;
            return true;
        }
        self.in_flight.insert(workspace.to_owned(), 1);
        most > 0
    }

    /// Gives the place back. Idle workspaces cost no memory.
    pub fn release(&mut self, workspace: &str) {
        let Some(count) = self.in_flight.get_mut(workspace) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(workspace);
        }
    }

    /// Workspaces with requests in flight.
    pub fn active(&self) -> usize {
        self.in_flight.len()
    }
}
