//! The lines of ordered keys: whose turn it is, and how long a key rests.

use std::time::Duration;

use crate::host::{DispatchNo, EnvelopeId, KeyId};
use crate::state::{Envelope, Forwarder, KeyLine};

impl Forwarder {
    /// Takes an envelope out of its key's line once it is over and none of its dispatches is out.
    pub(crate) fn leave_line(&mut self, id: &EnvelopeId, key: Option<KeyId>, arrival: u64) {
        let Some(key) = key else { return };
        let mut dispatches = self.dispatches.range((id.clone(), DispatchNo(0))..);
        if dispatches.next().is_some_and(|((i, _), _)| i == id) || self.envelopes.contains(id) {
            return;
        }
        let Some(line) = self.keys.get_mut(&key) else { return };
        line.line.remove(&arrival);
        match line.line.first_key_value() {
            // The next one may be the first now.
            Some((_, next)) => {
                let next = *next;
                self.refile(next);
            }
            None => self.emptied_keys.push(key),
        }
    }

    /// Forgets keys that no envelope has, once nothing rests any more.
    pub(crate) fn forget_keys(&mut self, now: Duration) {
        for key in std::mem::take(&mut self.emptied_keys) {
            if let Some(line) = self.keys.get(&key) {
                self.keys_due.insert((line.rest_until, key));
            }
        }
        while let Some((_, key)) = self.keys_due.first().copied().filter(|(until, _)| *until <= now) {
            self.keys_due.pop_first();
            if self.keys.get(&key).is_some_and(|l| l.line.is_empty() && now >= l.rest_until) {
                self.keys.remove(&key);
            }
        }
    }

    /// Lets the key of an envelope rest for those behind it.
    pub(crate) fn rest_line(&mut self, key: Option<KeyId>, arrival: u64, until: Duration) {
        if let Some(line) = key.and_then(|k| self.keys.get_mut(&k)) {
            if line.line.contains_key(&arrival) {
                (line.rest_until, line.rest_owner) = (until, arrival);
            }
        }
    }

    /// Whether no other envelope with its key comes first.
    pub(crate) fn first_of_key(&self, envelope: &Envelope) -> bool {
        let line = envelope.key.and_then(|k| self.keys.get(&k));
        let first = line.and_then(|l| l.line.first_key_value());
        first.is_none_or(|(arrival, _)| *arrival == envelope.arrival)
    }

    /// Whether an envelope is the first of its key, and that does not rest.
    pub(crate) fn key_free(&self, envelope: &Envelope, now: Duration) -> bool {
        let rested = |l: &KeyLine| now >= l.rest_until || l.rest_owner == envelope.arrival;
        let line = envelope.key.and_then(|k| self.keys.get(&k));
        self.first_of_key(envelope) && line.is_none_or(rested)
    }
}
