//! When new requests switch to a new version of a model.

/// Fraction of the live engines that must have loaded the new version.
const SWITCH_FRACTION: f64 = 0.5;

/// Whether new requests go to the new version of a model.
///
/// Switching at the first engine with the new version would send it the whole load. Waiting for
/// all engines would let one that fails to load hold up the rollout. If no engine has the current
/// version any more, requests switch in any case.
pub fn should_switch_version(live: usize, with_new: usize, with_current: usize) -> bool {
    with_current == 0 || with_new as f64 >= live as f64 * SWITCH_FRACTION
}
