//! What shows that an upstream lives or has ended.

use plan::{Inquiry, InquiryStep, Sign, Verdict};

/// Longest replay, in ms.
const REPLAY_MS: u64 = 20_000;

/// Time that an attempt without an answer takes, in ms.
const TIMEOUT_MS: u64 = 300;

/// Asks an upstream that shows a sign from some time after the loss on, until a verdict; gives it, when it came, and the
/// number of attempts.
fn replay(signs: &[(u64, Sign)]) -> (Verdict, u64, usize) {
    let mut inquiry = Inquiry::new(0);
    let mut now_ms = 0;
    let mut attempts = 0;
    while now_ms < REPLAY_MS {
        let shown = signs.iter().rev().find(|(from_ms, _)| *from_ms <= now_ms);
        let sign = shown.expect("a sign from the start").1;
        attempts += 1;
        if sign == Sign::Unanswered {
            now_ms += TIMEOUT_MS;
        }
        match inquiry.decide(now_ms, sign) {
            InquiryStep::Conclude(verdict) => return (verdict, now_ms, attempts),
            InquiryStep::AskAgain(after_ms) => now_ms += after_ms,
        }
    }
    panic!("no verdict");
}

/// Guards against an upstream that counts as alive because connections to it are still established, or as ended because it
/// is silent for a second.
#[test]
fn only_an_answer_shows_life_and_only_a_refusal_or_a_successor_shows_an_end() {
    let held_for = |ms: u64| replay(&[(0, Sign::Unanswered), (ms, Sign::Refused)]);
    let silent_for = |ms: u64| replay(&[(0, Sign::Unanswered), (ms, Sign::Answered)]);
    let verdicts = [
        replay(&[(0, Sign::Refused)]).0,
        replay(&[(0, Sign::Replaced)]).0,
        held_for(20).0,
        held_for(400).0,
        held_for(2_000).0,
        replay(&[(0, Sign::Unanswered)]).0,
    ];
    assert_eq!(verdicts, [Verdict::Ended; 6]);
    let refused_once = replay(&[(0, Sign::Refused), (1, Sign::Answered)]);
    let verdicts = [
        replay(&[(0, Sign::Answered)]).0,
        silent_for(1_000).0,
        refused_once.0,
    ];
    assert_eq!(verdicts, [Verdict::Lives; 3]);
    let unasked = replay(&[(0, Sign::NotAsked)]);
    assert_eq!(unasked.0, Verdict::Unknown);
}

/// Guards against an upstream that counts as ended because the own path was lost for some seconds and it is slow to answer
/// the first question after that.
#[test]
fn only_silence_while_it_could_answer_shows_an_end() {
    let path_lost_ms = 2_900;
    let slow_to_answer = replay(&[
        (0, Sign::NotAsked),
        (path_lost_ms, Sign::Unanswered),
        (path_lost_ms + 1_000, Sign::Answered),
    ]);
    assert_eq!(slow_to_answer.0, Verdict::Lives);
}

/// Guards against an upstream in need that is asked all the time: by hundreds of instances, some times a second each.
#[test]
fn an_upstream_without_an_answer_is_asked_ever_less_often() {
    let (_, took_ms, attempts) = replay(&[(0, Sign::Unanswered)]);
    assert!(
        took_ms < 4_000 && attempts <= 12,
        "{took_ms} ms, {attempts} attempts"
    );
}

/// Guards against a path that counts as sound because a connection was established on it.
#[test]
fn only_an_answer_proves_a_path() {
    let all = [
        Sign::Answered,
        Sign::Replaced,
        Sign::Refused,
        Sign::Unanswered,
        Sign::NotAsked,
    ];
    let proving: Vec<Sign> = all.into_iter().filter(|sign| sign.proves_path()).collect();
    assert_eq!(proving, [Sign::Answered, Sign::Replaced]);
}
