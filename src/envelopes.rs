//! Envelopes by a small key. Ids come in as text; they are looked up once at the module's interface, and everything
//! inside refers to an envelope by its key.

use std::collections::HashMap;
use std::ops::Index;

use slotmap::{DefaultKey, SlotMap};

use crate::host::EnvelopeId;
use crate::state::Envelope;

/// Refers to one envelope. A key of an envelope that is over never refers to another.
pub type EnvelopeKey = DefaultKey;

/// All envelopes that wait for their final answer.
#[derive(Default)]
pub struct Envelopes {
    slots: SlotMap<EnvelopeKey, Envelope>,
    keys: HashMap<EnvelopeId, EnvelopeKey>,
}

impl Envelopes {
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub fn contains(&self, id: &EnvelopeId) -> bool {
        self.keys.contains_key(id)
    }

    pub(crate) fn insert(&mut self, envelope: Envelope) -> EnvelopeKey {
        let id = envelope.id.clone();
        let key = self.slots.insert(envelope);
        self.keys.insert(id, key);
        key
    }

    pub(crate) fn remove(&mut self, key: EnvelopeKey) -> Option<Envelope> {
        let envelope = self.slots.remove(key)?;
        self.keys.remove(&envelope.id);
        Some(envelope)
    }

    pub(crate) fn key_of(&self, id: &EnvelopeId) -> Option<EnvelopeKey> {
        self.keys.get(id).copied()
    }

    pub(crate) fn get(&self, key: EnvelopeKey) -> Option<&Envelope> {
        self.slots.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: EnvelopeKey) -> Option<&mut Envelope> {
        self.slots.get_mut(key)
    }

    #[cfg(debug_assertions)]
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EnvelopeKey, &Envelope)> {
        self.slots.iter()
    }
}

impl Index<EnvelopeKey> for Envelopes {
    type Output = Envelope;

    fn index(&self, key: EnvelopeKey) -> &Envelope {
        &self.slots[key]
    }
}

impl Index<&EnvelopeId> for Envelopes {
    type Output = Envelope;

    fn index(&self, id: &EnvelopeId) -> &Envelope {
        &self.slots[self.keys[id]]
    }
}
