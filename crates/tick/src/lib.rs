//! Clocks, and the timer service that the parts of a process subscribe to.
//!
//! One task owns all timers of a process, so that a pause of the process shows in one place: a tick
//! has the time at which it was due and the time at which it fired, and a lease holder compares the
//! two. See docs/design/lease.md.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{Notify, mpsc};

/// Monotonic clock that starts when it is created.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    initial_age: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            initial_age: Duration::ZERO,
        }
    }
}

impl Clock {
    /// A clock that started `age` ago, for tests.
    pub fn of_age(age: Duration) -> Self {
        Self {
            start: Instant::now(),
            initial_age: age,
        }
    }

    /// Time since the start of the clock, in ms.
    pub fn now_ms(&self) -> u64 {
        self.elapsed().as_millis() as u64
    }

    /// Time since the start of the clock, in µs, for spans that are too short for ms.
    pub fn now_us(&self) -> u64 {
        self.elapsed().as_micros() as u64
    }

    fn elapsed(&self) -> Duration {
        self.initial_age + self.start.elapsed()
    }
}

/// Time since the machine booted, in ms, including the time for which the process or the machine
/// was suspended.
///
/// A permission that is limited in time must have expired after a suspension of that length, which
/// the monotonic clock does not show.
pub fn since_boot_ms() -> u64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a valid timespec, which the call fills in.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut now) };
    debug_assert_eq!(status, 0, "CLOCK_BOOTTIME exists on every Linux");
    now.tv_sec.cast_unsigned() * 1_000 + now.tv_nsec.cast_unsigned() / 1_000_000
}

/// Wall-clock time in ms since 1970, for display only: no decision may depend on it.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A timer that fired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// When it was due, in ms.
    pub due_ms: u64,
    /// When it fired, in ms; far later than `due_ms` after a pause of the process.
    pub now_ms: u64,
}

/// Periodic ticks for one subscriber.
#[derive(Debug)]
pub struct Ticks {
    receiver: mpsc::UnboundedReceiver<Tick>,
}

impl Ticks {
    /// Waits for the next tick, and skips ticks that have piled up.
    ///
    /// After a pause, a subscriber must act once on the present, not once for each missed period.
    pub async fn next(&mut self) -> Option<Tick> {
        let mut tick = self.receiver.recv().await?;
        while let Ok(later) = self.receiver.try_recv() {
            tick = later;
        }
        Some(tick)
    }
}

struct Timer {
    period_ms: Option<u64>,
    sender: mpsc::UnboundedSender<Tick>,
}

#[derive(Default)]
struct TimerQueue {
    timers: BTreeMap<(u64, u64), Timer>,
    next_id: u64,
}

/// The timer service of a process.
#[derive(Clone)]
pub struct Timers {
    clock: Clock,
    queue: Rc<RefCell<TimerQueue>>,
    changed: Rc<Notify>,
}

impl Timers {
    /// Starts the service on the runtime of the current thread.
    pub fn start(clock: Clock) -> Self {
        let timers = Self {
            clock,
            queue: Rc::default(),
            changed: Rc::default(),
        };
        actix_rt::spawn(run(timers.clone()));
        timers
    }

    /// The clock of the timers.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Ticks every `period_ms`, for the first time after one period.
    pub fn every(&self, period_ms: u64) -> Ticks {
        self.add(self.clock.now_ms() + period_ms, Some(period_ms.max(1)))
    }

    /// Returns after `delay_ms`.
    pub async fn sleep(&self, delay_ms: u64) {
        let _ = self.add(self.clock.now_ms() + delay_ms, None).next().await;
    }

    fn add(&self, due_ms: u64, period_ms: Option<u64>) -> Ticks {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut queue = self.queue.borrow_mut();
        let id = queue.next_id;
        queue.next_id += 1;
        queue
            .timers
            .insert((due_ms, id), Timer { period_ms, sender });
        drop(queue);
        self.changed.notify_one();
        Ticks { receiver }
    }

    /// Fires the due timers. Returns the time until the next one, in ms.
    fn fire(&self) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        let mut queue = self.queue.borrow_mut();
        while let Some((&(due_ms, id), _)) = queue.timers.first_key_value() {
            if due_ms > now_ms {
                return Some(due_ms - now_ms);
            }
            let timer = queue.timers.remove(&(due_ms, id))?;
            let is_subscribed = timer.sender.send(Tick { due_ms, now_ms }).is_ok();
            if let (true, Some(period_ms)) = (is_subscribed, timer.period_ms) {
                queue.timers.insert((now_ms + period_ms, id), timer);
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
