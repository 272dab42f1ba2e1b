//! Calls that go out with a turn.

use std::collections::BTreeMap;

use reeddock::{EndpointId, RequestId};
use reeddock_protocol::{split_into_batches, OutgoingMessage};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::commands::OutgoingAttempt;
use super::EventLoop;
use crate::request_sender::{run_request, EndpointRequest, PendingAttempt};

impl EventLoop {
    /// Sends calls out. What the delivery policy sends together travels together, as far as its kind allows, and with
    /// nothing else: of two calls in one, the second would still be out when the first has its end.
    pub(super) fn start(&mut self, begun: Vec<OutgoingAttempt>) {
        let mut requests: BTreeMap<(RequestId, EndpointId), Vec<OutgoingAttempt>> = BTreeMap::new();
        for outgoing in begun {
            requests.entry((outgoing.spans.request, outgoing.endpoint)).or_default().push(outgoing);
        }
        for ((_, endpoint), mut line) in requests {
            let Some(place) = self.state.endpoints.get(endpoint) else { continue };
            let (to, batch) = (place.address, place.batch);
            // One time is told for a call, and an endpoint may take it for its first message's: an answer that
            // comes after that is none, for the others too. So the one that is waited for longest leads.
            line.sort_by_key(|d| std::cmp::Reverse(d.spans.response_within));
            let mut rest: Vec<OutgoingMessage> = line.iter().map(|d| d.message.clone()).collect();
            for count in split_into_batches(&rest, batch) {
                let messages: Vec<OutgoingMessage> = rest.drain(..count).collect();
                let now = Instant::now();
                let (mut dispatched, mut until) = (Vec::new(), Vec::new());
                for OutgoingAttempt { message: OutgoingMessage { id, .. }, no, spans, .. } in
                    line.drain(..count)
                {
                    let (stop, cancelled) = oneshot::channel();
                    self.state.out.insert((id.clone(), no), stop);
                    until.push(now + spans.response_within);
                    // A moment of its own counts from the turn: the write-ahead log has been written since.
                    let decided = self.clock.instant(self.state.now);
                    let own_limit = spans.start_within < spans.response_within;
                    let begin_by =
                        if own_limit { decided + spans.start_within } else { now + spans.response_within };
                    dispatched.push(PendingAttempt { message: id, no, begin_by, cancelled });
                }
                let call = EndpointRequest { endpoint, to, messages, until, departure: Default::default() };
                tokio::spawn(run_request(self.request_sender.clone(), call, dispatched, self.events.clone()));
            }
        }
    }
}
