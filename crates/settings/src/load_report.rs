//! Load reports on the simulator's wire: arrays of numbers in an order that the settings define.

use reeddock::LoadReport;
use serde_json::{Map, Value};

/// Name of the field with the remaining share of the limit.
const REMAINING_SHARE_FIELD: &str = "x0";
/// Name of the field with the limit of the endpoint, in requests per second.
const LIMIT_FIELD: &str = "x1";

/// Indices of the limit and of its remaining share in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReportFields {
    remaining_share: usize,
    limit: usize,
}

impl LoadReportFields {
    /// Reads the key `report`. Returns `None` if responses carry no load report, or if the report lacks the
    /// limit or its remaining share.
    #[must_use]
    pub fn from_settings(settings: &Map<String, Value>) -> Option<LoadReportFields> {
        let report = settings.get("report")?;
        let names = report.get("fields")?.as_array()?;
        let index = |name| names.iter().position(|field| field.as_str() == Some(name));
        let fields =
            LoadReportFields { remaining_share: index(REMAINING_SHARE_FIELD)?, limit: index(LIMIT_FIELD)? };
        let is_in_responses = report.get("how").and_then(Value::as_str) == Some("piggyback");
        is_in_responses.then_some(fields)
    }

    /// Parses a load report from its array of values. Returns `None` if the limit or its remaining share is
    /// missing or not a number.
    #[must_use]
    pub fn parse_report(self, values: &[Value]) -> Option<LoadReport> {
        let number = |index: usize| values.get(index).and_then(Value::as_f64);
        LoadReport::new(number(self.remaining_share), number(self.limit))
    }
}
