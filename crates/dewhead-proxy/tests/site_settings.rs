//! The program over loopback with settings like those of the two sites in `deploy/sites/`, as the platform would write
//! them: one traffic type with a single attempt and deadlines of 400 ms, and four traffic types with unequal tenants
//! and deadlines of 350 ms to 5 s.

mod common;

use common::loopback::{read_line, read_rest, send, server_entry, wait_until, Proxy, StubListener};
use common::server_list;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::Write;

/// The settings of one traffic type; times in milliseconds.
fn traffic_type(name: &str, idempotency: &str, setup_target_ms: f64, guard_time_ms: f64) -> Value {
    json!({"name": name, "idempotency": idempotency, "keyScope": "zone", "repeatWindow": 1500.0,
           "setupTarget": setup_target_ms, "guardTime": guard_time_ms, "revenue": 1.0, "tardyRevenue": 0.0,
           "streamed": true})
}

/// What the settings of both sites have in common, including keys that the program does not use.
fn site_settings(zones: &[&str], membership_mode: &str, traffic_types: Vec<Value>, tenants: Value) -> Value {
    let message_targets_ms = vec![80.0; traffic_types.len()];
    json!({
        "azs": zones, "locality": zones[0], "position": 1, "siblings": 3,
        "membershipMode": membership_mode, "family": "conn",
        "trafficTypes": traffic_types, "tenants": tenants, "tick": 5.0, "clients": {"marksRetry": false},
        "deductions": {"crossZone": 0.05, "moves": 0.03, "connection": 0.0, "waste": 0.08},
        "feedback": {"how": "off", "fields": []},
        "limits": {"mostLegs": 1, "secondCopies": false, "cancel": true, "retryAfter": false, "maxRetryAfter": 2000.0,
                   "connectTimeout": 120.0, "probes": false, "idleClose": 5000.0},
        "obligations": {"coldShare": 0.13, "cold": 24000.0, "fallMultiple": 2.0, "tipAfter": 1000.0,
                        "stopSendingWithin": 250.0, "answerSlack": 20.0, "mustAskIn": 10000.0},
        "specifics": {"messageAim": message_targets_ms, "groups": true, "tenantQuotaConnections": []}
    })
}

/// One once-only traffic type and no tenants; the list is requested.
fn one_type_settings() -> Value {
    site_settings(&["east"], "subscribe", vec![traffic_type("seat-hold", "fragile", 150.0, 400.0)], json!([]))
}

/// Four traffic types and two unequal tenants; the list is pushed.
fn four_type_settings() -> Value {
    let traffic_types = vec![
        traffic_type("ledger-watch", "retryable", 700.0, 5000.0),
        traffic_type("ticker", "retryable", 120.0, 350.0),
        traffic_type("transfer", "fragile", 400.0, 1500.0),
        traffic_type("order-sync", "dedup", 400.0, 2500.0),
    ];
    let tenants = json!([{"name": "bank", "share": 0.9}, {"name": "stall", "share": 0.01}]);
    let mut settings = site_settings(&["east", "west"], "automatic", traffic_types, tenants);
    settings["limits"]["mostLegs"] = json!(5);
    settings["limits"]["retryAfter"] = json!(true);
    settings["limits"]["connectTimeout"] = json!(400.0);
    settings["obligations"]["stopSendingWithin"] = json!(100.0);
    settings
}

/// Every traffic type is served, a drain is respected, a call at a server that hangs ends as its traffic type requires,
/// and a stop leaves no client without its answer or its `MOVE`.
#[test]
fn calls_are_served_and_a_stop_leaves_none_unanswered_with_the_settings_of_both_sites() {
    for (settings, tenant_field) in [(one_type_settings(), ""), (four_type_settings(), ",t=stall")] {
        let (first, second, discovery) = (StubListener::new(), StubListener::new(), StubListener::new());
        let hosts = |health| {
            vec![server_entry("s-1", first.address, health), server_entry("s-2", second.address, "ready")]
        };
        let mut proxy =
            Proxy::start(&settings, discovery.address, vec![server_entry("s-1", first.address, "ready")]);
        let mut watch = discovery.accept_watch(2, true, vec![server_entry("s-1", first.address, "ready")]);
        let mut established = Vec::new();
        let at = proxy.address;
        let open = |id: u64, name: &str, wait_ms: f64| {
            let mut client = std::net::TcpStream::connect(at).unwrap();
            client.set_read_timeout(Some(common::loopback::STEP_TIMEOUT)).unwrap();
            write!(
                client,
                "OPEN {id:016x} 7f3a9c21e0b4d655 c={name}{tenant_field},d={wait_ms},g=5c0f6e1a2b3d4c59\r\n"
            )
            .unwrap();
            std::io::BufReader::new(client)
        };
        let traffic_types = settings["trafficTypes"].as_array().unwrap();
        for (id, type_settings) in traffic_types.iter().enumerate() {
            let (name, guard_time_ms) =
                (type_settings["name"].as_str().unwrap(), type_settings["guardTime"].as_f64().unwrap());
            let mut client = open(id as u64, name, guard_time_ms);
            let (leg, head) = first.accept_with_first_line();
            assert!(head.contains(&format!("c={name}{tenant_field},d=")), "{head}");
            send(&leg, "UP 1\r\n");
            assert_eq!(read_line(&mut client), "UP 1\r\n", "{name}");
            established.push((client, leg));
        }
        // During a drain the next call goes to the other server.
        writeln!(watch, "{}", server_list(3, false, hosts("draining"))).unwrap();
        proxy.wait_for_log("is Draining");
        let (name, guard_time_ms) =
            (traffic_types[0]["name"].as_str().unwrap(), traffic_types[0]["guardTime"].as_f64().unwrap());
        let mut client = open(100, name, guard_time_ms);
        let (leg, _) = second.accept_with_first_line();
        send(&leg, "UP 2\r\n");
        assert_eq!(read_line(&mut client), "UP 2\r\n");
        established.push((client, leg));
        // A once-only call is unanswered at its server when the process is stopped.
        let once_only =
            traffic_types.iter().find(|t| t["idempotency"] == "fragile").unwrap()["name"].as_str().unwrap();
        let mut unanswered = open(101, once_only, guard_time_ms);
        let (_leg, _) = second.accept_with_first_line();
        proxy.send_signal(Signal::TERM);
        assert_eq!(read_line(&mut unanswered), "ERR\r\n", "not rejected, as the call may have run");
        for (client, _) in established {
            assert_eq!(read_rest(client), "MOVE\r\n", "an established client is moved");
        }
        drop(unanswered);
        wait_until("the process exits", || proxy.exited_successfully());
    }
}
