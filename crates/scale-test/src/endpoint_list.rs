//! The authoritative endpoint list of the control plane: its entries, the latest changes, and a serialized
//! full list that all watches share.

use std::collections::VecDeque;
use std::fmt::Write;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::watch;

use crate::lock::lock;

/// Maximum number of retained changes. A watch that is further behind is sent a full list.
const RETAINED_CHANGES: usize = 4_096;
/// Maximum number of changes since the full list was last serialized. After more changes, the full list is
/// serialized again; up to this number, the changes are sent after the earlier full list.
const FULL_LIST_REUSE_LIMIT: u64 = 512;
/// Size at which a chunk of a full list is complete, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Additional capacity of a chunk's buffer, in bytes, so that the last entry doesn't cause a reallocation.
const CHUNK_SPARE_BYTES: usize = 256;
/// The generation of a new list.
const FIRST_GENERATION: u64 = 1;

/// An endpoint of the list. Its instance name and its destination are derived from its index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The address at which the endpoint receives requests.
    pub address: SocketAddrV4,
    /// The generation of the endpoint's last change.
    pub generation: u64,
}

/// Returns the instance name of the endpoint at an index.
pub fn instance_name(index: u32) -> String {
    format!("s-{index:08x}")
}

/// Returns the index in an instance name, or `None` if the name doesn't have the form of [`instance_name`].
pub fn instance_index(name: &str) -> Option<u32> {
    let digits = name.strip_prefix("s-").filter(|digits| digits.len() == 8)?;
    u32::from_str_radix(digits, 16).ok()
}

/// A change of one endpoint. Each change has its own generation.
#[derive(Clone)]
pub struct Change {
    /// The generation of the list after the change.
    pub generation: u64,
    /// The entry as JSON, for a line with several changes.
    pub entry: Bytes,
    /// The complete line that contains only this change.
    pub line: Bytes,
}

/// The serialized full list of one generation, in chunks that all watches share.
pub struct FullList {
    /// The generation of the list when it was serialized.
    pub generation: u64,
    /// The bytes of the line, in order.
    pub chunks: Vec<Bytes>,
}

impl FullList {
    /// Returns the size of all chunks together, in bytes.
    pub fn size(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

/// A copy of the list at one moment.
pub struct ListSnapshot {
    /// The generation of the list at that moment.
    pub generation: u64,
    /// The endpoints by index.
    pub endpoints: Vec<ListedEndpoint>,
}

struct ListState {
    generation: u64,
    endpoints: Vec<ListedEndpoint>,
    /// The retained changes, oldest first, with consecutive generations.
    changes: VecDeque<Change>,
    /// The time of each generation, from [`FIRST_GENERATION`] on.
    made_at: Vec<Instant>,
}

/// The endpoint list, shared by the control plane and the task that changes it.
pub struct AuthoritativeList {
    state: Mutex<ListState>,
    /// The newest generation.
    generations: watch::Sender<u64>,
    /// The full list that was serialized last; `None` before the first one.
    full_list: tokio::sync::Mutex<Option<Arc<FullList>>>,
}

impl AuthoritativeList {
    /// Creates a list of `endpoints` endpoints; `address` returns the address of the endpoint at an index.
    pub fn new(endpoints: u32, address: impl Fn(u32) -> SocketAddrV4) -> AuthoritativeList {
        let endpoint = |index| ListedEndpoint { address: address(index), generation: FIRST_GENERATION };
        let state = ListState {
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

    fn state(&self) -> MutexGuard<'_, ListState> {
        lock(&self.state)
    }

    /// Changes the address of an endpoint, or appends an endpoint if the index is not listed. Returns the
    /// generation of the change.
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

    /// Discards all retained changes, as a control plane does that restarts without its history.
    pub fn forget_changes(&self) {
        self.state().changes.clear();
    }

    /// Returns a receiver that is notified of each new generation.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.generations.subscribe()
    }

    /// Returns the newest generation.
    pub fn generation(&self) -> u64 {
        self.state().generation
    }

    /// Returns the time of a generation, or `None` if the list never had this generation.
    pub fn made_at(&self, generation: u64) -> Option<Instant> {
        let index = generation.checked_sub(FIRST_GENERATION)?;
        self.state().made_at.get(usize::try_from(index).ok()?).copied()
    }

    /// Returns the number of endpoints, including those appended since the start.
    pub fn len(&self) -> usize {
        self.state().endpoints.len()
    }

    /// Returns whether the list has no endpoint.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a copy of all endpoints and the generation.
    pub fn snapshot(&self) -> ListSnapshot {
        let state = self.state();
        ListSnapshot { generation: state.generation, endpoints: state.endpoints.clone() }
    }

    /// Returns the first `limit` changes after a generation. Returns `None` if some of the changes after it
    /// are no longer retained, or if the list never had this generation.
    pub fn changes_after(&self, generation: u64, limit: usize) -> Option<Vec<Change>> {
        let state = self.state();
        if generation > state.generation {
            return None;
        }
        let missing = usize::try_from(state.generation - generation).ok()?;
        let start = state.changes.len().checked_sub(missing)?;
        Some(state.changes.range(start..).take(limit).cloned().collect())
    }

    /// Returns a serialized full list. All changes after its generation are still retained. The list is
    /// serialized again if the last one is too old.
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

fn write_entry(text: &mut String, index: u32, endpoint: &ListedEndpoint) {
    let name = instance_name(index);
    // Writing into a string cannot fail.
    let _ = write!(
        text,
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"partner\",\
         \"cell\":{index},\"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":0}}",
        endpoint.address
    );
}

/// Returns the line that contains these changed entries and sets the list's generation.
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
