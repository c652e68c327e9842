//! Owners of API keys.

use std::collections::HashMap;

use crate::KeyHash;

/// Owners by the hashes of their keys.
#[derive(Debug, Clone)]
pub struct Keyring<T> {
    owners: HashMap<KeyHash, T>,
}

impl<T> Default for Keyring<T> {
    fn default() -> Self {
        Self {
            owners: HashMap::new(),
        }
    }
}

impl<T> Keyring<T> {
    /// Adds a key of an owner. A key that already has an owner stays with that one.
    pub fn add(&mut self, key: KeyHash, owner: T) {
        self.owners.entry(key).or_insert(owner);
    }

    /// The owner of the key with this hash.
    pub fn owner(&self, key: &KeyHash) -> Option<&T> {
        self.owners.get(key)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}
