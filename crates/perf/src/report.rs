//! A page with goodput and role changes over time for each trace and policy.

use std::fmt::Write;

use derive_more::{Display, Error};
use model::Deployment;
use plotters::prelude::*;

use crate::figures::SLOT_MS;
use crate::trace::LENGTH_MS;
use crate::{Figures, Policy, RunSettings, Trace, TraceKind, committed_bounds, run};

/// Load of the page's runs.
const LOAD: f64 = 1.5;

/// Size of one chart, in pixels.
const CHART: (u32, u32) = (620, 260);

/// Policies on the page, with their colours.
const POLICIES: [(Policy, RGBColor); 4] = [
    (Policy::Own, BLUE),
    (Policy::GreedyRoles, RED),
    (Policy::RoundRobin, GREEN),
    (Policy::LeastReported, MAGENTA),
];

/// A chart could not be drawn.
#[derive(Debug, Display, Error)]
#[display("chart {chart}: {detail}")]
pub struct ReportError {
    /// Title of the chart.
    pub chart: String,
    /// What the drawing said.
    pub detail: String,
}

/// Makes the runs and gives the page as HTML.
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
            let most = runs
                .iter()
                .map(|each| each.0.role_changes)
                .max()
                .unwrap_or(0);
            let top = most.max(1) as f64;
            page += &chart(
                &format!("{title}: role changes"),
                &runs,
                role_changes,
                top,
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

/// Share of each slot's requests that were whole and in time.
fn goodput(figures: &Figures) -> Points {
    let slots = figures.series.iter().enumerate();
    slots
        .filter(|(_, slot)| slot.asked > 0)
        .map(|(place, slot)| (seconds(place), slot.good as f64 / slot.asked as f64))
        .collect()
}

/// Role changes up to each slot.
fn role_changes(figures: &Figures) -> Points {
    let mut sum = 0;
    let slots = figures.series.iter().enumerate();
    slots
        .map(|(place, slot)| {
            sum += slot.role_changes;
            (seconds(place), sum as f64)
        })
        .collect()
}

fn seconds(place: usize) -> f64 {
    place as f64 * SLOT_MS / 1_000.0
}

fn chart(
    title: &str,
    runs: &[(Figures, RGBColor)],
    points: fn(&Figures) -> Points,
    top: f64,
    bound: Option<f64>,
) -> Result<String, ReportError> {
    let mut svg = String::new();
    let drawn = draw(&mut svg, title, runs, points, top, bound);
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
    top: f64,
    bound: Option<f64>,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, CHART).into_drawing_area();
    root.fill(&WHITE)?;
    let end = LENGTH_MS / 1_000.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..top * 1.05)?;
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
