//! Start and end of faults.

use reeddock::EndpointState;

use super::event::ListChange;
use super::state::World;
use crate::fault::Fault;
use crate::ids::EndpointIndex;
use crate::random_streams::RandomStream;
use crate::simulated_endpoint::{OutageCause, SimulatedEndpoint};

impl World<'_> {
    /// Starts the fault with this index in the scenario.
    pub(super) fn start_fault(&mut self, index: usize) {
        let fault = self.fault(index);
        // Each fault has a random stream, so that adding or removing a fault does not change the others.
        let mut random = RandomStream::Fault(index).open(self.seed);
        let selector = fault.endpoint_selector();
        let affected =
            selector.map(|selector| self.layout.select_endpoints(selector, &mut random)).unwrap_or_default();
        for endpoint in &affected {
            self.endpoints[endpoint.0].active_faults.push(index);
            if fault.is_outage() {
                self.start_outage(*endpoint);
            }
        }
        match fault {
            Fault::ConnectionsRefused { .. } => {
                affected.iter().for_each(|endpoint| self.reset_connections(*endpoint));
            }
            Fault::Replaced { .. } => self.replace_endpoints(&affected),
            Fault::Drains { .. } => self.list_endpoints_as(&affected, EndpointState::Draining),
            Fault::ForwardersKilled { forwarders } => {
                for forwarder in self.layout.select_forwarders(forwarders) {
                    self.kill_forwarder(forwarder);
                }
            }
            _ => {}
        }
        self.active_faults.insert(index, affected);
    }

    /// Ends the fault with this index in the scenario.
    pub(super) fn end_fault(&mut self, index: usize) {
        let Some(affected) = self.active_faults.remove(&index) else { return };
        let fault = self.fault(index);
        for endpoint in &affected {
            self.endpoints[endpoint.0].active_faults.retain(|active| *active != index);
            if fault.is_outage() {
                self.end_outage(*endpoint, OutageCause::Fault);
            }
        }
        match fault {
            Fault::Hang { .. } => affected.iter().for_each(|endpoint| self.resume_after_hang(*endpoint)),
            Fault::Drains { .. } => {
                affected.iter().for_each(|endpoint| self.remove_endpoint(*endpoint));
                self.list_endpoints_as(&affected, EndpointState::Removed);
            }
            Fault::ListFrozen {} => {
                for frozen in std::mem::take(&mut self.frozen_list_changes) {
                    self.deliver_list_changes(frozen.forwarder, frozen.changes);
                }
            }
            Fault::ForwardersKilled { forwarders } => {
                for forwarder in self.layout.select_forwarders(forwarders) {
                    if !self.forwarders[forwarder.0].is_running() {
                        self.start_forwarder(forwarder);
                    }
                }
            }
            _ => {}
        }
    }

    /// Sets the state of endpoints on the endpoint list.
    fn list_endpoints_as(&mut self, endpoints: &[EndpointIndex], state: EndpointState) {
        let changes: Vec<ListChange> =
            endpoints.iter().map(|endpoint| ListChange { endpoint: *endpoint, state }).collect();
        self.change_endpoint_list(&changes);
    }

    /// Removes an endpoint permanently and resets its connections.
    fn remove_endpoint(&mut self, endpoint: EndpointIndex) {
        self.endpoints[endpoint.0].removed = true;
        self.reset_connections(endpoint);
    }

    /// Replaces endpoints by new ones with the same plan. Requests to the old endpoints are not served.
    fn replace_endpoints(&mut self, replaced: &[EndpointIndex]) {
        let mut changes = Vec::new();
        for old in replaced {
            if self.endpoints[old.0].removed {
                continue;
            }
            self.remove_endpoint(*old);
            let plan = self.endpoints[old.0].plan.clone();
            let new = EndpointIndex(self.endpoints.len());
            self.destinations[plan.destination.0].endpoints.push(new);
            self.endpoints.push(SimulatedEndpoint::new(plan));
            changes.push(ListChange { endpoint: *old, state: EndpointState::Removed });
            changes.push(ListChange { endpoint: new, state: EndpointState::Active });
        }
        self.change_endpoint_list(&changes);
    }
}
