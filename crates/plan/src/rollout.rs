//! When new requests move to a new version of a model.

/// Share of the live engines that must have loaded the new version.
const ENOUGH_SHARE: f64 = 0.5;

/// Whether new requests go to the new version.
///
/// Moving at the first engine would send the whole load to it; waiting for all would let one
/// stuck load hold the roll up. An old version that no engine has any more cannot be kept.
pub fn should_switch_version(live: usize, with_new: usize, with_current: usize) -> bool {
    with_current == 0 || with_new as f64 >= live as f64 * ENOUGH_SHARE
}
