//! Callers that read slowly.

use relay::upstream::Stage;
use socket2::{Domain, Socket, Type};
use tokio::net::TcpStream;

use super::{Action, StubUpstream, TestInstance};

/// Size of the answer, in bytes: more than sockets buffer.
pub const ANSWER_BYTES: usize = 900_000;

/// Receive buffer of the caller, in bytes, so that the answer waits at the instance.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Segment size of the caller's socket, in bytes, as on a network.
const SEGMENT_BYTES: u32 = 1_460;

/// A connection of a caller that reads slowly: little of an answer fits into sockets.
pub fn slow_connection(instance: &TestInstance) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a receive buffer");
    // Over loopback the kernel would take the whole answer.
    socket.set_tcp_mss(SEGMENT_BYTES).expect("a segment size");
    socket
        .connect(&instance.address.into())
        .expect("a connection");
    socket.set_nonblocking(true).expect("a socket option");
    TcpStream::from_std(socket.into()).expect("a stream")
}

/// An instance before an upstream whose answers, without a length, are held whole until they are written.
pub fn large_answer() -> TestInstance {
    let upstream = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", "");
        let head = whole.replace("content-length: 0", "transfer-encoding: chunked");
        let body = "x".repeat(ANSWER_BYTES);
        let text = format!("{head}{ANSWER_BYTES:x}\r\n{body}\r\n0\r\n\r\n");
        vec![Action::Write(text)]
    });
    TestInstance::start(vec![upstream.entry("plain", "desk", Stage::Whole)])
}
