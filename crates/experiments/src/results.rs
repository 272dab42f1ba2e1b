//! What an experiment came to: printed as a table or as JSON, and kept for plots.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use reeddock_simulation::report::rounded;
use reeddock_simulation::Report;
use serde::{Deserialize, Serialize};

use crate::ExperimentError;

/// Mean, spread and ends of one figure over several days.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    pub mean: f64,
    /// Standard deviation over the days; 0 for one day.
    pub deviation: f64,
    pub least: f64,
    pub most: f64,
}

impl Spread {
    pub fn of(values: &[f64]) -> Spread {
        let many = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / many;
        let squares: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
        Spread {
            mean: rounded(mean),
            deviation: rounded((squares / (many - 1.0).max(1.0)).sqrt()),
            least: rounded(values.iter().copied().fold(f64::INFINITY, f64::min)),
            most: rounded(values.iter().copied().fold(f64::NEG_INFINITY, f64::max)),
        }
    }
}

/// One policy over several days.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub policy: String,
    pub days: usize,
    pub figures: Figures,
    /// Credit against the first policy's on the same days.
    pub against_first: Spread,
    pub rules_broken: usize,
    pub days_with_broken_rules: usize,
    pub falls: u64,
}

/// Means over the days, and the spread of credit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub credit: Spread,
    pub worst_span: f64,
    pub worst_category: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub dispatches_per_try: f64,
    pub refusals_per_try: f64,
    pub work_wasted: f64,
    pub slots_used: f64,
}

impl Row {
    pub fn of(policy: &str, reports: &[Report], first: &[Report]) -> Row {
        let mean = |f: &dyn Fn(&Report) -> f64| Spread::of(&reports.iter().map(f).collect::<Vec<f64>>()).mean;
        let credit: Vec<f64> = reports.iter().map(|r| r.credit).collect();
        let against: Vec<f64> = reports.iter().zip(first).map(|(r, f)| r.credit - f.credit).collect();
        Row {
            policy: policy.to_owned(),
            days: reports.len(),
            figures: Figures {
                credit: Spread::of(&credit),
                worst_span: mean(&|r| r.credit_worst_span),
                worst_category: mean(&|r| r.credit_worst_class),
                p50_ms: mean(&|r| r.latency_ms.p50 as f64),
                p99_ms: mean(&|r| r.latency_ms.p99 as f64),
                dispatches_per_try: mean(&|r| r.attempts_per_submission),
                refusals_per_try: mean(&|r| r.rejections_per_submission),
                work_wasted: mean(&|r| r.work_wasted),
                slots_used: mean(&|r| r.in_flight_used),
            },
            against_first: Spread::of(&against),
            rules_broken: reports.iter().map(|r| r.rules_broken).sum(),
            days_with_broken_rules: reports.iter().filter(|r| r.rules_broken > 0).count(),
            falls: reports.iter().map(|r| r.overloads).sum(),
        }
    }

    const HEAD: [&str; 12] = [
        "policy",
        "credit",
        "+-",
        "against",
        "worst 10 s",
        "p50 ms",
        "p99 ms",
        "sent",
        "refused",
        "wasted",
        "slots",
        "broken",
    ];

