//! How discovery passes endpoint lists: whole ones and changes, at once or in pieces, and some only in part.

use std::collections::VecDeque;

use reeddock::{EndpointId, EndpointUpdate};

use super::driver::StreamDriver;
use super::endpoint_set::ListEntry;
use super::transferred_list::{ListEnd, ListScope, ListTransfer};

/// Entries that are passed in one step at most, where a list is passed in pieces.
const MAX_ENTRIES_PER_STEP: usize = 40;

impl StreamDriver {
    /// Passes the next piece of a list, or begins a list if one is due or drawn.
    pub(super) fn continue_list(&mut self) {
        if self.transfer.is_some() {
            self.transfer_some();
            return;
        }
        if self.list_due.take_if(|at| *at <= self.now).is_some() {
            if self.one_in(3) {
                self.policy.discovery_failed(self.now);
            } else {
                self.begin_list(ListScope::Complete, ListEnd::Finished);
            }
            return;
        }
        match self.below(100) {
            0..=4 => self.begin_list(ListScope::Changes, ListEnd::Finished),
            5 => self.begin_list(ListScope::Complete, ListEnd::Finished),
            6 => self.lose_most_endpoints(),
            7..=8 => {
                let scope = if self.one_in(2) { ListScope::Complete } else { ListScope::Changes };
                self.begin_list(scope, ListEnd::Aborted);
            }
            9 => self.policy.discovery_failed(self.now),
            _ => {}
        }
    }

    /// A complete list misses most endpoints; the next one has others in their place.
    fn lose_most_endpoints(&mut self) {
        self.endpoints.drop_most(&mut self.random);
        self.begin_list(ListScope::Complete, ListEnd::Finished);
        let added = self.below(self.setup.size.endpoints as usize + 1);
        for _ in 0..added {
            self.endpoints.add(&self.setup, &mut self.random);
        }
    }

    /// Begins a list, and mostly passes all of it at once.
    pub(super) fn begin_list(&mut self, scope: ListScope, end: ListEnd) {
        if self.transfer.take().is_some() {
            self.abort_list();
        }
        let mut entries = match scope {
            ListScope::Complete => self.endpoints.entries.values().cloned().collect(),
            ListScope::Changes => self.draw_changes(),
        };
        if end == ListEnd::Aborted {
            let passed = self.below(entries.len());
            entries.truncate(passed);
        }
        let whole = scope == ListScope::Complete;
        self.model.begin_endpoint_list(whole);
        self.policy.begin_endpoint_list(whole);
        self.transfer = Some(ListTransfer { remaining: entries, end });
        if !self.one_in(4) {
            self.transfer_rest();
        }
    }

    /// Changes some endpoints, and gives their entries.
    fn draw_changes(&mut self) -> VecDeque<ListEntry> {
        let count = 1 + self.below(4);
        let changed: Vec<EndpointId> =
            (0..count).map(|_| self.endpoints.change(&self.setup, &mut self.random)).collect();
        changed.iter().map(|id| self.endpoints.entries[id].clone()).collect()
    }

    /// Passes one piece of the list, and its end if that was the last one.
    fn transfer_some(&mut self) {
        let count = self.below(MAX_ENTRIES_PER_STEP);
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
