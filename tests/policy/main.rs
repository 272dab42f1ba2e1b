//! Tests of the delivery policy on a recording host: one module for each subject, one behaviour for each
//! test.
//!
//! In debug builds the policy checks each of its indices against a full scan.

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
