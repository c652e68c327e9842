//! A connection that is cut when the lease lapses, even if the process is paused then.
//!
//! Some engines ignore fencing tokens. For them, checking the lease before the write is not
//! enough: the process may be stopped between the check and the write, and its first act on
//! waking would be to put a stale order on the wire. A POSIX timer aimed at the ordering thread
//! closes that gap. See docs/design/orders.md for what it does and does not prevent.

use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::rc::Rc;
use std::sync::atomic::{AtomicI32, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tick::Clock;

/// No socket is guarded.
const NO_SOCKET: RawFd = -1;

/// Time after which the kernel drops bytes that a partition holds back. A process that is paused
/// beyond its lease cannot drop them itself, so a successor's margin must exceed this time.
pub const TCP_USER_TIMEOUT_MS: u64 = 400;

thread_local! {
    /// The socket that the handler cuts. One order is on the wire at a time in a thread, so one
    /// slot is enough; the handler may touch only this and call only `connect`. A constant
    /// without a destructor needs no set-up that a signal could interrupt.
    static GUARDED: AtomicI32 = const { AtomicI32::new(NO_SOCKET) };
}

/// A POSIX timer whose signal goes to the thread that made it.
///
/// Failure: a holder is paused past its lease with an order half written. Symptom: on waking it
/// sends an order that conflicts with its successor's. The kernel delivers a pending signal to a
/// thread before that thread runs again in user space, and the timer expired during the pause, so
/// the handler cuts the connection before the next write can happen.
#[derive(Debug)]
pub struct ConnectionGuard {
    timer: libc::timer_t,
    clock: Clock,
    /// `CLOCK_MONOTONIC` when `clock` said `base_ms`. A pause between the two readings makes the
    /// timer fire early, never late.
    base: Duration,
    base_ms: u64,
    /// The timer signals the thread that made it, so a guard stays on that thread.
    thread: std::marker::PhantomData<*const ()>,
}

/// Dissolves the connection: unlike `shutdown`, a connect to no address also drops the bytes
/// that wait in the kernel.
extern "C" fn cut_guarded(_signal: libc::c_int) {
    let socket = GUARDED.with(|guarded| guarded.load(Ordering::SeqCst));
    if socket == NO_SOCKET {
        return;
    }
    let nowhere = libc::sockaddr {
        sa_family: libc::AF_UNSPEC as libc::sa_family_t,
        sa_data: [0; 14],
    };
    // SAFETY: `connect` is async-signal-safe, takes any descriptor number, and reads an address
    // that lives on this stack for the length given.
    unsafe {
        libc::connect(
            socket,
            &raw const nowhere,
            size_of::<libc::sockaddr>() as libc::socklen_t,
        )
    };
}

fn monotonic() -> Duration {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the call fills the struct it is given.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now) };
    Duration::new(now.tv_sec.cast_unsigned(), now.tv_nsec as u32)
}

impl ConnectionGuard {
    /// Makes the timer for the calling thread, which alone may write orders.
    pub fn new(clock: Clock) -> io::Result<Self> {
        let base = monotonic();
        let base_ms = clock.now_ms();
        let signal = libc::SIGRTMIN();
        // SAFETY: the handler only loads an atomic and calls `connect`, both async-signal-safe;
        // zeroed `sigaction` and `sigevent` are valid values of these C structs.
        unsafe {
            let mut action: libc::sigaction = std::mem::zeroed();
            action.sa_sigaction = cut_guarded as *const () as libc::sighandler_t;
            action.sa_flags = libc::SA_RESTART;
            if libc::sigaction(signal, &raw const action, std::ptr::null_mut()) != 0 {
                return Err(io::Error::last_os_error());
            }
            let mut event: libc::sigevent = std::mem::zeroed();
            event.sigev_notify = libc::SIGEV_THREAD_ID;
            event.sigev_signo = signal;
            event.sigev_notify_thread_id = libc::gettid();
            let mut timer: libc::timer_t = std::ptr::null_mut();
            if libc::timer_create(libc::CLOCK_MONOTONIC, &raw mut event, &raw mut timer) != 0 {
                return Err(io::Error::last_os_error());
            }
            Ok(Self {
                timer,
                clock,
                base,
                base_ms,
                thread: std::marker::PhantomData,
            })
        }
    }

    /// Guards a fresh connection until a moment of the clock; fails if that has passed.
    ///
    /// Nothing may have been written to the connection yet.
    pub fn arm(self: &Rc<Self>, socket: &impl AsRawFd, expires_ms: u64) -> io::Result<ArmedGuard> {
        let raw = socket.as_raw_fd();
        // SAFETY: the descriptor is open for as long as `socket` is borrowed.
        let borrowed = unsafe { std::os::fd::BorrowedFd::borrow_raw(raw) };
        let options = SockRef::from(&borrowed);
        options.set_linger(Some(Duration::ZERO))?;
        options.set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)))?;
        GUARDED.with(|guarded| guarded.store(raw, Ordering::SeqCst));
        let armed = ArmedGuard {
            guard: self.clone(),
        };
        self.set_expiry(expires_ms)?;
        // A timer set to a moment that has passed fires at once, but perhaps only after this
        // thread's next write.
        if self.clock.now_ms() >= expires_ms {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the lease has lapsed",
            ));
        }
        Ok(armed)
    }

    fn set_expiry(&self, expires_ms: u64) -> io::Result<()> {
        let left = Duration::from_millis(expires_ms.saturating_sub(self.base_ms));
        self.set(self.base + left)
    }

    fn set(&self, at: Duration) -> io::Result<()> {
        let zero = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let spec = libc::itimerspec {
            it_interval: zero,
            it_value: libc::timespec {
                tv_sec: at.as_secs().cast_signed(),
                tv_nsec: libc::c_long::from(at.subsec_nanos()),
            },
        };
        // SAFETY: the timer lives as long as `self`, and the spec is read during the call only.
        let set = unsafe {
            libc::timer_settime(
                self.timer,
                libc::TIMER_ABSTIME,
                &raw const spec,
                std::ptr::null_mut(),
            )
        };
        if set == 0 {
            return Ok(());
        }
        Err(io::Error::last_os_error())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        // SAFETY: the timer was made by `new` and is deleted once.
        unsafe { libc::timer_delete(self.timer) };
    }
}

/// Keeps the timer aimed at a connection; must be dropped before the connection is.
#[derive(Debug)]
pub struct ArmedGuard {
    guard: Rc<ConnectionGuard>,
}

impl Drop for ArmedGuard {
    fn drop(&mut self) {
        // The slot is cleared before the descriptor is closed, so that a late signal cannot cut
        // another connection that got the same number.
        GUARDED.with(|guarded| guarded.store(NO_SOCKET, Ordering::SeqCst));
        // A zero time disarms the timer.
        let _ = self.guard.set(Duration::ZERO);
    }
}
