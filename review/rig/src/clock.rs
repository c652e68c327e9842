//! Time, random numbers and the record of a run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static BEGAN: Mutex<Option<Instant>> = Mutex::new(None);
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static STATE: AtomicU64 = AtomicU64::new(0);

/// Starts the clock and the record.
pub fn begin(record: &str) {
    *BEGAN.lock().unwrap() = Some(Instant::now());
    *RECORD.lock().unwrap() = Some(File::create(record).expect("the record can be written"));
    STATE.store(
        unix_ms() ^ u64::from(std::process::id()) << 32,
        Ordering::Relaxed,
    );
}

/// Time since the start, in ms.
pub fn now_ms() -> u64 {
    let began = BEGAN.lock().unwrap();
    began.map_or(0, |it| it.elapsed().as_millis() as u64)
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until this time since the start.
pub fn sleep_until(at_ms: u64) {
    sleep_ms(at_ms.saturating_sub(now_ms()));
}

/// A random number.
pub fn random() -> u64 {
    let mut z = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Writes a line to the record, with the time.
pub fn record(line: &str) {
    let at = now_ms();
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = writeln!(file, "{:8.3} {line}", at as f64 / 1_000.0);
    }
}
