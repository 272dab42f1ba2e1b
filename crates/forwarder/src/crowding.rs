//! Which kinds of target have no room for idle connections. Decides alone, without I/O.

use std::time::Duration;

use hashbrown::HashMap;
use reeddock::TargetId;
use tokio::time::Instant;

/// A kind that has turned no connection away for so long is trusted to have room again. Several times what most
/// targets let a connection stand idle, so that a fleet does not fill them anew at each lapse.
const REMEMBERED: Duration = Duration::from_secs(30);

/// Targets hold only so many connections, idle ones counted. Where forwarders outnumber them, those that came first
/// keep all places with connections that they use now and then, and the others are turned away for good. Who holds
/// one is not turned away there, but at other targets of the kind: so what one target of a kind says goes for all.
#[derive(Default)]
pub struct Crowding {
    /// The kind of each target, by its number, as its place among the kinds.
    kind_of: HashMap<u32, u32>,
    kinds: Vec<Kind>,
}

struct Kind {
    name: Box<str>,
    /// How many are listed; with none its place is free for another kind.
    targets: usize,
    /// When one of them last had no room.
    turned_away: Option<Instant>,
}

impl Crowding {
    pub fn listed(&mut self, target: TargetId, kind: &str) {
        let known = self.kind_of.get(&target.0).copied();
        if known.is_some_and(|place| self.kinds.get(place as usize).is_some_and(|known| &*known.name == kind))
        {
            return;
        }
        self.forget(target);
        let place = self.place_of(kind);
        self.kinds[place].targets += 1;
        self.kind_of.insert(target.0, place as u32);
    }

    /// Where a kind stands, which it may have to be given.
    fn place_of(&mut self, kind: &str) -> usize {
        let used = |known: &Kind| known.targets > 0 && &*known.name == kind;
        if let Some(place) = self.kinds.iter().position(used) {
            return place;
        }
        let new = Kind { name: kind.into(), targets: 0, turned_away: None };
        match self.kinds.iter().position(|known| known.targets == 0) {
            Some(place) => {
                self.kinds[place] = new;
                place
            }
            None => {
                self.kinds.push(new);
                self.kinds.len() - 1
            }
        }
    }

    /// Forgets a target that nothing is known of any more, and its kind with the last of that.
    pub fn forget(&mut self, target: TargetId) {
        let place = self.kind_of.remove(&target.0);
        if let Some(kind) = place.and_then(|place| self.kinds.get_mut(place as usize)) {
            kind.targets -= 1;
        }
    }

    /// The target had no room for one more connection.
    pub fn turned_away(&mut self, target: TargetId, now: Instant) {
        let place = self.kind_of.get(&target.0).copied();
        if let Some(kind) = place.and_then(|place| self.kinds.get_mut(place as usize)) {
            kind.turned_away = Some(now);
        }
    }

    /// Whether a connection to the target may stand idle.
    pub fn has_room(&self, target: TargetId, now: Instant) -> bool {
        let kind = self.kind_of.get(&target.0).and_then(|place| self.kinds.get(*place as usize));
        kind.and_then(|kind| kind.turned_away).is_none_or(|at| now >= at + REMEMBERED)
    }
}
