//! The scenario file, version 1: a fleet, its client programs, its destinations and the faults of a run.
//!
//! Unknown keys and values out of range are errors that name the file, the line and what was expected. The
//! keys of the file are stable; a field whose name differs from its key has a `serde` rename.

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
