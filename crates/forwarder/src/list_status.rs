//! What the health check says of the list of endpoints.

use std::sync::{Arc, Mutex};

use crate::connections::locked;

/// Shared by who applies the list and who answers clients.
#[derive(Clone, Default)]
pub struct ListStatus(Arc<Mutex<Status>>);

#[derive(Default)]
struct Status {
    has_list: bool,
    /// Why the newest list is not in force.
    fault: Option<String>,
}

impl ListStatus {
    /// The newest list is in force.
    pub fn in_force(&self) {
        let mut status = locked(&self.0);
        (status.has_list, status.fault) = (true, None);
    }

    /// The newest list could not be read.
    pub fn unreadable(&self, fault: &str) {
        locked(&self.0).fault = Some(fault.to_owned());
    }

    /// Whether there is a list to deliver by.
    pub fn has_list(&self) -> bool {
        locked(&self.0).has_list
    }

    /// What is wrong with the list, in one line.
    pub fn trouble(&self) -> Option<String> {
        let status = locked(&self.0);
        match (status.has_list, &status.fault) {
            (true, None) => None,
            (true, Some(fault)) => Some(format!("the newest target list can't be read: {fault}")),
            (false, None) => Some("no target list yet: discovery has told none".into()),
            (false, Some(fault)) => Some(format!("no target list yet: it can't be read: {fault}")),
        }
    }
}
