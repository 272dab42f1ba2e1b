//! The list of endpoints, told to the delivery policy entry by entry.

use reeddock::{EndpointId, EndpointState, EndpointUpdate};
use reeddock_protocol::{Entry, ListEvent};

use super::EventLoop;
use crate::cached_endpoint_list::CachedEndpointList;
use crate::endpoints::{Place, PlaceChange};
use crate::malformed_list::MalformedList;

/// Endpoints that one part of the list may bring with a line in the log for each; further ones are in the debug log.
const NEW_TARGETS_LOGGED: usize = 100;

/// How far a part of the list has been told.
pub(super) struct Progress {
    generation: u64,
    whole: bool,
    entries: usize,
    /// Endpoints that were not known before.
    new: usize,
}

impl EventLoop {
    /// Applies some of what a watch tells.
    pub(super) fn hear_list(&mut self, piece: Vec<ListEvent>) {
        for event in piece {
            match event {
                ListEvent::Begins { generation, whole } => self.begin_endpoint_list(generation, whole),
                ListEvent::EndpointUpdated(entry) => self.listed(entry),
                ListEvent::Ends => self.finish_endpoint_list(),
                ListEvent::Heartbeat => {}
            }
        }
    }

    /// Applies the list as it was last known, before anything else is heard. One without entries is none.
    pub fn cached_endpoint_list(&mut self, cached_list: CachedEndpointList) -> Result<(), String> {
        if cached_list.endpoints == 0 {
            tracing::info!("no list of targets is known at the start; what comes waits for discovery's");
            return Ok(());
        }
        self.begin_endpoint_list(cached_list.generation, true);
        cached_list.each(|entry| self.listed(entry))?;
        self.finish_endpoint_list();
        Ok(())
    }

    fn begin_endpoint_list(&mut self, generation: u64, whole: bool) {
        // The watch that told the one before was left in the middle of it.
        self.abort_endpoint_list();
        self.policy.begin_endpoint_list(whole);
        self.state.listing = Some(Progress { generation, whole, entries: 0, new: 0 });
    }

    /// The rest of a list that is being told will not come: what it did not name stays.
    pub(super) fn abort_endpoint_list(&mut self) {
        let Some(progress) = self.state.listing.take() else { return };
        self.policy.abort_endpoint_list();
        let Progress { generation, whole, entries, .. } = progress;
        tracing::warn!(
            generation,
            whole,
            entries,
            "the list of targets broke off; what it did not name stays"
        );
    }

    /// A list that can't be read has come: the one before stands.
    pub(super) fn list_unreadable(&mut self, list: &MalformedList) {
        self.abort_endpoint_list();
        self.list_status.unreadable(&list.fault);
        if let Some(more) = self.state.unreadable_lists.now() {
            let (fault, bytes) = (&list.fault, list.bytes);
            tracing::error!(%fault, bytes, more, "the list of targets can't be read; the one before stands");
        }
    }

    /// The watch has ended, perhaps before it told any list.
    pub(super) fn discovery_failed(&mut self) {
        self.abort_endpoint_list();
        self.policy.discovery_failed(self.clock.now());
        if self.list_status.has_list() {
            return;
        }
        if let Some(more) = self.state.no_list.now() {
            let trouble = self.list_status.trouble();
            tracing::warn!(trouble, more, "nothing can be delivered");
        }
    }

    fn listed(&mut self, entry: Entry) {
        let endpoint = self.state.endpoints.number(&entry.name);
        let active = entry.state == EndpointState::Active;
        self.policy.update_endpoint(EndpointUpdate {
            endpoint,
            destination: entry.destination,
            state: entry.state,
            weight: entry.weight,
            zone: &entry.zone,
            kind: &entry.kind,
        });
        self.request_sender.connections.listed(endpoint, &entry.kind, active);
        if entry.state == EndpointState::Removed {
            self.request_sender.connections.gone(endpoint);
        }
        if let Some(progress) = &mut self.state.listing {
            progress.entries += 1;
        }
        // One that is gone may still be spoken of, though its address is not told any more.
        let Some(address) = entry.address else { return };
        let batch = self.batches.get(&entry.kind).copied().unwrap_or(1);
        match self.state.endpoints.place(endpoint, Place { address, batch }) {
            PlaceChange::New => self.log_new(endpoint, &entry),
            // Whoever is there now.
            PlaceChange::Moved => self.request_sender.connections.close_idle(endpoint),
            PlaceChange::Same => {}
        }
    }

    /// The delivery policy's lines name endpoints by number.
    fn log_new(&mut self, endpoint: EndpointId, entry: &Entry) {
        let new = self.state.listing.as_mut().map_or(1, |progress| {
            progress.new += 1;
            progress.new
        });
        let (name, at, destination) = (&entry.name, entry.address, entry.destination.0);
        if new <= NEW_TARGETS_LOGGED {
            tracing::info!(name, ?at, destination, "listed: {endpoint:?}");
        } else {
            tracing::debug!(name, ?at, destination, "listed: {endpoint:?}");
        }
    }

    fn finish_endpoint_list(&mut self) {
        let dropped = self.policy.finish_endpoint_list();
        for endpoint in &dropped {
            self.request_sender.connections.gone(*endpoint);
        }
        let Some(Progress { generation, whole, entries, new }) = self.state.listing.take() else { return };
        if whole || new > NEW_TARGETS_LOGGED {
            let (dropped, endpoints) = (dropped.len(), self.state.endpoints.placed());
            tracing::info!(
                generation,
                whole,
                entries,
                new,
                dropped,
                endpoints,
                "a list of targets is in force"
            );
        }
        self.list_status.in_force();
    }

    /// What the delivery policy has forgotten is not kept here either: where endpoints are replaced all day under new names,
    /// these would fill the memory.
    pub(super) fn forget_targets(&mut self) {
        let forgotten = self.policy.take_removed_endpoints();
        for endpoint in &forgotten {
            self.state.endpoints.forget(*endpoint);
        }
        if !forgotten.is_empty() {
            self.request_sender.connections.forget(&forgotten);
        }
    }
}
