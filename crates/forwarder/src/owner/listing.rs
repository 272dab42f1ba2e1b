//! The list of targets, told to the module entry by entry.

use reeddock::{Listing, Standing, TargetId};
use reeddock_protocol::{Entry, Fault, ListEvent};

use super::Owner;
use crate::known_list::KnownList;
use crate::targets::{Place, PlaceChange};
use crate::unreadable_list::UnreadableList;

/// Targets that one part of the list may bring with a line in the log for each; further ones are in the debug log.
const NEW_TARGETS_LOGGED: usize = 100;

/// How far a part of the list has been told.
pub(super) struct Progress {
    generation: u64,
    whole: bool,
    entries: usize,
    /// Targets that were not known before.
    new: usize,
}

impl Owner {
    /// Applies some of what a watch tells.
    pub(super) fn hear_list(&mut self, piece: Vec<ListEvent>) {
        for event in piece {
            match event {
                ListEvent::Begins { generation, whole } => self.list_begins(generation, whole),
                ListEvent::Listed(entry) => self.listed(entry),
                ListEvent::Ends => self.list_ends(),
                ListEvent::Heartbeat => {}
            }
        }
    }

    /// Applies the list as it was last known, before anything else is heard. One without entries is none.
    pub fn known_list(&mut self, known: KnownList) -> Result<(), Fault> {
        if known.targets == 0 {
            tracing::info!("no list of targets is known at the start; what comes waits for discovery's");
            return Ok(());
        }
        self.list_begins(known.generation, true);
        known.each(|entry| self.listed(entry))?;
        self.list_ends();
        Ok(())
    }

    fn list_begins(&mut self, generation: u64, whole: bool) {
        // The watch that told the one before was left in the middle of it.
        self.list_broken();
        self.forwarder.list_begins(whole);
        self.state.listing = Some(Progress { generation, whole, entries: 0, new: 0 });
    }

    /// The rest of a list that is being told will not come: what it did not name stays.
    pub(super) fn list_broken(&mut self) {
        let Some(progress) = self.state.listing.take() else { return };
        self.forwarder.list_broken();
        let Progress { generation, whole, entries, .. } = progress;
        tracing::warn!(
            generation,
            whole,
            entries,
            "the list of targets broke off; what it did not name stays"
        );
    }

    /// A list that can't be read has come: the one before stands.
    pub(super) fn list_unreadable(&mut self, list: &UnreadableList) {
        self.list_broken();
        self.list_status.unreadable(&list.fault);
        if let Some(more) = self.state.unreadable_lists.now() {
            let (fault, bytes) = (&list.fault, list.bytes);
            tracing::error!(%fault, bytes, more, "the list of targets can't be read; the one before stands");
        }
    }

    /// The watch has ended, perhaps before it told any list.
    pub(super) fn list_failed(&mut self) {
        self.list_broken();
        self.forwarder.list_failed(self.clock.now());
        if self.list_status.has_list() {
            return;
        }
        if let Some(more) = self.state.no_list.now() {
            let trouble = self.list_status.trouble();
            tracing::warn!(trouble, more, "nothing can be delivered");
        }
    }

    fn listed(&mut self, entry: Entry) {
        let target = self.state.targets.number(&entry.name);
        let active = entry.standing == Standing::Active;
        self.forwarder.listed(Listing {
            target,
            destination: entry.destination,
            standing: entry.standing,
            weight: entry.weight,
            zone: &entry.zone,
            kind: &entry.kind,
        });
        self.courier.connections.listed(target, &entry.kind, active);
        if entry.standing == Standing::Gone {
            self.courier.connections.gone(target);
        }
        if let Some(progress) = &mut self.state.listing {
            progress.entries += 1;
        }
        // One that is gone may still be spoken of, though its address is not told any more.
        let Some(address) = entry.address else { return };
        let batch = self.batches.get(&entry.kind).copied().unwrap_or(1);
        match self.state.targets.place(target, Place { address, batch }) {
            PlaceChange::New => self.log_new(target, &entry),
            // Whoever is there now.
            PlaceChange::Moved => self.courier.connections.close_idle(target),
            PlaceChange::Same => {}
        }
    }

    /// The module's lines name targets by number.
    fn log_new(&mut self, target: TargetId, entry: &Entry) {
        let new = self.state.listing.as_mut().map_or(1, |progress| {
            progress.new += 1;
            progress.new
        });
        let (name, at, destination) = (&entry.name, entry.address, entry.destination.0);
        if new <= NEW_TARGETS_LOGGED {
            tracing::info!(name, ?at, destination, "listed: {target:?}");
        } else {
            tracing::debug!(name, ?at, destination, "listed: {target:?}");
        }
    }

    fn list_ends(&mut self) {
        let dropped = self.forwarder.list_ends();
        for target in &dropped {
            self.courier.connections.gone(*target);
        }
        let Some(Progress { generation, whole, entries, new }) = self.state.listing.take() else { return };
        if whole || new > NEW_TARGETS_LOGGED {
            let (dropped, targets) = (dropped.len(), self.state.targets.placed());
            tracing::info!(
                generation,
                whole,
                entries,
                new,
                dropped,
                targets,
                "a list of targets is in force"
            );
        }
        self.list_status.in_force();
    }

    /// What the module has forgotten is not kept here either: where targets are replaced all day under new names,
    /// these would fill the memory.
    pub(super) fn forget_targets(&mut self) {
        let forgotten = self.forwarder.take_forgotten();
        for target in &forgotten {
            self.state.targets.forget(*target);
        }
        if !forgotten.is_empty() {
            self.courier.connections.forget(&forgotten);
        }
    }
}