    fn cells(&self) -> Vec<String> {
        let f = &self.figures;
        vec![
            self.policy.clone(),
            format!("{:.3}", f.credit.mean),
            format!("{:.3}", f.credit.deviation),
            format!("{:+.3}", self.against_first.mean),
            format!("{:.3}", f.worst_span),
            format!("{:.0}", f.p50_ms),
            format!("{:.0}", f.p99_ms),
            format!("{:.2}", f.dispatches_per_try),
            format!("{:.2}", f.refusals_per_try),
            format!("{:.2}", f.work_wasted),
            format!("{:.2}", f.slots_used),
            format!("{} on {} of {}", self.rules_broken, self.days_with_broken_rules, self.days),
        ]
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SweepRow {
    /// One value for each key, in their order.
    pub values: Vec<String>,
    pub row: Row,
}

/// One thing that a search found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    pub file: PathBuf,
    pub what: String,
    pub credit: f64,
    pub one_try: f64,
    pub ceiling: f64,
    pub first_tries: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Result {
    Runs { reports: Vec<Report> },
    Comparison { scenario: String, rows: Vec<Row>, first_days: Vec<Report> },
    Sweep { scenario: String, keys: Vec<String>, rows: Vec<SweepRow> },
    Search { scenarios: usize, with_broken_rules: usize, under_one_try: usize, found: Vec<Finding> },
    Replay { seen: bool, was: String, report: Box<Report> },
}

impl Result {
    /// The name of the file that it is kept under.
    fn file_name(&self) -> String {
        let plain = |name: &str| name.replace(|c: char| !c.is_ascii_alphanumeric() && c != '-', "_");
        match self {
            Result::Runs { reports } => {
                let of = |r: &Report| format!("{}-{}-{}", plain(&r.scenario), r.policy, r.seed);
                format!("run-{}.json", reports.first().map(of).unwrap_or_default())
            }
            Result::Comparison { scenario, .. } => format!("compare-{}.json", plain(scenario)),
            Result::Sweep { scenario, keys, .. } => {
                format!("sweep-{}-{}.json", plain(scenario), plain(&keys.join("-")))
            }
            Result::Search { .. } => "search.json".to_owned(),
            Result::Replay { .. } => "replay.json".to_owned(),
        }
    }

    pub fn keep(&self, folder: Option<&Path>) -> std::result::Result<(), ExperimentError> {
        let Some(folder) = folder else { return Ok(()) };
        let at = |what: std::io::Error| ExperimentError::line(format!("{}: {what}", folder.display()));
        std::fs::create_dir_all(folder).map_err(at)?;
        std::fs::write(folder.join(self.file_name()), self.to_json()?).map_err(at)
    }

    pub fn to_json(&self) -> std::result::Result<String, ExperimentError> {
        serde_json::to_string(self).map_err(ExperimentError::line)
    }

    /// Prints it; the exit code is 1 where a rule was broken, or a finding is not seen any more.
    pub fn print(&self, json: bool) -> std::result::Result<ExitCode, ExperimentError> {
        if json {
            println!("{}", self.to_json()?);
        } else {
            print!("{}", self.to_text());
        }
        Ok(ExitCode::from(u8::from(!self.sound())))
    }

    fn sound(&self) -> bool {
        match self {
            Result::Runs { reports } => reports.iter().all(|r| r.rules_broken == 0),
            Result::Comparison { rows, .. } => rows.iter().take(1).all(|r| r.rules_broken == 0),
            Result::Sweep { rows, .. } => rows.iter().all(|r| r.row.rules_broken == 0),
            Result::Search { with_broken_rules, .. } => *with_broken_rules == 0,
            Result::Replay { seen, .. } => *seen,
        }
    }

    fn to_text(&self) -> String {
        let mut table = Table::new();
        table.load_preset(NOTHING);
        let text;
        match self {
            Result::Runs { reports } => return reports.iter().map(told).collect(),
            Result::Replay { seen, was, report } => {
                let now = if *seen { "seen again" } else { "NOT seen any more" };
                return format!("{was}: {now}\n{}", told(report));
            }
            Result::Comparison { scenario, rows, .. } => {
                text = format!("{scenario}, emulated\n");
                table.set_header(Row::HEAD);
                for row in rows {
                    table.add_row(row.cells());
                }
            }
            Result::Sweep { scenario, keys, rows } => {
                text = format!("{scenario}, emulated\n");
                table.set_header(keys.iter().map(String::as_str).chain(Row::HEAD));
                for r in rows {
                    table.add_row(r.values.iter().cloned().chain(r.row.cells()));
                }
            }
            Result::Search { scenarios, with_broken_rules, under_one_try, found } => {
                text = format!(
                    "{scenarios} scenarios, emulated; {with_broken_rules} with a broken rule, \
                     {under_one_try} under one try\n"
                );
                table.set_header(["file", "credit", "one try", "ceiling", "tries", "what"]);
                for f in found {
                    let file = f.file.display().to_string();
                    let credits = [f.credit, f.one_try, f.ceiling].map(|c| format!("{c:.3}"));
                    let [credit, one_try, ceiling] = credits;
                    let what = f.what.lines().next().unwrap_or_default().to_owned();
                    table.add_row([file, credit, one_try, ceiling, f.first_tries.to_string(), what]);
                }
            }
        }
        text + &table.to_string() + "\n"
    }
}

/// One run for people.
fn told(r: &Report) -> String {
    let mut text = format!(
        "{} under {}, seed {}, emulated\n\
         credit {:.3}, worst 10 s {:.3}, worst category {:.3}\n\
         {} first tries, {} envelopes: {} in time, {} late, {} shed, {} broken off, {} withdrawn, \
         {} turned away, {} lost\n\
         latency ms: p50 {}, p90 {}, p99 {}, worst {}\n\
         for each try {:.2} dispatches, {:.2} refused, {:.2} new connections; \
         work wasted {:.2}, slots in use {:.2}\n\
         {} events, {} turns, ran {:.1} s; {} fell over\n",
        r.scenario,
        r.policy,
        r.seed,
        r.credit,
        r.credit_worst_span,
        r.credit_worst_class,
        r.submissions,
        r.messages,
        r.ends.completed_in_time,
        r.ends.completed_late,
        r.ends.rejected,
        r.ends.failed,
        r.ends.withdrawn,
        r.ends.not_accepted,
        r.ends.lost,
        r.latency_ms.p50,
        r.latency_ms.p90,
        r.latency_ms.p99,
        r.latency_ms.worst,
        r.attempts_per_submission,
        r.rejections_per_submission,
        r.new_connections_per_submission,
        r.work_wasted,
        r.in_flight_used,
        r.events,
        r.policy_runs,
        r.ran_s,
        r.overloads,
    );
    for (what, parts) in
        [("category", &r.classes), ("program", &r.programs), ("destination", &r.destinations)]
    {
        for part in parts.iter().take(6) {
            text += &format!("  {what} {}: {:.3} of {:.0}\n", part.name, part.share, part.asked);
        }
    }
    if r.rules_broken > 0 {
        text += &format!("RULES BROKEN: {}\n", r.rules_broken);
        r.violations.iter().take(5).for_each(|b| text += &format!("  {b}\n"));
    }
    text
}
