//! Which kinds of target have no room for idle connections. Decides alone, without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

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
    kinds: BTreeMap<TargetId, Arc<str>>,
    turned_away: BTreeMap<Arc<str>, Instant>,
}

impl Crowding {
    pub fn listed(&mut self, target: TargetId, kind: &str) {
        if self.kinds.get(&target).is_none_or(|known| &**known != kind) {
            self.kinds.insert(target, Arc::from(kind));
        }
    }

    /// Forgets targets that nothing is known of any more, and kinds with them.
    pub fn forget(&mut self, known: impl Fn(&TargetId) -> bool) {
        self.kinds.retain(|target, _| known(target));
        let Crowding { kinds, turned_away } = self;
        turned_away.retain(|kind, _| kinds.values().any(|listed| listed == kind));
    }

    /// The target had no room for one more connection.
    pub fn turned_away(&mut self, target: TargetId, now: Instant) {
        if let Some(kind) = self.kinds.get(&target) {
            self.turned_away.insert(kind.clone(), now);
        }
    }

    /// Whether a connection to the target may stand idle.
    pub fn has_room(&self, target: TargetId, now: Instant) -> bool {
        let last = self.kinds.get(&target).and_then(|kind| self.turned_away.get(kind));
        last.is_none_or(|at| now >= *at + REMEMBERED)
    }
}
