//! The endpoints as the network knows them: names, numbers and addresses.

use std::hash::BuildHasher;
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};

use hashbrown::{DefaultHashBuilder, HashTable};
use indexmap::IndexMap;
use reeddock::EndpointId;
use smol_str::SmolStr;

/// An address in 16 bytes: there is one for each endpoint of the list, and nearly all are IPv4.
enum CompactAddress {
    /// The list has had no address for it so far.
    Unknown,
    V4(SocketAddrV4),
    V6(Box<SocketAddrV6>),
}

impl From<SocketAddr> for CompactAddress {
    fn from(address: SocketAddr) -> CompactAddress {
        match address {
            SocketAddr::V4(address) => CompactAddress::V4(address),
            SocketAddr::V6(address) => CompactAddress::V6(Box::new(address)),
        }
    }
}

impl CompactAddress {
    fn get(&self) -> Option<SocketAddr> {
        match self {
            CompactAddress::Unknown => None,
            CompactAddress::V4(address) => Some(SocketAddr::V4(*address)),
            CompactAddress::V6(address) => Some(SocketAddr::V6(**address)),
        }
    }
}

/// The stored data of one endpoint.
struct EndpointRow {
    name: SmolStr,
    address: CompactAddress,
    max_batch: u32,
}

/// The address of an endpoint, and the most messages that it accepts in one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLocation {
    /// Its address.
    pub address: SocketAddr,
    /// The most messages in one request to it.
    pub max_batch: usize,
}

/// The change of an endpoint's address by [`EndpointTable::set_location`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocationChange {
    /// It had none before.
    New,
    /// It had another one before.
    Moved,
    /// It had the same one before, or the endpoint is unknown.
    Same,
}

/// An entry in the index of names. It stores the hash of its name, so that the index can grow without hashing each name
/// again: with some hundred thousand names that would block the event loop for too long.
struct NameEntry {
    hash: u32,
    id: EndpointId,
}

impl NameEntry {
    /// Extends the stored half of a name's hash to all bits that the index uses.
    fn spread(hash: u32) -> u64 {
        u64::from(hash) << 32 | u64::from(hash)
    }
}

/// All endpoints that were named and not forgotten. The time of each operation does not depend on how many there are.
#[derive(Default)]
pub struct EndpointTable {
    /// By number.
    rows: IndexMap<u32, EndpointRow, DefaultHashBuilder>,
    /// The same endpoints, by name.
    names: HashTable<NameEntry>,
    hashes: DefaultHashBuilder,
    next_number: u32,
    with_address: usize,
}

impl EndpointTable {
    /// The number of an endpoint, which is assigned when its name is used for the first time. The endpoint keeps it
    /// until it is forgotten; the number is never assigned again.
    pub fn id_for_name(&mut self, name: &str) -> EndpointId {
        let EndpointTable { rows, names, hashes, next_number, .. } = self;
        let name_of = |id: &EndpointId| rows.get(&id.0).map_or("", |row| row.name.as_str());
        let hash = hashes.hash_one(name) as u32;
        if let Some(known) = names.find(NameEntry::spread(hash), |entry| name_of(&entry.id) == name) {
            return known.id;
        }
        let id = EndpointId(*next_number);
        *next_number += 1;
        let entry = NameEntry { hash, id };
        names.insert_unique(NameEntry::spread(hash), entry, |entry| NameEntry::spread(entry.hash));
        rows.insert(id.0, EndpointRow { name: name.into(), address: CompactAddress::Unknown, max_batch: 1 });
        id
    }

    /// Stores where an endpoint is, as the list has it.
    pub fn set_location(&mut self, id: EndpointId, location: EndpointLocation) -> LocationChange {
        let Some(row) = self.rows.get_mut(&id.0) else { return LocationChange::Same };
        row.max_batch = u32::try_from(location.max_batch).unwrap_or(u32::MAX);
        let previous = row.address.get();
        if previous == Some(location.address) {
            return LocationChange::Same;
        }
        row.address = location.address.into();
        if previous.is_some() {
            return LocationChange::Moved;
        }
        self.with_address += 1;
        LocationChange::New
    }

    /// The name of an endpoint, if it is known.
    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.rows.get(&id.0).map(|row| row.name.as_str())
    }

    /// Where an endpoint is, if the list has given an address.
    pub fn location(&self, id: EndpointId) -> Option<EndpointLocation> {
        let row = self.rows.get(&id.0)?;
        Some(EndpointLocation { address: row.address.get()?, max_batch: row.max_batch as usize })
    }

    /// How many endpoints have an address.
    pub fn located(&self) -> usize {
        self.with_address
    }

    /// Forgets an endpoint. If its name is used again, it gets another number.
    pub fn forget(&mut self, id: EndpointId) {
        let Some(row) = self.rows.swap_remove(&id.0) else { return };
        self.with_address -= usize::from(row.address.get().is_some());
        let hash = self.hashes.hash_one(row.name.as_str()) as u32;
        if let Ok(entry) = self.names.find_entry(NameEntry::spread(hash), |entry| entry.id == id) {
            entry.remove();
        }
    }
}
