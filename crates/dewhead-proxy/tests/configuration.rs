//! What is wrong with a configuration is said in one line that names the faulty key.

mod common;

use dewhead_proxy::lifecycle::configuration::Configuration;
use serde_json::{json, Value};

fn sound() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:8081", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2000}, "settings": common::settings(),
           "known": common::server_list(4, true, vec![common::host_entry(1, "ready")])})
}

#[test]
fn a_fault_is_one_line_that_names_its_key() {
    type Change = fn(&mut Value);
    let cases: [(&str, Change); 9] = [
        ("listen", |v| v["listen"] = json!("nowhere")),
        ("discovery", |v| drop(v.as_object_mut().unwrap().remove("discovery"))),
        ("seed", |v| v["seed"] = json!("xyz")),
        ("sockets", |v| v["limits"]["sockets"] = json!(-1)),
        ("memory_mb", |v| v["limits"]["memory_mb"] = json!(6)),
        ("settings", |v| v["settings"] = Value::Null),
        ("guardTime", |v| v["settings"]["trafficTypes"][1]["guardTime"] = json!("long")),
        ("locality", |v| v["settings"]["locality"] = json!("north")),
        ("health", |v| v["known"]["hosts"][0]["health"] = json!("fine")),
    ];
    for (key, change) in cases {
        let mut told = sound();
        change(&mut told);
        let fault = Configuration::from_json(&told).err().expect(key);
        assert!(fault.contains(key) && !fault.contains('\n'), "{key}: {fault}");
    }
}

#[test]
fn limits_have_defaults_and_memory_bounds_descriptors() {
    let read = |told: &Value| Configuration::from_json(told).unwrap().max_descriptors;
    let mut told = sound();
    assert_eq!(read(&told), 2000);
    told["limits"]["memory_mb"] = json!(16);
    assert!(read(&told) < 1000);
    told.as_object_mut().unwrap().remove("limits");
    assert_eq!(read(&told), 1024);
}

#[test]
fn what_needs_a_restart_is_named() {
    let mut told = sound();
    let (before, new) = (Configuration::from_json(&told).unwrap().restart_only, json!("127.0.0.1:8501"));
    (told["discovery"], told["known"], told["limits"]["sockets"]) = (new.clone(), Value::Null, json!(900));
    assert!(before.differing_keys(&Configuration::from_json(&told).unwrap().restart_only).is_empty());
    (told["listen"], told["settings"]["deductions"]["moves"]) = (new, json!(0.5));
    told["settings"]["tenants"] = Value::Null;
    let after = Configuration::from_json(&told).unwrap().restart_only;
    assert_eq!(before.differing_keys(&after), ["listen", "settings.deductions", "settings.tenants"]);
}

/// What ktm-ingest's proxies are told, on top of the usual: weights that move with load, and reports on probes.
fn live(told: &mut Value) {
    told["settings"]["weights"] = json!("live");
    told["settings"]["feedback"] = json!({"how": "on_probe", "fields": ["queue", "qps", "x0"]});
    told["settings"]["limits"]["probes"] = json!(true);
}

/// Refused at its start, a proxy serves nobody: at a site of one location whose prices name a crossing none of them came
/// up. What is merely unusual is obeyed, with a remark where that leaves something out.
#[test]
fn one_build_takes_any_shape_that_can_be_meant() {
    type Change = fn(&mut Value);
    let shapes: [(usize, Change); 9] = [
        (0, |_| {}),
        (1, live),
        (0, |v| {
            // All in one location, and a list that must be asked for.
            v["settings"]["azs"] = json!(["east"]);
            v["settings"]["membershipMode"] = json!("subscribe");
            v["settings"]["weights"] = json!("rough");
            v["known"] = Value::Null;
        }),
        (0, |v| {
            v["settings"]["azs"] = json!(["east"]);
            v["settings"]["deductions"]["crossZone"] = json!(0.03);
            v["known"] = Value::Null;
        }),
        (0, |v| v["settings"]["tenants"] = json!([])),
        (0, |v| {
            v["settings"]["obligations"]["cold"] = json!(0);
            v["settings"]["obligations"]["coldShare"] = json!(0.0);
        }),
        (2, |v| {
            live(v);
            v["settings"]["membershipMode"] = json!("subscribe");
        }),
        (1, |v| {
            live(v);
            v["settings"]["limits"]["probes"] = json!(false);
            v["settings"]["feedback"]["fields"] = json!(["queue"]);
        }),
        (1, |v| v["settings"]["feedback"] = json!({"how": "inline", "fields": ["qps"]})),
    ];
    for (at, (remarks, shape)) in shapes.into_iter().enumerate() {
        let mut told = sound();
        shape(&mut told);
        let read = Configuration::from_json(&told);
        let read = read.unwrap_or_else(|fault| panic!("shape {at}: {fault}"));
        assert_eq!(read.warnings.len(), remarks, "shape {at}: {:?}", read.warnings);
        assert!(read.warnings.iter().all(|r| r.contains("field '") && !r.contains('\n')));
    }
}

#[test]
fn what_no_deployment_can_mean_is_refused_by_its_key() {
    type Change = fn(&mut Value);
    let faults: [(&str, Change); 16] = [
        ("'weights' is not", |v| v["settings"]["weights"] = json!(1)),
        ("'obligations.cold'", |v| v["settings"]["obligations"]["cold"] = json!(-1.0)),
        ("'obligations.coldShare'", |v| v["settings"]["obligations"]["coldShare"] = json!(1.5)),
        ("'obligations.coldShare'", |v| v["settings"]["obligations"]["coldShare"] = json!(-0.5)),
        ("'obligations.tipAfter'", |v| v["settings"]["obligations"]["tipAfter"] = json!(0)),
        ("'limits.mostLegs'", |v| v["settings"]["limits"]["mostLegs"] = json!(0)),
        ("'deductions.moves'", |v| v["settings"]["deductions"]["moves"] = json!(-0.1)),
        ("'deductions.crossZone'", |v| v["settings"]["deductions"]["crossZone"] = json!(-0.1)),
        ("'trafficTypes.guardTime'", |v| v["settings"]["trafficTypes"][0]["guardTime"] = json!(0)),
        ("'trafficTypes' names none", |v| v["settings"]["trafficTypes"] = json!([])),
        ("'trafficTypes' names 'feed' twice", |v| v["settings"]["trafficTypes"][1]["name"] = json!("feed")),
        ("'tenants' names 'shop-a' twice", |v| v["settings"]["tenants"][1]["name"] = json!("shop-a")),
        ("'azs' names 'east' twice", |v| v["settings"]["azs"] = json!(["east", "east"])),
        ("'weights' names unknown", |v| v["settings"]["weights"] = json!("lively")),
        ("'fields'", |v| v["settings"]["feedback"]["fields"] = json!("queue")),
        ("'feedback.how' names unknown", |v| v["settings"]["feedback"]["how"] = json!("at times")),
    ];
    for (key, change) in faults {
        let mut told = sound();
        live(&mut told);
        change(&mut told);
        let fault = Configuration::from_json(&told).err().expect(key);
        assert!(fault.contains(key) && !fault.contains('\n'), "{key}: {fault}");
    }
    let (mut told, before) = (sound(), Configuration::from_json(&sound()).unwrap().restart_only);
    live(&mut told);
    let after = Configuration::from_json(&told).unwrap().restart_only;
    assert_eq!(before.differing_keys(&after), ["settings.feedback", "settings.limits", "settings.weights"]);
}
