//! What is read from sockets, cut at every place and with any bytes.

mod common;

use dewhead_proxy::wire::answers::{parse_server_message, ServerMessage};
use dewhead_proxy::wire::first_line::{parse_first_line, FirstLine};
use dewhead_proxy::wire::http::WatchResponse;
use dewhead_proxy::wire::lines::LineScanner;
use dewhead_proxy::wire::server_list::{parse_list, server_id};
use dewhead_startup::Startup;
use quickcheck::{Gen, QuickCheck};

#[test]
fn a_watch_is_read_the_same_wherever_it_is_cut() {
    let text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\n{\"a\"\r\n6;x=1\r\n:1}\n\r\n\r\n1\r\n\n\r\n0\r\n\r\n";
    let read = |pieces: &[&[u8]]| {
        let (mut answer, mut lines, mut more) = (WatchResponse::default(), Vec::new(), Ok(true));
        for piece in pieces {
            more = answer.feed(piece, |line| lines.push(String::from_utf8_lossy(line).into_owned()));
            if more != Ok(true) {
                break;
            }
        }
        (lines, more)
    };
    let whole = read(&[text]);
    assert_eq!(whole, (vec!["{\"a\":1}".to_owned(), String::new(), String::new()], Ok(false)));
    for at in 1..text.len() {
        assert_eq!(read(&[&text[..at], &text[at..]]), whole, "cut at {at}");
    }
    let single: Vec<&[u8]> = text.chunks(1).collect();
    assert_eq!(read(&single), whole);
}

#[test]
fn lines_are_seen_the_same_wherever_they_are_cut() {
    let text = format!("UP 1\r\nLOAD 12.5\r\n{}\r\nBYE\r\nrest", "y".repeat(100));
    let read = |pieces: &[&str]| {
        let (mut lines, mut seen) = (LineScanner::default(), Vec::new());
        for piece in pieces {
            lines.feed(piece.as_bytes(), |line, _| seen.push((parse_server_message(line), line.len())));
        }
        (seen, lines.is_between_lines())
    };
    let whole = read(&[&text]);
    assert_eq!(
        whole.0.iter().map(|(w, _)| *w).collect::<Vec<_>>(),
        [ServerMessage::Up, ServerMessage::Load(12.5e-6), ServerMessage::Other, ServerMessage::Bye]
    );
    assert!(!whole.1);
    for at in 1..text.len() {
        assert_eq!(read(&[&text[..at], &text[at..]]), whole, "cut at {at}");
    }
}

/// On the first day a guess was taken for milliseconds, and each call weighed a thousand times its load.
#[test]
fn a_guess_at_the_load_and_the_load_told_are_of_one_unit() {
    let startup = Startup::parse(&common::settings()).unwrap();
    let line =
        b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=order,t=shop-b,d=2000,g=0000000000000001,h=19461.105\r\n";
    match parse_first_line(line, 10.0, 3.0, &startup.names, true) {
        Ok(FirstLine::Open { id, request, wait_range, server_range }) => {
            assert_eq!(
                parse_server_message(b"LOAD 19461.105"),
                ServerMessage::Load(request.load_hint.unwrap())
            );
            assert_eq!(
                (request.traffic_type, request.tenant, request.group, request.deadline),
                (1, Some(1), Some(1), 12.0)
            );
            assert_eq!((&line[wait_range], server_range), (&b"2000"[..], None));
            assert_eq!(id, 0x9b1f_03aa_5c7e_2d41);
        }
        other => panic!("{other:?}"),
    }
}

/// Such a line would go on to a server as it is, or let a call wait without a bound.
#[test]
fn a_field_that_is_known_is_checked_and_others_pass() {
    let startup = Startup::parse(&common::settings()).unwrap();
    let (id, key) = ("9b1f03aa5c7e2d41", "7f3a9c21e0b4d655");
    let understood = |line: String| {
        let read = parse_first_line(line.as_bytes(), 0.0, 3.0, &startup.names, false);
        matches!(read, Ok(FirstLine::Open { .. }))
    };
    let full = "c=feed,t=shop-a,d=1500,g=5c0f6e1a2b3d4c59,h=12.5,r=1,again=1,zz=\u{e9},x=";
    assert!(understood(format!("OPEN {id} {key} {full}\r\n")));
    for list in [
        "c=feed",
        "d=100",
        "c=feed,d=",
        "c=feed,d=-1",
        "c=feed,d=+1",
        "c=feed,d=0",
        "c=feed,d=1e3",
        "c=feed,d=NaN",
        "c=feed,d=inf",
        "c=feed,d=99999999999999999999",
        "c=feed,d=5,d=6",
        "c=feed,c=order,d=5",
        "c=,d=5",
        "c=Feed,d=5",
        "c=feed,t=,d=5",
        "c=feed,d=5,g=",
        "c=feed,d=5,g=xyz",
        "c=feed,d=5,g=15c0f6e1a2b3d4c59",
        "c=feed,d=5,h=much",
        "c=feed,d=5,h=-2",
        "c=feed,d=5,r=yes",
        "c=feed,d=5,again=",
        "c=feed,d=5,at=",
        "c=feed,d=5,",
        "c=feed,,d=5",
        "c=feed,d=5,x=\u{7}",
        "c=feed,d=5 x=1",
    ] {
        assert!(!understood(format!("OPEN {id} {key} {list}\r\n")), "{list}");
    }
    for head in [
        format!("OPEN {id} {key} c=feed,d=5\n"),
        format!("OPEN {key} c=feed,d=5\r\n"),
        format!("OPEN {id} x{key} c=feed,d=5\r\n"),
        format!("OPEN {id}00 {key} c=feed,d=5\r\n"),
        format!("OPEN {id}  c=feed,d=5\r\n"),
        format!("open {id} {key} c=feed,d=5\r\n"),
        format!("OPEN {id} {key} c=feed,d=5\r\r\n"),
    ] {
        assert!(!understood(head.clone()), "{head}");
    }
}

#[test]
fn no_bytes_make_the_readers_panic() {
    fn any(bytes: Vec<u8>, cut: usize) -> bool {
        let startup = Startup::parse(&common::settings()).unwrap();
        let mut with_head = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,d=".to_vec();
        with_head.extend_from_slice(&bytes);
        with_head.extend_from_slice(b",d=5\r\n");
        for line in [&bytes, &with_head] {
            if let Ok(FirstLine::Open { wait_range, server_range, .. }) =
                parse_first_line(line, 0.0, 1.0, &startup.names, true)
            {
                assert!(wait_range.end <= line.len() && server_range.is_none_or(|at| at.end <= line.len()));
            }
            let _ = parse_server_message(line);
        }
        let mut answer = WatchResponse::default();
        let mut chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        chunks.extend_from_slice(&bytes);
        let at = cut % (chunks.len() + 1);
        if answer.feed(&chunks[..at], |_| ()) == Ok(true) {
            let _ = answer.feed(&chunks[at..], |_| ());
        }
        if let Ok(told) = serde_json::from_slice(&bytes) {
            let _ = parse_list(&told, &startup.names.zones);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 5))
        .tests(2000)
        .quickcheck(any as fn(Vec<u8>, usize) -> bool);
}

/// The module ranks servers by their number: were it to change, proxies of two versions would rank them differently.
#[test]
fn a_server_is_numbered_by_its_host_name_alone() {
    assert_eq!(server_id("s-5be2a07c"), server_id("s-5be2a07c"));
    let all: std::collections::BTreeSet<u64> = (0..2000).map(|n| server_id(&format!("s-{n:08x}"))).collect();
    assert_eq!(all.len(), 2000);
    let (_, _, entries) =
        parse_list(&common::list(1, true, vec![common::host(3, "ready")]), &common::ZONES.map(str::to_owned))
            .unwrap();
    assert_eq!(entries[0].0.id, server_id("s-3"));
}
