//! HTML report with charts of goodput and role changes over time.

use std::fmt::Write;

use derive_more::{Display, Error};
use model::Deployment;
use plotters::prelude::*;

use crate::figures::SLOT_MS;
use crate::trace::LENGTH_MS;
use crate::{Figures, Policy, RunSettings, Trace, TraceKind, committed_bounds, run};

/// Load of the reported runs, as a share of the engines' capacity.
const LOAD: f64 = 1.5;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (620, 260);

/// Reported policies and the colours of their lines.
const POLICIES: [(Policy, RGBColor); 4] = [
    (Policy::Own, BLUE),
    (Policy::GreedyRoles, RED),
    (Policy::RoundRobin, GREEN),
    (Policy::LeastReported, MAGENTA),
];

/// Error from drawing a chart.
#[derive(Debug, Display, Error)]
#[display("chart {chart}: {detail}")]
pub struct ReportError {
    /// Title of the chart.
    pub chart: String,
    /// Message of the drawing library.
    pub detail: String,
}

/// Runs all reported cases and returns the report as HTML.
pub fn report(deployments: &[Deployment], seed: u64) -> Result<String, ReportError> {
    let mut page = "<!doctype html><meta charset=\"utf-8\"><title>Policy bench</title>\n\
        <style>body{font-family:sans-serif}svg{margin:4px}</style>\n"
        .to_owned();
    let _ = writeln!(
        page,
        "<h1>Goodput and role changes over time, load {LOAD}, seed {seed}</h1>"
    );
    page.push_str("<p>Grey: the committed bound of the whole run. ");
    for (policy, colour) in POLICIES {
        let RGBColor(red, green, blue) = colour;
        let _ = write!(
            page,
            "<b style=\"color:rgb({red},{green},{blue})\">{policy}</b> "
        );
    }
    page.push_str("</p>\n");
    for &deployment in deployments {
        for kind in TraceKind::ALL {
            let trace = Trace::new(kind, deployment, LOAD, seed);
            let runs = POLICIES.map(|(policy, colour)| {
                let figures = run(&trace, &RunSettings::new(policy, deployment, seed));
                (figures, colour)
            });
            let title = format!("{deployment}, {kind}");
            let bound = bound(&deployment.to_string(), &kind.to_string());
            page += &chart(&format!("{title}: goodput"), &runs, goodput, 1.0, bound)?;
            let max_changes = runs
                .iter()
                .map(|each| each.0.role_changes)
                .max()
                .unwrap_or(0);
            let max_y = max_changes.max(1) as f64;
            page += &chart(
                &format!("{title}: role changes"),
                &runs,
                role_changes,
                max_y,
                None,
            )?;
        }
    }
    Ok(page)
}

fn bound(deployment: &str, trace: &str) -> Option<f64> {
    let bounds = committed_bounds().ok()?;
    let same = |bound: &&crate::Bound| {
        bound.deployment == deployment && bound.trace == trace && (bound.load - LOAD).abs() < 1e-9
    };
    bounds.iter().find(same).map(|bound| bound.least_goodput)
}

type Points = Vec<(f64, f64)>;

/// Goodput of each slot that has requests.
fn goodput(figures: &Figures) -> Points {
    let slots = figures.series.iter().enumerate();
    slots
        .filter(|(_, slot)| slot.requests > 0)
        .map(|(index, slot)| (seconds(index), slot.good as f64 / slot.requests as f64))
        .collect()
}

/// Cumulative number of role changes at each slot.
fn role_changes(figures: &Figures) -> Points {
    let mut sum = 0;
    let slots = figures.series.iter().enumerate();
    slots
        .map(|(index, slot)| {
            sum += slot.role_changes;
            (seconds(index), sum as f64)
        })
        .collect()
}

fn seconds(index: usize) -> f64 {
    index as f64 * SLOT_MS / 1_000.0
}

fn chart(
    title: &str,
    runs: &[(Figures, RGBColor)],
    points: fn(&Figures) -> Points,
    max_y: f64,
    bound: Option<f64>,
) -> Result<String, ReportError> {
    let mut svg = String::new();
    let drawn = draw(&mut svg, title, runs, points, max_y, bound);
    drawn.map_err(|error| ReportError {
        chart: title.to_owned(),
        detail: error.to_string(),
    })?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    runs: &[(Figures, RGBColor)],
    points: fn(&Figures) -> Points,
    max_y: f64,
    bound: Option<f64>,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let end = LENGTH_MS / 1_000.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..max_y * 1.05)?;
    chart.configure_mesh().x_labels(7).y_labels(6).draw()?;
    if let Some(bound) = bound {
        let line = [(0.0, bound), (end, bound)];
        chart.draw_series(LineSeries::new(line, &BLACK.mix(0.35)))?;
    }
    for (figures, colour) in runs {
        chart.draw_series(LineSeries::new(points(figures), colour))?;
    }
    root.present()?;
    Ok(())
}
