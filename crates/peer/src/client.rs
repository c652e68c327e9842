//! Client for remote calls to other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use feed::RawRecord;
use once::{BodyDigest, IdempotencyKey};
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::{Answer, Call, CallStatus, ClaimVerdict, Heartbeat, peer_capnp};

use crate::{Error, Result};

type Connection = peer_capnp::peer::Client;

/// Records that a peer has read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRecords {
    /// Records from the requested offset on.
    pub records: Vec<RawRecord>,
    /// Offset of the peer's next read.
    pub next_offset: u64,
    /// Encoded snapshot, if the peer no longer keeps all of the records.
    pub snapshot: Option<Vec<u8>>,
}

/// Connections to other instances, opened on first use and reopened after a failure.
#[derive(Clone, Default)]
pub struct Client {
    connections: Rc<RefCell<HashMap<String, Connection>>>,
}

impl Client {
    /// Sends a heartbeat and returns the peer's heartbeat.
    pub async fn exchange(
        &self,
        peer: &str,
        heartbeat: &Heartbeat,
        limit_ms: u64,
    ) -> Result<Heartbeat> {
        let operation = "exchange";
        self.call_peer(operation, peer, limit_ms, |connection| {
            let mut request = connection.exchange_request();
            heartbeat.fill(request.get().init_beat());
            async move {
                let response = request.send().promise.await?;
                Heartbeat::try_from(response.get()?.get_beat()?).map_err(Into::into)
            }
        })
        .await
    }

    /// Fetches records that a peer has read from the log.
    pub async fn records(&self, peer: &str, from: u64, limit_ms: u64) -> Result<PeerRecords> {
        self.call_peer("records", peer, limit_ms, |connection| {
            let mut request = connection.records_request();
            request.get().set_from(from);
            async move {
                let response = request.send().promise.await?;
                let wire = response.get()?;
                let entries = wire.get_entries()?.iter().map(|entry| {
                    Ok(RawRecord {
                        offset: entry.get_offset(),
                        data: entry.get_record()?.to_vec(),
                    })
                });
                let snapshot = wire.get_snapshot()?;
                Ok(PeerRecords {
                    records: entries.collect::<capnp::Result<_>>()?,
                    next_offset: wire.get_next(),
                    snapshot: (!snapshot.is_empty()).then(|| snapshot.to_vec()),
                })
            }
        })
        .await
    }

    /// Asks the witness of a key whether its home may dispatch the call.
    pub async fn claim(
        &self,
        peer: &str,
        key: &IdempotencyKey,
        digest: BodyDigest,
        limit_ms: u64,
    ) -> Result<ClaimVerdict> {
        self.call_peer("claim", peer, limit_ms, |connection| {
            let mut request = connection.claim_request();
            request.get().set_key(key.to_string());
            request.get().set_body_digest(&digest);
            async move {
                let response = request.send().promise.await?;
                Ok(response.get()?.get_verdict()?.into())
            }
        })
        .await
    }

    /// Asks a witness for the status of a key, and closes the key if it is not recorded.
    pub async fn fence(
        &self,
        peer: &str,
        key: &IdempotencyKey,
        digest: BodyDigest,
        limit_ms: u64,
    ) -> Result<CallStatus> {
        self.call_peer("fence", peer, limit_ms, |connection| {
            let mut request = connection.fence_request();
            request.get().set_key(key.to_string());
            request.get().set_body_digest(&digest);
            async move {
                let response = request.send().promise.await?;
                CallStatus::try_from(response.get()?.get_status()?).map_err(Into::into)
            }
        })
        .await
    }

    /// Sends the answer of a call to the witness, which stores it.
    pub async fn finish(
        &self,
        peer: &str,
        key: &IdempotencyKey,
        answer: &Answer,
        limit_ms: u64,
    ) -> Result<()> {
        self.call_peer("finish", peer, limit_ms, |connection| {
            let mut request = connection.finish_request();
            request.get().set_key(key.to_string());
            answer.fill(request.get().init_answer());
            async move { request.send().promise.await.map(|_| ()) }
        })
        .await
    }

    /// Forwards a call to its home.
    pub async fn forward(&self, peer: &str, call: &Call, limit_ms: u64) -> Result<CallStatus> {
        self.call_peer("forward", peer, limit_ms, |connection| {
            let mut request = connection.forward_request();
            call.fill(request.get().init_call());
            async move {
                let response = request.send().promise.await?;
                CallStatus::try_from(response.get()?.get_status()?).map_err(Into::into)
            }
        })
        .await
    }

    async fn call_peer<T, F>(
        &self,
        operation: &'static str,
        peer: &str,
        limit_ms: u64,
        send: impl FnOnce(Connection) -> F,
    ) -> Result<T>
    where
        F: Future<Output = capnp::Result<T>>,
    {
        let error = |detail: String, never_sent: bool| Error {
            operation,
            peer: peer.to_owned(),
            detail,
            never_sent,
        };
        let limit = Duration::from_millis(limit_ms);
        let connection = match actix_rt::time::timeout(limit, self.connect(peer)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(failure)) => return Err(error(failure.to_string(), true)),
            Err(_) => return Err(error("no connection in time".to_owned(), true)),
        };
        let answer = actix_rt::time::timeout(limit, send(connection)).await;
        let failure = match answer {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(failure)) => failure.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.connections.borrow_mut().remove(peer);
        Err(error(failure, false))
    }

    async fn connect(&self, peer: &str) -> std::io::Result<Connection> {
        if let Some(connection) = self.connections.borrow().get(peer) {
            return Ok(connection.clone());
        }
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = futures_util::AsyncReadExt::split(stream.compat());
        let network = twoparty::VatNetwork::new(
            futures_util::io::BufReader::new(reader),
            futures_util::io::BufWriter::new(writer),
            rpc_twoparty_capnp::Side::Client,
            capnp::message::ReaderOptions::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let connection: Connection = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        actix_rt::spawn(async move {
            if let Err(error) = system.await {
                log::debug!("peer connection failed: {error}");
            }
        });
        self.connections
            .borrow_mut()
            .insert(peer.to_owned(), connection.clone());
        Ok(connection)
    }
}
