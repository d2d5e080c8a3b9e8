use plotters::prelude::*;

use crate::report::HISTORY_STEP;
use crate::{Error, Mark, RULES, Row};

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (760, 240);
/// Minimum upper end of the burn rate axis. It lies above the factor of the fastest rule, so that
/// plots of services with low burn rates share one scale.
const MIN_AXIS_TOP: f64 = 16.0;

fn colour(mark: Mark) -> RGBColor {
    match mark {
        Mark::Paying => RGBColor(31, 119, 180),
        Mark::Trial => RGBColor(200, 120, 30),
    }
}

/// Plots the burn rate of one service over the last 6 hours as SVG, with one line for each mark.
pub(crate) fn plot(service: &str, rows: &[&Row]) -> Result<String, Error> {
    let mut svg = String::new();
    draw(&mut svg, rows).map_err(|reason| Error::Plot {
        service: service.to_owned(),
        reason,
    })?;
    Ok(svg)
}

fn draw(svg: &mut String, rows: &[&Row]) -> Result<(), String> {
    let message = |error: &dyn std::fmt::Display| error.to_string();
    let points = || rows.iter().flat_map(|row| &row.history);
    let top = points().map(|(_, burn)| *burn).fold(MIN_AXIS_TOP, f64::max);
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| message(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(-6.0..0.0, 0.0..top * 1.05)
        .map_err(|error| message(&error))?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("hours")
        .y_desc("burn rate")
        .draw()
        .map_err(|error| message(&error))?;
    let limit = [(-6.0, RULES[0].factor), (0.0, RULES[0].factor)];
    chart
        .draw_series(LineSeries::new(limit, RED.mix(0.5)))
        .map_err(|error| message(&error))?;
    for row in rows {
        for segment in segments(&row.history) {
            let line = LineSeries::new(segment, colour(row.mark).stroke_width(2)).point_size(2);
            chart.draw_series(line).map_err(|error| message(&error))?;
        }
    }
    area.present().map_err(|error| message(&error))
}

/// Converts the history to points in hours and splits it at steps without flows, so that no line
/// is drawn across a gap.
fn segments(history: &[(u64, f64)]) -> Vec<Vec<(f64, f64)>> {
    let mut segments: Vec<Vec<(f64, f64)>> = Vec::new();
    let mut last = None;
    for (ago, burn) in history {
        if last != Some(ago + HISTORY_STEP) {
            segments.push(Vec::new());
        }
        last = Some(*ago);
        if let Some(segment) = segments.last_mut() {
            segment.push((-(*ago as f64) / 3600.0, *burn));
        }
    }
    segments
}
