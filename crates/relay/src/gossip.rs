//! Sending and receiving of gossip datagrams over UDP.
//!
//! Lost datagrams are not resent, since later ones carry the same state. See docs/design/views.md.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use view::gossip::PERIOD_MS;
use view::{decode, encode, stream_origin};

use crate::path_check::check_paths;
use crate::relay::Relay;

/// Size of the receive buffer, in bytes: the largest UDP datagram.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Sends gossip to peers periodically until the process ends.
pub async fn send_periodically(relay: Rc<Relay>, socket: Rc<UdpSocket>) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(PERIOD_MS)).await;
        check_paths(&relay);
        relay.check_members_lost();
        for (peer, message) in relay.due_gossip() {
            match encode(message) {
                Ok(bytes) => send(&socket, peer, &bytes).await,
                Err(error) => log::error!(peer:%, error:%; "gossip datagram could not be encoded"),
            }
        }
    }
}

async fn send(socket: &UdpSocket, peer: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, peer).await {
        log::debug!(peer:%, error:%; "gossip datagram could not be sent");
    }
}

/// Receives and applies gossip of peers until the process ends.
pub async fn receive(relay: Rc<Relay>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    relay.stream_origins.attach(&socket);
    loop {
        let received = socket.recv_from(&mut buffer).await;
        match received {
            Ok((length, peer)) if stream_origin::is_origin_message(&buffer[..length]) => {
                match stream_origin::decode(&buffer[..length]) {
                    Ok(message) => relay.receive_origin(&message, peer),
                    Err(error) => {
                        log::debug!(peer:%, error:%; "datagram about a stream could not be decoded");
                    }
                }
            }
            Ok((length, peer)) => match decode(&buffer[..length]) {
                Ok(message) => relay.receive_gossip(&message, peer),
                Err(error) => log::debug!(peer:%, error:%; "gossip datagram could not be decoded"),
            },
            Err(error) => {
                log::warn!(error:%; "gossip could not be received");
                actix_rt::time::sleep(Duration::from_millis(PERIOD_MS)).await;
            }
        }
    }
}

/// Opens the socket for sending and receiving.
pub async fn bind(address: SocketAddr) -> io::Result<Rc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Rc::new)
}
