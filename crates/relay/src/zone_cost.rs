//! The cost of sending requests to other availability zones, as far as an instance weighs it.

use std::cell::RefCell;
use std::collections::HashMap;

use plan::{PlacedStep, Prediction, ZoneChoice, ZoneRelation, ZoneTendency, cheapest, crossing_ms};

use crate::scheduling::SchedulingSettings;

/// What an instance keeps for choices between zones.
#[derive(Debug, Default)]
pub struct ZoneCosts {
    tendencies: RefCell<HashMap<String, ZoneTendency>>,
}

/// What the choice between zones needs to know of an instance.
pub trait ZoneView {
    /// What it keeps for such choices.
    fn zone_costs(&self) -> &ZoneCosts;
    /// Its settings of scheduling.
    fn scheduling(&self) -> SchedulingSettings;
    /// Whether upstreams of a service report a pace.
    fn reports_pace(&self, service: &str) -> bool;
    /// Whether it is in this zone.
    fn is_in_zone(&self, zone: &str) -> bool;
}

/// A step of a request for which an engine is chosen.
#[derive(Debug, Clone, Copy)]
pub struct ZoneRequest<'a> {
    /// The request's service.
    pub service: &'a str,
    /// Length of its body.
    pub body_bytes: usize,
    /// Time left until its objective, in ms; negative after it.
    pub left_ms: f64,
    /// The step.
    pub step: PlacedStep,
}

/// Whether the cost of crossings counts for a service.
pub fn zones_enabled(view: &impl ZoneView, service: &str) -> bool {
    view.scheduling().zones.is_auto() && view.reports_pace(service)
}

/// Where an upstream of this zone is, seen from the instance.
pub fn relation_to(view: &impl ZoneView, zone: &str) -> ZoneRelation {
    if view.is_in_zone(zone) {
        ZoneRelation::Own
    } else {
        ZoneRelation::Other
    }
}

/// Value of the metrics' `zone` label.
pub fn zone_label(relation: ZoneRelation) -> &'static str {
    match relation {
        ZoneRelation::Own => "own",
        ZoneRelation::Other => "other",
    }
}

/// Cost of sending a body of the service's to this zone, in ms; 0 where the cost of crossings does not count.
pub fn crossing_to_ms(view: &impl ZoneView, service: &str, body_bytes: usize, zone: &str) -> f64 {
    match relation_to(view, zone) {
        ZoneRelation::Other if zones_enabled(view, service) => body_crossing_ms(view, body_bytes),
        ZoneRelation::Own | ZoneRelation::Other => 0.0,
    }
}

fn body_crossing_ms(view: &impl ZoneView, body_bytes: usize) -> f64 {
    let price = view.scheduling().cross_zone_price;
    crossing_ms(price.value(), body_bytes as f64)
}

/// Index and prediction of the engine to take, from the engines' zones and predictions.
pub fn cheapest_engine<'a>(
    view: &impl ZoneView,
    now_ms: u64,
    request: &ZoneRequest,
    predicted: impl Iterator<Item = (&'a str, Prediction)>,
) -> Option<(usize, Prediction)> {
    if !zones_enabled(view, request.service) {
        return cheapest(predicted.map(|(_, each)| each));
    }
    let mut tendencies = view.zone_costs().tendencies.borrow_mut();
    let tendency = tendencies.entry(request.service.to_owned()).or_default();
    let choice = ZoneChoice {
        crossing_ms: body_crossing_ms(view, request.body_bytes),
        left_ms: request.left_ms,
        step: request.step,
        tendency: tendency.relation(),
    };
    let placements: Vec<(ZoneRelation, Prediction)> = predicted
        .map(|(zone, each)| (relation_to(view, zone), each))
        .collect();
    let chosen = choice.cheapest(placements.iter().copied())?;
    tendency.record(now_ms, placements[chosen.0].0);
    Some(chosen)
}
