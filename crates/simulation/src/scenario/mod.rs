//! The scenario file, version 1: what a fleet, its client programs, its destinations and a day's faults are like.
//!
//! What is unknown or out of range is refused with file, line and what was expected; nothing is guessed. The
//! keys of the file are the operators' words, which stay as they are; a field whose name differs says its key.

mod defaults;
mod destinations;
mod error;
mod messages;
mod model;
mod overrides;
mod reader;
mod settings;
mod validation;
mod world;

pub use destinations::{DestinationKind, RateLimit};
pub use error::{ScenarioError, ScenarioProblem};
pub use messages::{ClassDecay, ClassIdempotency, ClassSpec, Program};
pub use model::{Scenario, ScheduledFault, SearchFinding, VERSION};
pub use overrides::{OverrideError, ValueOverride};
pub use settings::{zone_name, OVER_QUOTA_WEIGHT};
pub use validation::ValidationError;
pub use world::{
    EndpointListSettings, Fleet, GossipSettings, ListWeights, Network, RecoverySettings, Traffic, ZonePath,
};
