//! The whole proxy over real loopback sockets, with a server and a discovery of its own. Nothing here hangs on how long
//! anything takes: every step waits for the bytes that prove the one before.

mod common;

use common::loopback::read_line;
use common::{list, settings, ZONES};
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

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port")
}

/// Takes each connection up and says every line back.
fn serve(listener: TcpListener, up: &'static str) {
    for socket in listener.incoming() {
        let mut socket = socket.expect("a connection");
        thread::spawn(move || {
            let mut lines = BufReader::new(socket.try_clone().unwrap());
            let head = read_line(&mut lines);
            assert!(head.contains("5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d="), "{head}");
            socket.write_all(up.as_bytes()).unwrap();
            loop {
                let said = read_line(&mut lines);
                if said.is_empty() || socket.write_all(said.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// A watch that tells the whole list, in chunks, and then stays open.
fn tell(listener: TcpListener, list: Value) {
    for socket in listener.incoming() {
        let mut socket = socket.expect("a connection");
        let asked = read_line(&mut BufReader::new(socket.try_clone().unwrap()));
        assert_eq!(asked, "GET /v1/servers?follow=1&since=0 HTTP/1.1\r\n");
        let text = format!("{list}\n");
        let (a, b) = text.split_at(text.len() / 2);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        write!(socket, "{head}{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n", a.len(), b.len()).unwrap();
        std::mem::forget(socket);
    }
}

/// A proxy on a thread of its own, with these settings, once it listens and has its list; and how it is stopped.
fn proxy(settings: Value, discovery: SocketAddr) -> (SocketAddr, UnixStream, JoinHandle<()>) {
    let own = listener();
    let at = own.local_addr().unwrap();
    own.set_nonblocking(true).unwrap();
    let ours = mio::net::TcpListener::from_std(own);
    let (theirs, stop) = UnixStream::pair().unwrap();
    let running = thread::spawn(move || {
        let clock = Clock::start();
        let startup = Startup::parse(&settings).unwrap();
        let reducer = Reducer::new(clock.now(), startup, 3, discovery, 256, &Value::Null);
        let (_, never) = UnixStream::pair().unwrap();
        EventLoop::new(clock, reducer, ours, theirs, (never, Box::new(|_| None))).unwrap().run().unwrap();
    });
    loop {
        let Ok(mut socket) = TcpStream::connect(at) else { continue };
        let mut said = String::new();
        socket.write_all(b"PING\r\n").unwrap();
        let mut lines = BufReader::new(&socket);
        if lines.read_line(&mut said).is_ok() && said == "PONG\r\n" {
            return (at, stop, running);
        }
    }
}

/// The shape of ktm-ingest on sockets: weights move with load, reports would come on probes, for which there is no word.
#[test]
fn weights_that_move_with_load_are_followed_from_the_settings_alone() {
    let placed = |live: bool| {
        let (crowded, empty, discovery) = (listener(), listener(), listener());
        let entry = |host: &str, of: &TcpListener, share: f64| {
            json!({"host": host, "dial": of.local_addr().unwrap().to_string(), "site": ZONES[0], "block": 0,
                   "health": "ready", "share": share, "born_ms": 0})
        };
        let told = list(5, true, vec![entry("s-1", &crowded, 0.1), entry("s-2", &empty, 0.9)]);
        let told_at = discovery.local_addr().unwrap();
        thread::spawn(move || serve(crowded, "UP 1\r\n"));
        thread::spawn(move || serve(empty, "UP 2\r\n"));
        thread::spawn(move || tell(discovery, told));
        let mut settings = settings();
        settings["limits"]["probes"] = json!(true);
        settings["feedback"] = json!({"how": "on_probe", "fields": ["x0"]});
        settings["weights"] = json!(if live { "live" } else { "nominal" });
        // One leg, so that nothing but the first choice counts.
        settings["limits"]["mostLegs"] = json!(1);
        let (at, mut stop, running) = proxy(settings, told_at);
        let clients: Vec<(TcpStream, String)> = (0..3)
            .map(|n| {
                let mut client = TcpStream::connect(at).unwrap();
                write!(client, "OPEN 9b1f03a{n}5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n")
                    .unwrap();
                let up = read_line(&mut BufReader::new(client.try_clone().unwrap()));
                (client, up)
            })
            .collect();
        let on_crowded = clients.iter().filter(|(_, up)| up == "UP 1\r\n").count();
        assert!(clients.iter().all(|(_, up)| up.starts_with("UP ")), "each is served");
        drop(clients);
        stop.write_all(b"x").unwrap();
        running.join().unwrap();
        on_crowded
    };
    // As a size, a tenth gets one of three by the rounding; as what servers hold, none while the other has room.
    assert_eq!((placed(true), placed(false) > 0), (0, true));
}

#[test]
fn a_connection_lives_and_is_sent_away_at_a_stop() {
    let (servers, discovery) = (listener(), listener());
    let entry = json!({"host": "s-1", "dial": servers.local_addr().unwrap().to_string(), "site": ZONES[0], "block": 0,
                       "health": "ready", "share": 1.0, "born_ms": 0});
    let told_at = discovery.local_addr().unwrap();
    thread::spawn(move || serve(servers, "UP 42\r\n"));
    thread::spawn(move || tell(discovery, list(5, true, vec![entry])));
    let (at, mut stop, running) = proxy(settings(), told_at);
    let mut client = TcpStream::connect(at).unwrap();
    let mut lines = BufReader::new(client.try_clone().unwrap());
    client.write_all(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n").unwrap();
    assert_eq!(read_line(&mut lines), "UP 42\r\n");
    // More than the sockets' buffers hold, so that writing has to wait for reading on every side.
    let much = "z".repeat(2000) + "\r\n";
    let mut sender = client.try_clone().unwrap();
    let (text, times) = (much.clone(), 4000);
    let sending = thread::spawn(move || (0..times).for_each(|_| sender.write_all(text.as_bytes()).unwrap()));
    (0..times).for_each(|_| assert!(read_line(&mut lines) == much, "a line came back changed"));
    sending.join().unwrap();
    let mut leaver = TcpStream::connect(at).unwrap();
    leaver.write_all(b"OPEN 9b1f03ab5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n").unwrap();
    leaver.shutdown(Shutdown::Write).unwrap();
    leaver.read_to_end(&mut Vec::new()).unwrap();
    stop.write_all(b"x").unwrap();
    assert_eq!(read_line(&mut lines), "MOVE\r\n");
    assert_eq!(read_line(&mut lines), "", "and the end behind it");
    drop((client, lines));
    running.join().unwrap();
}

/// SIGHUP used to end the program. Here it is the program itself, told three times: once while its file is faulty.
#[test]
fn a_new_configuration_is_read_at_sighup_and_a_faulty_one_is_not_taken() {
    let (old, new, own) = (listener(), listener(), listener());
    let at = own.local_addr().unwrap();
    drop(own);
    let path = std::env::temp_dir().join(format!("dewhead-{}.json", std::process::id()));
    let write = |discovery: Value| {
        let told = json!({"name": "n1", "listen": at.to_string(), "discovery": discovery, "seed": "1",
                          "settings": settings()});
        std::fs::write(&path, told.to_string()).unwrap();
    };
    write(json!(old.local_addr().unwrap().to_string()));
    let mut proxy = Command::new(env!("CARGO_BIN_EXE_dewhead"))
        .args(["serve", "--config", path.to_str().unwrap()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(proxy.stderr.take().unwrap());
    let tell = |signal: &str| {
        assert!(Command::new("kill").args([signal, &proxy.id().to_string()]).status().unwrap().success());
    };
    let (first, _) = old.accept().unwrap();
    write(json!("nowhere"));
    tell("-HUP");
    while !read_line(&mut log).contains("field 'discovery' is not") {}
    write(json!(new.local_addr().unwrap().to_string()));
    tell("-HUP");
    let (second, _) = new.accept().unwrap();
    assert_eq!(read_line(&mut BufReader::new(second)), "GET /v1/servers?follow=1&since=0 HTTP/1.1\r\n");
    BufReader::new(first).read_to_end(&mut Vec::new()).expect("the old watch was ended");
    let mut unheard = TcpStream::connect(at).unwrap();
    // Far more than the sockets' buffers hold: what is left unread at a close would reset the answer away.
    unheard.write_all(&vec![b'x'; 20 << 20]).unwrap();
    unheard.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    unheard.read_to_string(&mut answer).expect("an end, and no reset");
    assert_eq!(answer, "ERR\r\n", "it goes on serving");
    tell("-TERM");
    assert_eq!(proxy.wait().unwrap().code(), Some(0));
    std::fs::remove_file(path).unwrap();
}
