//! Usage windows are reported once, with the same counts, and in time.

use duty::{ReportAction, UsageReport, UsageReports, UsageWindows};

const WINDOWS: UsageWindows = UsageWindows { length_ms: 5_000 };

fn report(window: u64, count: u64) -> UsageReport {
    UsageReport {
        window,
        counts: [("one".to_owned(), count)].into(),
    }
}

/// When the tallies of `window` have arrived.
fn settled_ms(window: u64) -> u64 {
    WINDOWS.end_ms(window) + 2_000
}

/// Guards against fixing a window before its last counts have arrived.
#[test]
fn window_is_fixed_after_its_tallies_settled() {
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

/// Guards against an empty window that is never reported, so that the report seems to be missing.
#[test]
fn empty_window_is_reported_if_seen_from_its_start() {
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(9));
    assert_eq!(
        reports.next_action(settled_ms(10), |_| false),
        Some(ReportAction::Fix(10))
    );
}

/// Guards against two reports of a window with different counts: a successor sends what was fixed.
#[test]
fn successor_sends_the_fixed_counts() {
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(9));
    reports.record_fixed(report(10, 3), false);
    reports.record_fixed(report(10, 4), true);
    let action = reports.next_action(settled_ms(10), |window| window >= 9);
    assert_eq!(action, Some(ReportAction::Fix(9)));
    reports.record_fixed(report(9, 1), true);
    reports.record_sent(settled_ms(10), 9, true);
    assert_eq!(
        reports.next_action(settled_ms(10), |window| window >= 9),
        Some(ReportAction::Send(report(10, 3)))
    );
}

/// Guards against a report that is not resent after its answer was lost, and against one that is
/// sent at each check.
#[test]
fn report_is_resent_until_accepted() {
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(9));
    reports.record_fixed(report(9, 1), true);
    let sent_ms = settled_ms(9);
    reports.record_sent(sent_ms, 9, false);
    assert_eq!(reports.next_action(sent_ms + 1_000, |_| false), None);
    let retry = reports.next_action(sent_ms + 1_500, |_| false);
    assert_eq!(retry, Some(ReportAction::Send(report(9, 1))));
    reports.record_sent(sent_ms + 1_500, 9, true);
    assert_eq!(reports.next_action(sent_ms + 4_000, |_| false), None);
}

/// Guards against different counts for a window that was already reported, when the log comes back
/// older than it was.
#[test]
fn old_windows_are_not_fixed_again_after_log_loss() {
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

/// Guards against the same at an instance that knows tallies of the old windows, but not their reports.
#[test]
fn old_windows_with_tallies_are_not_fixed_again_after_log_loss() {
    let mut reports = UsageReports::new(WINDOWS, WINDOWS.start_ms(5));
    reports.log_was_lost(WINDOWS.start_ms(10) + 100);
    assert_eq!(reports.next_action(settled_ms(9), |_| true), None);
    assert_eq!(
        reports.next_action(settled_ms(10), |_| true),
        Some(ReportAction::Fix(10))
    );
}
