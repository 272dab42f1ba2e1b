//! The status of the endpoint list, as the health check reports it.

use std::sync::{Arc, Mutex};

use crate::connections::lock;

/// The status of the endpoint list, shared by the event loop, which applies the list, and the responses to clients.
#[derive(Clone, Default)]
pub struct ListStatus(Arc<Mutex<Status>>);

#[derive(Default)]
struct Status {
    has_list: bool,
    /// Why the newest list was not applied.
    fault: Option<String>,
}

impl ListStatus {
    /// Records that the newest list was applied.
    pub fn applied(&self) {
        *lock(&self.0) = Status { has_list: true, fault: None };
    }

    /// Records that the newest list is malformed, and why, in one line.
    pub fn malformed(&self, fault: &str) {
        lock(&self.0).fault = Some(fault.to_owned());
    }

    /// Whether any list was applied.
    pub fn has_list(&self) -> bool {
        lock(&self.0).has_list
    }

    /// What is wrong with the list, in one line, as the health check's body has it. None if the newest list was
    /// applied.
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
