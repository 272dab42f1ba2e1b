//! What is booked of attempts, their calls, and the circuits of the routes that they take.

use std::time::Duration;

use crate::interface::{AttemptNumber, EndpointId, MessageId, PolicyHost, RequestId};
use crate::state::{Attempt, CircuitBreaker, CircuitScope, DeliveryPolicy};

impl DeliveryPolicy {
    /// The circuit of a route, made if there is none; whatever it holds back is looked at again.
    pub(crate) fn circuit_mut(&mut self, scope: CircuitScope) -> &mut CircuitBreaker {
        self.touch(scope);
        self.circuits.entry(scope).or_insert_with(|| {
            self.new_circuits.push(scope);
            CircuitBreaker::default()
        })
    }

    /// Forgets circuits, and what is known of their endpoints, that were not used for long: a forwarder of a large
    /// fleet meets most destinations seldom, and would else keep a record of each.
    pub(crate) fn remove_idle_circuits(&mut self, now: Duration, keep: Duration) {
        for scope in std::mem::take(&mut self.new_circuits) {
            self.circuits_due.insert((now + keep, scope));
        }
        while let Some((_, scope)) = self.circuits_due.first().copied().filter(|(due, _)| *due <= now) {
            self.circuits_due.pop_first();
            let Some(circuit) = self.circuits.get(&scope) else { continue };
            let used = circuit.last_sent.max(circuit.last_write).max(circuit.paced_until);
            let used = used.max(circuit.retry_after_until).max(circuit.open_until.unwrap_or_default());
            let queued = self.destination_of(scope).is_some_and(|d| self.queue.line(d).is_some());
            if used + keep > now || !circuit.out.is_empty() || queued {
                self.circuits_due.insert((now.max(used) + keep, scope));
                continue;
            }
            self.circuits.remove(&scope);
            for id in self.endpoints_of(scope) {
                if let Some(endpoint) =
                    self.endpoints.get_mut(&id).filter(|t| t.usage().requests_in_flight == 0)
                {
                    endpoint.forget_usage();
                }
            }
        }
    }

    /// Something of a route changed that may hold messages back.
    pub(crate) fn touch(&mut self, scope: CircuitScope) {
        if let Some(destination) = self.destination_of(scope) {
            self.queue.touch(destination);
        }
    }

    /// Books an attempt of a held message, which is held no more.
    pub(crate) fn begin(&mut self, dispatch: Attempt) -> Option<(MessageId, AttemptNumber)> {
        let (key, call) = (dispatch.message, dispatch.call);
        self.dequeue(key);
        let message = self.messages.get_mut(key)?;
        let no = AttemptNumber(message.attempts);
        message.attempts += 1;
        message.out.insert(no);
        let (id, destination) = (message.id.clone(), message.destination);
        self.destinations.entry(destination).or_default().traffic_mut().last_turn = call.0;
        self.attempts.insert((id.clone(), no), dispatch);
        Some((id, no))
    }

    /// Books a call that has gone out, with what it adds to the load of its endpoint.
    pub(crate) fn record_request(
        &mut self,
        call: RequestId,
        scope: CircuitScope,
        endpoint: EndpointId,
        now: Duration,
        load: f64,
    ) {
        let circuit = self.circuit_mut(scope);
        circuit.out.push_back((call, now));
        circuit.last_sent = now;
        self.change(&[endpoint], |t| {
            t.requests_in_flight += 1;
            t.last_sent = now;
            t.recent_load.push_back((now, load));
        });
    }

    /// Calls off every attempt of a call.
    pub(crate) fn cancel(&mut self, call: RequestId, host: &mut dyn PolicyHost) {
        for ((id, no), d) in self.attempts.iter_mut().filter(|(_, d)| d.call == call) {
            d.called_off = true;
            host.cancel(id, *no);
        }
    }

    /// Closes an attempt; says whether its call is over with it.
    pub(crate) fn close(&mut self, id: &MessageId, no: AttemptNumber) -> Option<(Attempt, bool)> {
        let dispatch = self.attempts.remove(&(id.clone(), no))?;
        if let Some(message) = self.messages.get_mut(dispatch.message) {
            message.out.remove(&no);
        }
        self.touch(dispatch.scope);
        let left = self.calls.get_mut(&dispatch.call).map_or(0, |left| {
            *left -= 1;
            *left
        });
        let circuit = self.circuits.get_mut(&dispatch.scope);
        if left == 0 {
            self.calls.remove(&dispatch.call);
            if let Some(t) = self.endpoints.get_mut(&dispatch.endpoint) {
                let usage = t.usage_mut();
                usage.requests_in_flight = usage.requests_in_flight.saturating_sub(1);
            }
        }
        if let Some(c) = circuit {
            if left == 0 {
                c.out.retain(|(call, _)| *call != dispatch.call);
            }
            c.trial.take_if(|t| t.0 == *id && t.1 == no);
        }
        Some((dispatch, left == 0))
    }
}
