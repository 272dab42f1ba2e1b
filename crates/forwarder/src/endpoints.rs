//! Names, ids and addresses of the endpoints.

use std::hash::BuildHasher;
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};

use hashbrown::{DefaultHashBuilder, HashTable};
use indexmap::IndexMap;
use reeddock::EndpointId;
use smol_str::SmolStr;

/// A socket address in 16 bytes. Nearly all endpoints have IPv4 addresses, so that IPv6 addresses are boxed.
enum CompactAddress {
    /// The endpoint list has not given an address.
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

struct EndpointRow {
    name: SmolStr,
    address: CompactAddress,
    max_batch: u32,
}

/// The address of an endpoint, and the limit on messages in one request to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLocation {
    /// The address from the endpoint list.
    pub address: SocketAddr,
    /// The maximum number of messages that the endpoint accepts in one request.
    pub max_batch: usize,
}

/// The change of an endpoint's address by [`EndpointTable::set_location`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocationChange {
    /// The endpoint had no address before.
    New,
    /// The endpoint had another address before.
    Moved,
    /// The endpoint had the same address before, or is unknown.
    Same,
}

/// An entry in the index of names. The stored hash lets the index grow without hashing all names again, which
/// would block the event loop when there are hundreds of thousands of names.
struct NameEntry {
    hash: u32,
    id: EndpointId,
}

impl NameEntry {
    /// Extends the stored 32 bits of a name's hash to the 64 bits that the index uses.
    fn index_hash(hash: u32) -> u64 {
        u64::from(hash) << 32 | u64::from(hash)
    }
}

/// All endpoints that have an id and are not forgotten. Unless it says otherwise, an operation takes constant
/// time, independent of the number of endpoints.
#[derive(Default)]
pub struct EndpointTable {
    /// The endpoints by the number in their id.
    rows: IndexMap<u32, EndpointRow, DefaultHashBuilder>,
    /// The index of the same endpoints by name.
    names: HashTable<NameEntry>,
    hash_builder: DefaultHashBuilder,
    next_number: u32,
    located_count: usize,
}

impl EndpointTable {
    /// Returns the id of an endpoint, and assigns one when the name is used for the first time.
    ///
    /// An endpoint keeps its id until it is forgotten. An id is never assigned again.
    pub fn id_for_name(&mut self, name: &str) -> EndpointId {
        let EndpointTable { rows, names, hash_builder, next_number, .. } = self;
        let name_of = |id: &EndpointId| rows.get(&id.0).map_or("", |row| row.name.as_str());
        let hash = hash_builder.hash_one(name) as u32;
        if let Some(known) = names.find(NameEntry::index_hash(hash), |entry| name_of(&entry.id) == name) {
            return known.id;
        }
        let id = EndpointId(*next_number);
        *next_number += 1;
        let entry = NameEntry { hash, id };
        names.insert_unique(NameEntry::index_hash(hash), entry, |entry| NameEntry::index_hash(entry.hash));
        rows.insert(id.0, EndpointRow { name: name.into(), address: CompactAddress::Unknown, max_batch: 1 });
        id
    }

    /// Stores the address and batch limit that the endpoint list gives for an endpoint.
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
        self.located_count += 1;
        LocationChange::New
    }

    /// Returns the name of an endpoint, or `None` if the endpoint is unknown.
    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.rows.get(&id.0).map(|row| row.name.as_str())
    }

    /// Returns the location of an endpoint, or `None` if the endpoint list has given no address for it.
    pub fn location(&self, id: EndpointId) -> Option<EndpointLocation> {
        let row = self.rows.get(&id.0)?;
        Some(EndpointLocation { address: row.address.get()?, max_batch: row.max_batch as usize })
    }

    /// Returns the endpoints whose last address is this one. Takes time in proportion to the number of all
    /// endpoints, and is meant for rare events.
    pub fn endpoints_at(&self, address: SocketAddr) -> Vec<EndpointId> {
        let at_address = self.rows.iter().filter(|(_, row)| row.address.get() == Some(address));
        at_address.map(|(number, _)| EndpointId(*number)).collect()
    }

    /// Returns the number of endpoints that have an address.
    pub fn located_count(&self) -> usize {
        self.located_count
    }

    /// Forgets an endpoint. If its name is used again, the endpoint gets another id.
    pub fn forget(&mut self, id: EndpointId) {
        let Some(row) = self.rows.swap_remove(&id.0) else { return };
        self.located_count -= usize::from(row.address.get().is_some());
        let hash = self.hash_builder.hash_one(row.name.as_str()) as u32;
        if let Ok(entry) = self.names.find_entry(NameEntry::index_hash(hash), |entry| entry.id == id) {
            entry.remove();
        }
    }
}
