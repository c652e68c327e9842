//! What shows that an upstream lives or has ended.

use plan::Sign;

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
