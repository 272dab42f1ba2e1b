//! Converts a configuration file into the options of a forwarder, and reloads the file while the forwarder
//! runs.

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

use crate::config_file::{self, ConfigSections, EndpointListSummary};
use crate::error::ConfigError;

/// Maximum duration of a graceful shutdown. A planned stop kills the process after 3.7 s at the earliest.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(3500);
/// Duration from the start of a shutdown for which new connections are accepted, because clients still
/// connect.
const ACCEPT_GRACE: Duration = Duration::from_millis(800);
/// Connect timeout if the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle timeout of connections to endpoints if the settings have none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of entries of a cached endpoint list that are buffered until the list is applied. A longer
/// list is read from the file again.
const MAX_ENTRIES_IN_MEMORY: usize = 10_000;
/// Maximum size of a file that is reloaded on the event loop. A larger file is read in a separate thread, so
/// that the event loop is not blocked.
const MAX_BYTES_ON_EVENT_LOOP: u64 = 1024 * 1024;

/// Upper limits of the configured resources, which prevent overflow when limits are added up.
const MAX_DESCRIPTORS: f64 = 1e6;
const MAX_DISK_BYTES: f64 = 1e15;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Expected form of an address in the configuration.
const ADDRESS_FORM: &str = "IP:PORT";

/// A validated configuration, with the options of the forwarder.
pub struct StartConfig {
    pub options: ForwarderOptions,
    /// Sender that replaces the address of discovery in `options`.
    pub discovery_updates: watch::Sender<SocketAddr>,
    /// Deployment shape derived from the settings.
    pub shape: DeploymentShape,
    /// Values with which a reloaded file is compared.
    pub reloadable: ReloadableConfig,
}

/// The parts of a configuration file that are evaluated by a reload.
pub struct ReloadableConfig {
    discovery: SocketAddr,
    restart_only: [RestartOnlySection; 3],
}

/// A section whose changes take effect only after a restart.
#[derive(PartialEq)]
struct RestartOnlySection {
    name: &'static str,
    value: Value,
}

impl ReloadableConfig {
    fn new(discovery: SocketAddr, sections: &ConfigSections) -> ReloadableConfig {
        let section = |name, value: &Value| RestartOnlySection { name, value: value.clone() };
        let restart_only = [
            section("listen", &sections.listen),
            section("limits", &sections.limits),
            section("settings", &sections.settings),
        ];
        ReloadableConfig { discovery, restart_only }
    }

    /// Returns the address of discovery and delivery notices, whose change takes effect without a restart.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// Returns the names of the sections that differ from the configuration at start and need a restart.
    pub fn needs_restart(&self, at_start: &ReloadableConfig) -> Vec<&'static str> {
        let pairs = self.restart_only.iter().zip(&at_start.restart_only);
        pairs.filter(|(current, initial)| current != initial).map(|(current, _)| current.name).collect()
    }
}

impl StartConfig {
    /// Reads and validates a configuration file for a forwarder with the state folder `state`.
    pub fn read(file: &Path, state: PathBuf, sync: SyncPolicy) -> Result<StartConfig, ConfigError> {
        let mut entries = EntryBuffer::default();
        let config = config_file::read(file, &mut |entry| entries.push(entry))?;
        let reader = SectionReader { file, sections: &config.sections };
        let settings = reader.settings()?;
        let shape = reader.shape(settings)?;
        let network = NetworkSettings::from_settings(settings);
        let discovery = reader.discovery()?;
        let (discovery_updates, discovery_receiver) = watch::channel(discovery);
        let options = ForwarderOptions {
            listen: reader.listen()?,
            discovery: discovery_receiver,
            state_folder: state,
            resources: reader.resource_limits()?,
            settings: parse_policy_settings(reader.seed()?, settings),
            cached_list: cached_list(file, config.endpoint_list, entries),
            tick: network.tick.unwrap_or_default(),
            sync,
            connect_timeout: network.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            endpoint_idle_timeout: network.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            shutdown_grace: SHUTDOWN_GRACE,
            accept_grace: ACCEPT_GRACE,
        };
        let reloadable = ReloadableConfig::new(discovery, &config.sections);
        Ok(StartConfig { options, discovery_updates, shape, reloadable })
    }
}

/// Reads and validates the configuration file of a running forwarder, in a separate thread if the file is
/// larger than [`MAX_BYTES_ON_EVENT_LOOP`].
pub async fn reload(file: &Path) -> Result<ReloadableConfig, ConfigError> {
    let is_large = std::fs::metadata(file).is_ok_and(|data| data.len() > MAX_BYTES_ON_EVENT_LOOP);
    if !is_large {
        return read_reloadable(file);
    }
    let file = file.to_owned();
    tokio::task::spawn_blocking(move || read_reloadable(&file)).await?
}

fn read_reloadable(file: &Path) -> Result<ReloadableConfig, ConfigError> {
    StartConfig::read(file, PathBuf::new(), SyncPolicy::Never).map(|config| config.reloadable)
}

/// Buffer of at most [`MAX_ENTRIES_IN_MEMORY`] entries of the cached endpoint list.
enum EntryBuffer {
    /// All entries read so far.
    Complete(Vec<ListEntry>),
    /// The list has more entries than fit, and none is kept.
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

/// Returns the endpoint list of a configuration file, from the buffer or as a reader of the file.
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
    sections: &'c ConfigSections,
}

impl<'c> SectionReader<'c> {
    fn settings(&self) -> Result<&'c Map<String, Value>, ConfigError> {
        self.sections.settings.as_object().ok_or_else(|| self.invalid_key("settings", "an object"))
    }

    fn shape(&self, settings: &Map<String, Value>) -> Result<DeploymentShape, ConfigError> {
        DeploymentShape::from_settings(settings)
            .map_err(|source| ConfigError::Settings { file: self.file.to_owned(), source })
    }

    fn listen(&self) -> Result<SocketAddr, ConfigError> {
        parse_address(&self.sections.listen).ok_or_else(|| self.invalid_key("listen", ADDRESS_FORM))
    }

    fn discovery(&self) -> Result<SocketAddr, ConfigError> {
        parse_address(&self.sections.discovery).ok_or_else(|| self.invalid_key("discovery", ADDRESS_FORM))
    }

    /// Parses the seed of the policy's random numbers, which is hexadecimal.
    fn seed(&self) -> Result<u64, ConfigError> {
        let text = self.sections.seed.as_str();
        let seed = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        seed.ok_or_else(|| self.invalid_key("seed", "a string with a hexadecimal number of 64 bits"))
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

    /// Parses the limit `name`, which is not negative and may have decimals. `key` is its path in the file.
    fn limit(&self, name: &str, key: &'static str) -> Result<f64, ConfigError> {
        let limit = self.sections.limits.get(name).and_then(Value::as_f64);
        let limit = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
        limit.ok_or_else(|| self.invalid_key(key, "a number of at least 0"))
    }

    fn invalid_key(&self, key: &'static str, expected: &'static str) -> ConfigError {
        ConfigError::InvalidKey { file: self.file.to_owned(), key, expected }
    }
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}
