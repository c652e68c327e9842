//! Tests of the guard that cuts the connection of an order when the lease expires.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use lease::ConnectionGuard;
use tick::Clock;

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).expect("a connection");
    let (server, _) = listener.accept().expect("a connection");
    (client, server)
}

#[test]
fn a_writer_that_ignores_its_lease_is_cut_when_it_expires() {
    // The holder writes in a loop without checking the time, like one that was paused between the
    // check and the write. On expiry the kernel signals this thread and the handler disconnects the
    // socket, so that the next write fails.
    let clock = Clock::default();
    let guard = Rc::new(ConnectionGuard::new(clock).expect("a timer"));
    let (mut client, mut server) = connected_pair();
    let reader = std::thread::spawn(move || {
        let mut buffer = [0; 4_096];
        while server.read(&mut buffer).is_ok_and(|read| read > 0) {}
    });
    let expires_ms = clock.now_ms() + 150;
    let armed = guard.arm(&client, expires_ms).expect("the lease is valid");
    while client.write_all(&[1; 64]).is_ok() {}
    let cut_ms = clock.now_ms();
    assert!(cut_ms >= expires_ms, "cut {} ms early", expires_ms - cut_ms);
    assert!(client.write(&[1]).is_err());
    drop(armed);
    drop(client);
    reader.join().expect("the reader ends");
}

#[test]
fn an_expired_lease_gets_no_connection() {
    let clock = Clock::default();
    let guard = Rc::new(ConnectionGuard::new(clock).expect("a timer"));
    let (client, _server) = connected_pair();
    std::thread::sleep(std::time::Duration::from_millis(5));
    assert!(guard.arm(&client, 1).is_err());
}

#[test]
fn a_connection_stays_open_once_its_guard_is_disarmed() {
    let clock = Clock::default();
    let guard = Rc::new(ConnectionGuard::new(clock).expect("a timer"));
    let (mut client, mut server) = connected_pair();
    let armed = guard
        .arm(&client, clock.now_ms() + 50)
        .expect("the lease is valid");
    drop(armed);
    std::thread::sleep(std::time::Duration::from_millis(120));
    client.write_all(b"still there").expect("not cut");
    let mut buffer = [0; 11];
    server.read_exact(&mut buffer).expect("arrives");
}
