//! Plots one run: ready replicas, latency and outcomes over time.

use std::{collections::BTreeMap, path::Path};

use cassiawheel_model::Timestamp;
use plotters::{
    coord::Shift,
    prelude::{
        BLACK, BLUE, ChartBuilder, DrawingArea, GREEN, IntoDrawingArea, LineSeries, RED, RGBColor,
        SVGBackend, WHITE,
    },
};

use super::{
    records::{RunRecords, ToldOutcome},
    run::ReadySample,
    scenario::BurstScenario,
};

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 900);

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A line of a chart, as points of time in seconds and value.
struct PlotLine {
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Outcomes and longest latency of the requests scheduled within one second.
#[derive(Default)]
struct SecondFigures {
    complete: u64,
    other: u64,
    longest_ms: f64,
}

/// Draws the run as an SVG file at `path`.
pub fn draw(
    path: &Path,
    scenario: &BurstScenario,
    started_at: Timestamp,
    records: &RunRecords,
    ready: &[ReadySample],
) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(drawing_error)?;
    let areas = root.split_evenly((3, 1));
    let seconds_since = |at: Timestamp| (at.0 as f64 - started_at.0 as f64) / 1_000.0;
    let points = ready.iter().map(|sample| (seconds_since(sample.at), sample.ready as f64));
    let line = PlotLine { color: BLUE, points: points.collect() };
    draw_chart(&areas[0], "replicas ready over seconds", scenario.duration_s, vec![line])?;

    let mut by_second: BTreeMap<u64, SecondFigures> = BTreeMap::new();
    for request in &records.requests {
        let second = request.scheduled_at.since(started_at).as_secs();
        let figures = by_second.entry(second).or_default();
        match request.asks.last() {
            Some(ask) if ask.told == ToldOutcome::Complete => {
                figures.complete += 1;
                figures.longest_ms = figures.longest_ms.max(ask.total_us as f64 / 1_000.0);
            }
            _ => figures.other += 1,
        }
    }
    let series = |color, value: fn(&SecondFigures) -> f64| PlotLine {
        color,
        points: by_second.iter().map(|(second, f)| (*second as f64, value(f))).collect(),
    };
    let latency = vec![series(BLACK, |figures| figures.longest_ms)];
    draw_chart(&areas[1], "longest latency in ms", scenario.duration_s, latency)?;
    let outcomes = vec![
        series(GREEN, |figures| figures.complete as f64),
        series(RED, |figures| figures.other as f64),
    ];
    let caption = "requests per second: complete (green), not run or unknown (red)";
    draw_chart(&areas[2], caption, scenario.duration_s, outcomes)?;
    root.present().map_err(drawing_error)?;
    Ok(())
}

fn draw_chart(
    area: &PlotArea<'_>,
    caption: &str,
    duration_s: f64,
    lines: Vec<PlotLine>,
) -> anyhow::Result<()> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let top = points().map(|point| point.1).fold(1.0, f64::max);
    let first = points().map(|point| point.0).fold(0.0, f64::min);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(first..duration_s, 0.0..top * 1.05)
        .map_err(drawing_error)?;
    chart.configure_mesh().draw().map_err(drawing_error)?;
    for line in lines {
        let series = LineSeries::new(line.points, &line.color);
        chart.draw_series(series).map_err(drawing_error)?;
    }
    Ok(())
}

fn drawing_error(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow::anyhow!("cannot draw the plot: {error}")
}
