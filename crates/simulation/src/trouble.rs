//! What goes wrong. A new trouble is an arm of [`Trouble`], and the places that the compiler then names.

use serde::{Deserialize, Serialize};

use crate::figure::{Amount, Figure, Share, Span};
use crate::scenario::Scenario;

/// Whom a trouble meets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Whom {
    /// Destinations by rank of traffic, from 0; where none are named, a share is drawn.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub destinations: Vec<u32>,
    /// Share of all destinations, drawn by the seed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// Share of the targets of each that it meets, one at least; all of them where it is absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub targets: Option<Share>,
}

/// Forwarders, by number or as a share of the fleet from the first one on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Which {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forwarders: Vec<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Trouble {
    /// Connections are refused at once, those that stood break.
    Refused { whom: Whom },
    /// Nothing comes back at all: no connection is made, calls are never answered.
    Silent { whom: Whom },
    /// Calls are taken and not answered before the end of it.
    Hang { whom: Whom },
    /// Calls are turned away as full, perhaps with the wait until it opens.
    Shut { whom: Whom },
    /// A share of calls is answered with an error at once, and nothing ran.
    FastErrors {
        whom: Whom,
        #[serde(default = "most")]
        share: Share,
    },
    /// All work takes so many times as long.
    Slow { whom: Whom, times: Amount },
    /// It stands still for so long, again and again.
    Pauses { whom: Whom, each_s: Span, every_s: Span },
    /// A share of calls takes so many times as long.
    HeavyTail { whom: Whom, share: Share, times: Figure },
    /// Calls with an envelope of this category are answered with an error.
    CategoryFails { whom: Whom, category: String },
    /// The work runs, and the connection breaks before its answer.
    AnswersLost { whom: Whom, share: Share },
    /// Targets are replaced by others under the same address; the list says so late.
    Replaced { whom: Whom },
    /// Targets leave: the list says so, and at the end they are gone.
    Leaves { whom: Whom },
    /// No change of the list is told.
    ListFrozen {},
    /// Forwarders are killed, and started again at the end.
    Killed { which: Which },
    /// No note passes between these forwarders and the others.
    CutOff { which: Which },
    /// This share of all traffic comes to these forwarders.
    Shift { which: Which, share: Share },
    /// All traffic is so many times the usual.
    Burst { times: Amount },
    /// One program sends so many times its usual traffic.
    Surge { program: String, times: Amount },
}

fn most() -> Share {
    Share::clamped(0.95)
}

impl Trouble {
    /// The targets it meets, where it meets targets.
    pub fn whom(&self) -> Option<&Whom> {
        use Trouble::*;
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

    pub fn which(&self) -> Option<&Which> {
        match self {
            Trouble::Killed { which } | Trouble::CutOff { which } | Trouble::Shift { which, .. } => {
                Some(which)
            }
            _ => None,
        }
    }

    /// Whether a target is down by it, in the sense of the rule on returning destinations.
    pub fn is_outage(&self) -> bool {
        use Trouble::*;
        match self {
            Refused { .. } | Silent { .. } | Hang { .. } | Shut { .. } => true,
            FastErrors { share, .. } => share.get() > 0.5,
            _ => false,
        }
    }

    /// Its name in the scenario file.
    pub fn name(&self) -> &'static str {
        use Trouble::*;
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
            Trouble::CategoryFails { category, .. } => {
                let known = scenario.categories.iter().any(|c| c.name == *category);
                known.then_some(()).ok_or_else(|| format!("category {category:?} is not in this scenario"))
            }
            Trouble::Surge { program, .. } => {
                let known = scenario.programs.iter().any(|p| p.name == *program);
                known.then_some(()).ok_or_else(|| format!("program {program:?} is not in this scenario"))
            }
            Trouble::Pauses { each_s, every_s, .. } if each_s >= every_s => {
                Err("pauses: expected each_s under every_s".to_owned())
            }
            _ => Ok(()),
        }
    }
}
