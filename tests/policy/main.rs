//! The delivery policy on a recording host: one module for each subject, one behaviour for each test.
//!
//! In debug builds the policy compares each of its indices with a full walk as it goes.

mod support;

mod circuit_breaker;
mod discovery;
mod endpoint_selection;
mod eviction;
mod expiry;
mod fleet_pacing;
mod idempotency;
mod load_reports;
mod ordering;
mod restore;
mod retries;
mod retry_after;
mod robustness;
mod scheduling;
mod shutdown;
mod slow_start;
mod wake_ups;
