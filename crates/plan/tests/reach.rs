//! Whether an instance reaches the upstreams of a service.

use plan::{EVIDENCE_WAIT_MS, Reach, ReachState};

/// Upstreams of the service.
const KNOWN: usize = 9;

fn failing(at_ms: u64, failed: usize, known: usize) -> Reach {
    let mut reach = Reach::default();
    reach.record_proven(0);
    reach.record_unreachable(at_ms + 200, at_ms, failed, known);
    reach
}

/// Guards against callers handed over in vain while all upstreams are down: nobody hears them then.
#[test]
fn upstreams_that_nobody_hears_are_down() {
    let mut reach = failing(1_000, 3, KNOWN);
    assert_eq!(reach.state(), ReachState::Suspected);
    // Peers heard them until they went down.
    reach.record_peers_heard(1_250, 1_000);
    assert_eq!(reach.state(), ReachState::Suspected);
    reach.decide(1_000 + EVIDENCE_WAIT_MS);
    assert_eq!(reach.state(), ReachState::Down);
}

/// Guards against an instance that does not know that its own path is cut, although peers hear the upstreams.
#[test]
fn an_instance_whose_peers_hear_upstreams_is_cut_off_until_it_connects() {
    let mut reach = failing(1_000, 3, KNOWN);
    reach.record_peers_heard(1_250, 1_200);
    assert_eq!(reach.state(), ReachState::CutOff);
    // Data on an open connection does not show that a new one can be opened.
    reach.record_heard(1_300);
    assert_eq!(reach.state(), ReachState::CutOff);
    reach.record_proven(2_000);
    assert_eq!(reach.state(), ReachState::Reached);
    assert!(reach.was_cut_off_since(1_900) && !reach.was_cut_off_since(2_100));
}

/// Guards against an instance that takes itself for cut off because upstreams that were silent go on, and peers hear
/// them too. Where no connection is established, data on open ones shows nothing.
#[test]
fn silent_upstreams_that_go_on_are_no_cut() {
    let went_on = |record: fn(&mut Reach, u64, u64, usize, usize)| {
        let mut reach = Reach::default();
        reach.record_proven(0);
        record(&mut reach, 1_300, 1_000, 3, KNOWN);
        let before = reach.state();
        reach.record_heard(1_400);
        reach.record_peers_heard(1_450, 1_400);
        (before, reach.state())
    };
    let silent = went_on(Reach::record_silent);
    assert_eq!(silent, (ReachState::Suspected, ReachState::Reached));
    let unreachable = went_on(Reach::record_unreachable);
    assert_eq!(unreachable, (ReachState::Suspected, ReachState::CutOff));
}

/// Guards against a path that passes requests only and is taken for sound: nothing is heard on it.
#[test]
fn a_path_on_which_no_answer_comes_back_is_cut() {
    let mut reach = Reach::default();
    reach.record_proven(900);
    reach.record_silent(1_300, 1_000, 3, KNOWN);
    reach.record_peers_heard(1_450, 1_400);
    assert_eq!(reach.state(), ReachState::CutOff);
}

/// Guards against an instance that takes single failing upstreams for a cut, and against a service of one upstream
/// that never counts as cut off.
#[test]
fn as_many_upstreams_must_fail_as_tell() {
    assert_eq!(failing(1_000, 2, KNOWN).state(), ReachState::Reached);
    assert_eq!(failing(1_000, 1, 1).state(), ReachState::Suspected);
}

/// Guards against upstreams that count as down although peers were heard to reach them a little later.
#[test]
fn late_word_of_peers_still_counts() {
    let mut reach = failing(1_000, 3, KNOWN);
    reach.decide(1_000 + EVIDENCE_WAIT_MS);
    reach.record_peers_heard(1_700, 1_600);
    assert_eq!(reach.state(), ReachState::CutOff);
}
