//! Baseline that adapts roles to the traffic mix immediately, as an operator's script would.

use conf::Role;
use plan::{EngineProfile, Fleet, Forecast, Presence, RoleChange};

/// Plans role changes so that the share of prefill engines equals the share of prefill in the
/// forecast work. It ignores the cost of a change and how long the mix will last.
pub(crate) fn plan(fleet: &Fleet, engines: &[usize], forecast: &Forecast) -> Vec<RoleChange> {
    let profile = EngineProfile::default();
    let prefill_work = forecast.prompt_rate() * profile.min_work_ms(1.0, 0.0);
    let decode_work = forecast.output_rate() * profile.min_work_ms(0.0, 1.0);
    let prefill_share = prefill_work / (prefill_work + decode_work).max(1e-9);
    let live: Vec<usize> = engines
        .iter()
        .copied()
        .filter(|&engine| fleet.get(engine).presence == Presence::Live)
        .collect();
    let target = (prefill_share * live.len() as f64).round() as usize;
    let is_prefill = |engine: &usize| fleet.get(*engine).role == Role::Prefill;
    let (prefill, others): (Vec<usize>, Vec<usize>) = live.into_iter().partition(is_prefill);
    let change = |engine: usize, role: Role| RoleChange { engine, role };
    if prefill.len() < target {
        let more = others.into_iter().take(target - prefill.len());
        return more.map(|engine| change(engine, Role::Prefill)).collect();
    }
    let fewer = prefill.into_iter().skip(target);
    fewer.map(|engine| change(engine, Role::Mixed)).collect()
}
