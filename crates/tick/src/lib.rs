//! Monotonic time and the timer service that the parts of a process subscribe to.
//!
//! One task owns every timer of a process, so that a pause of the process is seen in one place:
//! a tick carries the time at which it was due and the time at which it was given, and whoever
//! holds a lease compares the two. See docs/design/lease.md.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{Notify, mpsc};

/// Monotonic clock of a process, in ms since it was made.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    before: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            before: Duration::ZERO,
        }
    }
}

impl Clock {
    /// The clock of a process that has been running for `age`, for tests.
    pub fn of_age(age: Duration) -> Self {
        Self {
            start: Instant::now(),
            before: age,
        }
    }

    /// Time since the clock was made, in ms.
    pub fn now_ms(&self) -> u64 {
        self.elapsed().as_millis() as u64
    }

    /// Time since the clock was made, in µs, for spans too short for ms.
    pub fn now_us(&self) -> u64 {
        self.elapsed().as_micros() as u64
    }

    fn elapsed(&self) -> Duration {
        self.before + self.start.elapsed()
    }
}

/// Time since the machine booted, in ms, that also counts while the process or machine is suspended.
///
/// What was allowed for a time must be over after a suspension of that length, and the steady clock
/// does not tell it.
pub fn since_boot_ms() -> u64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a valid timespec, which the call fills in.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut now) };
    debug_assert_eq!(status, 0, "the clock is there on every Linux");
    now.tv_sec.cast_unsigned() * 1_000 + now.tv_nsec.cast_unsigned() / 1_000_000
}

/// Wall clock in ms since 1970, for people only: no decision may read it.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A timer that fell due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// When it was due.
    pub due_ms: u64,
    /// When it was given out; far later than `due_ms` after a pause.
    pub now_ms: u64,
}

/// Periodic ticks for one part.
#[derive(Debug)]
pub struct Ticks {
    receiver: mpsc::UnboundedReceiver<Tick>,
}

impl Ticks {
    /// Waits for the next tick, and skips those that piled up meanwhile.
    ///
    /// After a pause a part must act once on the present, not once per missed period.
    pub async fn next(&mut self) -> Option<Tick> {
        let mut tick = self.receiver.recv().await?;
        while let Ok(later) = self.receiver.try_recv() {
            tick = later;
        }
        Some(tick)
    }
}

struct Entry {
    period_ms: Option<u64>,
    sender: mpsc::UnboundedSender<Tick>,
}

#[derive(Default)]
struct Queue {
    entries: BTreeMap<(u64, u64), Entry>,
    next: u64,
}

/// The timer service of a process.
#[derive(Clone)]
pub struct Timers {
    clock: Clock,
    queue: Rc<RefCell<Queue>>,
    changed: Rc<Notify>,
}

impl Timers {
    /// Starts the service on the current runtime thread.
    pub fn start(clock: Clock) -> Self {
        let timers = Self {
            clock,
            queue: Rc::default(),
            changed: Rc::default(),
        };
        actix_rt::spawn(run(timers.clone()));
        timers
    }

    /// The clock that the timers go by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Ticks every `period_ms`, the first after one period.
    pub fn every(&self, period_ms: u64) -> Ticks {
        self.add(self.clock.now_ms() + period_ms, Some(period_ms.max(1)))
    }

    /// Returns once `delay_ms` have passed.
    pub async fn sleep(&self, delay_ms: u64) {
        let _ = self.add(self.clock.now_ms() + delay_ms, None).next().await;
    }

    fn add(&self, due_ms: u64, period_ms: Option<u64>) -> Ticks {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut queue = self.queue.borrow_mut();
        let id = queue.next;
        queue.next += 1;
        queue
            .entries
            .insert((due_ms, id), Entry { period_ms, sender });
        drop(queue);
        self.changed.notify_one();
        Ticks { receiver }
    }

    /// Gives out what is due and says how long until the next is.
    fn fire(&self) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        let mut queue = self.queue.borrow_mut();
        while let Some((&(due_ms, id), _)) = queue.entries.first_key_value() {
            if due_ms > now_ms {
                return Some(due_ms - now_ms);
            }
            let entry = queue.entries.remove(&(due_ms, id))?;
            let heard = entry.sender.send(Tick { due_ms, now_ms }).is_ok();
            if let (true, Some(period_ms)) = (heard, entry.period_ms) {
                queue.entries.insert((now_ms + period_ms, id), entry);
            }
        }
        None
    }
}

async fn run(timers: Timers) {
    loop {
        match timers.fire() {
            Some(wait_ms) => {
                let wait = Duration::from_millis(wait_ms);
                let _ = actix_rt::time::timeout(wait, timers.changed.notified()).await;
            }
            None => timers.changed.notified().await,
        }
    }
}
