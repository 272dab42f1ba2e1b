//! Line plots as SVG.

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::error::ExperimentError;

/// Width and height of a plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (860, 320);
/// Upper end of the vertical axis, as a multiple of the maximum value.
const AXIS_HEADROOM: f64 = 1.05;
/// Length of a line in the legend, in pixels.
const LEGEND_LINE_PIXELS: i32 = 16;

/// A point of a line, in the units of the axes.
#[derive(Clone, Copy)]
pub(crate) struct Point {
    pub(crate) x: f64,
    pub(crate) y: f64,
}

/// A line of a plot.
pub(crate) struct Line {
    /// Name in the legend.
    pub(crate) name: String,
    pub(crate) points: Vec<Point>,
}

/// A plot of several lines over a common horizontal axis; the vertical axis begins at 0.
pub(crate) struct LinePlot<'a> {
    pub(crate) title: &'a str,
    pub(crate) x_label: &'a str,
    pub(crate) y_label: &'a str,
    pub(crate) lines: Vec<Line>,
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

impl LinePlot<'_> {
    /// Returns the plot as SVG text.
    pub(crate) fn to_svg(&self) -> Result<String, ExperimentError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE_PIXELS).into_drawing_area();
            area.fill(&WHITE).map_err(ExperimentError::plot)?;
            self.draw(&area).map_err(ExperimentError::plot)?;
            area.present().map_err(ExperimentError::plot)?;
        }
        Ok(svg)
    }

    /// Returns the ends of the horizontal axis; 0 to 1 if there are fewer than two distinct x values.
    fn x_range(&self) -> std::ops::Range<f64> {
        let x_values = || self.lines.iter().flat_map(|line| &line.points).map(|point| point.x);
        let left = x_values().fold(f64::INFINITY, f64::min);
        let right = x_values().fold(f64::NEG_INFINITY, f64::max);
        if left < right {
            left..right
        } else {
            0.0..1.0
        }
    }

    /// Returns the ends of the vertical axis; 0 to 1 if no value is above 0.
    fn y_range(&self) -> std::ops::Range<f64> {
        let y_values = self.lines.iter().flat_map(|line| &line.points).map(|point| point.y);
        let top = y_values.fold(0.0, f64::max);
        0.0..if top > 0.0 { top * AXIS_HEADROOM } else { 1.0 }
    }

    fn draw(&self, area: &DrawingArea<SVGBackend, Shift>) -> DrawResult {
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(self.x_range(), self.y_range())?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc(self.x_label).y_desc(self.y_label).light_line_style(WHITE).draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let style = colour(index).stroke_width(2);
            chart
                .draw_series(LineSeries::new(line.points.iter().map(|point| (point.x, point.y)), style))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PIXELS, y)], style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        Ok(())
    }
}

/// Returns the colour of a line by its position in the plot; colours repeat after the sixth.
fn colour(index: usize) -> RGBColor {
    const COLOURS: [RGBColor; 6] = [
        RGBColor(31, 119, 180),
        RGBColor(214, 90, 20),
        RGBColor(44, 140, 60),
        RGBColor(170, 40, 60),
        RGBColor(120, 90, 170),
        RGBColor(90, 90, 90),
    ];
    COLOURS[index % COLOURS.len()]
}
