//! Answers other instances.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use feed::RawRecord;
use once::{BodyDigest, IdempotencyKey};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::{Answer, Call, CallStatus, ClaimVerdict, Heartbeat, peer_capnp};

/// What an instance does for others; the edge between messages and the process's state.
#[allow(async_fn_in_trait, reason = "every caller runs on one thread")]
pub trait Handler: 'static {
    /// Takes in a heartbeat and gives its own.
    fn exchange(&self, beat: Heartbeat) -> Heartbeat;
    /// Records read back from the log from an offset on, with the next offset, or a snapshot.
    fn records(&self, from: u64) -> (Vec<RawRecord>, u64, Option<Vec<u8>>);
    /// A home asks its witness.
    fn claim(&self, key: &IdempotencyKey, digest: BodyDigest) -> ClaimVerdict;
    /// An instance that cannot reach a home asks its witness.
    fn fence(&self, key: &IdempotencyKey, digest: BodyDigest) -> CallStatus;
    /// A home gives its witness an answer.
    fn finish(&self, key: &IdempotencyKey, answer: Answer);
    /// An instance hands a call to its home.
    async fn forward(&self, call: Call) -> CallStatus;
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts all connections, as a crash would.
    pub fn kill(&self) {
        self.accepting.abort();
    }
}

/// Serves a handler on a listener.
pub fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) -> io::Result<Server> {
    let address = listener.local_addr()?;
    let accepting = actix_rt::spawn(accept(listener, handler));
    Ok(Server { address, accepting })
}

async fn accept<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    // Connections end with the set, so that aborting this task cuts them all.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn_local(talk(stream, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn talk<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = futures_util::AsyncReadExt::split(stream.compat());
    let network = twoparty::VatNetwork::new(
        futures_util::io::BufReader::new(reader),
        futures_util::io::BufWriter::new(writer),
        rpc_twoparty_capnp::Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    let peer: peer_capnp::peer::Client = capnp_rpc::new_client(Adapter { handler });
    let system = RpcSystem::new(Box::new(network), Some(peer.client));
    if let Err(error) = system.await {
        log::debug!("peer connection: {error}");
    }
}

struct Adapter<H> {
    handler: Rc<H>,
}

fn refuse(error: &impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

fn key(text: capnp::Result<capnp::text::Reader>) -> capnp::Result<IdempotencyKey> {
    text?
        .to_str()?
        .parse()
        .map_err(|error: once::KeyError| refuse(&error))
}

impl<H: Handler> peer_capnp::peer::Server for Adapter<H> {
    async fn exchange(
        self: Rc<Self>,
        params: peer_capnp::peer::ExchangeParams,
        mut results: peer_capnp::peer::ExchangeResults,
    ) -> capnp::Result<()> {
        let beat =
            Heartbeat::try_from(params.get()?.get_beat()?).map_err(|error| refuse(&error))?;
        let mine = self.handler.exchange(beat);
        mine.fill(results.get().init_beat());
        Ok(())
    }

    async fn records(
        self: Rc<Self>,
        params: peer_capnp::peer::RecordsParams,
        mut results: peer_capnp::peer::RecordsResults,
    ) -> capnp::Result<()> {
        let (entries, next, snapshot) = self.handler.records(params.get()?.get_from());
        let mut out = results.get();
        out.set_next(next);
        if let Some(snapshot) = snapshot {
            out.set_snapshot(&snapshot);
            return Ok(());
        }
        let mut list = out.init_entries(entries.len() as u32);
        for (index, entry) in entries.iter().enumerate() {
            let mut out = list.reborrow().get(index as u32);
            out.set_offset(entry.offset);
            out.set_record(&entry.data);
        }
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: peer_capnp::peer::ClaimParams,
        mut results: peer_capnp::peer::ClaimResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let digest = wire::parse_digest("claim.bodyDigest", params.get_body_digest()?);
        let digest = digest.map_err(|error| refuse(&error))?;
        let verdict = self.handler.claim(&key(params.get_key())?, digest);
        results.get().set_verdict(verdict.into());
        Ok(())
    }

    async fn fence(
        self: Rc<Self>,
        params: peer_capnp::peer::FenceParams,
        mut results: peer_capnp::peer::FenceResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let digest = wire::parse_digest("fence.bodyDigest", params.get_body_digest()?);
        let digest = digest.map_err(|error| refuse(&error))?;
        let status = self.handler.fence(&key(params.get_key())?, digest);
        status.fill(results.get().init_status());
        Ok(())
    }

    async fn finish(
        self: Rc<Self>,
        params: peer_capnp::peer::FinishParams,
        _results: peer_capnp::peer::FinishResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let answer = Answer::try_from(params.get_answer()?).map_err(|error| refuse(&error))?;
        self.handler.finish(&key(params.get_key())?, answer);
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: peer_capnp::peer::ForwardParams,
        mut results: peer_capnp::peer::ForwardResults,
    ) -> capnp::Result<()> {
        let call = Call::try_from(params.get()?.get_call()?).map_err(|error| refuse(&error))?;
        let status = self.handler.forward(call).await;
        status.fill(results.get().init_status());
        Ok(())
    }
}
