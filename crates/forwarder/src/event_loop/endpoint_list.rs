//! Applies the endpoint list entry by entry.

use std::net::SocketAddr;

use reeddock::{EndpointId, EndpointState, EndpointUpdate};
use reeddock_protocol::{ListEntry, ListEvent};

use super::EventLoop;
use crate::cached_endpoint_list::{CachedEndpointList, CachedListError};
use crate::endpoints::{EndpointLocation, LocationChange};
use crate::malformed_list::MalformedList;

/// The maximum number of new endpoints per list part that are logged at info level. Further ones are logged
/// at debug level.
const MAX_NEW_ENDPOINTS_LOGGED: usize = 100;

/// The progress in applying one part of the endpoint list.
#[derive(Default)]
pub(super) struct ListProgress {
    generation: u64,
    /// Whether the part is the full list. Otherwise the part contains only changes.
    is_full_list: bool,
    entry_count: usize,
    new_endpoint_count: usize,
}

impl EventLoop {
    /// Applies events of a watch.
    pub(super) fn apply_list_events(&mut self, events: Vec<ListEvent>) {
        for event in events {
            match event {
                ListEvent::PartStarted { generation, is_full_list } => {
                    self.begin_endpoint_list(ListProgress {
                        generation,
                        is_full_list,
                        ..ListProgress::default()
                    });
                }
                ListEvent::EndpointUpdated(entry) => self.update_endpoint(entry),
                ListEvent::PartEnded => self.finish_endpoint_list(),
                ListEvent::Heartbeat => self.policy.confirm_endpoint_list(),
            }
        }
    }

    /// Applies the list that was cached before the start. Must be called before any event is handled.
    pub fn apply_cached_list(&mut self, cached_list: CachedEndpointList) -> Result<(), CachedListError> {
        if cached_list.endpoints == 0 {
            tracing::info!("no cached endpoint list, messages wait for discovery");
            return Ok(());
        }
        let generation = cached_list.generation;
        self.begin_endpoint_list(ListProgress { generation, is_full_list: true, ..ListProgress::default() });
        cached_list.for_each(|entry| self.update_endpoint(entry))?;
        self.finish_endpoint_list();
        Ok(())
    }

    /// Starts to apply a part of the endpoint list: the full list or a list of changes.
    fn begin_endpoint_list(&mut self, progress: ListProgress) {
        // An unfinished earlier part belongs to a watch that was lost.
        self.abort_endpoint_list();
        self.policy.begin_endpoint_list(progress.is_full_list);
        self.policy.await_list_confirmation(self.clock.now());
        *self.state.list_progress_mut() = Some(progress);
    }

    /// Handles a change of discovery's address. The former discovery does not finish a part of the list that it
    /// has begun, and what the part has named is not confirmed.
    pub(super) fn discovery_moved(&mut self) {
        self.abort_endpoint_list();
        self.await_list_confirmation();
    }

    /// Lets the policy withhold requests after a start or a move of discovery, until discovery confirms the
    /// list.
    pub(super) fn await_list_confirmation(&mut self) {
        if self.list_status.has_list() {
            tracing::info!("endpoint list not confirmed, requests wait for discovery");
        }
        self.policy.await_list_confirmation(self.clock.now());
    }

    /// Aborts a part of the list that was not received completely. Endpoints that the part did not name stay
    /// unchanged.
    fn abort_endpoint_list(&mut self) {
        let Some(progress) = self.state.list_progress_mut().take() else { return };
        self.policy.abort_endpoint_list();
        let ListProgress { generation, is_full_list, entry_count, .. } = progress;
        tracing::warn!(
            generation,
            whole = is_full_list,
            entries = entry_count,
            "endpoint list incomplete, endpoints not named in it stay"
        );
    }

    /// Rejects a malformed list. The previous list stays in effect.
    pub(super) fn reject_malformed_list(&mut self, list: &MalformedList) {
        self.abort_endpoint_list();
        self.list_status.malformed(&list.fault);
        if let Some(suppressed) = self.throttles.malformed_list.admit() {
            let (error, bytes) = (&list.fault, list.bytes);
            tracing::error!(%error, bytes, suppressed, "endpoint list malformed, previous list stays");
        }
    }

