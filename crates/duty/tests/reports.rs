//! Windows that are reported: once, with the same counts, in time.

use duty::{Due, Report, Reports, Windows};

const WINDOWS: Windows = Windows { length_ms: 5_000 };

fn report(window: u64, count: u64) -> Report {
    Report {
        window,
        counts: [("one".to_owned(), count)].into(),
    }
}

/// When `window` is over and its tallies have come.
fn settled_ms(window: u64) -> u64 {
    WINDOWS.end_ms(window) + 2_000
}

/// Guards against a window that is closed before what was counted last has come.
#[test]
fn a_window_is_fixed_after_its_tallies_have_come() {
    let mut reports = Reports::new(WINDOWS, WINDOWS.begin_ms(9));
    assert_eq!(
        reports.due(settled_ms(10) - 1, |window| window >= 9),
        Some(Due::Fix(9))
    );
    let mut reports = Reports::new(WINDOWS, WINDOWS.begin_ms(9) + 1);
    assert_eq!(reports.due(settled_ms(10) - 1, |window| window >= 10), None);
    assert_eq!(
        reports.due(settled_ms(10), |window| window >= 10),
        Some(Due::Fix(10))
    );
}

/// Guards against a window in which nothing ran and of which nobody can tell whether it was forgotten.
#[test]
fn an_empty_window_is_reported_by_who_was_there() {
    let mut reports = Reports::new(WINDOWS, WINDOWS.begin_ms(9));
    assert_eq!(reports.due(settled_ms(10), |_| false), Some(Due::Fix(10)));
}

/// Guards against two reports of one window with different counts: who takes over sends what was fixed.
#[test]
fn a_successor_sends_the_counts_that_were_fixed() {
    let mut reports = Reports::new(WINDOWS, WINDOWS.begin_ms(9));
    reports.fixed(report(10, 3), false);
    reports.fixed(report(10, 4), true);
    let due = reports.due(settled_ms(10), |window| window >= 9);
    assert_eq!(due, Some(Due::Fix(9)));
    reports.fixed(report(9, 1), true);
    reports.sent(settled_ms(10), 9, true);
    assert_eq!(
        reports.due(settled_ms(10), |window| window >= 9),
        Some(Due::Send(report(10, 3)))
    );
}

/// Guards against a report whose answer was lost and which is never sent again, and against one sent at each look.
#[test]
fn a_report_is_sent_again_until_it_is_accepted() {
    let mut reports = Reports::new(WINDOWS, WINDOWS.begin_ms(9));
    reports.fixed(report(9, 1), true);
    let begin_ms = settled_ms(9);
    reports.sent(begin_ms, 9, false);
    assert_eq!(reports.due(begin_ms + 1_000, |_| false), None);
    let again = reports.due(begin_ms + 1_500, |_| false);
    assert_eq!(again, Some(Due::Send(report(9, 1))));
    reports.sent(begin_ms + 1_500, 9, true);
    assert_eq!(reports.due(begin_ms + 4_000, |_| false), None);
}

/// Guards against other counts for windows that may have been reported in a log that came back older.
#[test]
fn after_the_log_was_lost_older_windows_are_not_fixed_anew() {
    let mut reports = Reports::new(WINDOWS, WINDOWS.begin_ms(5));
    reports.fixed(report(8, 2), true);
    reports.log_was_lost(WINDOWS.begin_ms(10) + 100);
    let known = |window: u64| window >= 10;
    assert_eq!(
        reports.due(settled_ms(10), known),
        Some(Due::Send(report(8, 2)))
    );
    reports.sent(settled_ms(10), 8, true);
    assert_eq!(reports.due(settled_ms(10), known), Some(Due::Fix(10)));
}
