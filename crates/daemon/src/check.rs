//! The command `check`: validates a configuration and prints what follows from it.

use std::path::{Path, PathBuf};
use std::time::Duration;

use reeddock::{Idempotency, IdempotencyKeyScope, MessageClass};
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
    println!(
        "requests in flight at most: {}; messages without a final answer at most: {}",
        value_or_not_given(settings.max_in_flight),
        value_or_not_given(settings.max_pending_messages)
    );
    println!("{}", Limits::derive(options.resources));
    Ok(())
}

fn print_class(class: &MessageClass) {
    println!(
        "category {}: {}, latency objective {}, deadline {}",
        class.name,
        idempotency_in_words(class.idempotency),
        value_or_not_given(class.latency_objective.map(seconds)),
        value_or_not_given(class.deadline.map(seconds))
    );
}

fn idempotency_in_words(idempotency: Option<Idempotency>) -> String {
    match idempotency {
        Some(Idempotency::Idempotent) => "idempotent".into(),
        Some(Idempotency::WithKey { window, scope }) => {
            let scope = match scope {
                IdempotencyKeyScope::Region => "region",
                IdempotencyKeyScope::Zone => "zone",
            };
            format!("with an idempotency key for {} within a {scope}", seconds(window))
        }
        Some(Idempotency::NonIdempotent) => "non-idempotent".into(),
        None => "idempotency unknown, treated as non-idempotent".into(),
    }
}

fn seconds(span: Duration) -> String {
    format!("{} s", span.as_secs_f64())
}

fn value_or_not_given(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "not given".to_owned(), |value| value.to_string())
}
