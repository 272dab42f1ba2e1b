//! The authoritative endpoint list of the control plane: the entries, the last changes, and full lists that are
//! serialized once and shared by all watches that are sent them.

use std::collections::VecDeque;
use std::fmt::Write;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::watch;

use crate::lock::lock;

/// Changes that are retained; a watch that is further behind is sent the full list.
const RETAINED_CHANGES: usize = 4_096;
/// A serialized full list is sent again, followed by the changes since, until so many have been made.
const FULL_LIST_REUSE_LIMIT: u64 = 512;
/// Size of one chunk of a full list, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Spare room in a chunk's buffer, in bytes, so that its last entry does not make it grow.
const CHUNK_SPARE_BYTES: usize = 256;
/// The generation of the list at the start.
const FIRST_GENERATION: u64 = 1;

/// One endpoint. Its instance name and its destination follow from its index in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The generation of its last change.
    pub generation: u64,
}

/// The instance name of the endpoint at an index.
pub fn instance_name(index: u32) -> String {
    format!("s-{index:08x}")
}

/// The index in an instance name; None for names that no list of this program has.
pub fn instance_index(name: &str) -> Option<u32> {
    let digits = name.strip_prefix("s-").filter(|digits| digits.len() == 8)?;
    u32::from_str_radix(digits, 16).ok()
}

/// One change, which is one generation.
#[derive(Clone)]
pub struct Change {
    /// The generation.
    pub generation: u64,
    /// The entry as JSON, as it is sent in a line.
    pub entry: Bytes,
    /// The line with this change alone.
    pub line: Bytes,
}

/// The full list of one generation, serialized, in chunks that all watches share.
pub struct FullList {
    /// The generation.
    pub generation: u64,
    /// The bytes, in order.
    pub chunks: Vec<Bytes>,
}

