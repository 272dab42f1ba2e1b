//! What is booked of dispatches, their calls, and the circuits of the routes that they take.

use std::time::Duration;

use crate::host::{CallNo, DispatchNo, EnvelopeId, Host, TargetId};
use crate::state::{Circuit, Dispatch, Forwarder, Route};

impl Forwarder {
    /// The circuit of a route, made if there is none; whatever it holds back is looked at again.
    pub(crate) fn circuit_mut(&mut self, route: Route) -> &mut Circuit {
        self.touch(route);
        self.circuits.entry(route).or_insert_with(|| {
            self.new_circuits.push(route);
            Circuit::default()
        })
    }

    /// Forgets circuits, and what is known of their targets, that were not used for long: a forwarder of a large
    /// fleet meets most destinations seldom, and would else keep a record of each.
    pub(crate) fn forget_idle(&mut self, now: Duration, keep: Duration) {
        for route in std::mem::take(&mut self.new_circuits) {
            self.circuits_due.insert((now + keep, route));
        }
        while let Some((_, route)) = self.circuits_due.first().copied().filter(|(due, _)| *due <= now) {
            self.circuits_due.pop_first();
            let Some(circuit) = self.circuits.get(&route) else { continue };
            let used = circuit.last_sent.max(circuit.last_write).max(circuit.spaced_until);
            let used = used.max(circuit.wait_until).max(circuit.restrained_until.unwrap_or_default());
            let held = self.destination_of(route).is_some_and(|d| self.backlog.line(d).is_some());
            if used + keep > now || !circuit.out.is_empty() || held {
                self.circuits_due.insert((now.max(used) + keep, route));
                continue;
            }
            self.circuits.remove(&route);
            for id in self.members(route) {
                if let Some(target) = self.targets.get_mut(&id).filter(|t| t.usage().calls_out == 0) {
                    target.forget_usage();
                }
            }
        }
    }

    /// Something of a route changed that may hold envelopes back.
    pub(crate) fn touch(&mut self, route: Route) {
        if let Some(destination) = self.destination_of(route) {
            self.backlog.touch(destination);
        }
    }

    /// Books a dispatch of a held envelope, which is held no more.
    pub(crate) fn begin(&mut self, dispatch: Dispatch) -> Option<(EnvelopeId, DispatchNo)> {
        let (key, call) = (dispatch.envelope, dispatch.call);
        self.unhold(key);
        let envelope = self.envelopes.get_mut(key)?;
        let no = DispatchNo(envelope.dispatches);
        envelope.dispatches += 1;
        envelope.out.insert(no);
        let (id, destination) = (envelope.id.clone(), envelope.destination);
        self.destinations.entry(destination).or_default().traffic_mut().last_turn = call.0;
        self.dispatches.insert((id.clone(), no), dispatch);
        Some((id, no))
    }

    /// Books a call that has gone out, with what it adds to the load of its target.
    pub(crate) fn book_call(
        &mut self,
        call: CallNo,
        route: Route,
        target: TargetId,
        now: Duration,
        load: f64,
    ) {
        let circuit = self.circuit_mut(route);
        circuit.out.push_back((call, now));
        circuit.last_sent = now;
        self.change(&[target], |t| {
            t.calls_out += 1;
            t.last_sent = now;
            t.pushes.push_back((now, load));
        });
    }

    /// Calls off every dispatch of a call.
    pub(crate) fn call_off(&mut self, call: CallNo, host: &mut dyn Host) {
        for ((id, no), d) in self.dispatches.iter_mut().filter(|(_, d)| d.call == call) {
            d.called_off = true;
            host.call_off(id, *no);
        }
    }

    /// Closes a dispatch; says whether its call is over with it.
    pub(crate) fn close(&mut self, id: &EnvelopeId, no: DispatchNo) -> Option<(Dispatch, bool)> {
        let dispatch = self.dispatches.remove(&(id.clone(), no))?;
        if let Some(envelope) = self.envelopes.get_mut(dispatch.envelope) {
            envelope.out.remove(&no);
        }
        self.touch(dispatch.route);
        let left = self.calls.get_mut(&dispatch.call).map_or(0, |left| {
            *left -= 1;
            *left
        });
        let circuit = self.circuits.get_mut(&dispatch.route);
        if left == 0 {
            self.calls.remove(&dispatch.call);
            if let Some(t) = self.targets.get_mut(&dispatch.target) {
                let usage = t.usage_mut();
                usage.calls_out = usage.calls_out.saturating_sub(1);
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
