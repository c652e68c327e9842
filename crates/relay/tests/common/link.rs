//! A path between an instance and an upstream that a test can cut.

use std::net::SocketAddr;
use std::time::Duration;

use relay::listener::bind;
use relay::upstream::UpstreamEntry;
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Instruction of a socket filter that drops the packet.
const DROP: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// Time after which a connection that was established is reset.
const LATE_RESET: Duration = Duration::from_millis(30);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// What a link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Connects the two ends.
    Open,
    /// Neither establishes connections nor passes data.
    Hanging,
    /// Has reset all connections, and refuses new ones.
    Refusing,
    /// Passes data on open connections, and establishes no new ones.
    OpenOnly,
    /// Establishes connections and resets them a moment later, with their requests unread.
    ResettingLate,
    /// Establishes connections and resets them after this many ms, with their requests unread.
    ResettingAfter(u64),
    /// Establishes connections, passes requests on, and resets the connections once something was sent.
    ResettingAfterRequest,
    /// Establishes connections and passes requests on; no answer comes back.
    RequestsOnly,
}

impl LinkState {
    /// Time after which connections are reset unread; none if they are not.
    fn reset_after(self) -> Option<Duration> {
        match self {
            Self::ResettingLate => Some(LATE_RESET),
            Self::ResettingAfter(ms) => Some(Duration::from_millis(ms)),
            _ => None,
        }
    }

    /// Whether open connections are closed as the link enters this state.
    fn closes_open(self) -> bool {
        self.reset_after().is_some() || matches!(self, Self::Refusing | Self::ResettingAfterRequest)
    }

    /// Whether connections are established.
    fn establishes(self) -> bool {
        !matches!(self, Self::Hanging | Self::OpenOnly | Self::Refusing)
    }
}

/// A path to one upstream.
pub struct Link {
    /// Address at which the instance reaches the upstream.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Opens a path to an upstream.
    pub fn open(upstream: SocketAddr) -> Self {
        let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = listener.local_addr().expect("an address");
        let (state, states) = watch::channel(LinkState::Open);
        actix_rt::spawn(accept(listener, upstream, states));
        Self { address, state }
    }

    /// Cuts or heals the path.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// The entry of an upstream that is reached by this path.
    pub fn entry(&self, entry: UpstreamEntry) -> UpstreamEntry {
        UpstreamEntry {
            address: self.address,
            ..entry
        }
    }
}

/// The port of a link.
enum Port {
    Listening(TcpListener),
    /// Bound without a listener, so that connections are refused. A port that is given up may be taken by another process
    /// at any moment, which then answers in the place of a path that refuses, or keeps it from being opened again.
    Held(TcpSocket),
}

impl Port {
    fn refuse(self) -> Self {
        let Self::Listening(listener) = self else {
            return self;
        };
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option");
        socket.bind(address).expect("the port of before");
        Self::Held(socket)
    }

    fn listen(self) -> Self {
        let Self::Held(socket) = self else {
            return self;
        };
        Self::Listening(socket.listen(BACKLOG).expect("the port is held"))
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, mut states: watch::Receiver<LinkState>) {
    let mut port = Port::Listening(listener);
    loop {
        let state = *states.borrow_and_update();
        port = match state {
            LinkState::Refusing => port.refuse(),
            _ => port.listen(),
        };
        if let Port::Listening(listener) = &port {
            set_filter(&SockRef::from(listener), !state.establishes());
        }
        let accepted = async {
            match &port {
                Port::Listening(listener) => listener.accept().await,
                Port::Held(_) => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accepted => {
                let (near, _) = accepted.expect("a connection");
                actix_rt::spawn(pass(near, to, states.clone()));
            }
            changed = states.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

fn set_filter(socket: &SockRef<'_>, is_dropping: bool) {
    if is_dropping {
        socket.attach_filter(&[DROP]).expect("a filter");
    } else {
        // Without a filter there is none to take away.
        let _ = socket.detach_filter();
    }
}

async fn pass(near: TcpStream, to: SocketAddr, mut states: watch::Receiver<LinkState>) {
    let opened_in = *states.borrow();
    if let Some(after) = opened_in.reset_after() {
        let linger = SockRef::from(&near).set_linger(Some(Duration::ZERO));
        linger.expect("an option");
        actix_rt::time::sleep(after).await;
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let socket = SockRef::from(&near).try_clone().expect("a socket");
    SockRef::from(&near)
        .set_linger(Some(Duration::ZERO))
        .expect("an option");
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let (up, down) = (states.clone(), states.clone());
    let follow = async {
        loop {
            let state = *states.borrow_and_update();
            let is_its_own = opened_in == LinkState::ResettingAfterRequest && state == opened_in;
            if state.closes_open() && !is_its_own {
                return;
            }
            set_filter(&SockRef::from(&socket), state == LinkState::Hanging);
            if states.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    let is_reset_by_request = opened_in == LinkState::ResettingAfterRequest;
    tokio::select! {
        () = follow => {}
        () = copy(near_read, far_write, up, &[LinkState::Hanging], is_reset_by_request) => {}
        () = copy(far_read, near_write, down, &[LinkState::Hanging, LinkState::RequestsOnly], false) => {}
    }
}

/// Passes one direction on, but not in some states, until it ends, or until the first bytes were passed on if
/// `is_reset` says so.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut states: watch::Receiver<LinkState>,
    held_in: &[LinkState],
    is_reset: bool,
) {
    let mut bytes = vec![0; 16_384];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let _ = states.wait_for(|state| !held_in.contains(state)).await;
        if to.write_all(&bytes[..count]).await.is_err() || is_reset {
            return;
        }
    }
}
