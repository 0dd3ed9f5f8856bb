//! The instant in which something is still owed, on a clock that the test moves: legs that come up late, a planned stop,
//! a watch that dies, a start with an old list. Each test fails without the mend that its comment tells of.

mod common;

use common::{host, list, settings, Stand};
use dewhead_proxy::reducer::{End, Event, How};
use serde_json::{json, Value};

const KINDS: [&str; 3] = ["feed", "order", "note"];

fn told(stand: &mut Stand, hosts: Vec<Value>) {
    stand.watch(&list(9, false, hosts).to_string());
}

/// `connected` wrote the head without another look: a leg dialled before a drain was told and up after it was sent past the
/// grace wherever connections may take longer than that to come up (100 ms at one site, 400 ms the other way).
#[test]
fn a_leg_that_comes_up_after_its_server_changed_is_not_asked() {
    type Change = fn(&mut Stand, usize);
    let changes: [(&str, Change); 5] = [
        ("drains", |stand, n| told(stand, vec![host(n, "draining")])),
        ("is gone", |stand, n| told(stand, vec![host(n, "gone")])),
        ("started anew, and is cold", |stand, n| {
            let mut anew = host(n, "ready");
            anew["born_ms"] = json!(999_990.0);
            told(stand, vec![anew]);
        }),
        ("moved", |stand, n| {
            let mut moved = host(n, "ready");
            moved["dial"] = json!("127.0.0.1:9099");
            told(stand, vec![moved]);
        }),
        ("is gone from a whole list", |stand, n| {
            let others = (0..3).filter(|other| *other != n).map(|other| host(other, "ready")).collect();
            stand.watch(&list(9, true, others).to_string());
        }),
    ];
    for kind in KINDS {
        for (what, change) in changes {
            let mut stand = Stand::ready(3);
            let client = stand.call(kind);
            let leg = stand.leg();
            let first = stand.dialled[0];
            change(&mut stand, first - 9000);
            stand.tell(Event::Connected(leg));
            assert_eq!(stand.heads, [], "{kind}: its server {what}");
            assert_eq!(
                stand.dialled.len(),
                2,
                "{kind}: it never ran, and goes elsewhere when its server {what}"
            );
            assert!(what == "moved" || stand.dialled[1] != first, "{kind}: {what}");
            let leg = stand.leg();
            stand.connected(leg);
            stand.server_says(leg, "UP 3\r\n");
            assert_eq!(stand.got(client), "UP 3\r\n");
        }
    }
}

/// The mark of a referenced call is remembered for a while from its first send. A repeat dialled within that time, and up
/// after it, was sent all the same.
#[test]
fn a_repeat_that_comes_up_after_the_mark_is_forgotten_is_not_sent() {
    let mut told = settings();
    told["trafficTypes"][2]["repeatWindow"] = json!(500.0);
    told["limits"]["connectTimeout"] = json!(1000.0);
    told["limits"]["mostLegs"] = json!(2);
    let mut stand = Stand::of(7, &told, 256, list(1, true, vec![host(0, "ready")]));
    let client = stand.call("note");
    let leg = stand.leg();
    stand.connected(leg);
    stand.later(0.1);
    stand.server_says(leg, "ERR\r\n");
    assert_eq!(stand.dialled.len(), 2, "sent again while the mark is remembered");
    let leg = stand.leg();
    stand.later(0.45);
    stand.tell(Event::Connected(leg));
    assert_eq!(stand.heads.len(), 1, "the second is not sent");
    assert_eq!(stand.got(client), "ERR\r\n", "no reject, as the first may have run");
}

/// An `UP` that comes before the head's last byte is nobody's answer to it: it was passed on, and the call stood at a server
/// that had never read it.
#[test]
fn what_a_server_says_before_it_has_the_whole_line_is_no_answer() {
    for kind in KINDS {
        for said in ["UP 1\r\n", "ERR\r\n", "MOVE\r\n", "UP", "\r\n", "BUSY\r\n"] {
            let mut stand = Stand::ready(2);
            let client = stand.call(kind);
            let leg = stand.leg();
            stand.tell(Event::Connected(leg));
            stand.server_says(leg, said);
            assert_eq!(stand.got(client), "", "{kind}: {said:?}");
            assert_eq!(stand.dialled.len(), 2, "{kind}: it never ran, and is sent again after {said:?}");
        }
    }
}

