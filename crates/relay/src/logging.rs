//! Logs as JSON lines on standard output, bounded and never waited for.

use std::cell::Cell;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Lines that wait for a slow reader; further ones are counted and left out.
const QUEUED_LINES: usize = 2_048;

/// Longest time for which the end of a process waits for its last lines.
const LONGEST_FLUSH: Duration = Duration::from_millis(100);

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_f64()) {
            (Some(number), _) => json!(number),
            (None, Some(number)) => json!(number),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Lines of this process that a slow reader cost.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines that were left out since the process began, since their reader was too slow.
pub fn lines_dropped() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Hands whole lines to a thread of its own.
///
/// A reader of standard output that stops would otherwise stop every request with it.
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
    waiting: Arc<AtomicU64>,
}

impl LogQueue {
    /// A queue, and the end at which its lines are written.
    pub fn new(most: usize) -> (Self, LogWriter) {
        let (lines, receiver) = sync_channel(most);
        let left_out = Arc::new(AtomicU64::new(0));
        let waiting = Arc::new(AtomicU64::new(0));
        let drain = LogWriter {
            receiver,
            left_out: Arc::clone(&left_out),
            waiting: Arc::clone(&waiting),
        };
        let queue = Self {
            lines,
            left_out,
            waiting,
        };
        (queue, drain)
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            self.left_out.fetch_add(1, Ordering::Relaxed);
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The end of the queue at which lines are written.
pub struct LogWriter {
    receiver: Receiver<Vec<u8>>,
    left_out: Arc<AtomicU64>,
    waiting: Arc<AtomicU64>,
}

impl LogWriter {
    /// Writes lines until the queue is closed or the reader is gone.
    pub fn run(self, mut out: impl Write) {
        while let Ok(line) = self.receiver.recv() {
            let left_out = self.left_out.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                let note =
                    json!({ "level": "WARN", "message": "lines left out", "lines": left_out });
                if writeln!(out, "{note}").is_err() {
                    return;
                }
            }
            let written = out.write_all(&line);
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            if written.is_err() {
                return;
            }
        }
    }
}

/// Lines of one kind that may be written in a second.
///
/// Ten times the load must not write ten times the lines: on a quarter of a core that alone
/// would make answers late. What is left out is counted, and said in the next second.
#[derive(Debug)]
pub struct LogRateLimit {
    kind: &'static str,
    per_s: u32,
    second: Cell<u64>,
    used: Cell<u32>,
    left_out: Cell<u64>,
}

impl LogRateLimit {
    /// A budget of `per_s` lines of a kind.
    pub fn new(kind: &'static str, per_s: u32) -> Self {
        Self {
            kind,
            per_s,
            second: Cell::default(),
            used: Cell::default(),
            left_out: Cell::default(),
        }
    }

    /// Kind of the lines.
    pub fn kind(&self) -> &'static str {
        self.kind
    }

    /// Lines left out since the start.
    pub fn dropped(&self) -> u64 {
        self.left_out.get()
    }

    /// Whether one more line may be written.
    pub fn take(&self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if self.second.replace(second) != second {
            let left_out = self.used.replace(0).saturating_sub(self.per_s);
            if left_out > 0 {
                log::warn!(kind = self.kind, lines = left_out; "lines left out");
            }
        }
        self.used.set(self.used.get() + 1);
        let may = self.used.get() <= self.per_s;
        self.left_out.set(self.left_out.get() + u64::from(!may));
        may
    }
}

/// Writes one record as a JSON line.
pub fn write_line(out: &mut impl Write, record: &log::Record) -> std::io::Result<()> {
    let mut fields = Fields(Map::new());
    fields
        .0
        .insert("wall_ms".to_owned(), json!(tick::wall_ms()));
    let level = json!(record.level().as_str());
    fields.0.insert("level".to_owned(), level);
    let message = json!(record.args().to_string());
    fields.0.insert("message".to_owned(), message);
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".to_owned(), json!("unreadable"));
    }
    writeln!(out, "{}", serde_json::Value::Object(fields.0))
}

/// Lines that are not written yet.
pub struct PendingLines(Arc<AtomicU64>);

impl PendingLines {
    /// Waits until all lines are written, for a short time at most.
    ///
    /// The last lines say why a process ended; without this they end with it.
    pub fn flush(&self) {
        let began = Instant::now();
        while self.0.load(Ordering::Acquire) > 0 && began.elapsed() < LONGEST_FLUSH {
            std::thread::sleep(LONGEST_FLUSH / 50);
        }
    }
}

/// Starts logging; `RUST_LOG` sets the level.
pub fn start() -> PendingLines {
    let (queue, drain) = LogQueue::new(QUEUED_LINES);
    let waiting = PendingLines(Arc::clone(&queue.waiting));
    std::thread::spawn(move || drain.run(std::io::stdout()));
    let env = env_logger::Env::default().default_filter_or("info");
    let started = env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(write_line)
        .try_init();
    if let Err(error) = started {
        eprintln!("logging was started before: {error}");
    }
    waiting
}
