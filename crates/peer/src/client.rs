//! Asks other instances.

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

type Stub = peer_capnp::peer::Client;

/// What a peer gives of what it has read back from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRecords {
    /// Records from the asked offset on.
    pub records: Vec<RawRecord>,
    /// Where it would read on.
    pub next_offset: u64,
    /// Its whole state, where it no longer keeps the records.
    pub snapshot: Option<Vec<u8>>,
}

/// Connections to other instances, made when first needed and again after a failure.
#[derive(Clone, Default)]
pub struct Client {
    stubs: Rc<RefCell<HashMap<String, Stub>>>,
}

impl Client {
    /// Gives a heartbeat and gets one.
    pub async fn exchange(&self, peer: &str, beat: &Heartbeat, limit_ms: u64) -> Result<Heartbeat> {
        let operation = "exchange";
        self.ask(operation, peer, limit_ms, |stub| {
            let mut request = stub.exchange_request();
            beat.fill(request.get().init_beat());
            async move {
                let response = request.send().promise.await?;
                Heartbeat::try_from(response.get()?.get_beat()?).map_err(Into::into)
            }
        })
        .await
    }

    /// Gets what a peer has read back from the log.
    pub async fn records(&self, peer: &str, from: u64, limit_ms: u64) -> Result<PeerRecords> {
        self.ask("records", peer, limit_ms, |stub| {
            let mut request = stub.records_request();
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

    /// Asks a witness whether a call may be dispatched.
    pub async fn claim(
        &self,
        peer: &str,
        key: &IdempotencyKey,
        digest: BodyDigest,
        limit_ms: u64,
    ) -> Result<ClaimVerdict> {
        self.ask("claim", peer, limit_ms, |stub| {
            let mut request = stub.claim_request();
            request.get().set_key(key.to_string());
            request.get().set_body_digest(&digest);
            async move {
                let response = request.send().promise.await?;
                Ok(response.get()?.get_verdict()?.into())
            }
        })
        .await
    }

    /// Asks a witness what is known of a key, and closes an unseen one.
    pub async fn fence(
        &self,
        peer: &str,
        key: &IdempotencyKey,
        digest: BodyDigest,
        limit_ms: u64,
    ) -> Result<CallStatus> {
        self.ask("fence", peer, limit_ms, |stub| {
            let mut request = stub.fence_request();
            request.get().set_key(key.to_string());
            request.get().set_body_digest(&digest);
            async move {
                let response = request.send().promise.await?;
                CallStatus::try_from(response.get()?.get_status()?).map_err(Into::into)
            }
        })
        .await
    }

    /// Gives a witness an answer to keep.
    pub async fn finish(
        &self,
        peer: &str,
        key: &IdempotencyKey,
        answer: &Answer,
        limit_ms: u64,
    ) -> Result<()> {
        self.ask("finish", peer, limit_ms, |stub| {
            let mut request = stub.finish_request();
            request.get().set_key(key.to_string());
            answer.fill(request.get().init_answer());
            async move { request.send().promise.await.map(|_| ()) }
        })
        .await
    }

    /// Hands a call to its home.
    pub async fn forward(&self, peer: &str, call: &Call, limit_ms: u64) -> Result<CallStatus> {
        self.ask("forward", peer, limit_ms, |stub| {
            let mut request = stub.forward_request();
            call.fill(request.get().init_call());
            async move {
                let response = request.send().promise.await?;
                CallStatus::try_from(response.get()?.get_status()?).map_err(Into::into)
            }
        })
        .await
    }

    async fn ask<T, F>(
        &self,
        operation: &'static str,
        peer: &str,
        limit_ms: u64,
        call: impl FnOnce(Stub) -> F,
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
        let stub = match actix_rt::time::timeout(limit, self.stub(peer)).await {
            Ok(Ok(stub)) => stub,
            Ok(Err(failure)) => return Err(error(failure.to_string(), true)),
            Err(_) => return Err(error("no connection in time".to_owned(), true)),
        };
        let answer = actix_rt::time::timeout(limit, call(stub)).await;
        let failure = match answer {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(failure)) => failure.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.stubs.borrow_mut().remove(peer);
        Err(error(failure, false))
    }

    async fn stub(&self, peer: &str) -> std::io::Result<Stub> {
        if let Some(stub) = self.stubs.borrow().get(peer) {
            return Ok(stub.clone());
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
        let stub: Stub = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        actix_rt::spawn(async move {
            if let Err(error) = system.await {
                log::debug!("peer connection: {error}");
            }
        });
        self.stubs
            .borrow_mut()
            .insert(peer.to_owned(), stub.clone());
        Ok(stub)
    }
}
