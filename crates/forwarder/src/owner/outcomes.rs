//! How dispatches ended, told to the module and noted for the ledger.

use std::time::Duration;

use reeddock::{DispatchNo, EnvelopeId, Outcome, TargetId};
use reeddock_wal::Record;
use reeddock_protocol::Ending;

use super::{Owner, State, IDS_KEPT};

impl Owner {
    /// Calls that have begun and have no connection yet are not to go inside a wait.
    /// The same end as the module's, which sends again from then on.
    pub(super) fn rest(&self, target: TargetId, until: Duration) {
        for target in self.forwarder.waits_with(target) {
            self.courier.connections.rest(target, self.clock.instant(until));
        }
    }

    pub(super) fn ended(&mut self, id: EnvelopeId, no: DispatchNo, ending: Ending, now: Duration) {
        let state = &mut self.state;
        state.out.remove(&(id.clone(), no));
        let outcome = ending.outcome();
        let held = state.owed.contains_key(&id);
        if held && ending.ends_envelope() {
            state.forget(&id);
            state.records.push(Record::Ended { id: id.0.to_string(), notice: None });
        } else if held {
            let (id, never_ran) = (id.0.to_string(), outcome.never_ran());
            state.records.push(Record::Returned { id, no: no.0, never_ran });
        }
        tracing::debug!(id = &*id.0, no = no.0, ?ending, "a dispatch ended");
        if matches!(ending, Ending::NotReadable | Ending::NotReadableTogether) {
            if let Some(more) = state.unreadable.now() {
                tracing::warn!(id = &*id.0, more, "a target can't read a call with this envelope");
            }
        }
        if let (Outcome::Full(Some(wait)), Some(target)) = (outcome, self.forwarder.sent_to(&id, no)) {
            self.rest(target, now + wait);
        }
        let state = &mut self.state;
        let over = !held || ending.ends_envelope();
        self.forwarder.settled(now, &id, no, outcome, over, &mut state.desk);
    }
}

impl State {
    /// The envelope is over; says whether it was still owed its end.
    pub(super) fn forget(&mut self, id: &EnvelopeId) -> bool {
        let owed = self.owed.remove(id);
        if owed.is_some() && self.over.insert(id.clone()) {
            self.over_by.push_back((self.now + IDS_KEPT, id.clone()));
        }
        self.bodies -= owed.as_ref().map_or(0, |o| o.size);
        owed.is_some()
    }
}
