//! Roles that follow the mix at once: what an operator's script would do.

use conf::Role;
use plan::{EngineProfile, Fleet, Forecast, Presence, RoleChange};

/// Changes as many engines as it takes for the share of prefill engines to be that of prompts in
/// the work, without regard to what a change costs or how long the mix will last.
pub(crate) fn plan(fleet: &Fleet, engines: &[usize], forecast: &Forecast) -> Vec<RoleChange> {
    let shape = EngineProfile::default();
    let prompt = forecast.prompt_rate() * shape.min_work_ms(1.0, 0.0);
    let output = forecast.output_rate() * shape.min_work_ms(0.0, 1.0);
    let part = prompt / (prompt + output).max(1e-9);
    let live: Vec<usize> = engines
        .iter()
        .copied()
        .filter(|&place| fleet.get(place).presence == Presence::Live)
        .collect();
    let wanted = (part * live.len() as f64).round() as usize;
    let is_prefill = |place: &usize| fleet.get(*place).role == Role::Prefill;
    let (prefill, others): (Vec<usize>, Vec<usize>) = live.into_iter().partition(is_prefill);
    let change = |engine: usize, role: Role| RoleChange { engine, role };
    if prefill.len() < wanted {
        let more = others.into_iter().take(wanted - prefill.len());
        return more.map(|engine| change(engine, Role::Prefill)).collect();
    }
    let fewer = prefill.into_iter().skip(wanted);
    fewer.map(|engine| change(engine, Role::Mixed)).collect()
}
