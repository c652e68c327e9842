//! Log output is bounded and never blocks.

use std::io::Write;
use std::sync::mpsc::channel;

use relay::logging::{LogQueue, LogRateLimit};

/// Guards against blocking on standard output when its reader has stopped. As many lines as fit are
/// kept, and a line with the number of dropped ones precedes them.
#[test]
fn a_reader_that_stops_blocks_no_writer() {
    let (mut queue, writer) = LogQueue::new(4);
    for line in 0..40 {
        queue.write_all(format!("{line}\n").as_bytes()).unwrap();
    }
    drop(queue);
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let mut out = Vec::new();
        writer.run(&mut out);
        sender.send(String::from_utf8(out).unwrap())
    });
    let text = receiver.recv().unwrap();
    let kept: Vec<&str> = text.lines().collect();
    assert_eq!(kept.len(), 5, "{text}");
    assert!(kept[0].contains("\"lines\":"), "{text}");
}

/// Guards against exceeding the limit of log lines: of 5,000 lines a second at most 60 are written,
/// and each second starts anew.
#[test]
fn no_more_lines_than_the_limit_are_written() {
    let limit = LogRateLimit::new("served", 60);
    let written = (0..50_000_u64).filter(|line| limit.take(line / 5)).count();
    assert_eq!(written, 600);
}
