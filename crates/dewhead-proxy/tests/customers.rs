//! Settings of the two shapes in `deploy/sites/`, as the platform would write them, through the program and over loopback:
//! one class with no second try and deadlines of 400 ms, and four classes with unequal shops and deadlines of 350 ms to 5 s.

mod common;

use common::list;
use common::loopback::{read_line, read_rest, send, server_entry, wait_until, Proxy, StubListener};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::Write;

fn class(name: &str, effect: &str, target: f64, guard: f64) -> Value {
    json!({"name": name, "idempotency": effect, "keyScope": "zone", "repeatWindow": 1500.0, "setupTarget": target,
           "guardTime": guard, "revenue": 1.0, "tardyRevenue": 0.0, "streamed": true})
}

/// What both have, with keys that the program has no use for.
fn shape(zones: &[&str], listing: &str, classes: Vec<Value>, tenants: Value) -> Value {
    let messages = vec![80.0; classes.len()];
    json!({
        "azs": zones, "locality": zones[0], "position": 1, "siblings": 3, "membershipMode": listing, "family": "conn",
        "trafficTypes": classes, "tenants": tenants, "tick": 5.0, "clients": {"marksRetry": false},
        "deductions": {"crossZone": 0.05, "moves": 0.03, "connection": 0.0, "waste": 0.08},
        "feedback": {"how": "off", "fields": []},
        "limits": {"mostLegs": 1, "secondCopies": false, "cancel": true, "retryAfter": false, "maxRetryAfter": 2000.0,
                   "connectTimeout": 120.0, "probes": false, "idleClose": 5000.0},
        "obligations": {"coldShare": 0.13, "cold": 24000.0, "fallMultiple": 2.0, "tipAfter": 1000.0,
                        "stopSendingWithin": 250.0, "answerSlack": 20.0, "mustAskIn": 10000.0},
        "specifics": {"messageAim": messages, "groups": true, "tenantQuotaConnections": []}
    })
}

fn one_window() -> Value {
    shape(&["east"], "subscribe", vec![class("seat-hold", "fragile", 150.0, 400.0)], json!([]))
}

fn four_effects() -> Value {
    let classes = vec![
        class("ledger-watch", "retryable", 700.0, 5000.0),
        class("ticker", "retryable", 120.0, 350.0),
        class("transfer", "fragile", 400.0, 1500.0),
        class("order-sync", "dedup", 400.0, 2500.0),
    ];
    let shops = json!([{"name": "bank", "share": 0.9}, {"name": "stall", "share": 0.01}]);
    let mut told = shape(&["east", "west"], "automatic", classes, shops);
    told["limits"]["mostLegs"] = json!(5);
    told["limits"]["retryAfter"] = json!(true);
    told["limits"]["connectTimeout"] = json!(400.0);
    told["obligations"]["stopSendingWithin"] = json!(100.0);
    told
}

/// Every class is served, a drain is obeyed, a hung server costs what its class allows, and the end owes nothing.
#[test]
fn both_customers_are_served_and_parted_from() {
    for (told, shop) in [(one_window(), ""), (four_effects(), ",t=stall")] {
        let (first, second, discovery) = (StubListener::new(), StubListener::new(), StubListener::new());
        let hosts = |health| {
            vec![server_entry("s-1", first.address, health), server_entry("s-2", second.address, "ready")]
        };
        let mut proxy =
            Proxy::start(&told, discovery.address, vec![server_entry("s-1", first.address, "ready")]);
        let mut watch = discovery.accept_watch(2, true, vec![server_entry("s-1", first.address, "ready")]);
        let mut held = Vec::new();
        let at = proxy.address;
        let open = |id: u64, kind: &str, wait: f64| {
            let mut client = std::net::TcpStream::connect(at).unwrap();
            client.set_read_timeout(Some(common::loopback::STEP_TIMEOUT)).unwrap();
            write!(client, "OPEN {id:016x} 7f3a9c21e0b4d655 c={kind}{shop},d={wait},g=5c0f6e1a2b3d4c59\r\n")
                .unwrap();
            std::io::BufReader::new(client)
        };
        let classes = told["trafficTypes"].as_array().unwrap();
        for (id, one) in classes.iter().enumerate() {
            let (kind, guard) = (one["name"].as_str().unwrap(), one["guardTime"].as_f64().unwrap());
            let mut client = open(id as u64, kind, guard);
            let (leg, head) = first.accept_with_first_line();
            assert!(head.contains(&format!("c={kind}{shop},d=")), "{head}");
            send(&leg, "UP 1\r\n");
            assert_eq!(read_line(&mut client), "UP 1\r\n", "{kind}");
            held.push((client, leg));
        }
        // A drain: the next goes elsewhere.
        writeln!(watch, "{}", list(3, false, hosts("draining"))).unwrap();
        proxy.wait_for_log("is Draining");
        let (kind, guard) = (classes[0]["name"].as_str().unwrap(), classes[0]["guardTime"].as_f64().unwrap());
        let mut client = open(100, kind, guard);
        let (leg, _) = second.accept_with_first_line();
        send(&leg, "UP 2\r\n");
        assert_eq!(read_line(&mut client), "UP 2\r\n");
        held.push((client, leg));
        // One that hangs while the process is told to stop, of the class that must not run twice.
        let kind = classes.iter().find(|c| c["idempotency"] == "fragile").unwrap()["name"].as_str().unwrap();
        let mut hangs = open(101, kind, guard);
        let (_leg, _) = second.accept_with_first_line();
        proxy.send_signal(Signal::TERM);
        assert_eq!(read_line(&mut hangs), "ERR\r\n", "it may have run: no reject");
        for (client, _) in held {
            assert_eq!(read_rest(client), "MOVE\r\n", "who stands is sent away politely");
        }
        drop(hangs);
        wait_until("it ends", || proxy.exited_successfully());
    }
}
