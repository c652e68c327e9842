//! Datagrams between instances: what `view` has to tell goes out, and what comes is taken in.
//!
//! A lost datagram is made up for by the next one. See docs/design/views.md.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use view::gossip::PERIOD_MS;
use view::{decode, encode};

use crate::relay::Relay;

/// Longest datagram that is read, in bytes: the most that UDP carries.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Tells others until the process ends.
pub async fn send_periodically(relay: Rc<Relay>, socket: Rc<UdpSocket>) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(PERIOD_MS)).await;
        for (peer, told) in relay.due_gossip() {
            match encode(told) {
                Ok(bytes) => send(&socket, peer, &bytes).await,
                Err(error) => log::error!(peer:%, error:%; "datagram not written"),
            }
        }
    }
}

async fn send(socket: &UdpSocket, peer: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, peer).await {
        log::debug!(peer:%, error:%; "datagram not sent");
    }
}

/// Hears others until the process ends.
pub async fn receive(relay: Rc<Relay>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        match received {
            Ok((length, peer)) => match decode(&buffer[..length]) {
                Ok(told) => relay.receive_gossip(&told, peer),
                Err(error) => log::debug!(peer:%, error:%; "datagram not understood"),
            },
            Err(error) => {
                log::warn!(error:%; "hearing others failed");
                actix_rt::time::sleep(Duration::from_millis(PERIOD_MS)).await;
            }
        }
    }
}

/// Opens the socket for both.
pub async fn bind(address: SocketAddr) -> io::Result<Rc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Rc::new)
}
