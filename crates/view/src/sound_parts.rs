//! Prompt parts under which an answer lately went on.

use crate::PartKey;

/// Slots of the table, one a part: several times the parts that an instance serves within [`SOUND_MS`].
const SLOTS: usize = 1_024;

/// How long an answer speaks for its parts, in ms: several pauses between two questions of a session.
const SOUND_MS: u64 = 30_000;

/// Shortest time between two reports that the same part is sound, in ms: more than gossip needs to reach all.
const REPORT_PAUSE_MS: u64 = 500;

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    part: PartKey,
    /// When an answer last went on; 0 in an empty slot.
    at_ms: u64,
    /// When peers were last told.
    reported_ms: u64,
    /// Whether a peer's answer went on, not one of this instance.
    is_hearsay: bool,
}

/// A table of fixed size: a part takes the place of another one with the same slot, which costs only that the other one
/// can be suspected again.
#[derive(Debug)]
pub struct SoundParts {
    slots: Vec<Slot>,
}

impl Default for SoundParts {
    fn default() -> Self {
        Self {
            slots: vec![Slot::default(); SLOTS],
        }
    }
}

impl SoundParts {
    /// Size of the table, in bytes.
    pub const BYTES: usize = SLOTS * size_of::<Slot>();

    /// Records that an answer went on under a part.
    pub fn insert(&mut self, now_ms: u64, part: PartKey) {
        let slot = self.slot_mut(part);
        if slot.part != part {
            *slot = Slot {
                part,
                ..Slot::default()
            };
        }
        slot.at_ms = now_ms.max(1);
        slot.is_hearsay = false;
    }

    /// Records that a peer reports a part as sound.
    pub fn insert_heard(&mut self, now_ms: u64, part: PartKey) {
        self.insert(now_ms, part);
        self.slot_mut(part).is_hearsay = true;
    }

    /// Whether an answer lately went on under a part.
    pub fn contains(&self, now_ms: u64, part: PartKey) -> bool {
        let slot = &self.slots[slot_index(part)];
        slot.part == part && slot.at_ms > 0 && now_ms < slot.at_ms + SOUND_MS
    }

    /// Whether peers are to be told that a part is sound, and notes that they are.
    pub fn take_report(&mut self, now_ms: u64, part: PartKey) -> bool {
        if !self.contains(now_ms, part) {
            return false;
        }
        let slot = self.slot_mut(part);
        if slot.is_hearsay {
            return false;
        }
        let is_due = slot.reported_ms == 0 || now_ms >= slot.reported_ms + REPORT_PAUSE_MS;
        if is_due {
            slot.reported_ms = now_ms.max(1);
        }
        is_due
    }

    fn slot_mut(&mut self, part: PartKey) -> &mut Slot {
        &mut self.slots[slot_index(part)]
    }
}

fn slot_index(part: PartKey) -> usize {
    part.0 as usize % SLOTS
}
