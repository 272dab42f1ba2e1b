//! Troubles begin and end.

use reeddock::EndpointState;

use super::World;
use crate::layout::{chance, purpose, TargetNo};
use crate::partner::Partner;
use crate::trouble::Trouble;

impl World<'_> {
    pub(super) fn trouble_begins(&mut self, n: usize) {
        let trouble = &self.scenario.troubles[n].what;
        // A stream of its own: one trouble more or less leaves the others where they were.
        let mut chance = chance(self.seed, purpose::TROUBLES + n as u64);
        let met = trouble.whom().map(|w| self.layout.meets(w, &mut chance)).unwrap_or_default();
        for target in &met {
            self.partners[target.0].troubles.push(n);
            if trouble.is_outage() {
                self.outage_begins(*target);
            }
        }
        match trouble {
            Trouble::Refused { .. } => met.iter().for_each(|t| self.break_connections(*t)),
            Trouble::Replaced { .. } => self.replace(&met),
            Trouble::Leaves { .. } => {
                let changes: Vec<_> = met.iter().map(|t| (*t, EndpointState::Draining)).collect();
                self.list_changed(&changes);
            }
            Trouble::Killed { which } => {
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
            Trouble::Hang { .. } => met.iter().for_each(|t| self.unstick(*t)),
            Trouble::Leaves { .. } => {
                for target in &met {
                    self.partners[target.0].gone = true;
                    self.break_connections(*target);
                }
                let changes: Vec<_> = met.iter().map(|t| (*t, EndpointState::Removed)).collect();
                self.list_changed(&changes);
            }
            Trouble::ListFrozen {} => {
                for (forwarder, changes) in std::mem::take(&mut self.frozen) {
                    self.list_due(forwarder, changes);
                }
            }
            Trouble::Killed { which } => {
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
    fn replace(&mut self, old: &[TargetNo]) {
        let mut changes = Vec::new();
        for target in old {
            if self.partners[target.0].gone {
                continue;
            }
            self.partners[target.0].gone = true;
            self.break_connections(*target);
            let plan = self.partners[target.0].plan.clone();
            let destination = plan.destination;
            let new = TargetNo(self.partners.len());
            self.partners.push(Partner::new(plan));
            self.destinations[destination.0].targets.push(new);
            changes.push((*target, EndpointState::Removed));
            changes.push((new, EndpointState::Active));
        }
        self.list_changed(&changes);
    }
}
