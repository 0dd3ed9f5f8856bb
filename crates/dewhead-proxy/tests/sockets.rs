//! The whole proxy over real loopback sockets, with servers and a discovery played by the test. Nothing here depends on
//! timing: every step waits for the bytes that prove that the previous one is complete.

mod common;

use common::loopback::read_line;
use common::{server_list, settings, ZONES};
use dewhead_proxy::clock::Clock;
use dewhead_proxy::event_loop::EventLoop;
use dewhead_proxy::reducer::Reducer;
use dewhead_startup::Startup;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::thread::{self, JoinHandle};

fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port is free")
}

/// A server that accepts each call with this answer and echoes every line.
fn run_echo_server(listener: TcpListener, answer: &'static str) {
    for socket in listener.incoming() {
        let mut socket = socket.expect("a connection");
        thread::spawn(move || {
            let mut lines = BufReader::new(socket.try_clone().unwrap());
            let first_line = read_line(&mut lines);
            assert!(first_line.contains("5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d="), "{first_line}");
            socket.write_all(answer.as_bytes()).unwrap();
            loop {
                let line = read_line(&mut lines);
                if line.is_empty() || socket.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// A discovery that sends the whole list in chunks on each watch and leaves the watch open.
fn run_discovery(listener: TcpListener, list: Value) {
    for socket in listener.incoming() {
        let mut socket = socket.expect("a connection");
        let request_line = read_line(&mut BufReader::new(socket.try_clone().unwrap()));
        assert_eq!(request_line, "GET /v1/servers?follow=1&since=0 HTTP/1.1\r\n");
        let text = format!("{list}\n");
        let (first_chunk, second_chunk) = text.split_at(text.len() / 2);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        write!(
            socket,
            "{head}{:x}\r\n{first_chunk}\r\n{:x}\r\n{second_chunk}\r\n",
            first_chunk.len(),
            second_chunk.len()
        )
        .unwrap();
        std::mem::forget(socket);
    }
}

/// Starts a proxy with these settings on its own thread and waits until it serves. Returns its address, a socket that
/// stops it when a byte is written to it, and its thread.
fn start_proxy(settings: Value, discovery: SocketAddr) -> (SocketAddr, UnixStream, JoinHandle<()>) {
    let std_listener = bind_listener();
    let address = std_listener.local_addr().unwrap();
    std_listener.set_nonblocking(true).unwrap();
    let mio_listener = mio::net::TcpListener::from_std(std_listener);
    let (stop_receiver, stop) = UnixStream::pair().unwrap();
    let proxy_thread = thread::spawn(move || {
        let clock = Clock::start();
        let startup = Startup::parse(&settings).unwrap();
        let reducer = Reducer::new(clock.now(), startup, 3, discovery, 256, &Value::Null);
        let (_, reload_receiver) = UnixStream::pair().unwrap();
        EventLoop::new(clock, reducer, mio_listener, stop_receiver, (reload_receiver, Box::new(|_| None)))
            .unwrap()
            .run()
            .unwrap();
    });
    loop {
        let Ok(mut socket) = TcpStream::connect(address) else { continue };
        let mut answer = String::new();
        socket.write_all(b"PING\r\n").unwrap();
        let mut lines = BufReader::new(&socket);
        if lines.read_line(&mut answer).is_ok() && answer == "PONG\r\n" {
            return (address, stop, proxy_thread);
        }
    }
}

/// Settings as at one site (ktm-ingest): weights follow the load, and load reports would be carried by probes, for
/// which the wire protocol on sockets has no message.
#[test]
fn the_settings_alone_select_live_or_nominal_weights() {
    let count_on_loaded = |live: bool| {
        let (loaded, idle, discovery) = (bind_listener(), bind_listener(), bind_listener());
        let entry = |host: &str, listener: &TcpListener, share: f64| {
            json!({"host": host, "dial": listener.local_addr().unwrap().to_string(), "site": ZONES[0], "block": 0,
                   "health": "ready", "share": share, "born_ms": 0})
        };
        let server_list = server_list(5, true, vec![entry("s-1", &loaded, 0.1), entry("s-2", &idle, 0.9)]);
        let discovery_address = discovery.local_addr().unwrap();
        thread::spawn(move || run_echo_server(loaded, "UP 1\r\n"));
        thread::spawn(move || run_echo_server(idle, "UP 2\r\n"));
        thread::spawn(move || run_discovery(discovery, server_list));
        let mut test_settings = settings();
        test_settings["limits"]["probes"] = json!(true);
        test_settings["feedback"] = json!({"how": "on_probe", "fields": ["x0"]});
        test_settings["weights"] = json!(if live { "live" } else { "nominal" });
        // With one leg per call only the first choice of a server counts.
        test_settings["limits"]["mostLegs"] = json!(1);
        let (proxy_address, mut stop, proxy_thread) = start_proxy(test_settings, discovery_address);
        let clients: Vec<(TcpStream, String)> = (0..3)
            .map(|n| {
                let mut client = TcpStream::connect(proxy_address).unwrap();
                write!(client, "OPEN 9b1f03a{n}5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n")
                    .unwrap();
                let answer = read_line(&mut BufReader::new(client.try_clone().unwrap()));
                (client, answer)
            })
            .collect();
        let on_loaded = clients.iter().filter(|(_, answer)| answer == "UP 1\r\n").count();
        assert!(clients.iter().all(|(_, answer)| answer.starts_with("UP ")), "a client is not served");
        drop(clients);
        stop.write_all(b"x").unwrap();
        proxy_thread.join().unwrap();
        on_loaded
    };
    // A nominal weight is a size: a tenth gets one of three calls by rounding. A live weight reflects the load: the
    // loaded server gets no call while the other one has room.
    assert_eq!((count_on_loaded(true), count_on_loaded(false) > 0), (0, true));
}

#[test]
fn a_connection_forwards_lines_and_is_moved_at_a_stop() {
    let (server, discovery) = (bind_listener(), bind_listener());
    let entry = json!({"host": "s-1", "dial": server.local_addr().unwrap().to_string(), "site": ZONES[0], "block": 0,
                       "health": "ready", "share": 1.0, "born_ms": 0});
    let discovery_address = discovery.local_addr().unwrap();
    thread::spawn(move || run_echo_server(server, "UP 42\r\n"));
    thread::spawn(move || run_discovery(discovery, server_list(5, true, vec![entry])));
    let (proxy_address, mut stop, proxy_thread) = start_proxy(settings(), discovery_address);
    let mut client = TcpStream::connect(proxy_address).unwrap();
    let mut lines = BufReader::new(client.try_clone().unwrap());
    client.write_all(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n").unwrap();
    assert_eq!(read_line(&mut lines), "UP 42\r\n");
    // More than the socket buffers hold, so that each writer has to wait for its reader.
    let long_line = "z".repeat(2000) + "\r\n";
    let mut sender = client.try_clone().unwrap();
    let (text, count) = (long_line.clone(), 4000);
    let sender_thread =
        thread::spawn(move || (0..count).for_each(|_| sender.write_all(text.as_bytes()).unwrap()));
    (0..count).for_each(|_| assert!(read_line(&mut lines) == long_line, "an echoed line differs"));
    sender_thread.join().unwrap();
    let mut closing_client = TcpStream::connect(proxy_address).unwrap();
    closing_client.write_all(b"OPEN 9b1f03ab5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n").unwrap();
    closing_client.shutdown(Shutdown::Write).unwrap();
    closing_client.read_to_end(&mut Vec::new()).unwrap();
    stop.write_all(b"x").unwrap();
    assert_eq!(read_line(&mut lines), "MOVE\r\n");
    assert_eq!(read_line(&mut lines), "", "the connection is closed after it");
    drop((client, lines));
    proxy_thread.join().unwrap();
}

/// SIGHUP used to end the program. A real process receives three signals: SIGHUP while its configuration is faulty,
/// SIGHUP with a valid one, and SIGTERM.
#[test]
fn sighup_applies_a_new_configuration_and_rejects_a_faulty_one() {
    let (old_discovery, new_discovery, proxy_listener) = (bind_listener(), bind_listener(), bind_listener());
    let proxy_address = proxy_listener.local_addr().unwrap();
    drop(proxy_listener);
    let path = std::env::temp_dir().join(format!("dewhead-{}.json", std::process::id()));
    let write_configuration = |discovery: Value| {
        let configuration = json!({"name": "n1", "listen": proxy_address.to_string(), "discovery": discovery,
                                   "seed": "1", "settings": settings()});
        std::fs::write(&path, configuration.to_string()).unwrap();
    };
    write_configuration(json!(old_discovery.local_addr().unwrap().to_string()));
    let mut proxy = Command::new(env!("CARGO_BIN_EXE_dewhead"))
        .args(["serve", "--config", path.to_str().unwrap()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(proxy.stderr.take().unwrap());
    let send_signal = |signal: &str| {
        assert!(Command::new("kill").args([signal, &proxy.id().to_string()]).status().unwrap().success());
    };
    let (first_watch, _) = old_discovery.accept().unwrap();
    write_configuration(json!("nowhere"));
    send_signal("-HUP");
    while !read_line(&mut log).contains("field 'discovery' is not") {}
    write_configuration(json!(new_discovery.local_addr().unwrap().to_string()));
    send_signal("-HUP");
    let (second_watch, _) = new_discovery.accept().unwrap();
    assert_eq!(read_line(&mut BufReader::new(second_watch)), "GET /v1/servers?follow=1&since=0 HTTP/1.1\r\n");
    BufReader::new(first_watch).read_to_end(&mut Vec::new()).expect("the old watch is closed");
    let mut flooding_client = TcpStream::connect(proxy_address).unwrap();
    // Far more than the socket buffers hold: if input is unread when the proxy closes, a reset discards the answer.
    flooding_client.write_all(&vec![b'x'; 20 << 20]).unwrap();
    flooding_client.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    flooding_client.read_to_string(&mut answer).expect("the connection ends without a reset");
    assert_eq!(answer, "ERR\r\n", "the proxy still serves");
    send_signal("-TERM");
    assert_eq!(proxy.wait().unwrap().code(), Some(0));
    std::fs::remove_file(path).unwrap();
}
