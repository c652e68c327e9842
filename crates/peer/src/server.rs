//! Server for remote calls of other instances.

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

/// Handles the remote calls of other instances.
#[allow(async_fn_in_trait, reason = "every caller runs on one thread")]
pub trait Handler: 'static {
    /// Processes a heartbeat and returns this instance's own.
    fn exchange(&self, heartbeat: Heartbeat) -> Heartbeat;
    /// Returns the records from an offset on, the next offset, and a snapshot if records are
    /// missing.
    fn records(&self, from: u64) -> (Vec<RawRecord>, u64, Option<Vec<u8>>);
    /// Decides as witness whether a key's home may dispatch its call.
    fn claim(&self, key: &IdempotencyKey, digest: BodyDigest) -> ClaimVerdict;
    /// Returns the status of a key as witness, and closes it if it is not recorded.
    fn fence(&self, key: &IdempotencyKey, digest: BodyDigest) -> CallStatus;
    /// Stores the answer of a call as witness.
    fn finish(&self, key: &IdempotencyKey, answer: Answer);
    /// Runs a call as home, or waits for its end if it is in progress.
    async fn forward(&self, call: Call) -> CallStatus;
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Server {
    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections at once, as a crash would.
    pub fn kill(&self) {
        self.accept_task.abort();
    }
}

/// Starts serving remote calls on a listener.
pub fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) -> io::Result<Server> {
    let address = listener.local_addr()?;
    let accept_task = actix_rt::spawn(accept(listener, handler));
    Ok(Server {
        address,
        accept_task,
    })
}

async fn accept<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    // Dropping the set aborts its tasks, so aborting this task closes all connections.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn_local(serve_connection(stream, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Rc<H>) {
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
        log::debug!("peer connection failed: {error}");
    }
}

struct Adapter<H> {
    handler: Rc<H>,
}

fn rejected(error: &impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

fn parse_key(text: capnp::Result<capnp::text::Reader>) -> capnp::Result<IdempotencyKey> {
    text?
        .to_str()?
        .parse()
        .map_err(|error: once::KeyError| rejected(&error))
}

impl<H: Handler> peer_capnp::peer::Server for Adapter<H> {
    async fn exchange(
        self: Rc<Self>,
        params: peer_capnp::peer::ExchangeParams,
        mut results: peer_capnp::peer::ExchangeResults,
    ) -> capnp::Result<()> {
        let heartbeat =
            Heartbeat::try_from(params.get()?.get_beat()?).map_err(|error| rejected(&error))?;
        let own = self.handler.exchange(heartbeat);
        own.fill(results.get().init_beat());
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
        let digest = digest.map_err(|error| rejected(&error))?;
        let verdict = self.handler.claim(&parse_key(params.get_key())?, digest);
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
        let digest = digest.map_err(|error| rejected(&error))?;
        let status = self.handler.fence(&parse_key(params.get_key())?, digest);
        status.fill(results.get().init_status());
        Ok(())
    }

    async fn finish(
        self: Rc<Self>,
        params: peer_capnp::peer::FinishParams,
        _results: peer_capnp::peer::FinishResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let answer = Answer::try_from(params.get_answer()?).map_err(|error| rejected(&error))?;
        self.handler.finish(&parse_key(params.get_key())?, answer);
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: peer_capnp::peer::ForwardParams,
        mut results: peer_capnp::peer::ForwardResults,
    ) -> capnp::Result<()> {
        let call = Call::try_from(params.get()?.get_call()?).map_err(|error| rejected(&error))?;
        let status = self.handler.forward(call).await;
        status.fill(results.get().init_status());
        Ok(())
    }
}