impl FullList {
    /// Bytes of all chunks.
    pub fn size(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

/// All endpoints at one moment.
pub struct ListSnapshot {
    /// The generation of the list.
    pub generation: u64,
    /// The endpoints by index.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The content of the list.
struct State {
    generation: u64,
    endpoints: Vec<ListedEndpoint>,
    /// The last changes, oldest first, without gaps.
    changes: VecDeque<Change>,
    /// When each generation was made, from the first on.
    made_at: Vec<Instant>,
}

/// The endpoint list, shared by the control plane and the task that changes it.
pub struct AuthoritativeList {
    state: Mutex<State>,
    /// Carries the newest generation.
    generations: watch::Sender<u64>,
    /// The full list that was serialized last.
    full_list: tokio::sync::Mutex<Option<Arc<FullList>>>,
}

impl AuthoritativeList {
    /// A list of so many endpoints; `address` gives the address of each index.
    pub fn new(endpoints: u32, address: impl Fn(u32) -> SocketAddrV4) -> AuthoritativeList {
        let endpoint = |index| ListedEndpoint { address: address(index), generation: FIRST_GENERATION };
        let state = State {
            generation: FIRST_GENERATION,
            endpoints: (0..endpoints).map(endpoint).collect(),
            changes: VecDeque::new(),
            made_at: vec![Instant::now()],
        };
        AuthoritativeList {
            state: Mutex::new(state),
            generations: watch::Sender::new(FIRST_GENERATION),
            full_list: tokio::sync::Mutex::new(None),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Moves an endpoint, or adds one behind the last, and returns the generation of the change.
    pub fn put(&self, index: u32, address: SocketAddrV4) -> u64 {
        let mut state = self.state();
        let generation = state.generation + 1;
        let endpoint = ListedEndpoint { address, generation };
        match state.endpoints.get_mut(index as usize) {
            Some(old) => *old = endpoint,
            None => state.endpoints.push(endpoint),
        }
        let mut entry = String::new();
        write_entry(&mut entry, index, &endpoint);
        let line = Bytes::from(change_line(generation, &[entry.as_bytes()]));
        state.changes.push_back(Change { generation, entry: Bytes::from(entry), line });
        if state.changes.len() > RETAINED_CHANGES {
            state.changes.pop_front();
        }
        state.generation = generation;
        state.made_at.push(Instant::now());
        drop(state);
        self.generations.send_replace(generation);
        generation
    }

    /// Forgets all changes, as a control plane that restarts without its history.
    pub fn forget_changes(&self) {
        self.state().changes.clear();
    }

    /// A channel that carries each new generation.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.generations.subscribe()
    }

    /// The newest generation.
    pub fn generation(&self) -> u64 {
        self.state().generation
    }

    /// When a generation was made; none for one that was not.
    pub fn made_at(&self, generation: u64) -> Option<Instant> {
        let index = generation.checked_sub(FIRST_GENERATION)?;
        self.state().made_at.get(usize::try_from(index).ok()?).copied()
    }

    /// The number of endpoints now.
    pub fn len(&self) -> usize {
        self.state().endpoints.len()
    }

    /// Whether the list has no endpoint.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All endpoints as they are now.
    pub fn snapshot(&self) -> ListSnapshot {
        let state = self.state();
        ListSnapshot { generation: state.generation, endpoints: state.endpoints.clone() }
    }

    /// The changes after a generation, `limit` at most; none where some of them are no longer retained, or the
    /// generation was never made.
    pub fn changes_after(&self, generation: u64, limit: usize) -> Option<Vec<Change>> {
        let state = self.state();
        if generation > state.generation {
            return None;
        }
        let behind = usize::try_from(state.generation - generation).ok()?;
        let start = state.changes.len().checked_sub(behind)?;
        Some(state.changes.range(start..).take(limit).cloned().collect())
    }

    /// A full list after which all changes until now are retained. It is serialized anew where the last one is too
    /// old.
    pub async fn full_list(self: &Arc<AuthoritativeList>) -> Arc<FullList> {
        let mut cached = self.full_list.lock().await;
        if let Some(full_list) = cached.as_ref() {
            let recent = self.generation() - full_list.generation <= FULL_LIST_REUSE_LIMIT;
            if recent && self.changes_after(full_list.generation, 0).is_some() {
                return full_list.clone();
            }
        }
        let ListSnapshot { generation, endpoints } = self.snapshot();
        let serialized = tokio::task::spawn_blocking(move || serialize(generation, &endpoints));
        let full_list = serialized.await.unwrap_or(FullList { generation, chunks: Vec::new() });
        let full_list = Arc::new(full_list);
        *cached = Some(full_list.clone());
        full_list
    }
}

fn write_entry(to: &mut String, index: u32, endpoint: &ListedEndpoint) {
    let name = instance_name(index);
    // Writing into a string cannot fail.
    let _ = write!(
        to,
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"partner\",\
         \"cell\":{index},\"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":0}}",
        endpoint.address
    );
}

/// The line with these entries, which have changed up to a generation.
pub(crate) fn change_line(generation: u64, entries: &[&[u8]]) -> Vec<u8> {
    let mut line = format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[").into_bytes();
    line.extend(entries.join(&b','));
    line.extend_from_slice(b"]}\n");
    line
}

fn serialize(generation: u64, endpoints: &[ListedEndpoint]) -> FullList {
    let empty_chunk = || String::with_capacity(CHUNK_BYTES + CHUNK_SPARE_BYTES);
    let mut chunks = Vec::new();
    let mut chunk = empty_chunk();
    // Writing into a string cannot fail.
    let _ = write!(chunk, "{{\"generation\":{generation},\"reset\":true,\"instances\":[");
    for (index, endpoint) in (0..).zip(endpoints) {
        if index > 0 {
            chunk.push(',');
        }
        write_entry(&mut chunk, index, endpoint);
        if chunk.len() >= CHUNK_BYTES {
            let complete = std::mem::replace(&mut chunk, empty_chunk());
            chunks.push(Bytes::from(complete));
        }
    }
    chunk.push_str("]}\n");
    chunks.push(Bytes::from(chunk));
    FullList { generation, chunks }
}