/// Whatever a server does once it has the whole line, a call has one outcome: sent again where its effect allows that, and
/// else one answer.
#[test]
fn every_spoilt_answer_after_the_whole_line_has_one_outcome() {
    // What comes, whether the connection ends with it, and whether that says that it never ran.
    let line = "x".repeat(4096);
    let cases: [(&str, Option<How>, bool); 9] = [
        ("BUSY\r\nUP 1\r\n", None, true),
        ("ERR\r\nBUSY\r\n", None, false),
        ("UP 1", Some(How::Closed), false),
        ("UP 1", Some(How::Broken), false),
        ("BUSY", Some(How::Closed), false),
        ("", Some(How::Broken), false),
        ("BYE\r\n", Some(How::Closed), false),
        ("MOVE\r\n", Some(How::Closed), false),
        (&line, None, false),
    ];
    for kind in KINDS {
        for (said, end, never_ran) in cases {
            let mut stand = Stand::ready(2);
            let client = stand.call(kind);
            let leg = stand.leg();
            stand.connected(leg);
            stand.server_says(leg, said);
            // After a whole line the leg has ended, and its end falls on nobody.
            if let Some(how) = end.filter(|_| stand.dialled.len() == 1 && stand.servers.contains_key(&leg)) {
                stand.tell(Event::Closed(End::Server(leg), how));
            }
            let again = never_ran || kind != "order";
            assert_eq!(stand.dialled.len(), 1 + usize::from(again), "{kind}: {said:.9?} {end:?}");
            let wanted = if again { "" } else { "ERR\r\n" };
            assert_eq!(stand.got(client), wanted, "{kind}: {said:.9?} {end:?}");
        }
    }
}

/// Guard times of 3.2 and 4.8 s, as one customer has them, and SIGKILL 3.7 s after SIGTERM: the process meant to end after
/// 5.4 s, and whoever waited or stood then was cut off with it. Deadlines of a quarter of a second the other way.
#[test]
fn at_a_planned_stop_nobody_is_owed_anything_when_the_process_is_killed() {
    for (guards, killed) in [([3200.0, 4800.0, 4000.0], 3.7), ([250.0, 200.0, 150.0], 0.95)] {
        let mut told = settings();
        for (at, guard) in guards.iter().enumerate() {
            told["trafficTypes"][at]["guardTime"] = json!(guard);
        }
        let mut stand = Stand::of(7, &told, 256, list(1, true, (0..3).map(|n| host(n, "ready")).collect()));
        let id = std::cell::Cell::new(1);
        let line = |kind: &str, more: &str| {
            id.set(id.get() + 1);
            format!("OPEN {:016x} 7f3a9c21e0b4d655 c={kind},t=shop-a,d=9000{more}\r\n", id.get())
        };
        let mut owed = Vec::new();
        let standing: Vec<(usize, usize)> = (0..20).map(|_| stand.standing()).collect();
        // One is within a line, whose rest comes when others have left.
        let (_, slow) = standing[3];
        stand.server_says(slow, "M 1 ha");
        for kind in KINDS {
            // A server that hangs with the line, and one whose connection does not come up.
            let asked = stand.open(&line(kind, ""));
            let leg = stand.leg();
            stand.connected(leg);
            owed.extend([asked, stand.open(&line(kind, ""))]);
        }
        owed.push(stand.open(&line("feed", ",at=s-2")));
        stand.tell(Event::Stop);
        let stop = stand.now;
        let (mut late, mut whole) = (None, false);
        while stand.now < stop + killed - 0.06 {
            stand.later(0.025);
            if stand.now > stop + 0.3 && owed.len() < 8 {
                owed.push(stand.open(&line("order", "")));
                let client = stand.open(&line("feed", ""));
                late = Some((client, stand.leg()));
            }
            if let Some((client, leg)) = late.filter(|_| stand.now > stop + killed - 0.3) {
                if stand.servers.contains_key(&leg) {
                    stand.connected(leg);
                    stand.server_says(leg, "UP 8\r\n");
                    let got = stand.got(client);
                    assert!(got.is_empty() || got == "UP 8\r\n" || got.ends_with("MOVE\r\n"), "{got}");
                }
                late = None;
            }
            if stand.now > stop + 0.65 && !std::mem::replace(&mut whole, true) {
                stand.server_says(slow, "lf\r\n");
            }
        }
        for client in &owed {
            let got = stand.got(*client);
            assert!(got == "ERR\r\n" || got.starts_with("BUSY"), "{killed}: {got:?} for one that waited");
        }
        for (client, _) in &standing {
            assert!(stand.got(*client).ends_with("MOVE\r\n"), "{killed}: one that stood is cut off");
        }
        assert!(stand.clients.values().all(|c| c.finished), "{killed}: nobody stands or waits any more");
        stand.later(0.05);
        assert!(stand.exit, "{killed}: over by then");
    }
}
