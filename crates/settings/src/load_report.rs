//! Load reports on the simulator's wire: an array of numbers whose order the settings give.

use reeddock::LoadReport;
use serde_json::{Map, Value};

/// The name of the share of the limit that is left.
const LEFT: &str = "x0";
/// The name of the limit, in requests a second.
const LIMIT: &str = "x1";

/// The indices of the two values of a limit in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReportFields {
    left: usize,
    limit: usize,
}

impl LoadReportFields {
    /// Reads `report`. None where responses carry no report, or one without both values.
    #[must_use]
    pub fn from_settings(settings: &Map<String, Value>) -> Option<LoadReportFields> {
        let report = settings.get("report")?;
        let names = report.get("fields")?.as_array()?;
        let index = |name| names.iter().position(|field| field.as_str() == Some(name));
        let fields = LoadReportFields { left: index(LEFT)?, limit: index(LIMIT)? };
        let stands_in_responses = report.get("how").and_then(Value::as_str) == Some("piggyback");
        stands_in_responses.then_some(fields)
    }

    /// The report in an array of values. None where one of the two is missing or no number.
    #[must_use]
    pub fn read(self, values: &[Value]) -> Option<LoadReport> {
        let number = |index: usize| values.get(index).and_then(Value::as_f64);
        LoadReport::new(number(self.left), number(self.limit))
    }
}
