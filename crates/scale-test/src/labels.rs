//! Labels of results. Results are sorted by the labels' names, which are part of the JSON output.

use std::cmp::Ordering;

use serde::{Serialize, Serializer};

use crate::scenario::FaultKind;

/// The part of the system to which a result applies.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Component {
    /// The stub control plane.
    ControlPlane,
    /// The hollow forwarders, which only keep the endpoint list.
    HollowForwarders,
    /// The real forwarders, which are processes of the daemon.
    RealForwarders,
}

impl Component {
    /// Returns the name that appears in results.
    pub fn name(self) -> &'static str {
        match self {
            Component::ControlPlane => "control side",
            Component::HollowForwarders => "hollow",
            Component::RealForwarders => "real",
        }
    }
}

/// A phase of a run, separated by the moment at which the first endpoint list is in effect at all forwarders.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunPhase {
    /// After the first endpoint list is in effect at all forwarders.
    AfterStartup,
    /// Until the first endpoint list is in effect at all forwarders.
    Startup,
}

impl RunPhase {
    /// Returns the name that appears in results.
    pub fn name(self) -> &'static str {
        match self {
            RunPhase::AfterStartup => "after the start",
            RunPhase::Startup => "at the start",
        }
    }
}

/// The condition of a forwarder under which a latency was measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperatingCondition {
    /// No fault affected the forwarder.
    Normal,
    /// The forwarder was started for the first time.
    FirstStart,
    /// The hollow forwarder was restarted; restarts of real forwarders are [`OperatingCondition::Fault`].
    Restart,
    /// A fault of this kind affected the forwarder.
    Fault(FaultKind),
}

impl OperatingCondition {
    /// Returns the name that appears in results.
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

/// The moment from which the latency of an endpoint list change is measured.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LatencyStart {
    /// The control plane made the change.
    ListChange,
    /// The forwarder became reachable again after a fault, or the change was made if that was later.
    ForwarderReachable,
}

impl LatencyStart {
    /// Returns the name that appears in results.
    pub fn name(self) -> &'static str {
        match self {
            LatencyStart::ListChange => "change",
            LatencyStart::ForwarderReachable => "reachable",
        }
    }
}

impl Serialize for Component {
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

impl Serialize for LatencyStart {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}
