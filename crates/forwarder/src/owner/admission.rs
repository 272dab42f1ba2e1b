//! Envelopes that clients hand in, until the ledger has them.

use std::sync::Arc;
use std::time::Duration;

use reeddock::EnvelopeId;
use reeddock_wal::{Ledger, Taken};
use reeddock_protocol::{Answer, HandIn};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{Owed, Owner, State};

/// Handed in since the last turn, and not yet answered.
pub(super) struct Fresh {
    pub id: EnvelopeId,
    pub taken: Taken,
    pub reply: oneshot::Sender<Answer>,
}

impl Owner {
    pub(super) fn hand_in(
        &mut self,
        hand_in: HandIn,
        at: Instant,
        reply: oneshot::Sender<Answer>,
        now: Duration,
    ) {
        // A client that has closed its connection hands the envelope in anew.
        if reply.is_closed() {
            return;
        }
        let HandIn { id, category, tenant, key, destination, time_left, idempotency_key, body } = hand_in;
        let state = &mut self.state;
        let turned_away = if state.owed.contains_key(&id) {
            // Whoever sent it: this envelope is in the ledger.
            Some(Answer::TakenOn)
        } else if state.over.contains(&id) || state.fresh.iter().any(|f| f.id == id) {
            Some(Answer::IdTaken)
        } else if !self.forwarder.knows(destination) {
            Some(Answer::NoDestination)
        } else {
            None
        };
        if let Some(answer) = turned_away {
            let _ = reply.send(answer);
            return;
        }
        let outer_limit = self.clock.at(at) + time_left;
        let taken = Taken {
            id: id.0.to_string(),
            category,
            tenant,
            key: key.map(|k| k.0),
            destination: destination.0,
            outer_limit: self.clock.stored(outer_limit),
            body,
            idempotency_key,
        };
        let pending: u64 = state.fresh.iter().map(|f| Ledger::size_of(&f.taken)).sum();
        let bodies = state.bodies + pending + Ledger::size_of(&taken);
        if pending + Ledger::size_of(&taken) > self.ledger.room() || bodies > self.most_bodies {
            if let Some(more) = state.seldom.now() {
                tracing::warn!(
                    more,
                    bodies,
                    "no room in memory or on disk for an envelope, which is refused"
                );
            }
            let _ = reply.send(Answer::NoRoom);
            return;
        }
        let (category, tenant) = (taken.category.as_str(), taken.tenant.as_deref());
        let desk = &mut state.desk;
        self.forwarder.hand_in(now, id.clone(), category, tenant, key, outer_limit, destination, desk);
        state.fresh.push(Fresh { id, taken, reply });
    }
}

impl State {
    /// What was handed in since the last turn is owed its end from here on.
    pub(super) fn take_on(&mut self) -> Vec<Fresh> {
        let fresh = std::mem::take(&mut self.fresh);
        for Fresh { id, taken, .. } in &fresh {
            let size = Ledger::size_of(taken);
            tracing::debug!(
                id = &*id.0,
                category = taken.category,
                destination = taken.destination,
                "taken on"
            );
            self.bodies += size;
            let (body, idempotency_key) =
                (taken.body.clone(), taken.idempotency_key.as_deref().map(Arc::from));
            self.owed.insert(id.clone(), Owed { body, idempotency_key, size, dispatches: 0 });
        }
        fresh
    }
}
