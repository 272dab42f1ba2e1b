//! The labels under which results are kept apart. Their names are part of the JSON output, and they are ordered by
//! name.

use std::cmp::Ordering;

use serde::{Serialize, Serializer};

use crate::scenario::FaultKind;

/// A role of a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// The control plane.
    ControlPlane,
    /// Hollow forwarders.
    Hollow,
    /// Real forwarders.
    Real,
}

impl Role {
    /// The name in results.
    pub fn name(self) -> &'static str {
        match self {
            Role::ControlPlane => "control side",
            Role::Hollow => "hollow",
            Role::Real => "real",
        }
    }
}

/// A phase of a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunPhase {
    /// After the list was in force everywhere.
    AfterStartup,
    /// Until then.
    Startup,
}

impl RunPhase {
    /// The name in results.
    pub fn name(self) -> &'static str {
        match self {
            RunPhase::AfterStartup => "after the start",
            RunPhase::Startup => "at the start",
        }
    }
}

/// The circumstances under which a latency was measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperatingCondition {
    /// No fault concerned the forwarder.
    Normal,
    /// The forwarder was started for the first time.
    FirstStart,
    /// A hollow forwarder was restarted.
    Restart,
    /// A fault concerned the forwarder.
    Fault(FaultKind),
}

impl OperatingCondition {
    /// The name in results.
    pub fn name(self) -> &'static str {
        match self {
            OperatingCondition::Normal => "calm",
            OperatingCondition::FirstStart => "first start",
            OperatingCondition::Restart => "restart",
            OperatingCondition::Fault(kind) => kind.name(),
        }
    }
}

impl Ord for OperatingCondition {
    fn cmp(&self, other: &OperatingCondition) -> Ordering {
        self.name().cmp(other.name())
    }
}

impl PartialOrd for OperatingCondition {
    fn partial_cmp(&self, other: &OperatingCondition) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The moment from which the latency of a change counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Since {
    /// The change was made.
    Change,
    /// The forwarder could be reached again after a fault.
    Reachable,
}

impl Since {
    /// The name in results.
    pub fn name(self) -> &'static str {
        match self {
            Since::Change => "change",
            Since::Reachable => "reachable",
        }
    }
}

impl Serialize for Role {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

impl Serialize for RunPhase {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

impl Serialize for OperatingCondition {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

impl Serialize for Since {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}
