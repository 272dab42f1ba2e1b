//! Calls that go out with a turn.

use std::collections::BTreeMap;

use reeddock::{CallNo, TargetId};
use reeddock_protocol::{bundles, Letter};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::orders::Departing;
use super::Owner;
use crate::calls::{see_through, Call, Dispatched};

impl Owner {
    /// Sends calls out. What the module sends together travels together, as far as its kind allows, and with
    /// nothing else: of two calls in one, the second would still be out when the first has its end.
    pub(super) fn start(&mut self, begun: Vec<Departing>) {
        let mut calls: BTreeMap<(CallNo, TargetId), Vec<Departing>> = BTreeMap::new();
        for departing in begun {
            calls.entry((departing.spans.call, departing.target)).or_default().push(departing);
        }
        for ((_, target), mut line) in calls {
            let Some(place) = self.state.targets.get(target) else { continue };
            let (to, batch) = (place.address, place.batch);
            // One time is told for a call, and a target may take it for its first envelope's: an answer that
            // comes after that is none, for the others too. So the one that is waited for longest leads.
            line.sort_by_key(|d| std::cmp::Reverse(d.spans.time_out));
            let mut rest: Vec<Letter> = line.iter().map(|d| d.letter.clone()).collect();
            for count in bundles(&rest, batch) {
                let letters: Vec<Letter> = rest.drain(..count).collect();
                let now = Instant::now();
                let (mut dispatched, mut until) = (Vec::new(), Vec::new());
                for Departing { letter: Letter { id, .. }, no, spans, .. } in line.drain(..count) {
                    let (stop, called_off) = oneshot::channel();
                    self.state.out.insert((id.clone(), no), stop);
                    until.push(now + spans.time_out);
                    // A moment of its own counts from the turn: the ledger has been written since.
                    let decided = self.clock.instant(self.state.now);
                    let own_limit = spans.begin_within < spans.time_out;
                    let begin_by =
                        if own_limit { decided + spans.begin_within } else { now + spans.time_out };
                    dispatched.push(Dispatched { envelope: id, no, begin_by, called_off });
                }
                let call = Call { target, to, letters, until, boarding: Default::default() };
                tokio::spawn(see_through(self.courier.clone(), call, dispatched, self.events.clone()));
            }
        }
    }
}
