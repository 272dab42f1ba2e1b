//! Turns a configuration file into the options of a forwarder, at its start and when the file is reloaded.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use reeddock_forwarder::cached_endpoint_list::CachedEndpointList;
use reeddock_forwarder::limits::ResourceLimits;
use reeddock_forwarder::ForwarderOptions;
use reeddock_protocol::{ListEntry, ListPart};
use reeddock_settings::{parse_policy_settings, DeploymentShape, NetworkSettings};
use reeddock_wal::SyncPolicy;
use serde_json::{Map, Value};
use tokio::sync::watch;

use crate::config_file::{self, EndpointListSummary, Sections};
use crate::error::ConfigError;

/// How long a graceful shutdown may take: a planned stop is followed by a kill 3.7 s later at the soonest.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(3500);
/// How long new connections are accepted in a shutdown: clients still come for 0.4 s, and this is twice that.
const ACCEPT_GRACE: Duration = Duration::from_millis(800);
/// The connect timeout if the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The idle timeout of connections to endpoints if the settings have none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A cached endpoint list with more entries than this is not kept in memory until it is applied, but read from the
/// file once more.
const MAX_ENTRIES_IN_MEMORY: usize = 10_000;
/// A file of more bytes than this is reloaded in a thread of its own, as it would block the event loop.
const MAX_BYTES_ON_EVENT_LOOP: u64 = 1024 * 1024;

/// Limits are capped where no machine has more, so that sums of them stay in range.
const MAX_DESCRIPTORS: f64 = 1e6;
const MAX_DISK_BYTES: f64 = 1e15;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// A forwarder as its configuration file describes it.
pub struct StartConfig {
    /// The options of the forwarder.
    pub options: ForwarderOptions,
    /// Changes the address of discovery that `options` began with.
    pub discovery_updates: watch::Sender<SocketAddr>,
    /// How the deployment is laid out.
    pub shape: DeploymentShape,
    /// The values with which a reloaded file is compared.
    pub reloadable: ReloadableConfig,
}

/// The parts of a configuration file that matter when it is reloaded while the forwarder runs.
pub struct ReloadableConfig {
    discovery: SocketAddr,
    restart_only: [RestartOnlySection; 3],
}

/// A section that takes effect at a start only.
#[derive(PartialEq)]
struct RestartOnlySection {
    name: &'static str,
    value: Value,
}

impl ReloadableConfig {
    fn new(discovery: SocketAddr, sections: &Sections) -> ReloadableConfig {
        let section = |name, value: &Value| RestartOnlySection { name, value: value.clone() };
        let restart_only = [
            section("listen", &sections.listen),
            section("limits", &sections.limits),
            section("settings", &sections.settings),
        ];
        ReloadableConfig { discovery, restart_only }
    }

    /// The address of discovery and of the platform, which takes effect at once.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// The sections that differ from those that this process started with, and so wait for a restart.
    pub fn needs_restart(&self, started_with: &ReloadableConfig) -> Vec<&'static str> {
        let pairs = self.restart_only.iter().zip(&started_with.restart_only);
        pairs.filter(|(now, then)| now != then).map(|(now, _)| now.name).collect()
    }
}

impl StartConfig {
    /// Reads a configuration file for a forwarder whose state is kept in `state`.
    pub fn read(file: &Path, state: PathBuf, sync: SyncPolicy) -> Result<StartConfig, ConfigError> {
        let mut entries = EntryBuffer::default();
        let contents = config_file::read(file, &mut |entry| entries.push(entry))?;
        let reader = SectionReader { file, sections: &contents.sections };
        let settings = reader.settings()?;
        let shape = reader.shape(settings)?;
        let network = NetworkSettings::from_settings(settings);
        let discovery = reader.discovery()?;
        let (discovery_updates, watched_discovery) = watch::channel(discovery);
        let options = ForwarderOptions {
            listen: reader.listen()?,
            discovery: watched_discovery,
            state_folder: state,
            resources: reader.resource_limits()?,
            settings: parse_policy_settings(reader.seed()?, settings),
            cached_list: cached_list(file, contents.endpoint_list, entries),
            tick: network.tick.unwrap_or_default(),
            sync,
            connect_timeout: network.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            endpoint_idle_timeout: network.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            shutdown_grace: SHUTDOWN_GRACE,
            accept_grace: ACCEPT_GRACE,
        };
        let reloadable = ReloadableConfig::new(discovery, &contents.sections);
        Ok(StartConfig { options, discovery_updates, shape, reloadable })
    }
}

