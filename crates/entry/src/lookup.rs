//! `GET /v1/lookup`: names the instances that a caller should use.

use once::{IdempotencyKey, InstanceEpoch};
use serde::{Deserialize, Serialize};
use wire::{Condition, Heartbeat};

use crate::app::App;

/// Maximum number of instances in an answer.
const MAX_INSTANCES: usize = 6;

/// Query of a lookup.
#[derive(Debug, Deserialize)]
pub(crate) struct Query {
    zone: Option<String>,
}

#[derive(Debug, Serialize)]
struct Instance {
    instance: String,
    address: String,
    zone: String,
}

/// Answer of a lookup.
#[derive(Debug, Serialize)]
pub(crate) struct Lookup {
    instances: Vec<Instance>,
    /// Time for which the answer may be cached. A leaving instance keeps serving for as long.
    keep_ms: u64,
    /// Prefix for idempotency keys; `None` while there is no witness for this instance.
    key_prefix: Option<String>,
}

/// Lists ready instances, those of the caller's availability zone first.
pub(crate) fn lookup(app: &App, query: &Query) -> Lookup {
    let zone = query.zone.as_deref().unwrap_or(&app.settings.zone);
    let peer_table = app.peer_table.borrow();
    let ready = peer_table.ready(app.now_ms(), zone);
    let mut instances: Vec<Instance> = ready.into_iter().map(Instance::from).collect();
    if app.condition.get() == Condition::Ready {
        let me = Instance {
            instance: app.identity.instance.clone(),
            address: app.caller_address.clone(),
            zone: app.settings.zone.clone(),
        };
        let first_other_zone = instances.iter().position(|other| other.zone != zone);
        let index = if me.zone == zone {
            0
        } else {
            first_other_zone.unwrap_or(instances.len())
        };
        instances.insert(index, me);
    }
    instances.truncate(MAX_INSTANCES);
    Lookup {
        instances,
        keep_ms: app.settings.limits.stop_grace_ms,
        key_prefix: key_prefix(app),
    }
}

/// Creates a key prefix with this instance as home. The witness is in another availability zone if
/// possible: if home and witness fail together, the outcome of a call is unknown.
pub(crate) fn key_prefix(app: &App) -> Option<String> {
    if app.condition.get() != Condition::Ready {
        return None;
    }
    let now_ms = app.now_ms();
    let peer_table = app.peer_table.borrow();
    let ready = peer_table.ready(now_ms, &app.settings.zone);
    let usable = |heartbeat: &&&Heartbeat| {
        peer_table
            .address(&heartbeat.instance, heartbeat.incarnation)
            .is_some()
    };
    let usable: Vec<&&Heartbeat> = ready.iter().filter(usable).collect();
    let other_zones: Vec<&&Heartbeat> = usable
        .iter()
        .copied()
        .filter(|heartbeat| heartbeat.zone != app.settings.zone)
        .collect();
    let candidates = if other_zones.is_empty() {
        &usable
    } else {
        &other_zones
    };
    let index = rand::Rng::random_range(&mut *app.rng.borrow_mut(), 0..candidates.len().max(1));
    let witness = candidates.get(index)?;
    let home = InstanceEpoch {
        instance: app.identity.instance.clone(),
        incarnation: app.identity.incarnation,
        epoch: app.epochs.epoch_at(now_ms),
    };
    let witness = InstanceEpoch {
        instance: witness.instance.clone(),
        incarnation: witness.incarnation,
        epoch: witness.epoch,
    };
    Some(IdempotencyKey::prefix(&home, &witness))
}

impl From<&Heartbeat> for Instance {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            instance: heartbeat.instance.clone(),
            address: heartbeat.caller_address.clone(),
            zone: heartbeat.zone.clone(),
        }
    }
}
