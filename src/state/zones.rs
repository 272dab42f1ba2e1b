//! The names of zones, each kept once and referred to by a number.

use indexmap::IndexSet;

/// Stands for a zone's name.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneNumber(u16);

impl ZoneNumber {
    /// A zone beyond those that can be numbered.
    const BEYOND: ZoneNumber = ZoneNumber(u16::MAX);
}

impl PartialEq for ZoneNumber {
    /// A zone beyond those that can be numbered equals none, not even itself.
    fn eq(&self, other: &ZoneNumber) -> bool {
        self.0 == other.0 && *self != ZoneNumber::BEYOND
    }
}

/// All zone names that the endpoint list has used.
#[derive(Default)]
pub(super) struct Zones(IndexSet<String>);

impl Zones {
    pub(super) fn number(&mut self, name: &str) -> ZoneNumber {
        let known = self.0.get_index_of(name);
        let may_grow = self.0.len() < usize::from(u16::MAX);
        let number = known.or_else(|| may_grow.then(|| self.0.insert_full(name.to_owned()).0));
        number.and_then(|n| u16::try_from(n).ok()).map_or(ZoneNumber::BEYOND, ZoneNumber)
    }

    /// The name of a zone; empty for one that could not be numbered.
    pub(super) fn name(&self, zone: ZoneNumber) -> &str {
        self.0.get_index(zone.0.into()).map_or("", String::as_str)
    }
}
