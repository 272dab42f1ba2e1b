//! What a forwarder is told at its start: the configuration file, and the folder that lasts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use reeddock_forwarder::cached_endpoint_list::CachedEndpointList;
use reeddock_forwarder::limits::ResourceLimits;
use reeddock_forwarder::ForwarderOptions;
use reeddock_protocol::{Entry, ListPart};
use reeddock_settings::{parse_settings, DeploymentShape, NetworkSettings};
use serde_json::Value;
use tokio::sync::watch;

use crate::config_file::{self, Contents, Known};

/// A planned stop is followed by a kill 3.7 s later at the soonest, and new clients come for 0.4 s.
const LEAVE_WITHIN: Duration = Duration::from_millis(3500);
const CLIENTS_COME_FOR: Duration = Duration::from_millis(800);
/// Where the settings tell nothing of connections.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
const CLOSED_AFTER: Duration = Duration::from_secs(5);

/// What a running forwarder takes from its file when that is read again, and what only a start does.
#[derive(PartialEq)]
pub struct ReloadableConfig {
    pub discovery: SocketAddr,
    pub shape: DeploymentShape,
    fixed: [(&'static str, Value); 3],
}

impl ReloadableConfig {
    /// The parts that differ from those that this process started with.
    pub fn needs_restart(&self, started: &ReloadableConfig) -> Vec<&'static str> {
        let both = self.fixed.iter().zip(&started.fixed);
        both.filter(|(now, then)| now != then).map(|(now, _)| now.0).collect()
    }
}

/// Entries of a known list up to which it is kept in memory until it is applied; a longer one is read again.
const ENTRIES_KEPT: usize = 10_000;

fn keep(kept: &mut Option<Vec<Entry>>, entry: Entry) {
    if kept.as_ref().is_some_and(|kept| kept.len() >= ENTRIES_KEPT) {
        *kept = None;
    }
    if let Some(kept) = kept {
        kept.push(entry);
    }
}

/// The list that was found in a file, with its entries if they were kept.
fn known_list(
    file: &Path,
    Known { generation, entries }: Known,
    kept: Option<Vec<Entry>>,
) -> CachedEndpointList {
    if let Some(entries) = kept {
        return ListPart { generation, whole: true, entries }.into();
    }
    let file = file.to_owned();
    CachedEndpointList::new(
        generation,
        entries,
        Box::new(move |each| config_file::read(&file, each).map(drop)),
    )
}

/// A configuration longer than this is not read between two events.
const LONG_FILE: u64 = 1024 * 1024;

/// Reads a file again for a process that serves: a long one in a thread beside it.
pub async fn read_again(file: &Path) -> Result<ReloadableConfig, String> {
    let read = |file: &Path| read(file, PathBuf::new()).map(|(.., standing)| standing);
    let long = std::fs::metadata(file).is_ok_and(|data| data.len() > LONG_FILE);
    if !long {
        return read(file);
    }
    let file = file.to_owned();
    tokio::task::spawn_blocking(move || read(&file)).await.map_err(|e| e.to_string())?
}

pub fn read(
    file: &Path,
    state: PathBuf,
) -> Result<(ForwarderOptions, watch::Sender<SocketAddr>, ReloadableConfig), String> {
    let name = file.display();
    let mut kept = Some(Vec::new());
    let Contents { parts: told, known } = config_file::read(file, &mut |entry| keep(&mut kept, entry))?;
    let fixed =
        ["listen", "limits", "settings"].map(|part| (part, told.get(part).cloned().unwrap_or_default()));
    let known = known.map_or_else(CachedEndpointList::none, |known| known_list(file, known, kept));
    let missing = |what: &str| format!("{name}: {what} is missing or malformed");
    let address = |what: &str| -> Result<SocketAddr, String> {
        told.get(what).and_then(Value::as_str).and_then(|a| a.parse().ok()).ok_or_else(|| missing(what))
    };
    let seed = told.get("seed").and_then(Value::as_str).and_then(|s| u64::from_str_radix(s, 16).ok());
    let settings = told.get("settings").and_then(Value::as_object).ok_or_else(|| missing("settings"))?;
    let limit = |what: &str| {
        // Parts of a megabyte are told with decimals.
        let limit = told.get("limits").and_then(|l| l.get(what)).and_then(Value::as_f64);
        limit.filter(|l| l.is_finite() && *l >= 0.0).ok_or_else(|| missing(&format!("limits.{what}")))
    };
    let shape = DeploymentShape::of(settings).map_err(|fault| format!("{name}: settings.{fault}"))?;
    let reach = NetworkSettings::of(settings);
    let at = address("discovery")?;
    let (moves, discovery) = watch::channel(at);
    let options = ForwarderOptions {
        listen: address("listen")?,
        discovery,
        state,
        resources: ResourceLimits {
            memory_bytes: (limit("memory_mb")? * 1e6) as u64,
            descriptors: limit("sockets")?.min(1e6) as usize,
            disk_bytes: (limit("disk_mb")? * 1e6).min(1e15) as u64,
        },
        cached_list: known,
        settings: parse_settings(seed.ok_or_else(|| missing("seed"))?, settings),
        tick: reach.tick.unwrap_or_default(),
        sync: Default::default(),
        connect_within: reach.connect_within.unwrap_or(CONNECT_WITHIN),
        closed_after: reach.idle.unwrap_or(CLOSED_AFTER),
        shutdown_grace: LEAVE_WITHIN,
        accept_grace: CLIENTS_COME_FOR,
    };
    Ok((options, moves, ReloadableConfig { discovery: at, shape, fixed }))
}
