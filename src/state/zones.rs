//! Names of zones, each stored once and referenced by a number.

use indexmap::IndexSet;

/// Reference to the name of a zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneNumber(u16);

impl ZoneNumber {
    /// Number of every zone beyond the maximum count that [`Zones`] stores.
    const UNNUMBERED: ZoneNumber = ZoneNumber(u16::MAX);
}

impl PartialEq for ZoneNumber {
    /// Compares the numbers; [`ZoneNumber::UNNUMBERED`] equals no zone, including itself.
    fn eq(&self, other: &ZoneNumber) -> bool {
        self.0 == other.0 && *self != ZoneNumber::UNNUMBERED
    }
}

/// Zone names that have appeared in the endpoint list.
#[derive(Default)]
pub(super) struct Zones(IndexSet<String>);

impl Zones {
    pub(super) fn number(&mut self, name: &str) -> ZoneNumber {
        let known = self.0.get_index_of(name);
        let may_grow = self.0.len() < usize::from(u16::MAX);
        let number = known.or_else(|| may_grow.then(|| self.0.insert_full(name.to_owned()).0));
        number.and_then(|n| u16::try_from(n).ok()).map_or(ZoneNumber::UNNUMBERED, ZoneNumber)
    }

    /// Returns the name of a zone; empty for [`ZoneNumber::UNNUMBERED`].
    pub(super) fn name(&self, zone: ZoneNumber) -> &str {
        self.0.get_index(zone.0.into()).map_or("", String::as_str)
    }
}
