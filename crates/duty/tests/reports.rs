//! Windows that are reported: once, with the same counts, in time.

use duty::{ReportAction, UsageReport, UsageReports, UsageWindows};

const WINDOWS: UsageWindows = UsageWindows { length_ms: 5_000 };

fn report(window: u64, count: u64) -> UsageReport {
    UsageReport {
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
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(9));
    assert_eq!(
        reports.next_action(settled_ms(10) - 1, |window| window >= 9),
        Some(ReportAction::Fix(9))
    );
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(9) + 1);
    assert_eq!(
        reports.next_action(settled_ms(10) - 1, |window| window >= 10),
        None
    );
    assert_eq!(
        reports.next_action(settled_ms(10), |window| window >= 10),
        Some(ReportAction::Fix(10))
    );
}

/// Guards against a window in which nothing ran and of which nobody can tell whether it was forgotten.
#[test]
fn an_empty_window_is_reported_by_who_was_there() {
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(9));
    assert_eq!(
        reports.next_action(settled_ms(10), |_| false),
        Some(ReportAction::Fix(10))
    );
}

/// Guards against two reports of one window with different counts: who takes over sends what was fixed.
#[test]
fn a_successor_sends_the_counts_that_were_fixed() {
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(9));
    reports.record_fixed(report(10, 3), false);
    reports.record_fixed(report(10, 4), true);
    let due = reports.next_action(settled_ms(10), |window| window >= 9);
    assert_eq!(due, Some(ReportAction::Fix(9)));
    reports.record_fixed(report(9, 1), true);
    reports.record_sent(settled_ms(10), 9, true);
    assert_eq!(
        reports.next_action(settled_ms(10), |window| window >= 9),
        Some(ReportAction::Send(report(10, 3)))
    );
}

/// Guards against a report whose answer was lost and which is never sent again, and against one sent at each look.
#[test]
fn a_report_is_sent_again_until_it_is_accepted() {
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(9));
    reports.record_fixed(report(9, 1), true);
    let begin_ms = settled_ms(9);
    reports.record_sent(begin_ms, 9, false);
    assert_eq!(reports.next_action(begin_ms + 1_000, |_| false), None);
    let again = reports.next_action(begin_ms + 1_500, |_| false);
    assert_eq!(again, Some(ReportAction::Send(report(9, 1))));
    reports.record_sent(begin_ms + 1_500, 9, true);
    assert_eq!(reports.next_action(begin_ms + 4_000, |_| false), None);
}

/// Guards against other counts for windows that may have been reported in a log that came back older.
#[test]
fn after_the_log_was_lost_older_windows_are_not_fixed_anew() {
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(5));
    reports.record_fixed(report(8, 2), true);
    reports.log_was_lost(WINDOWS.start_ms(10) + 100);
    let known = |window: u64| window >= 10;
    assert_eq!(
        reports.next_action(settled_ms(10), known),
        Some(ReportAction::Send(report(8, 2)))
    );
    reports.record_sent(settled_ms(10), 8, true);
    assert_eq!(
        reports.next_action(settled_ms(10), known),
        Some(ReportAction::Fix(10))
    );
}
