//! What an instance learns from the requests and answers that pass through it.
//!
//! Nothing of it is told to others or kept beyond the process: each is right again within some
//! dozens of requests.

use std::cell::RefCell;
use std::collections::HashMap;

use plan::Pace;

use crate::patience::Patience;
use crate::urgency::UsualLength;

/// What was learned, by service or by route.
#[derive(Debug, Default)]
pub struct Learned {
    paces: RefCell<HashMap<String, Pace>>,
    patience: RefCell<HashMap<String, Patience>>,
    lengths: RefCell<HashMap<String, UsualLength>>,
}

impl Learned {
    /// How fast a service's engines read.
    pub fn pace(&self, service: &str) -> Pace {
        let paces = self.paces.borrow();
        paces.get(service).copied().unwrap_or_default()
    }

    /// An engine of a service took `elapsed_ms` to read `own_tokens` behind `queued_tokens`.
    pub fn read(&self, service: &str, own_tokens: f64, queued_tokens: f64, elapsed_ms: f64) {
        let mut paces = self.paces.borrow_mut();
        let pace = paces.entry(service.to_owned()).or_default();
        let tokens = own_tokens + pace.unread_tokens(queued_tokens);
        pace.learn(tokens, elapsed_ms);
    }

    /// How long a caller had waited before this attempt, as far as its deadline tells.
    pub fn waited_ms(&self, route: &str, deadline_ms: Option<u64>) -> u64 {
        let Some(deadline_ms) = deadline_ms else {
            return 0;
        };
        let mut all = self.patience.borrow_mut();
        all.entry(route.to_owned())
            .or_default()
            .waited_ms(deadline_ms)
    }

    /// Whether a prompt of a route lets longer ones of it go first.
    pub fn yields_to_longer(&self, route: &str, tokens: f64) -> bool {
        let mut all = self.lengths.borrow_mut();
        all.entry(route.to_owned()).or_default().yields(tokens)
    }
}
