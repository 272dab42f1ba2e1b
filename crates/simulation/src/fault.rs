//! What goes wrong. A new fault is an arm of [`Fault`], and the places that the compiler then names.

use serde::{Deserialize, Serialize};

use crate::distribution::{Amount, Distribution, Share, Span};
use crate::scenario::Scenario;

/// Whom a fault meets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointSelector {
    /// Destinations by rank of traffic, from 0; where none are named, a share is drawn.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub destinations: Vec<u32>,
    /// Share of all destinations, drawn by the seed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// Share of the endpoints of each that it meets, one at least; all of them where it is absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub targets: Option<Share>,
}

/// Forwarders, by number or as a share of the fleet from the first one on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ForwarderSelector {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forwarders: Vec<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Connections are refused at once, those that stood break.
    Refused { whom: EndpointSelector },
    /// Nothing comes back at all: no connection is made, calls are never answered.
    Silent { whom: EndpointSelector },
    /// Calls are taken and not answered before the end of it.
    Hang { whom: EndpointSelector },
    /// Calls are turned away as full, perhaps with the wait until it opens.
    Shut { whom: EndpointSelector },
    /// A share of calls is answered with an error at once, and nothing ran.
    FastErrors {
        whom: EndpointSelector,
        #[serde(default = "most")]
        share: Share,
    },
    /// All work takes so many times as long.
    Slow { whom: EndpointSelector, times: Amount },
    /// It stands still for so long, again and again.
    Pauses { whom: EndpointSelector, each_s: Span, every_s: Span },
    /// A share of calls takes so many times as long.
    HeavyTail { whom: EndpointSelector, share: Share, times: Distribution },
    /// Calls with a message of this category are answered with an error.
    CategoryFails { whom: EndpointSelector, category: String },
    /// The work runs, and the connection breaks before its answer.
    AnswersLost { whom: EndpointSelector, share: Share },
    /// Endpoints are replaced by others under the same address; the list says so late.
    Replaced { whom: EndpointSelector },
    /// Endpoints leave: the list says so, and at the end they are gone.
    Leaves { whom: EndpointSelector },
    /// No change of the list is told.
    ListFrozen {},
    /// Forwarders are killed, and started again at the end.
    Killed { which: ForwarderSelector },
    /// No note passes between these forwarders and the others.
    CutOff { which: ForwarderSelector },
    /// This share of all traffic comes to these forwarders.
    Shift { which: ForwarderSelector, share: Share },
    /// All traffic is so many times the usual.
    Burst { times: Amount },
    /// One program sends so many times its usual traffic.
    Surge { program: String, times: Amount },
}

fn most() -> Share {
    Share::clamped(0.95)
}

impl Fault {
    /// The endpoints it meets, where it meets endpoints.
    pub fn whom(&self) -> Option<&EndpointSelector> {
        use Fault::*;
        match self {
            Refused { whom } | Silent { whom } | Hang { whom } | Shut { whom } => Some(whom),
            FastErrors { whom, .. } | Slow { whom, .. } | Pauses { whom, .. } => Some(whom),
            HeavyTail { whom, .. } | CategoryFails { whom, .. } | AnswersLost { whom, .. } => Some(whom),
            Replaced { whom } | Leaves { whom } => Some(whom),
            ListFrozen {} | Killed { .. } | CutOff { .. } | Shift { .. } | Burst { .. } | Surge { .. } => {
                None
            }
        }
    }

    pub fn which(&self) -> Option<&ForwarderSelector> {
        match self {
            Fault::Killed { which } | Fault::CutOff { which } | Fault::Shift { which, .. } => Some(which),
            _ => None,
        }
    }

    /// Whether an endpoint is down by it, in the sense of the rule on returning destinations.
    pub fn is_outage(&self) -> bool {
        use Fault::*;
        match self {
            Refused { .. } | Silent { .. } | Hang { .. } | Shut { .. } => true,
            FastErrors { share, .. } => share.get() > 0.5,
            _ => false,
        }
    }

    /// Its name in the scenario file.
    pub fn name(&self) -> &'static str {
        use Fault::*;
        match self {
            Refused { .. } => "refused",
            Silent { .. } => "silent",
            Hang { .. } => "hang",
            Shut { .. } => "shut",
            FastErrors { .. } => "fast_errors",
            Slow { .. } => "slow",
            Pauses { .. } => "pauses",
            HeavyTail { .. } => "heavy_tail",
            CategoryFails { .. } => "category_fails",
            AnswersLost { .. } => "answers_lost",
            Replaced { .. } => "replaced",
            Leaves { .. } => "leaves",
            ListFrozen {} => "list_frozen",
            Killed { .. } => "killed",
            CutOff { .. } => "cut_off",
            Shift { .. } => "shift",
            Burst { .. } => "burst",
            Surge { .. } => "surge",
        }
    }

    pub(crate) fn check(&self, scenario: &Scenario) -> Result<(), String> {
        let destinations: u32 = scenario.kinds.iter().map(|k| k.destinations).sum();
        if let Some(whom) = self.whom() {
            if let Some(far) = whom.destinations.iter().find(|d| **d >= destinations) {
                return Err(format!("destination {far}: expected a number under {destinations}"));
            }
            if whom.destinations.is_empty() == whom.share.is_none() {
                return Err("whom: expected either destinations or a share".to_owned());
            }
        }
        if let Some(which) = self.which() {
            let fleet = scenario.fleet.forwarders;
            if let Some(far) = which.forwarders.iter().find(|f| **f >= fleet) {
                return Err(format!("forwarder {far}: expected a number under {fleet}"));
            }
            if which.forwarders.is_empty() == which.share.is_none() {
                return Err("which: expected either forwarders or a share".to_owned());
            }
        }
        match self {
            Fault::CategoryFails { category, .. } => {
                let known = scenario.categories.iter().any(|c| c.name == *category);
                known.then_some(()).ok_or_else(|| format!("category {category:?} is not in this scenario"))
            }
            Fault::Surge { program, .. } => {
                let known = scenario.programs.iter().any(|p| p.name == *program);
                known.then_some(()).ok_or_else(|| format!("program {program:?} is not in this scenario"))
            }
            Fault::Pauses { each_s, every_s, .. } if each_s >= every_s => {
                Err("pauses: expected each_s under every_s".to_owned())
            }
            _ => Ok(()),
        }
    }
}
