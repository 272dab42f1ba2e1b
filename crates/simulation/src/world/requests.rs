//! Requests on the forwarder's side: how they leave, and how they end.

use std::time::Duration;

use reeddock::AttemptOutcome;

use super::event::Event;
use super::records::BatchPosition;
use super::state::World;
use crate::ids::{EndpointIndex, ForwarderIndex, RequestIndex};

/// Ways between forwarder and endpoint until a refused connection is known: there and back.
const REFUSAL_WAYS: u32 = 2;
/// Ways until a request arrives on a new connection: the handshake there and back, and the request.
const NEW_CONNECTION_WAYS: u32 = 3;

/// What a request goes through before it reaches its endpoint.
enum Connection {
    /// It takes an idle connection.
    Reused,
    /// It makes a new connection.
    New,
    /// The endpoint refuses it, or has no connection left.
    Refused,
    /// The endpoint never responds.
    TimedOut,
}

impl World<'_> {
    /// A request leaves, on an idle connection or a new one.
    pub(super) fn send_request(&mut self, request: RequestIndex) {
        let record = &self.requests[request.0];
        let (forwarder, endpoint) = (record.sender.forwarder, record.endpoint);
        let one_way = self.one_way(forwarder, endpoint);
        let network = &self.scenario.network;
        // Drawn in any case, so that the kind of connection does not shift what is drawn later.
        let handshake = network.handshake_ms.draw_millis(&mut self.random.network);
        self.account.attempts.requests += 1;
        self.requests[request.0].endpoint_incarnation = self.endpoints[endpoint.0].incarnation;
        let now = self.now();
        match self.connect(forwarder, endpoint) {
            Connection::Reused => self.leave(request, now + one_way),
            Connection::New => self.leave(request, now + NEW_CONNECTION_WAYS * one_way + handshake),
            Connection::Refused => {
                self.schedule.schedule(now + REFUSAL_WAYS * one_way, Event::NotConnected(request));
            }
            Connection::TimedOut => {
                self.schedule.schedule(now + network.connect_timeout.0, Event::NotConnected(request));
            }
        }
    }

    /// Takes an idle connection of a forwarder to an endpoint, or tries to make a new one.
    fn connect(&mut self, forwarder: ForwarderIndex, endpoint: EndpointIndex) -> Connection {
        let idle_since = self.now().saturating_sub(self.scenario.network.idle_timeout.0);
        let is_refused = self.refuses_connections(endpoint);
        let is_unreachable = self.is_unreachable(endpoint);
        let max_connections = self.kind_of(self.destination_of(endpoint)).max_connections;
        let state = &mut self.endpoints[endpoint.0];
        state.close_idle_before(idle_since);
        if state.idle_connections.get_mut(&forwarder).and_then(Vec::pop).is_some() {
            return Connection::Reused;
        }
        self.sent_to_down.connections += u64::from(state.is_down());
        if is_refused || max_connections.is_some_and(|max| state.connections >= max) {
            return Connection::Refused;
        }
        if is_unreachable {
            return Connection::TimedOut;
        }
        state.connections += 1;
        self.account.new_connections += 1;
        Connection::New
    }

    /// A request is in transit on its connection.
    fn leave(&mut self, request: RequestIndex, arrives_at: Duration) {
        let record = &mut self.requests[request.0];
        record.connected = true;
        self.endpoints[record.endpoint.0].in_transit += 1;
        self.schedule.schedule(arrives_at, Event::RequestArrives(request));
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
        let record = &self.requests[request.0];
        let (sender, endpoint) = (record.sender.forwarder, record.endpoint);
        let until = now.min(self.scenario.duration.0);
        self.account.in_flight_seconds += until.saturating_sub(record.started_at).as_secs_f64();
        let forwarder = &mut self.forwarders[sender.0];
        forwarder.requests_in_flight = forwarder.requests_in_flight.saturating_sub(1);
        if !self.take_connection(request) {
            return;
        }
        let endpoint = &mut self.endpoints[endpoint.0];
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
        let serves_abandoned = self.kind_of(self.destination_of(endpoint)).abandoned_served_share;
        let is_served = serves_abandoned.occurs(&mut self.random.service);
        let record = &mut self.requests[request.0];
        if !record.serving_began && !is_served {
            record.void = true;
        }
        if self.take_connection(request) {
            self.endpoints[endpoint.0].release_connections(1);
        }
    }

    /// Takes its connection from a request. Returns whether it had one that the endpoint has not reset.
    fn take_connection(&mut self, request: RequestIndex) -> bool {
        let record = &mut self.requests[request.0];
        let was_connected = std::mem::take(&mut record.connected);
        was_connected && record.endpoint_incarnation == self.endpoints[record.endpoint.0].incarnation
    }
}

/// Whether an endpoint has answered, so that its connection can be used again.
fn is_response(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. })
}