    /// Handles the loss of a watch, or a watch that could not be opened.
    pub(super) fn discovery_failed(&mut self) {
        self.abort_endpoint_list();
        self.policy.discovery_failed(self.clock.now());
        if self.list_status.has_list() {
            return;
        }
        if let Some(suppressed) = self.throttles.no_list.admit() {
            let error = self.list_status.fault();
            tracing::warn!(error, suppressed, "no endpoint list, nothing can be delivered");
        }
    }

    /// Applies one entry of the list.
    fn update_endpoint(&mut self, entry: ListEntry) {
        let endpoint = self.state.endpoints_mut().id_for_name(&entry.name);
        self.policy.update_endpoint(EndpointUpdate {
            endpoint,
            destination: entry.destination,
            state: entry.state,
            weight: entry.weight,
            zone: &entry.zone,
            kind: &entry.kind,
        });
        self.connections.endpoint_listed(endpoint, &entry.kind, entry.state);
        if entry.state == EndpointState::Removed {
            self.connections.endpoint_removed(endpoint);
        }
        if let Some(progress) = self.state.list_progress_mut() {
            progress.entry_count += 1;
        }
        self.update_location(endpoint, &entry);
    }

    /// Stores the address of an endpoint. An entry without an address, as for a removed endpoint, keeps the
    /// last address, because the policy may still refer to the endpoint.
    fn update_location(&mut self, endpoint: EndpointId, entry: &ListEntry) {
        let Some(address) = entry.address else { return };
        let location = EndpointLocation { address, max_batch: self.batch_limits.of_kind(&entry.kind) };
        match self.state.endpoints_mut().set_location(endpoint, location) {
            LocationChange::New => self.log_new_endpoint(endpoint, address, entry),
            // Another machine may use the previous address by now.
            LocationChange::Moved => self.connections.endpoint_moved(endpoint, address),
            LocationChange::Same => return,
        }
        self.inherit_address_pause(endpoint, address, entry);
    }

    /// Logs the name and address of a new endpoint with its id, which identifies the endpoint in other log
    /// lines.
    fn log_new_endpoint(&mut self, endpoint: EndpointId, address: SocketAddr, entry: &ListEntry) {
        let new_endpoint_count = self.state.list_progress_mut().as_mut().map_or(1, |progress| {
            progress.new_endpoint_count += 1;
            progress.new_endpoint_count
        });
        let (name, destination) = (&entry.name, entry.destination.0);
        if new_endpoint_count <= MAX_NEW_ENDPOINTS_LOGGED {
            tracing::info!(?endpoint, name, %address, destination, "endpoint listed");
        } else {
            tracing::debug!(?endpoint, name, %address, destination, "endpoint listed");
        }
    }

    /// Finishes a part of the list. Endpoints that a full list did not name are removed.
    fn finish_endpoint_list(&mut self) {
        let dropped = self.policy.finish_endpoint_list();
        for endpoint in &dropped {
            self.connections.endpoint_removed(*endpoint);
        }
        let Some(progress) = self.state.list_progress_mut().take() else { return };
        if progress.is_full_list || progress.new_endpoint_count > MAX_NEW_ENDPOINTS_LOGGED {
            self.log_applied_list(&progress, dropped.len());
        }
        self.list_status.applied();
    }

    /// Logs a part of the list that was applied completely.
    fn log_applied_list(&self, progress: &ListProgress, dropped: usize) {
        let ListProgress { generation, is_full_list, entry_count, new_endpoint_count } = *progress;
        let endpoints = self.state.endpoints().located_count();
        tracing::info!(
            generation,
            whole = is_full_list,
            entries = entry_count,
            new_endpoints = new_endpoint_count,
            dropped,
            endpoints,
            "endpoint list applied"
        );
    }

    /// Forgets the endpoints that the policy has forgotten, because endpoints that are replaced under new
    /// names would otherwise occupy memory without limit.
    pub(super) fn forget_removed_endpoints(&mut self) {
        let removed = self.policy.take_removed_endpoints();
        for endpoint in &removed {
            self.state.endpoints_mut().forget(*endpoint);
        }
        if !removed.is_empty() {
            self.connections.forget(&removed);
        }
    }
}
