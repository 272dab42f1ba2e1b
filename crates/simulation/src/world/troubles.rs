//! Troubles begin and end.

use reeddock::EndpointState;

use super::World;
use crate::fault::Fault;
use crate::layout::{chance, purpose, EndpointIndex};
use crate::simulated_endpoint::SimulatedEndpoint;

impl World<'_> {
    pub(super) fn trouble_begins(&mut self, n: usize) {
        let trouble = &self.scenario.troubles[n].what;
        // A stream of its own: one fault more or less leaves the others where they were.
        let mut chance = chance(self.seed, purpose::TROUBLES + n as u64);
        let met = trouble.whom().map(|w| self.layout.meets(w, &mut chance)).unwrap_or_default();
        for target in &met {
            self.partners[target.0].troubles.push(n);
            if trouble.is_outage() {
                self.outage_begins(*target);
            }
        }
        match trouble {
            Fault::Refused { .. } => met.iter().for_each(|t| self.break_connections(*t)),
            Fault::Replaced { .. } => self.replace(&met),
            Fault::Leaves { .. } => {
                let changes: Vec<_> = met.iter().map(|t| (*t, EndpointState::Draining)).collect();
                self.list_changed(&changes);
            }
            Fault::Killed { which } => {
                for forwarder in self.layout.which(which) {
                    self.kill(forwarder);
                }
            }
            _ => {}
        }
        self.met.insert(n, met);
    }

    pub(super) fn trouble_ends(&mut self, n: usize) {
        let Some(met) = self.met.remove(&n) else { return };
        let trouble = &self.scenario.troubles[n].what;
        for target in &met {
            self.partners[target.0].troubles.retain(|t| *t != n);
            if trouble.is_outage() {
                self.outage_ends(*target, false);
            }
        }
        match trouble {
            Fault::Hang { .. } => met.iter().for_each(|t| self.unstick(*t)),
            Fault::Leaves { .. } => {
                for target in &met {
                    self.partners[target.0].gone = true;
                    self.break_connections(*target);
                }
                let changes: Vec<_> = met.iter().map(|t| (*t, EndpointState::Removed)).collect();
                self.list_changed(&changes);
            }
            Fault::ListFrozen {} => {
                for (forwarder, changes) in std::mem::take(&mut self.frozen) {
                    self.list_due(forwarder, changes);
                }
            }
            Fault::Killed { which } => {
                for forwarder in self.layout.which(which) {
                    if !self.stations[forwarder.0].runs() {
                        self.start(forwarder);
                    }
                }
            }
            _ => {}
        }
    }

    /// Other machines stand at these addresses from now on; who calls the old ones is not served.
    fn replace(&mut self, old: &[EndpointIndex]) {
        let mut changes = Vec::new();
        for target in old {
            if self.partners[target.0].gone {
                continue;
            }
            self.partners[target.0].gone = true;
            self.break_connections(*target);
            let plan = self.partners[target.0].plan.clone();
            let destination = plan.destination;
            let new = EndpointIndex(self.partners.len());
            self.partners.push(SimulatedEndpoint::new(plan));
            self.destinations[destination.0].targets.push(new);
            changes.push((*target, EndpointState::Removed));
            changes.push((new, EndpointState::Active));
        }
        self.list_changed(&changes);
    }
}
