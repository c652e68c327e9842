//! `GET /v1/lookup`: which instances a caller should use.

use once::{IdempotencyKey, InstanceEpoch};
use serde::{Deserialize, Serialize};
use wire::{Condition, Heartbeat};

use crate::app::App;

/// Most instances that one answer names.
const INSTANCES: usize = 6;

/// What a caller asks.
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

/// The answer.
#[derive(Debug, Serialize)]
pub(crate) struct Lookup {
    instances: Vec<Instance>,
    /// Time for which the answer may be kept. A leaving instance still serves for as long.
    keep_ms: u64,
    /// What an idempotency key must begin with; none while this instance has no witness.
    key_prefix: Option<String>,
}

/// Names instances that serve, the caller's availability zone first, and none that leaves.
pub(crate) fn lookup(app: &App, query: &Query) -> Lookup {
    let zone = query.zone.as_deref().unwrap_or(&app.settings.zone);
    let members = app.members.borrow();
    let ready = members.ready(app.now_ms(), zone);
    let mut instances: Vec<Instance> = ready.into_iter().map(Instance::from).collect();
    if app.condition.get() == Condition::Ready {
        let me = Instance {
            instance: app.identity.instance.clone(),
            address: app.caller_address.clone(),
            zone: app.settings.zone.clone(),
        };
        let first_far = instances.iter().position(|other| other.zone != zone);
        let place = if me.zone == zone {
            0
        } else {
            first_far.unwrap_or(instances.len())
        };
        instances.insert(place, me);
    }
    instances.truncate(INSTANCES);
    Lookup {
        instances,
        keep_ms: app.settings.limits.stop_grace_ms,
        key_prefix: key_prefix(app),
    }
}

/// A key prefix with this instance as home and a witness in another availability zone, if one
/// is there: a home and a witness that fail together leave outcomes unknown.
pub(crate) fn key_prefix(app: &App) -> Option<String> {
    if app.condition.get() != Condition::Ready {
        return None;
    }
    let now_ms = app.now_ms();
    let members = app.members.borrow();
    let ready = members.ready(now_ms, &app.settings.zone);
    let usable = |beat: &&&Heartbeat| members.address(&beat.instance, beat.incarnation).is_some();
    let usable: Vec<&&Heartbeat> = ready.iter().filter(usable).collect();
    let far: Vec<&&Heartbeat> = usable
        .iter()
        .copied()
        .filter(|beat| beat.zone != app.settings.zone)
        .collect();
    let pool = if far.is_empty() { &usable } else { &far };
    let pick = rand::Rng::random_range(&mut *app.rng.borrow_mut(), 0..pool.len().max(1));
    let witness = pool.get(pick)?;
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
    fn from(beat: &Heartbeat) -> Self {
        Self {
            instance: beat.instance.clone(),
            address: beat.caller_address.clone(),
            zone: beat.zone.clone(),
        }
    }
}