/// Reloads and validates the configuration file of a running forwarder; a long file is read in a thread of its own.
pub async fn reload(file: &Path) -> Result<ReloadableConfig, ConfigError> {
    let is_long = std::fs::metadata(file).is_ok_and(|data| data.len() > MAX_BYTES_ON_EVENT_LOOP);
    if !is_long {
        return read_reloadable(file);
    }
    let file = file.to_owned();
    tokio::task::spawn_blocking(move || read_reloadable(&file)).await?
}

fn read_reloadable(file: &Path) -> Result<ReloadableConfig, ConfigError> {
    StartConfig::read(file, PathBuf::new(), SyncPolicy::Never).map(|config| config.reloadable)
}

/// The entries of the cached endpoint list as they are read, up to [`MAX_ENTRIES_IN_MEMORY`].
enum EntryBuffer {
    /// All entries so far.
    Complete(Vec<ListEntry>),
    /// There were more, and none is kept.
    Overflowed,
}

impl Default for EntryBuffer {
    fn default() -> EntryBuffer {
        EntryBuffer::Complete(Vec::new())
    }
}

impl EntryBuffer {
    fn push(&mut self, entry: ListEntry) {
        match self {
            EntryBuffer::Complete(entries) if entries.len() < MAX_ENTRIES_IN_MEMORY => entries.push(entry),
            EntryBuffer::Complete(_) => *self = EntryBuffer::Overflowed,
            EntryBuffer::Overflowed => {}
        }
    }
}

/// The endpoint list of a configuration file: from memory, or read from the file as it is applied.
fn cached_list(
    file: &Path,
    summary: Option<EndpointListSummary>,
    entries: EntryBuffer,
) -> CachedEndpointList {
    let Some(EndpointListSummary { generation, entry_count }) = summary else {
        return CachedEndpointList::none();
    };
    match entries {
        EntryBuffer::Complete(entries) => ListPart { generation, is_full_list: true, entries }.into(),
        EntryBuffer::Overflowed => {
            let file = file.to_owned();
            let read_entries = Box::new(move |apply: &mut dyn FnMut(ListEntry)| {
                config_file::read(&file, apply).map(drop).map_err(Into::into)
            });
            CachedEndpointList::new(generation, entry_count, read_entries)
        }
    }
}

/// Parses typed values from the sections of one file.
struct SectionReader<'c> {
    file: &'c Path,
    sections: &'c Sections,
}

impl<'c> SectionReader<'c> {
    fn settings(&self) -> Result<&'c Map<String, Value>, ConfigError> {
        self.sections.settings.as_object().ok_or_else(|| self.missing("settings"))
    }

    fn shape(&self, settings: &Map<String, Value>) -> Result<DeploymentShape, ConfigError> {
        DeploymentShape::from_settings(settings)
            .map_err(|source| ConfigError::Settings { file: self.file.to_owned(), source })
    }

    fn listen(&self) -> Result<SocketAddr, ConfigError> {
        parse_address(&self.sections.listen).ok_or_else(|| self.missing("listen"))
    }

    fn discovery(&self) -> Result<SocketAddr, ConfigError> {
        parse_address(&self.sections.discovery).ok_or_else(|| self.missing("discovery"))
    }

    /// The seed of the policy's random numbers, in hexadecimal.
    fn seed(&self) -> Result<u64, ConfigError> {
        let text = self.sections.seed.as_str();
        let seed = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        seed.ok_or_else(|| self.missing("seed"))
    }

    fn resource_limits(&self) -> Result<ResourceLimits, ConfigError> {
        let memory_bytes = self.limit("memory_mb", "limits.memory_mb")? * BYTES_PER_MEGABYTE;
        let descriptors = self.limit("sockets", "limits.sockets")?.min(MAX_DESCRIPTORS);
        let disk_bytes = self.limit("disk_mb", "limits.disk_mb")? * BYTES_PER_MEGABYTE;
        Ok(ResourceLimits {
            memory_bytes: memory_bytes as u64,
            descriptors: descriptors as usize,
            disk_bytes: disk_bytes.min(MAX_DISK_BYTES) as u64,
        })
    }

    /// A limit of 0 or more, possibly with decimals.
    fn limit(&self, name: &str, key: &'static str) -> Result<f64, ConfigError> {
        let limit = self.sections.limits.get(name).and_then(Value::as_f64);
        let limit = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
        limit.ok_or_else(|| self.missing(key))
    }

    fn missing(&self, key: &'static str) -> ConfigError {
        ConfigError::MissingKey { file: self.file.to_owned(), key }
    }
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}
