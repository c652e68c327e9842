//! Derives the desired states of the engines of a group from the bundle in force, their reports and
//! the forecast.

use lease::DesiredState;
use wire::OrderKind;

use super::Control;

/// Maximum number of concurrent model loads in a group, which limits the load on the weight store.
const MAX_CONCURRENT_LOADS: usize = 2;

/// Time after a roll for which old model versions stay loaded, for requests that still use them.
const OLD_VERSION_RETENTION_MS: u64 = 30_000;

impl Control {
    /// Desired states of the engines of a group. Roles change only when all model versions are
    /// right.
    pub(super) fn desired_states(&self, name: &str, now_ms: u64) -> Vec<DesiredState> {
        let mut desired_states = self.missing_loads(name);
        desired_states.extend(self.outdated_loads(name, now_ms));
        if desired_states.is_empty() {
            desired_states = self.lost_roles(name);
        }
        if desired_states.is_empty() {
            desired_states = self.planned_roles(name, now_ms);
        }
        desired_states
    }

    fn missing_loads(&self, name: &str) -> Vec<DesiredState> {
        let Some(bundle) = self.app.bundle() else {
            return Vec::new();
        };
        let log_reader = self.app.log_reader.borrow();
        let loading = log_reader
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
                let is_loaded = report.loaded.contains(&argument);
                (!is_loaded).then(|| DesiredState {
                    engine: engine.name.clone(),
                    kind: OrderKind::Load,
                    argument,
                })
            });
        missing
            .take(MAX_CONCURRENT_LOADS.saturating_sub(loading))
            .collect()
    }

    /// Unloads of versions that the bundle in force does not name, once all instances use this
    /// bundle and `OLD_VERSION_RETENTION_MS` has passed.
    fn outdated_loads(&self, name: &str, now_ms: u64) -> Vec<DesiredState> {
        let Some(bundle) = self.app.bundle() else {
            return Vec::new();
        };
        let version = bundle.bundle().version;
        let all_updated = self
            .app
            .peer_table
            .borrow()
            .live(now_ms)
            .all(|heartbeat| heartbeat.bundle_version >= version);
        if !all_updated || now_ms < self.last_roll.borrow().1 + OLD_VERSION_RETENTION_MS {
            return Vec::new();
        }
        let upstreams = self.app.upstreams.borrow();
        let fleet = self.app.fleet.borrow();
        let mut desired_states = Vec::new();
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
                desired_states.push(DesiredState {
                    engine: engine.name.clone(),
                    kind: OrderKind::Unload,
                    argument: old.clone(),
                });
            }
        }
        desired_states
    }

    /// Roles of engines that differ from their last order, because a late order of an earlier lease
    /// holder reached them or they were restarted. The last order is placed again with a new
    /// fencing token.
    fn lost_roles(&self, name: &str) -> Vec<DesiredState> {
        let log_reader = self.app.log_reader.borrow();
        let upstreams = self.app.upstreams.borrow();
        let of_group = upstreams
            .engines
            .iter()
            .filter(|(_, engine)| engine.group == name);
        of_group
            .filter_map(|(engine, entry)| {
                let last = log_reader.state().last_order(engine)?;
                let report = entry.report.as_ref()?;
                let was_ordered = last.placed.kind == OrderKind::Role && last.settled && last.done;
                let is_lost =
                    was_ordered && !report.changing && report.role != last.placed.argument;
                is_lost.then(|| DesiredState {
                    engine: engine.clone(),
                    kind: OrderKind::Role,
                    argument: last.placed.argument.clone(),
                })
            })
            .collect()
    }

    fn planned_roles(&self, name: &str, now_ms: u64) -> Vec<DesiredState> {
        let Some(bundle) = self.app.bundle() else {
            return Vec::new();
        };
        let (mut prompt, mut output) = (0.0, 0.0);
        for heartbeat in self.app.peer_table.borrow().live(now_ms) {
            prompt += heartbeat.prompt_rate;
            output += heartbeat.output_rate;
        }
        let fleet = self.app.fleet.borrow();
        let indices: Vec<usize> = fleet
            .iter()
            .filter(|engine| engine.group == name)
            .filter_map(|engine| fleet.index_of(&engine.name))
            .collect();
        // The forecast is for the whole model; this group gets a share in proportion to its
        // engines.
        let engines_of_model = indices.first().map_or(1, |&index| {
            fleet.indices_of_model(&fleet.get(index).model).len()
        });
        let share = indices.len() as f64 / engines_of_model.max(1) as f64;
        let forecast = self
            .app
            .forecast
            .borrow()
            .with_peer_rates(prompt, output)
            .scaled(share);
        let allows = |index: usize, role| bundle.allows_role(&fleet.get(index).name, role);
        let mut groups = self.groups.borrow_mut();
        let Some(group) = groups.get_mut(name) else {
            return Vec::new();
        };
        let changes = group
            .planner
            .plan(now_ms, &fleet, &indices, &forecast, allows);
        let desired_states = changes.iter().map(|change| DesiredState {
            engine: fleet.get(change.engine).name.clone(),
            kind: OrderKind::Role,
            argument: change.role.to_string(),
        });
        desired_states.collect()
    }
}
