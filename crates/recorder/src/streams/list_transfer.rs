//! Passes endpoint lists to the policy: complete lists and changes, at once or in pieces; some lists break
//! off.

use std::collections::VecDeque;

use reeddock::{EndpointId, EndpointUpdate};

use super::driver::StreamDriver;
use super::endpoint_set::ListEntry;
use super::transferred_list::{ListEnd, ListScope, ListTransfer};

/// Upper bound, exclusive, of the entries in one piece of a list.
const PIECE_SIZE_BOUND: usize = 40;

impl StreamDriver {
    /// Passes the next piece of a list, or begins a list if one is due or drawn.
    pub(super) fn continue_endpoint_list(&mut self) {
        if self.transfer.is_some() {
            self.transfer_piece();
            return;
        }
        if self.list_due_at.take_if(|at| *at <= self.now).is_some() {
            if self.one_in(3) {
                self.policy.discovery_failed(self.now);
            } else {
                self.begin_list(ListScope::Complete, ListEnd::Finished);
            }
            return;
        }
        match self.draw_below(100) {
            0..=4 => self.begin_list(ListScope::Changes, ListEnd::Finished),
            5 => self.begin_list(ListScope::Complete, ListEnd::Finished),
            6 => self.remove_most_endpoints(),
            7..=8 => {
                let scope = if self.one_in(2) { ListScope::Complete } else { ListScope::Changes };
                self.begin_list(scope, ListEnd::Aborted);
            }
            9 => self.policy.discovery_failed(self.now),
            _ => {}
        }
    }

    /// Passes a complete list without most endpoints; the next list contains new endpoints in their place.
    fn remove_most_endpoints(&mut self) {
        self.endpoints.remove_most(&mut self.random);
        self.begin_list(ListScope::Complete, ListEnd::Finished);
        let added = self.draw_below(self.setup.size.endpoints as usize + 1);
        for _ in 0..added {
            self.endpoints.add(&self.setup, &mut self.random);
        }
    }

    /// Begins a list, and usually passes all of it at once. A list in transfer is aborted.
    pub(super) fn begin_list(&mut self, scope: ListScope, end: ListEnd) {
        if self.transfer.take().is_some() {
            self.abort_list();
        }
        let mut entries = match scope {
            ListScope::Complete => self.endpoints.entries.values().cloned().collect(),
            ListScope::Changes => self.draw_changes(),
        };
        if end == ListEnd::Aborted {
            let count = self.draw_below(entries.len());
            entries.truncate(count);
        }
        let complete = scope == ListScope::Complete;
        self.model.begin_endpoint_list(complete);
        self.policy.begin_endpoint_list(complete);
        self.transfer = Some(ListTransfer { remaining: entries, end });
        if !self.one_in(4) {
            self.transfer_rest();
        }
    }

    /// Changes some endpoints, and returns their entries.
    fn draw_changes(&mut self) -> VecDeque<ListEntry> {
        let count = 1 + self.draw_below(4);
        let changed: Vec<EndpointId> =
            (0..count).map(|_| self.endpoints.change_entry(&self.setup, &mut self.random)).collect();
        changed.iter().map(|id| self.endpoints.entries[id].clone()).collect()
    }

    /// Passes one piece of the list, and ends the list if no entries remain.
    fn transfer_piece(&mut self) {
        let count = self.draw_below(PIECE_SIZE_BOUND);
        self.transfer_entries(count);
        if self.transfer.as_ref().is_some_and(|transfer| transfer.remaining.is_empty()) {
            self.end_list();
        }
    }

    fn transfer_rest(&mut self) {
        self.transfer_entries(usize::MAX);
        self.end_list();
    }

    fn transfer_entries(&mut self, max_entries: usize) {
        let Some(transfer) = &mut self.transfer else { return };
        let count = transfer.remaining.len().min(max_entries);
        for entry in transfer.remaining.drain(..count) {
            let update = EndpointUpdate {
                endpoint: entry.endpoint,
                destination: entry.destination,
                state: entry.state,
                weight: entry.weight,
                zone: entry.zone,
                kind: &entry.kind,
            };
            self.model.endpoint_updated(&update);
            self.policy.update_endpoint(update);
        }
    }

    fn end_list(&mut self) {
        match self.transfer.take().map(|transfer| transfer.end) {
            Some(ListEnd::Aborted) => self.abort_list(),
            Some(ListEnd::Finished) => {
                self.model.finish_endpoint_list();
                self.policy.finish_endpoint_list();
            }
            None => {}
        }
    }

    fn abort_list(&mut self) {
        self.model.abort_endpoint_list();
        self.policy.abort_endpoint_list();
    }
}
