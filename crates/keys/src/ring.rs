//! Whose a key is.

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
    /// Gives an owner one more key; a key that another one has stays with whom it was given to first.
    pub fn add(&mut self, key: KeyHash, owner: T) {
        self.owners.entry(key).or_insert(owner);
    }

    /// Whose key has this hash.
    pub fn owner(&self, key: &KeyHash) -> Option<&T> {
        self.owners.get(key)
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether nobody has a key.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}
