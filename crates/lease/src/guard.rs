//! Cuts a connection when the lease expires, even if the process is paused at that time.
//!
//! Some engines ignore fencing tokens. For them it is not enough to check the lease before a write:
//! the process may be suspended between the check and the write, and would send a stale order when
//! it resumes. A POSIX timer that signals the sending thread closes this gap. See
//! docs/design/orders.md for what it does and does not prevent.

use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::rc::Rc;
use std::sync::atomic::{AtomicI32, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tick::Clock;

/// Value of the guarded descriptor when there is none.
const NO_SOCKET: RawFd = -1;

/// Time after which the kernel drops unacknowledged bytes. A process that is paused past the end of
/// its lease cannot drop them itself, so the lease margin must exceed this time.
pub const TCP_USER_TIMEOUT_MS: u64 = 400;

thread_local! {
    /// Descriptor of the socket that the signal handler cuts. A thread sends one order at a time,
    /// so one descriptor is enough. The handler may only read this value and call `connect`. The
    /// initializer is constant and the value has no destructor, so a signal cannot interrupt a lazy
    /// initialization.
    static GUARDED_SOCKET: AtomicI32 = const { AtomicI32::new(NO_SOCKET) };
}

/// A POSIX timer that signals the thread that created it.
///
/// Prevents a holder that is paused past its lease with a half-written order from sending the rest,
/// which could conflict with its successor's order. The timer expires during the pause, and the
/// kernel delivers a pending signal before the thread runs in user space again, so the handler cuts
/// the connection before the next write.
#[derive(Debug)]
pub struct ConnectionGuard {
    timer: libc::timer_t,
    clock: Clock,
    /// `CLOCK_MONOTONIC` at the time `base_ms` of `clock`. It is read first, so a pause between the
    /// two readings makes the timer fire early, never late.
    base: Duration,
    base_ms: u64,
    /// Makes the guard `!Send`: the timer signals the thread that created it.
    thread: std::marker::PhantomData<*const ()>,
}

/// Signal handler that disconnects the guarded socket. Unlike `shutdown`, `connect` with
/// `AF_UNSPEC` also drops the bytes queued in the kernel.
extern "C" fn disconnect_guarded(_signal: libc::c_int) {
    let socket = GUARDED_SOCKET.with(|guarded| guarded.load(Ordering::SeqCst));
    if socket == NO_SOCKET {
        return;
    }
    let unspecified = libc::sockaddr {
        sa_family: libc::AF_UNSPEC as libc::sa_family_t,
        sa_data: [0; 14],
    };
    // SAFETY: `connect` is async-signal-safe, accepts any descriptor number, and reads `socklen`
    // bytes of an address on this stack.
    unsafe {
        libc::connect(
            socket,
            &raw const unspecified,
            size_of::<libc::sockaddr>() as libc::socklen_t,
        )
    };
}

fn monotonic() -> Duration {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `now` is valid for writes.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now) };
    Duration::new(now.tv_sec.cast_unsigned(), now.tv_nsec as u32)
}

impl ConnectionGuard {
    /// Creates the timer for the calling thread, the only one that may send orders.
    pub fn new(clock: Clock) -> io::Result<Self> {
        let base = monotonic();
        let base_ms = clock.now_ms();
        let signal = libc::SIGRTMIN();
        // SAFETY: the handler only loads an atomic and calls `connect`, which are both
        // async-signal-safe; `sigaction` and `sigevent` are C structs that may be zeroed.
        unsafe {
            let mut action: libc::sigaction = std::mem::zeroed();
            action.sa_sigaction = disconnect_guarded as *const () as libc::sighandler_t;
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

    /// Arms the guard for a new connection: the connection is cut at `expires_ms`.
    ///
    /// Nothing may have been written to the connection. Fails if `expires_ms` has passed.
    pub fn arm(self: &Rc<Self>, socket: &impl AsRawFd, expires_ms: u64) -> io::Result<ArmedGuard> {
        let raw = socket.as_raw_fd();
        // SAFETY: the descriptor is open for as long as `socket` is borrowed.
        let borrowed = unsafe { std::os::fd::BorrowedFd::borrow_raw(raw) };
        let options = SockRef::from(&borrowed);
        options.set_linger(Some(Duration::ZERO))?;
        options.set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)))?;
        GUARDED_SOCKET.with(|guarded| guarded.store(raw, Ordering::SeqCst));
        let armed = ArmedGuard {
            guard: self.clone(),
        };
        self.set_expiry(expires_ms)?;
        // A timer set to a time in the past fires at once, but possibly only after this thread's
        // next write.
        if self.clock.now_ms() >= expires_ms {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the lease has expired",
            ));
        }
        Ok(armed)
    }

    fn set_expiry(&self, expires_ms: u64) -> io::Result<()> {
        let remaining = Duration::from_millis(expires_ms.saturating_sub(self.base_ms));
        self.set(self.base + remaining)
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
        // SAFETY: the timer lives as long as `self`, and `spec` is only read during the call.
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
        // SAFETY: `new` created the timer, and it is deleted only here.
        unsafe { libc::timer_delete(self.timer) };
    }
}

/// Keeps the guard armed for a connection. Must be dropped before the connection is closed.
#[derive(Debug)]
pub struct ArmedGuard {
    guard: Rc<ConnectionGuard>,
}

impl Drop for ArmedGuard {
    fn drop(&mut self) {
        // Cleared before the descriptor is closed, so that a late signal cannot cut another
        // connection that got the same number.
        GUARDED_SOCKET.with(|guarded| guarded.store(NO_SOCKET, Ordering::SeqCst));
        // A zero time disarms the timer.
        let _ = self.guard.set(Duration::ZERO);
    }
}
