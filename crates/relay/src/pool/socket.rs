//! Opening of TCP connections, and the options that all of them need.

use std::net::{IpAddr, SocketAddr};
use std::sync::OnceLock;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

use super::error::ExchangeError;

/// Address that connections are opened from; the kernel chooses one if it is not set.
static SOURCE_ADDRESS: OnceLock<IpAddr> = OnceLock::new();

/// Time for which sent data may stay unacknowledged, in ms: longer than retransmissions take on a lossy
/// link, shorter than the usual grace period of a shutdown.
const UNACKED_TIMEOUT_MS: u64 = 4_000;

/// Idle time before the first TCP keepalive probe, in s.
const KEEPALIVE_IDLE_S: u64 = 2;

/// Sets the socket options that all connections need.
///
/// Nagle's algorithm is off, since small messages must not wait for the acknowledgement of earlier
/// ones. A machine that is gone or cut off neither answers nor resets a connection; without the
/// probes, an idle connection and all resources of its request would stay for many minutes.
pub fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_IDLE_S))
        .with_interval(Duration::from_secs(1))
        .with_retries(3);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Ends a connection to an upstream, a peer or the store whose sent data is not acknowledged.
///
/// Not for connections that others open: to this timeout, a caller that reads slowly, so that its window stays closed
/// for a while, looks like one that is gone.
fn limit_unacked(stream: &TcpStream) -> std::io::Result<()> {
    let timeout = Duration::from_millis(UNACKED_TIMEOUT_MS);
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Makes the kernel reset the connection on close and discard undelivered data.
///
/// While a peer is unreachable, the kernel would keep sending the data of a closed connection: a request
/// whose caller disconnected could reach the peer seconds later, when it may be leaving. A connection with
/// undelivered data is dropped only when no caller waits for the answer.
fn reset_on_drop(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Opens all further connections of this process from the given address; only the first call has an effect.
pub fn set_source_address(address: IpAddr) {
    SOURCE_ADDRESS.get_or_init(|| address);
}

/// Connects to a peer, from the source address if one is set.
async fn connect(peer: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = SOURCE_ADDRESS.get() else {
        return TcpStream::connect(peer).await;
    };
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(*source, 0))?;
    socket.connect(peer).await
}

/// Connects to a peer, within the timeout and with the options that all connections need.
pub(super) async fn connect_to(
    peer: SocketAddr,
    timeout_ms: u64,
) -> Result<TcpStream, ExchangeError> {
    let failed = |error: &std::io::Error| ExchangeError::Connect {
        peer,
        why: error.to_string(),
        is_refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
    };
    let wait = Duration::from_millis(timeout_ms);
    let connected = actix_rt::time::timeout(wait, connect(peer)).await;
    let stream = connected
        .map_err(|_| ExchangeError::Connect {
            peer,
            why: format!("nothing within {timeout_ms} ms"),
            is_refused: false,
        })?
        .map_err(|error| failed(&error))?;
    configure_socket(&stream).map_err(|error| failed(&error))?;
    limit_unacked(&stream).map_err(|error| failed(&error))?;
    reset_on_drop(&stream).map_err(|error| failed(&error))?;
    Ok(stream)
}
