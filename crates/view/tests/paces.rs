//! Paces of upstreams as they spread through fleets of several sizes.

mod common;

use common::{Fleet, one_in_ten, upstream};
use view::gossip::PERIOD_MS;
use view::{PaceReport, UpstreamKey};

/// Number of upstreams.
const UPSTREAMS: usize = 92;

/// Most reports in one datagram.
const MAX_PACES: usize = 16;

fn report(upstream: UpstreamKey, lasting_percent: u16, current_percent: u16) -> PaceReport {
    PaceReport {
        upstream,
        lasting_percent,
        current_percent,
        age_ms: 10,
        silent_ms: 0,
    }
}

/// Lasting pace of an upstream, in percent.
fn lasting(index: usize) -> u16 {
    [60, 100, 160][index % 3]
}

/// Runs a fleet whose instances each hear a few upstreams, with slowdowns, in each period.
fn run(fleet: &mut Fleet, for_ms: u64, mut is_lost: impl FnMut() -> bool) {
    let mut draw = 0_usize;
    for _ in 0..for_ms / PERIOD_MS {
        let now_ms = fleet.now_ms;
        let instances = fleet.all.len();
        for (index, each) in fleet.all.iter_mut().enumerate() {
            for _ in 0..(60 / instances).max(1) {
                draw = draw
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223 + index);
                let at = (draw >> 16) % UPSTREAMS;
                let is_slow = (now_ms / 500 + at as u64).is_multiple_of(7);
                let current = lasting(at) * if is_slow { 5 } else { 2 } / 2;
                let own = report(upstream(at), lasting(at), current);
                each.gossip.add_pace(now_ms, own);
            }
        }
        fleet.run(PERIOD_MS, |_, _| is_lost());
    }
}

/// Guards against instances that do not learn the speed of engines they have no answer of, also if a tenth of all
/// datagrams is lost, and against datagrams that grow with the number of upstreams.
#[test]
fn all_instances_learn_all_lasting_paces() {
    for instances in [2, 6, 60, 300] {
        let mut fleet = Fleet::new(instances);
        fleet.run(500, |_, _| false);
        for at in 0..UPSTREAMS {
            let own = report(upstream(at), lasting(at), lasting(at));
            let now_ms = fleet.now_ms;
            fleet.all[0].gossip.add_pace(now_ms, own);
        }
        let mut is_lost = one_in_ten();
        run(&mut fleet, 5_000, &mut is_lost);
        for each in &fleet.all {
            let known = (0..UPSTREAMS).filter(|at| {
                let known = each.paces.get(&upstream(*at));
                known.is_some_and(|it| it.lasting_percent == lasting(*at))
            });
            let (known, name) = (known.count(), &each.member.name);
            assert!(known == UPSTREAMS, "{instances}: {name} knows {known}");
        }
        // One instance has more changed paces than fit, so some datagrams are full.
        let max_paces = fleet.all.iter().map(|each| each.max_paces).max();
        assert_eq!(max_paces, Some(MAX_PACES), "{instances}");
    }
}

/// Guards against a cost that grows with the fleet: paces must take a small part of a link of 20 Mbit/s, and that of
/// a hub must not grow faster than the number of hubs.
#[test]
fn paces_take_a_small_part_of_a_link() {
    for instances in [6, 60, 300] {
        let mut bytes_per_s = [0_usize; 2];
        for (at, reports_paces) in [false, true].into_iter().enumerate() {
            let mut fleet = Fleet::new(instances);
            fleet.run(500, |_, _| false);
            let before: Vec<usize> = fleet.all.iter().map(|each| each.sent_bytes).collect();
            if reports_paces {
                run(&mut fleet, 2_000, || false);
            } else {
                fleet.run(2_000, |_, _| false);
            }
            let sent = fleet.all.iter().zip(before);
            let sent = sent.map(|(each, before)| (each.sent_bytes - before) / 2);
            bytes_per_s[at] = sent.max().unwrap_or(0);
        }
        let [without, with] = bytes_per_s;
        println!("{instances} instances: at most {without} B/s without paces, {with} with");
        assert!(with <= without + 150_000, "{instances}: {without} {with}");
    }
}
