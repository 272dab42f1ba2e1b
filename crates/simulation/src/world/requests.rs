//! Requests on the forwarder's side: connections, sending, and the end of a request.

use std::time::Duration;

use reeddock::AttemptOutcome;

use super::event::Event;
use super::records::BatchPosition;
use super::state::World;
use crate::ids::{EndpointIndex, ForwarderIndex, RequestIndex};

/// Number of one-way delays until a forwarder learns that a connection was refused: one round trip.
const REFUSAL_ONE_WAY_DELAYS: u32 = 2;
/// Number of one-way delays until a request arrives on a new connection: a handshake round trip and the
/// request.
const NEW_CONNECTION_ONE_WAY_DELAYS: u32 = 3;

/// The result of getting a connection for a request.
enum Connection {
    /// An idle connection was available.
    Reused,
    /// A new connection is made.
    New,
    /// The endpoint refuses the connection, or has reached its maximum number of connections.
    Refused,
    /// The endpoint does not respond, so that the connection attempt times out.
    TimedOut,
}

impl World<'_> {
    /// Sends a request on an idle connection or a new one.
    pub(super) fn send_request(&mut self, request: RequestIndex) {
        let record = &self.requests[request.0];
        let (forwarder, endpoint) = (record.sender.forwarder, record.endpoint);
        let one_way = self.draw_one_way_delay(forwarder, endpoint);
        let network = &self.scenario.network;
        // The handshake is drawn for reused connections too, so that later draws don't depend on the
        // connection.
        let handshake = network.handshake_ms.draw_millis(&mut self.random.network);
        self.account.attempts.requests += 1;
        self.requests[request.0].endpoint_incarnation = self.endpoints[endpoint.0].incarnation;
        let now = self.now();
        match self.connect(forwarder, endpoint) {
            Connection::Reused => self.send_on_connection(request, now + one_way),
            Connection::New => {
                self.send_on_connection(request, now + NEW_CONNECTION_ONE_WAY_DELAYS * one_way + handshake)
            }
            Connection::Refused => {
                self.schedule.schedule(now + REFUSAL_ONE_WAY_DELAYS * one_way, Event::NotConnected(request));
            }
            Connection::TimedOut => {
                self.schedule.schedule(now + network.connect_timeout.0, Event::NotConnected(request));
            }
        }
    }

    /// Takes an idle connection of a forwarder to an endpoint, or makes a new one if possible.
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
        self.outage_traffic.connections += u64::from(state.is_down());
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

    /// Marks a request as connected and schedules its arrival at the endpoint.
    fn send_on_connection(&mut self, request: RequestIndex, arrives_at: Duration) {
        let record = &mut self.requests[request.0];
        record.connected = true;
        self.endpoints[record.endpoint.0].in_transit += 1;
        self.schedule.schedule(arrives_at, Event::RequestArrives(request));
    }

    /// Finishes those attempts of a request for whose outcome the forwarder still waits.
    pub(super) fn finish_request(&mut self, request: RequestIndex, outcome: AttemptOutcome) {
        for index in 0..self.requests[request.0].batch.len() {
            if self.requests[request.0].batch[index].awaited {
                self.finish_attempt(BatchPosition { request, index }, outcome);
            }
        }
    }

    /// Releases the in-flight slot of a request whose attempts all have outcomes. The connection stays open
    /// if the last outcome was a response.
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

    /// Abandons a request for which the forwarder no longer waits. If the endpoint has not started to serve
    /// the request, the request is dropped with the probability from the scenario.
    pub(super) fn abandon_request(&mut self, request: RequestIndex) {
        let endpoint = self.requests[request.0].endpoint;
        let serves_abandoned = self.kind_of(self.destination_of(endpoint)).abandoned_served_share;
        let is_served = serves_abandoned.occurs(&mut self.random.service);
        let record = &mut self.requests[request.0];
        if !record.serving_started && !is_served {
            record.dropped = true;
        }
        if self.take_connection(request) {
            self.endpoints[endpoint.0].release_connections(1);
        }
    }

    /// Removes the connection from a request. Returns whether the request had a connection that the endpoint
    /// has not reset.
    fn take_connection(&mut self, request: RequestIndex) -> bool {
        let record = &mut self.requests[request.0];
        let was_connected = std::mem::take(&mut record.connected);
        was_connected && record.endpoint_incarnation == self.endpoints[record.endpoint.0].incarnation
    }
}

/// Returns whether an outcome is a response of the endpoint, so that the connection can be reused.
fn is_response(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. })
}
