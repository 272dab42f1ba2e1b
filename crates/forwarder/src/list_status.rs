//! The status of the endpoint list for the health check.

use std::sync::{Arc, Mutex};

use crate::connections::lock;

/// The status of the endpoint list, shared between the event loop, which applies the list, and the health
/// check.
#[derive(Clone, Default)]
pub struct ListStatus(Arc<Mutex<Status>>);

#[derive(Default)]
struct Status {
    has_list: bool,
    /// The reason why the latest list was not applied, or `None` if the latest list was applied.
    fault: Option<String>,
}

impl ListStatus {
    /// Records that the latest list was applied.
    pub fn applied(&self) {
        *lock(&self.0) = Status { has_list: true, fault: None };
    }

    /// Records that the latest list is malformed. `fault` is a line that gives the reason.
    pub fn malformed(&self, fault: &str) {
        lock(&self.0).fault = Some(fault.to_owned());
    }

    /// Returns whether any list was applied.
    pub fn has_list(&self) -> bool {
        lock(&self.0).has_list
    }

    /// Returns the fault of the list as a line of text for the health check's body, or `None` if the latest
    /// list was applied.
    pub fn fault(&self) -> Option<String> {
        let status = lock(&self.0);
        match (status.has_list, &status.fault) {
            (true, None) => None,
            (true, Some(fault)) => Some(format!("the newest target list can't be read: {fault}")),
            (false, None) => Some("no target list yet: discovery has told none".into()),
            (false, Some(fault)) => Some(format!("no target list yet: it can't be read: {fault}")),
        }
    }
}
