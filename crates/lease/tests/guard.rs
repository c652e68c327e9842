//! The guard on an order's connection.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use lease::ConnectionGuard;
use tick::Clock;

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).expect("a connection");
    let (server, _) = listener.accept().expect("a connection");
    (client, server)
}

#[test]
fn a_writer_that_never_looks_at_its_lease_is_cut_when_it_lapses() {
    // The holder writes in a loop without looking at the time, as one that was paused between
    // the check and the write would. At the lapse the kernel signals this very thread and the
    // handler dissolves the connection, so that its next write fails.
    let clock = Clock::default();
    let guard = Rc::new(ConnectionGuard::new(clock).expect("a timer"));
    let (mut client, mut server) = pair();
    let reader = std::thread::spawn(move || {
        let mut buffer = [0; 4_096];
        while server.read(&mut buffer).is_ok_and(|read| read > 0) {}
    });
    let expires_ms = clock.now_ms() + 150;
    let armed = guard.arm(&client, expires_ms).expect("the lease holds");
    while client.write_all(&[1; 64]).is_ok() {}
    let cut_ms = clock.now_ms();
    assert!(cut_ms >= expires_ms, "cut {} ms early", expires_ms - cut_ms);
    assert!(client.write(&[1]).is_err());
    drop(armed);
    drop(client);
    reader.join().expect("the reader ends");
}

#[test]
fn a_lease_that_has_lapsed_gets_no_connection() {
    let clock = Clock::default();
    let guard = Rc::new(ConnectionGuard::new(clock).expect("a timer"));
    let (client, _server) = pair();
    std::thread::sleep(std::time::Duration::from_millis(5));
    assert!(guard.arm(&client, 1).is_err());
}

#[test]
fn a_connection_is_left_alone_once_its_watch_is_dropped() {
    let clock = Clock::default();
    let guard = Rc::new(ConnectionGuard::new(clock).expect("a timer"));
    let (mut client, mut server) = pair();
    let armed = guard
        .arm(&client, clock.now_ms() + 50)
        .expect("the lease holds");
    drop(armed);
    std::thread::sleep(std::time::Duration::from_millis(120));
    client.write_all(b"still there").expect("not cut");
    let mut buffer = [0; 11];
    server.read_exact(&mut buffer).expect("arrives");
}
