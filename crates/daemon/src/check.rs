//! The command `check`: validates a configuration and prints the values derived from it.

use std::path::{Path, PathBuf};
use std::time::Duration;

use reeddock::{Idempotency, IdempotencyKeyScope, MessageClass};
use reeddock_forwarder::limits::Limits;
use reeddock_wal::SyncPolicy;

use crate::error::ConfigError;
use crate::startup::StartConfig;

/// Prints the addresses, the cached endpoint list, the message classes, the deployment shape and the limits.
pub fn run(config: &Path) -> Result<(), ConfigError> {
    // The state folder and the sync policy are not used by a check.
    let StartConfig { options, shape, reloadable, .. } =
        StartConfig::read(config, PathBuf::new(), SyncPolicy::Never)?;
    println!(
        "listen address {}, address of discovery and delivery notices {}",
        options.listen,
        reloadable.discovery()
    );
    let cached_list = &options.cached_list;
    println!(
        "cached endpoint list: {} endpoints, generation {}",
        cached_list.endpoints, cached_list.generation
    );
    options.settings.classes.iter().for_each(print_class);
    println!("shape {shape}");
    let settings = &options.settings;
    println!(
        "maximum requests in flight: {}; maximum pending messages: {}",
        format_or_not_given(settings.max_in_flight),
        format_or_not_given(settings.max_pending_messages)
    );
    println!("{}", Limits::derive(options.resources));
    Ok(())
}

fn print_class(class: &MessageClass) {
    println!(
        "message class {}: {}, latency objective {}, deadline {}",
        class.name,
        describe_idempotency(class.idempotency),
        format_or_not_given(class.latency_objective.map(format_seconds)),
        format_or_not_given(class.deadline.map(format_seconds))
    );
}

fn describe_idempotency(idempotency: Option<Idempotency>) -> String {
    match idempotency {
        Some(Idempotency::Idempotent) => "idempotent".into(),
        Some(Idempotency::WithKey { window, scope }) => {
            let scope = match scope {
                IdempotencyKeyScope::Region => "region",
                IdempotencyKeyScope::Zone => "zone",
            };
            format!("with an idempotency key for {} within a {scope}", format_seconds(window))
        }
        Some(Idempotency::NonIdempotent) => "non-idempotent".into(),
        None => "idempotency unknown, treated as non-idempotent".into(),
    }
}

fn format_seconds(duration: Duration) -> String {
    format!("{} s", duration.as_secs_f64())
}

fn format_or_not_given(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "not given".to_owned(), |value| value.to_string())
}
