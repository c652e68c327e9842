//! Logs are bounded and hold nobody up.

use std::io::Write;
use std::sync::mpsc::channel;

use relay::logging::{LogQueue, LogRateLimit};

/// Whoever reads standard output has stopped. Lines are written on without waiting, as many as
/// fit are kept, and the first after it says how many were left out.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let (mut queue, drain) = LogQueue::new(4);
    for line in 0..40 {
        queue.write_all(format!("{line}\n").as_bytes()).unwrap();
    }
    drop(queue);
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let mut out = Vec::new();
        drain.run(&mut out);
        sender.send(String::from_utf8(out).unwrap())
    });
    let text = receiver.recv().unwrap();
    let kept: Vec<&str> = text.lines().collect();
    assert_eq!(kept.len(), 5, "{text}");
    assert!(kept[0].contains("\"lines\":"), "{text}");
}

/// Ten times the load: of 5,000 lines a second no more than the budget are written, and each
/// second begins anew.
#[test]
fn ten_times_the_load_writes_no_more_than_the_budget() {
    let budget = LogRateLimit::new("served", 60);
    let written = (0..50_000_u64).filter(|line| budget.take(line / 5)).count();
    assert_eq!(written, 600);
}
