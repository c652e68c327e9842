//! What the engines of a group should be doing, from the bundle in force, their reports and the forecast.

use lease::DesiredState;
use wire::OrderKind;

use super::Control;

/// Loads under way at once in a group, so that the weight store's rate is shared out.
const LOADS_AT_ONCE: usize = 2;

/// Time after a roll for which old versions stay loaded for requests admitted under them.
const KEEP_OLD_MS: u64 = 30_000;

impl Control {
    /// What the engines of a group should be doing: versions first, then roles.
    pub(super) fn wishes(&self, name: &str, now_ms: u64) -> Vec<DesiredState> {
        let mut wishes = self.load_wishes(name);
        wishes.extend(self.unload_wishes(name, now_ms));
        if wishes.is_empty() {
            wishes = self.strays(name);
        }
        if wishes.is_empty() {
            wishes = self.role_wishes(name, now_ms);
        }
        wishes
    }

    fn load_wishes(&self, name: &str) -> Vec<DesiredState> {
        let Some(bundle) = self.app.bundle() else {
            return Vec::new();
        };
        let cursor = self.app.cursor.borrow();
        let loading = cursor
            .state()
            .open_orders(name)
            .filter(|order| order.placed.kind == OrderKind::Load)
            .count();
        let upstreams = self.app.upstreams.borrow();
        let fleet = self.app.fleet.borrow();
        let missing = fleet
            .iter()
            .filter(|engine| engine.group == name)
            .filter_map(|engine| {
                let model = bundle.model(&engine.model)?;
                let argument = format!("{}@{}", model.name, model.version);
                let report = upstreams.engines.get(&engine.name)?.report.as_ref()?;
                let has = report.loaded.contains(&argument);
                (!has).then(|| DesiredState {
                    engine: engine.name.clone(),
                    kind: OrderKind::Load,
                    argument,
                })
            });
        missing
            .take(LOADS_AT_ONCE.saturating_sub(loading))
            .collect()
    }

    /// Versions that no bundle in force names, once every instance has moved on for a while.
    fn unload_wishes(&self, name: &str, now_ms: u64) -> Vec<DesiredState> {
        let Some(bundle) = self.app.bundle() else {
            return Vec::new();
        };
        let version = bundle.bundle().version;
        let moved_on = self
            .app
            .members
            .borrow()
            .live(now_ms)
            .all(|beat| beat.bundle_version >= version);
        if !moved_on || now_ms < self.rolled.borrow().1 + KEEP_OLD_MS {
            return Vec::new();
        }
        let upstreams = self.app.upstreams.borrow();
        let fleet = self.app.fleet.borrow();
        let mut wishes = Vec::new();
        for engine in fleet.iter().filter(|engine| engine.group == name) {
            let report = upstreams
                .engines
                .get(&engine.name)
                .and_then(|entry| entry.report.as_ref());
            let (Some(model), Some(report)) = (bundle.model(&engine.model), report) else {
                continue;
            };
            let current = format!("{}@{}", model.name, model.version);
            if !report.loaded.contains(&current) {
                continue;
            }
            if let Some(old) = report.loaded.iter().find(|loaded| **loaded != current) {
                wishes.push(DesiredState {
                    engine: engine.name.clone(),
                    kind: OrderKind::Unload,
                    argument: old.clone(),
                });
            }
        }
        wishes
    }

    /// Engines whose role differs from their last order: a stray order reached them, or they
    /// were restarted. Giving the last order again, under a new number, puts them right.
    fn strays(&self, name: &str) -> Vec<DesiredState> {
        let cursor = self.app.cursor.borrow();
        let upstreams = self.app.upstreams.borrow();
        let of_group = upstreams
            .engines
            .iter()
            .filter(|(_, engine)| engine.group == name);
        of_group
            .filter_map(|(engine, entry)| {
                let last = cursor.state().last_order(engine)?;
                let report = entry.report.as_ref()?;
                let role = last.placed.kind == OrderKind::Role && last.settled && last.done;
                let strayed = role && !report.changing && report.role != last.placed.argument;
                strayed.then(|| DesiredState {
                    engine: engine.clone(),
                    kind: OrderKind::Role,
                    argument: last.placed.argument.clone(),
                })
            })
            .collect()
    }

    fn role_wishes(&self, name: &str, now_ms: u64) -> Vec<DesiredState> {
        let Some(bundle) = self.app.bundle() else {
            return Vec::new();
        };
        let (mut prompt, mut output) = (0.0, 0.0);
        for beat in self.app.members.borrow().live(now_ms) {
            prompt += beat.prompt_rate;
            output += beat.output_rate;
        }
        let fleet = self.app.fleet.borrow();
        let places: Vec<usize> = fleet
            .iter()
            .filter(|engine| engine.group == name)
            .filter_map(|engine| fleet.index_of(&engine.name))
            .collect();
        // The forecast is for the whole model; this group takes its share.
        let all = places.first().map_or(1, |&place| {
            fleet.indices_of_model(&fleet.get(place).model).len()
        });
        let share = places.len() as f64 / all.max(1) as f64;
        let forecast = self
            .app
            .forecast
            .borrow()
            .with_peer_rates(prompt, output)
            .scaled(share);
        let allows = |place: usize, role| bundle.allows_role(&fleet.get(place).name, role);
        let mut groups = self.groups.borrow_mut();
        let Some(group) = groups.get_mut(name) else {
            return Vec::new();
        };
        let changes = group
            .planner
            .plan(now_ms, &fleet, &places, &forecast, allows);
        let wishes = changes.iter().map(|change| DesiredState {
            engine: fleet.get(change.engine).name.clone(),
            kind: OrderKind::Role,
            argument: change.role.to_string(),
        });
        wishes.collect()
    }
}
