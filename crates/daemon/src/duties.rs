//! What a forwarder is told at its start: the configuration file, and the folder that lasts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use reeddock_forwarder::limits::Allowance;
use reeddock_forwarder::Post;
use reeddock_protocol::ListPart;
use reeddock_terms::{terms, Reach, Shape};
use serde_json::Value;
use tokio::sync::watch;

/// A planned stop is followed by a kill 3.7 s later at the soonest, and new clients come for 0.4 s.
const LEAVE_WITHIN: Duration = Duration::from_millis(3500);
const CLIENTS_COME_FOR: Duration = Duration::from_millis(800);
/// Where the settings tell nothing of connections.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
const CLOSED_AFTER: Duration = Duration::from_secs(5);

/// What a running forwarder takes from its file when that is read again, and what only a start does.
#[derive(PartialEq)]
pub struct Standing {
    pub discovery: SocketAddr,
    pub shape: Shape,
    fixed: [(&'static str, Value); 3],
}

impl Standing {
    /// The parts that differ from those that this process started with.
    pub fn needs_restart(&self, started: &Standing) -> Vec<&'static str> {
        let both = self.fixed.iter().zip(&started.fixed);
        both.filter(|(now, then)| now != then).map(|(now, _)| now.0).collect()
    }
}

pub fn read(file: &Path, state: PathBuf) -> Result<(Post, watch::Sender<SocketAddr>, Standing), String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("cannot read {name}: {e}"))?;
    let mut told: Value = serde_json::from_str(&text).map_err(|e| format!("{name} is not JSON: {e}"))?;
    let fixed = ["listen", "limits", "settings"].map(|part| (part, told[part].clone()));
    let known = told.get_mut("known").map(Value::take);
    let known = match known.filter(|k| !k.is_null()) {
        Some(list) => ListPart::decode_value(list).map_err(|e| format!("{name}: known: {e}"))?,
        None => ListPart { generation: 0, whole: true, entries: Vec::new() },
    };
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
    let shape = Shape::of(settings).map_err(|fault| format!("{name}: settings.{fault}"))?;
    let reach = Reach::of(settings);
    let at = address("discovery")?;
    let (moves, discovery) = watch::channel(at);
    let post = Post {
        listen: address("listen")?,
        discovery,
        state,
        allowance: Allowance {
            memory_bytes: (limit("memory_mb")? * 1e6) as u64,
            descriptors: limit("sockets")?.min(1e6) as usize,
            disk_bytes: (limit("disk_mb")? * 1e6).min(1e15) as u64,
        },
        known,
        terms: terms(seed.ok_or_else(|| missing("seed"))?, settings),
        tick: reach.tick.unwrap_or_default(),
        sync: Default::default(),
        connect_within: reach.connect_within.unwrap_or(CONNECT_WITHIN),
        closed_after: reach.idle.unwrap_or(CLOSED_AFTER),
        leave_within: LEAVE_WITHIN,
        clients_come_for: CLIENTS_COME_FOR,
    };
    Ok((post, moves, Standing { discovery: at, shape, fixed }))
}
