//! Requests on the forwarder's side: how they leave, and how they end.

use reeddock::AttemptOutcome;

use super::event::Event;
use super::records::BatchPosition;
use super::state::World;
use crate::fault::Fault;
use crate::ids::RequestIndex;

/// Ways between forwarder and endpoint until a refused connection is known: there and back.
const REFUSAL_WAYS: u32 = 2;
/// Ways until a request arrives on a new connection: the handshake there and back, and the request.
const NEW_CONNECTION_WAYS: u32 = 3;

impl World<'_> {
    /// A request leaves, on an idle connection or a new one.
    pub(super) fn send_request(&mut self, request: RequestIndex) {
        let now = self.now();
        let record = &self.requests[request.0];
        let (forwarder, endpoint) = (record.sender.forwarder, record.endpoint);
        let one_way = self.one_way(forwarder, endpoint);
        let network = &self.scenario.network;
        let handshake = network.handshake_ms.millis(&mut self.random.network);
        self.account.attempts.requests += 1;
        let is_unreachable = self.has_fault(endpoint, |fault| matches!(fault, Fault::Unreachable { .. }));
        let is_refused = self.refuses_connections(endpoint);
        let max_connections = self.kind_of(self.destination_of(endpoint)).max_connections;
        let target = &mut self.endpoints[endpoint.0];
        target.close_idle_before(now.saturating_sub(network.idle_timeout.0));
        let idle_connection = target.idle_connections.get_mut(&forwarder).and_then(Vec::pop);
        self.requests[request.0].endpoint_incarnation = target.incarnation;
        if idle_connection.is_some() {
            target.in_transit += 1;
            self.requests[request.0].connected = true;
            self.schedule.schedule(now + one_way, Event::RequestArrives(request));
            return;
        }
        self.sent_to_down.connections += u64::from(target.is_down());
        let is_full = max_connections.is_some_and(|max| target.connections >= max);
        if is_refused || is_full {
            self.schedule.schedule(now + REFUSAL_WAYS * one_way, Event::NotConnected(request));
        } else if is_unreachable {
            self.schedule.schedule(now + network.connect_timeout.0, Event::NotConnected(request));
        } else {
            target.in_transit += 1;
            target.connections += 1;
            self.requests[request.0].connected = true;
            self.account.new_connections += 1;
            let arrives_at = now + NEW_CONNECTION_WAYS * one_way + handshake;
            self.schedule.schedule(arrives_at, Event::RequestArrives(request));
        }
    }

    /// A response, or the end of its connection, has come back to the forwarder.
    pub(super) fn finish_request(&mut self, request: RequestIndex, outcome: AttemptOutcome) {
        for index in 0..self.requests[request.0].batch.len() {
            if self.requests[request.0].batch[index].awaited {
                self.finish_attempt(BatchPosition { request, index }, outcome);
            }
        }
    }

    /// A request has all its outcomes: another one may leave, and its connection is kept where the last outcome was
    /// a response.
    pub(super) fn release_request(&mut self, request: RequestIndex, outcome: AttemptOutcome) {
        let now = self.now();
        let record = &mut self.requests[request.0];
        let sender = record.sender.forwarder;
        let forwarder = &mut self.forwarders[sender.0];
        forwarder.requests_in_flight = forwarder.requests_in_flight.saturating_sub(1);
        let until = now.min(self.scenario.duration.0);
        self.account.in_flight_seconds += until.saturating_sub(record.started_at).as_secs_f64();
        let endpoint = &mut self.endpoints[record.endpoint.0];
        let was_connected = std::mem::take(&mut record.connected);
        if !was_connected || record.endpoint_incarnation != endpoint.incarnation {
            return;
        }
        if is_response(outcome) {
            endpoint.idle_connections.entry(sender).or_default().push(now);
        } else {
            endpoint.release_connections(1);
        }
    }

    /// Nobody waits for a request any more. The endpoint still serves it once it has begun to, and by chance while it
    /// is queued.
    pub(super) fn abandon_request(&mut self, request: RequestIndex) {
        let endpoint = self.requests[request.0].endpoint;
        let serves_abandoned = self.kind_of(self.destination_of(endpoint)).serves_abandoned;
        let is_served = serves_abandoned.occurs(&mut self.random.service);
        let record = &mut self.requests[request.0];
        if !record.serving_began && !is_served {
            record.void = true;
        }
        let endpoint = &mut self.endpoints[endpoint.0];
        let was_connected = std::mem::take(&mut record.connected);
        if was_connected && record.endpoint_incarnation == endpoint.incarnation {
            endpoint.release_connections(1);
        }
    }
}

/// Whether an endpoint has answered, so that its connection can be used again.
fn is_response(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. })
}
