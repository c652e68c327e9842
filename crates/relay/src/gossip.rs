//! What instances tell each other of the upstreams that they share.
//!
//! Load pattern: six instances send long prompts to the same four engines. Each knows its own and
//! sees only by the answers, a second late, what the others sent; it then queues two seconds of
//! work on an engine that looks idle. So each instance tells some others, ten times a second and
//! by one small datagram, what it has outstanding and what it had read lately. A lost datagram is
//! made up for by the next. Each tells at most [`FANOUT`] others, so the cost of an instance does
//! not grow with their number. See docs/design/platform.md.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::relay::Relay;
use crate::telling::{Read, Telling, decode, encode};

/// Time between two tellings, in ms: a tenth of the shortest objective's order, so that a view
/// is younger than the queue that it describes.
const PERIOD_MS: u64 = 100;

/// Periods for each telling of an idle instance.
const IDLE_PERIODS: u32 = 3;

/// Most instances that one tells at a time.
pub const FANOUT: usize = 8;

/// Reads of prompt parts that are told; older ones have been told before.
const READS: usize = 24;

/// Longest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 16 * 1024;

/// Parts that this instance had read since it last told everyone it tells.
#[derive(Debug, Default)]
pub struct Reads {
    recent: VecDeque<Read>,
}

impl Reads {
    /// A part was sent to be read.
    pub fn add(&mut self, read: Read) {
        self.recent.push_back(read);
        if self.recent.len() > READS {
            self.recent.pop_front();
        }
    }

    /// Takes what is to be told.
    pub fn take(&mut self) -> Vec<Read> {
        self.recent.drain(..).collect()
    }
}

/// Tells others until the process ends.
pub async fn tell(relay: Rc<Relay>, socket: Rc<UdpSocket>) {
    let mut idle = 0;
    loop {
        actix_rt::time::sleep(Duration::from_millis(PERIOD_MS)).await;
        let telling = relay.telling();
        let is_busy = !telling.outstanding.is_empty()
            || !telling.reads.is_empty()
            || !telling.turning.is_empty();
        // The first empty telling clears what others hold against us; further ones only say that
        // we live.
        if is_busy || idle % IDLE_PERIODS == 0 {
            send(&relay, &socket, &telling).await;
        }
        idle = if is_busy { 0 } else { idle + 1 };
    }
}

async fn send(relay: &Relay, socket: &UdpSocket, telling: &Telling) {
    let peers = peers(relay);
    let bytes = match encode(telling) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:%; "telling not written");
            return;
        }
    };
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:%, error:%; "telling not sent");
        }
    }
}

fn peers(relay: &Relay) -> Vec<SocketAddr> {
    let own = relay.settings.borrow().name.clone();
    let members = relay.members.borrow();
    let others: Vec<SocketAddr> = members
        .ready()
        .filter(|member| member.name != own)
        .filter_map(|member| member.peer)
        .collect();
    let chosen = others.choose_multiple(&mut rand::rng(), FANOUT);
    chosen.copied().collect()
}

/// Hears others until the process ends.
pub async fn hear(relay: Rc<Relay>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        match received {
            Ok((length, peer)) => match decode(&buffer[..length]) {
                Ok(telling) => relay.heard(&telling),
                Err(error) => log::debug!(peer:%, error:%; "telling not understood"),
            },
            Err(error) => {
                log::warn!(error:%; "hearing others failed");
                actix_rt::time::sleep(Duration::from_millis(PERIOD_MS)).await;
            }
        }
    }
}

/// Opens the socket for both.
pub async fn open(address: SocketAddr) -> io::Result<Rc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Rc::new)
}
