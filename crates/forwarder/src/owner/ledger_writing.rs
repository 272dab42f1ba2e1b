//! What goes into the ledger with a turn, and what is taken up from it at the start.

use std::time::Duration;

use reeddock::{DestinationId, EnvelopeId, KeyId, Past};
use reeddock_wal::{Record, Taken, Unended};
use reeddock_protocol::{GivenUp, Notice};

use super::admission::Fresh;
use super::orders::Departing;
use super::{Owed, Owner};
use std::sync::Arc;

impl Owner {
    /// Hands the module what the ledger holds from before this start, in the order in which it was taken on.
    pub fn take_up(&mut self) {
        let now = self.clock.now();
        let ids: Vec<EnvelopeId> = self.ledger.books().unended().iter().map(|u| u.id.clone()).collect();
        for id in ids {
            let Some(unended) = self.ledger.books().get(&id).cloned() else { continue };
            let Taken { body, idempotency_key, .. } = match self.ledger.taken(&unended) {
                Ok(taken) => taken,
                Err(fault) => {
                    tracing::error!(%fault, id = &*id.0, "an envelope that is owed can't be read, and is broken off");
                    self.state
                        .records
                        .push(Record::Ended { id: id.0.to_string(), notice: Some(GivenUp::BrokenOff) });
                    self.state.untold += 1;
                    let _ = self.notices.send(Notice { id, end: GivenUp::BrokenOff });
                    continue;
                }
            };
            let Unended { category, key, destination, outer_limit, dispatches, lost, size, .. } = unended;
            let mut past: Vec<Past> = dispatches
                .iter()
                .map(|begun| Past {
                    target: self.state.targets.number(&begun.target),
                    sent: self.clock.read(begun.at),
                    never_ran: begun.ended == Some(true),
                })
                .collect();
            if lost {
                // One that nobody knows of, sent long ago for all that is known.
                past.push(Past {
                    target: self.state.targets.number(""),
                    sent: Duration::ZERO,
                    never_ran: false,
                });
            }
            let (key, destination) = (key.map(KeyId), DestinationId(destination));
            let outer_limit = self.clock.read(outer_limit);
            let desk = &mut self.state.desk;
            // Its tenant's share has been charged for it, by the process that took it on.
            self.forwarder.hand_in(now, id.clone(), &category, None, key, outer_limit, destination, desk);
            self.forwarder.recall(now, &id, &past, desk);
            self.state.bodies += size;
            let idempotency_key = idempotency_key.map(Arc::from);
            self.state.owed.insert(id, Owed { body, idempotency_key, size, dispatches: past.len() as u32 });
        }
        let (owed, untold) = (self.state.owed.len(), self.ledger.books().untold().count());
        if owed + untold > 0 {
            tracing::info!(owed, untold, "taken up from the ledger");
        }
        for notice in self.ledger.books().untold() {
            self.state.untold += 1;
            let _ = self.notices.send(notice);
        }
    }

    /// Puts all that this turn brought into the ledger. What cannot be written is not begun and not taken on;
    /// what has ended is written with the next turn. Says whether it was written, and whether what was handed
    /// in is among it.
    pub(super) fn write(&mut self, fresh: &[Fresh], begun: &[Departing], now: Duration) -> (bool, bool) {
        let at = self.clock.stored(now);
        let state = &mut self.state;
        let mut records: Vec<Record> = fresh.iter().map(|f| Record::Taken(f.taken.clone())).collect();
        records.extend(state.records.iter().cloned());
        records.extend(begun.iter().map(|b| {
            let target = state.targets.name(b.target).unwrap_or_default().to_owned();
            Record::Begun { id: b.letter.id.0.to_string(), no: b.no.0, target, at }
        }));
        match self.ledger.append(&records, now) {
            Ok(written) => {
                state.records.clear();
                (true, written.taken_on)
            }
            Err(fault) => {
                if let Some(more) = state.seldom.now() {
                    tracing::error!(%fault, more, "the ledger cannot be written, and nothing is taken on");
                }
                (false, false)
            }
        }
    }
}
