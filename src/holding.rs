//! What becomes of an envelope from hand-in to its final answer: it is held, indexed while it is held, and forgotten.

#[cfg(debug_assertions)]
use std::collections::BTreeSet;
use std::time::Duration;

use crate::backlog::{Class, Filing, WorthClass};
use crate::envelopes::EnvelopeKey;
#[cfg(debug_assertions)]
use crate::host::CallNo;
use crate::host::{EnvelopeId, Host};
use crate::state::{Envelope, Forwarder};

impl Forwarder {
    /// Takes an envelope on and holds it. Another one with an id that is in use already is ignored.
    pub(crate) fn take(&mut self, mut envelope: Envelope, now: Duration) {
        if self.envelopes.contains(&envelope.id) {
            return;
        }
        self.counter += 1;
        envelope.arrival = self.counter;
        let (destination, key_id, arrival) = (envelope.destination, envelope.key, envelope.arrival);
        let key = self.envelopes.insert(envelope);
        if let Some(key_id) = key_id {
            self.keys.entry(key_id).or_default().line.insert(arrival, key);
        }
        let span = self.card.warm_within / 2;
        let traffic = self.destinations.entry(destination).or_default().traffic_mut();
        if traffic.arrivals == 0 {
            traffic.first_seen = now;
        }
        traffic.arrivals += 1;
        traffic.lately = traffic.lately_at(now, span) + 1.0;
        traffic.reckoned = now;
        self.hold(key);
    }

    /// Holds an envelope for its destination.
    pub(crate) fn hold(&mut self, key: EnvelopeKey) {
        self.holds += 1;
        self.file(key, self.holds);
    }

    fn file(&mut self, key: EnvelopeKey, held_as: u64) {
        let Some(envelope) = self.envelopes.get(key) else { return };
        let (destination, filing) = (envelope.destination, self.filing(envelope));
        self.backlog.file(destination, key, &filing);
        if let Some(envelope) = self.envelopes.get_mut(key) {
            envelope.held = Some((held_as, filing));
        }
    }

    /// What an envelope is to be filed under.
    pub(crate) fn filing(&self, envelope: &Envelope) -> Filing {
        let until = self.receipt_until(envelope);
        Filing {
            class: Class {
                worth: WorthClass { category: envelope.category, over_share: envelope.over_share },
                errors: envelope.errors,
                tried: envelope.dispatches > 0,
                may_have_run: envelope.may_have_run.is_some(),
                blocked: !self.first_of_key(envelope),
            },
            promised_by: envelope.promised_by,
            arrival: envelope.arrival,
            outer_limit: envelope.outer_limit,
            receipt_until: Some(until).filter(|until| *until < Duration::MAX),
        }
    }

    /// The envelope is not held any more; returns its place in the order of all that were held.
    pub(crate) fn unhold(&mut self, key: EnvelopeKey) -> Option<u64> {
        let envelope = self.envelopes.get_mut(key)?;
        let (held_as, filing) = envelope.held.take()?;
        self.backlog.unfile(envelope.destination, key, &filing);
        Some(held_as)
    }

    /// What an envelope is filed under has changed; one that is not held stays so.
    pub(crate) fn refile(&mut self, key: EnvelopeKey) {
        if let Some(held_as) = self.unhold(key) {
            self.file(key, held_as);
        }
    }

    /// Renews the entries of lines that changed, before the indices over all lines are read.
    pub(crate) fn renew_indices(&mut self) {
        for destination in self.backlog.take_stale() {
            let opens = self.opens(destination);
            self.backlog.index(destination, opens);
        }
        #[cfg(debug_assertions)]
        self.check_indices();
    }

    /// Compares all indices with full walks: always where little is held, else now and then.
    #[cfg(debug_assertions)]
    fn check_indices(&self) {
        const ALWAYS_UP_TO: usize = 64;
        const ELSE_ONE_IN: u64 = 64;
        if self.envelopes.len() > ALWAYS_UP_TO && !self.holds.is_multiple_of(ELSE_ONE_IN) {
            return;
        }
        let held =
            self.envelopes.iter().filter_map(|(key, e)| Some((e.destination, key, e.held.as_ref()?.1)));
        self.backlog.check(held);
        for (_, e) in self.envelopes.iter() {
            if let Some((_, filing)) = e.held {
                assert_eq!(filing, self.filing(e), "filing of {:?}", e.id);
                assert!(e.out.is_empty(), "{:?} is held and out", e.id);
            }
        }
        for (route, circuit) in &self.circuits {
            let open = self.dispatches.values().filter(|d| d.route == *route).map(|d| d.call);
            let open: BTreeSet<CallNo> = open.collect();
            assert!(open.iter().eq(circuit.out.iter().map(|(call, _)| call)), "calls out to {route:?}");
        }
    }

    /// Drops an envelope that has its final answer; returns it with the dispatches that are still out for it.
    pub(crate) fn forget(&mut self, key: EnvelopeKey) -> Option<Envelope> {
        self.unhold(key);
        let envelope = self.envelopes.remove(key)?;
        self.leave_line(&envelope.id, envelope.key, envelope.arrival);
        Some(envelope)
    }

    /// Forgets an envelope that has its final answer or was withdrawn, and calls off what is out for it.
    pub fn end(&mut self, id: &EnvelopeId, host: &mut dyn Host) {
        if let Some(key) = self.envelopes.key_of(id) {
            self.end_key(key, host);
        }
    }

    pub(crate) fn end_key(&mut self, key: EnvelopeKey, host: &mut dyn Host) {
        if let Some(envelope) = self.forget(key) {
            envelope.out.iter().for_each(|no| host.call_off(&envelope.id, *no));
        }
    }
}
