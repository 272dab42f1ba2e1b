//! The table of endpoints as the network knows them: names, numbers and addresses.

use std::hash::BuildHasher;
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};

use hashbrown::{DefaultHashBuilder, HashTable};
use indexmap::IndexMap;
use reeddock::EndpointId;
use smol_str::SmolStr;

/// An address in 16 bytes: there is one for each endpoint that the list names, and nearly all are of the short form.
enum Address {
    /// The list has told none so far.
    Untold,
    V4(SocketAddrV4),
    V6(Box<SocketAddrV6>),
}

impl Address {
    fn of(address: SocketAddr) -> Address {
        match address {
            SocketAddr::V4(address) => Address::V4(address),
            SocketAddr::V6(address) => Address::V6(Box::new(address)),
        }
    }

    fn get(&self) -> Option<SocketAddr> {
        match self {
            Address::Untold => None,
            Address::V4(address) => Some(SocketAddr::V4(*address)),
            Address::V6(address) => Some(SocketAddr::V6(**address)),
        }
    }
}

struct Row {
    name: SmolStr,
    address: Address,
    batch: u32,
}

/// Where an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub address: SocketAddr,
    /// Messages in one call at most.
    pub batch: usize,
}

/// What became of the place of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceChange {
    New,
    Moved,
    Same,
}

/// A name in the index of names. Its hash is kept, so that the index grows without a look at each name: with some
/// hundred thousand of them that would take longer than an event may.
struct Named {
    hash: u32,
    id: EndpointId,
}

impl Named {
    /// The kept half of a name's hash, spread over all bits that the index uses.
    fn spread(hash: u32) -> u64 {
        u64::from(hash) << 32 | u64::from(hash)
    }
}

/// All endpoints that were heard of and are not forgotten. Nothing here costs more where there are more of them.
#[derive(Default)]
pub struct TargetTable {
    /// By number.
    rows: IndexMap<u32, Row, DefaultHashBuilder>,
    /// The same, by name.
    names: HashTable<Named>,
    hashes: DefaultHashBuilder,
    numbered: u32,
    /// How many have an address.
    placed: usize,
}

impl TargetTable {
    /// The number of an endpoint, which it has until it is forgotten; no other gets the same.
    pub fn number(&mut self, name: &str) -> EndpointId {
        let TargetTable { rows, names, hashes, numbered, .. } = self;
        let name_of = |id: &EndpointId| rows.get(&id.0).map_or("", |row| row.name.as_str());
        let hash = hashes.hash_one(name) as u32;
        if let Some(named) = names.find(Named::spread(hash), |named| name_of(&named.id) == name) {
            return named.id;
        }
        let id = EndpointId(*numbered);
        *numbered += 1;
        names.insert_unique(Named::spread(hash), Named { hash, id }, |named| Named::spread(named.hash));
        rows.insert(id.0, Row { name: name.into(), address: Address::Untold, batch: 1 });
        id
    }

    /// The list tells where an endpoint is.
    pub fn place(&mut self, id: EndpointId, place: Place) -> PlaceChange {
        let Some(row) = self.rows.get_mut(&id.0) else { return PlaceChange::Same };
        row.batch = u32::try_from(place.batch).unwrap_or(u32::MAX);
        match row.address.get() {
            Some(address) if address == place.address => PlaceChange::Same,
            Some(_) => {
                row.address = Address::of(place.address);
                PlaceChange::Moved
            }
            None => {
                row.address = Address::of(place.address);
                self.placed += 1;
                PlaceChange::New
            }
        }
    }

    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.rows.get(&id.0).map(|row| row.name.as_str())
    }

    /// Where an endpoint is, once the list has told.
    pub fn get(&self, id: EndpointId) -> Option<Place> {
        let row = self.rows.get(&id.0)?;
        Some(Place { address: row.address.get()?, batch: row.batch as usize })
    }

    /// How many have a place.
    pub fn placed(&self) -> usize {
        self.placed
    }

    /// Nothing is known of the endpoint any more; should it come again, it gets another number.
    pub fn forget(&mut self, id: EndpointId) {
        let Some(row) = self.rows.swap_remove(&id.0) else { return };
        self.placed -= usize::from(row.address.get().is_some());
        let hash = self.hashes.hash_one(row.name.as_str()) as u32;
        if let Ok(entry) = self.names.find_entry(Named::spread(hash), |named| named.id == id) {
            entry.remove();
        }
    }
}
