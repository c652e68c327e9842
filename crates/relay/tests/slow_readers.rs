//! Memory for answers that wait for callers which read slowly.

mod common;

use std::time::Duration;

use common::{ANSWER_BYTES, TestInstance, large_answer, slow_connection};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Callers that read nothing for a while; their answers together have more than twice the memory for answers.
const CALLERS: usize = 24;

/// Most that the answers may hold, in bytes, in whatever state they are.
const MAX_HELD_BYTES: usize = 8 << 20;

async fn ask(instance: &TestInstance, id: usize) -> TcpStream {
    let mut stream = slow_connection(instance);
    let request = format!("GET /reads/{id} HTTP/1.1\r\nhost: host.test\r\nx-attempt: {id}\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("a sent request");
    stream
}

/// The number of `x` that come until the answer has ended.
async fn read_whole(stream: &mut TcpStream) -> usize {
    let mut text = Vec::new();
    let mut some = vec![0; 65_536];
    while !text.ends_with(b"0\r\n\r\n") {
        let read = stream.read(&mut some);
        let read = tokio::time::timeout(Duration::from_secs(3), read).await;
        match read {
            Ok(Ok(count)) if count > 0 => text.extend_from_slice(&some[..count]),
            Ok(_) | Err(_) => break,
        }
        let head = text.windows(4).position(|it| it == b"\r\n\r\n");
        if head.is_some_and(|head| text.len() >= head + 4 + ANSWER_BYTES) {
            break;
        }
    }
    String::from_utf8_lossy(&text).matches('x').count()
}

/// Guards against an instance that is killed for its memory, with all its requests: answers that are whole were not counted
/// while they waited for callers that read slowly.
#[actix_rt::test]
async fn answers_count_until_slow_callers_have_read_them() {
    let instance = large_answer();
    let mut callers = Vec::new();
    for id in 0..CALLERS {
        callers.push(ask(&instance, id).await);
    }
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    let held = instance.relay.answer_memory.shared_bytes();
    assert!(held > 0, "unread answers are not counted");
    assert!(held <= MAX_HELD_BYTES, "{held} bytes are held");
    let reads = callers.iter_mut().map(read_whole);
    let whole = futures_util::future::join_all(reads).await;
    let whole = whole.iter().filter(|count| **count >= ANSWER_BYTES);
    assert_eq!(whole.count(), CALLERS, "answers that came whole");
    drop(callers);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(instance.relay.answer_memory.shared_bytes(), 0);
}
