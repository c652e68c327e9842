//! Logging as JSON lines to standard output, without ever blocking the process.

use std::cell::Cell;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Capacity of the queue of lines; when a slow reader lets it fill up, further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

/// Longest time that a process waits at its end for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

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

/// Lines that this process dropped because of a slow reader.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the process began because their reader was too slow.
pub fn lines_dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// A bounded queue of lines, written out by a [`LogWriter`] on a separate thread.
///
/// Without it, a reader of standard output that stops would block every request.
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    pending: Arc<AtomicU64>,
}

impl LogQueue {
    /// Creates a queue for at most `capacity` lines, and its writer.
    pub fn new(capacity: usize) -> (Self, LogWriter) {
        let (lines, receiver) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let pending = Arc::new(AtomicU64::new(0));
        let writer = LogWriter {
            receiver,
            dropped: Arc::clone(&dropped),
            pending: Arc::clone(&pending),
        };
        let queue = Self {
            lines,
            dropped,
            pending,
        };
        (queue, writer)
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes the lines of a [`LogQueue`].
pub struct LogWriter {
    receiver: Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    pending: Arc<AtomicU64>,
}

impl LogWriter {
    /// Writes lines until the queue is dropped or `out` fails.
    pub fn run(self, mut out: impl Write) {
        while let Ok(line) = self.receiver.recv() {
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let note =
                    json!({ "level": "WARN", "message": "log lines dropped", "lines": dropped });
                if writeln!(out, "{note}").is_err() {
                    return;
                }
            }
            let written = out.write_all(&line);
            self.pending.fetch_sub(1, Ordering::AcqRel);
            if written.is_err() {
                return;
            }
        }
    }
}

/// Limit on the lines of one kind per second.
///
/// At ten times the usual load, ten times the lines would make answers late on a quarter of a core. Dropped
/// lines are counted, and a line in the next second says how many there were.
#[derive(Debug)]
pub struct LogRateLimit {
    kind: &'static str,
    per_s: u32,
    second: Cell<u64>,
    /// Lines requested in the current second, written or not.
    requested: Cell<u32>,
    dropped: Cell<u64>,
}

impl LogRateLimit {
    /// Creates a limit of `per_s` lines per second.
    pub fn new(kind: &'static str, per_s: u32) -> Self {
        Self {
            kind,
            per_s,
            second: Cell::default(),
            requested: Cell::default(),
            dropped: Cell::default(),
        }
    }

    /// Kind of the lines, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        self.kind
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Whether one more line may be written now; counts it as dropped if not.
    pub fn take(&self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if self.second.replace(second) != second {
            let dropped = self.requested.replace(0).saturating_sub(self.per_s);
            if dropped > 0 {
                log::warn!(kind = self.kind, lines = dropped; "log lines dropped");
            }
        }
        self.requested.set(self.requested.get() + 1);
        let is_allowed = self.requested.get() <= self.per_s;
        self.dropped
            .set(self.dropped.get() + u64::from(!is_allowed));
        is_allowed
    }
}

/// Writes a log record as one JSON line with the time, level, message and fields.
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

/// Number of queued lines that are not written yet.
pub struct PendingLines(Arc<AtomicU64>);

impl PendingLines {
    /// Waits until all lines are written, for at most 100 ms.
    ///
    /// To be called before the process exits: otherwise the last lines, which give the reason for the exit,
    /// would be lost.
    pub fn flush(&self) {
        let began = Instant::now();
        while self.0.load(Ordering::Acquire) > 0 && began.elapsed() < FLUSH_TIMEOUT {
            std::thread::sleep(FLUSH_TIMEOUT / 50);
        }
    }
}

/// Starts logging at level `info` or as `RUST_LOG` says; the result is to be flushed at the end.
pub fn start() -> PendingLines {
    let (queue, writer) = LogQueue::new(MAX_QUEUED_LINES);
    let pending = PendingLines(Arc::clone(&queue.pending));
    std::thread::spawn(move || writer.run(std::io::stdout()));
    let env = env_logger::Env::default().default_filter_or("info");
    let started = env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(write_line)
        .try_init();
    if let Err(error) = started {
        eprintln!("logging is already initialised: {error}");
    }
    pending
}
