//! Accepted bundles, and the one in force.

use std::collections::BTreeMap;

use wire::{BundlePublished, BundleRef, BundleState};

use crate::Outcome;

/// Accepted bundles by version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Bundles {
    pub(crate) newest_version: u64,
    pub(crate) in_force_version: u64,
    pub(crate) in_force_offset: u64,
    pub(crate) accepted: BTreeMap<u64, BundleState>,
}

impl Bundles {
    /// Accepts a bundle that is based on the newest one.
    ///
    /// If two operators publish bundles with the same base, the first in log order becomes the
    /// newest version. The second is refused at every instance, with a message that names the
    /// winner.
    pub(crate) fn publish(
        &mut self,
        offset: u64,
        actor: &str,
        bundle: &BundlePublished,
    ) -> Outcome {
        if bundle.base != self.newest_version || bundle.version != bundle.base + 1 {
            return Outcome::Refused(self.conflict_detail(bundle));
        }
        self.newest_version = bundle.version;
        let state = BundleState {
            published: bundle.clone(),
            offset,
            signed_by: String::new(),
            withdrawn: false,
        };
        log::debug!(offset, actor; "bundle accepted");
        self.accepted.insert(bundle.version, state);
        Outcome::Accepted
    }

    fn conflict_detail(&self, bundle: &BundlePublished) -> String {
        let winner = self.accepted.get(&bundle.version);
        let detail = winner.map_or_else(String::new, |winner| {
            let digest = winner.published.digest.get(..12).unwrap_or_default();
            format!(
                ": version {} is {digest} at offset {}",
                bundle.version, winner.offset
            )
        });
        format!(
            "base {} is not the newest version {}{detail}",
            bundle.base, self.newest_version
        )
    }

    pub(crate) fn sign(&mut self, actor: &str, bundle: &BundleRef) -> Outcome {
        match self.find(bundle) {
            Ok(state) if state.signed_by.is_empty() => {
                actor.clone_into(&mut state.signed_by);
                Outcome::Accepted
            }
            Ok(state) => Outcome::Refused(format!("already signed by {}", state.signed_by)),
            Err(outcome) => outcome,
        }
    }

    /// Puts a signed bundle in force. A bundle older than the one in force is refused.
    pub(crate) fn roll(&mut self, offset: u64, bundle: &BundleRef) -> Outcome {
        if bundle.version <= self.in_force_version {
            let version = self.in_force_version;
            return Outcome::Refused(format!("version {version} is in force and never reverts"));
        }
        match self.find(bundle) {
            Ok(state) if state.signed_by.is_empty() => {
                return Outcome::Refused("not signed off".to_owned());
            }
            Ok(_) => {}
            Err(outcome) => return outcome,
        }
        self.in_force_version = bundle.version;
        self.in_force_offset = offset;
        self.accepted = self.accepted.split_off(&bundle.version);
        Outcome::Accepted
    }

    pub(crate) fn withdraw(&mut self, bundle: &BundleRef) -> Outcome {
        if bundle.version == self.in_force_version {
            let hint = "it is in force: publish and roll a newer one instead";
            return Outcome::Refused(hint.to_owned());
        }
        match self.find(bundle) {
            Ok(state) => {
                state.withdrawn = true;
                Outcome::Accepted
            }
            Err(outcome) => outcome,
        }
    }

    fn find(&mut self, bundle: &BundleRef) -> Result<&mut BundleState, Outcome> {
        let version = bundle.version;
        let refused = |detail: &str| Outcome::Refused(format!("version {version} {detail}"));
        let Some(state) = self.accepted.get_mut(&version) else {
            return Err(refused("is not known"));
        };
        if state.published.digest != bundle.digest {
            return Err(refused("has another digest"));
        }
        if state.withdrawn {
            return Err(refused("was withdrawn"));
        }
        Ok(state)
    }
}
