//! The command `check`: validates a configuration and prints what follows from it.

use std::path::{Path, PathBuf};

use reeddock::MessageClass;
use reeddock_forwarder::limits::Limits;
use reeddock_wal::SyncPolicy;

use crate::error::ConfigError;
use crate::startup::StartConfig;

/// Prints the addresses, the cached endpoint list, the message classes, the shape and the limits.
pub fn run(config: &Path) -> Result<(), ConfigError> {
    // The state folder is not touched, so that none is needed.
    let StartConfig { options, shape, reloadable, .. } =
        StartConfig::read(config, PathBuf::new(), SyncPolicy::Never)?;
    println!("listens on {}, discovery and notices at {}", options.listen, reloadable.discovery());
    let cached_list = &options.cached_list;
    println!("{} targets known, generation {}", cached_list.endpoints, cached_list.generation);
    options.settings.classes.iter().for_each(print_class);
    println!("shape {shape}");
    let settings = &options.settings;
    println!("slots {:?}, room for {:?} envelopes", settings.max_in_flight, settings.capacity);
    println!("{:?}", Limits::derive(options.resources));
    Ok(())
}

fn print_class(class: &MessageClass) {
    let idempotency = match class.idempotency {
        Some(idempotency) => format!("{idempotency:?}"),
        None => "effect not understood, so effectful".into(),
    };
    println!(
        "category {}: {idempotency}, promised {:?}, outer limit {:?}",
        class.name, class.latency_objective, class.deadline
    );
}
