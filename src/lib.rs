//! reeddock decides how a forwarder delivers outbound messages to other firms' systems.
//!
//! All decisions stand in [`control`]. A program that hosts the module implements [`Host`], which carries out
//! what is decided, and calls a [`Forwarder`] with what happens; time comes in with each call, as a span since
//! the start, and nothing else is read.

pub mod chance;
pub mod control;
pub mod host;
pub mod state;

pub use host::*;
pub use state::Forwarder;
