//! Clients that send no valid request, write nothing, or never complete a line. Each must be answered with an
//! error or disconnected.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::{EndKind, LinkKey, Message, Peer, World};

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "bad-clients",
    description: "for 'lasts' seconds, 'size' clients per second connect without sending a valid request",
    on_stage,
};

/// Time within which such a client must be answered or disconnected, in seconds.
const END_DEADLINE: f64 = 3.0;
/// Interval between the groups in which they connect, in seconds.
const GROUP_INTERVAL: f64 = 0.1;

/// A client without an answer or end so far.
struct MisbehavingClient {
    link: LinkKey,
    connected_at: f64,
}

/// The clients without an answer or end so far. A client is removed when it gets one or is counted as
/// overdue.
#[derive(Default)]
pub struct MisbehavingClients(Vec<MisbehavingClient>);

/// The request of the client of this kind, one of eight.
fn request(n: usize, call: u64) -> Vec<u8> {
    match n % 8 {
        0 => b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        1 => vec![b'x'; 20_000],
        2 => b"OPEN 9b1f03aa5c7e2d41 7f c=none,t=none,d=2000\r\n".to_vec(),
        3 => b"OPEN 9b1f03aa5c7e2d41 7f c=menus,d=-1\r\n".to_vec(),
        4 => Vec::new(),
        5 => b"OPEN 9b1f".to_vec(),
        6 => [0u8, 159, 146, 150, b'\r', b'\n'].repeat(50),
        // The id of another client's open call.
        _ => format!("OPEN {call:016x} 7f c=none,d=1e9\r\n").into_bytes(),
    }
}

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    let ends = trouble.at + trouble.duration;
    let overdue = world.misbehaving.0.iter().filter(|c| now - c.connected_at > END_DEADLINE + 0.1).count();
    world.service.counts.misbehaving_clients_unanswered += overdue as u64;
    let overdue_links: Vec<LinkKey> = world
        .misbehaving
        .0
        .iter()
        .filter(|c| now - c.connected_at > END_DEADLINE + 0.1)
        .map(|c| c.link)
        .collect();
    world.misbehaving.0.retain(|c| now - c.connected_at <= END_DEADLINE + 0.1);
    for link in overdue_links {
        world.close_from_peer(now, link, EndKind::Closed);
    }
    if now < ends {
        let count = trouble.magnitude * GROUP_INTERVAL;
        let count = count.floor() as usize + usize::from(world.trouble_random[n].bernoulli(count.fract()));
        for _ in 0..count {
            let proxy = world.trouble_random[n].index(world.proxies.len());
            if !world.proxies[proxy].listening {
                continue;
            }
            let kind = world.trouble_random[n].index(8);
            let call = world.calls.keys().next().copied().unwrap_or(1);
            connect(world, now, proxy, stage, &request(kind, call));
        }
    }
    (now < ends + END_DEADLINE + 0.5).then_some(now + GROUP_INTERVAL)
}

/// Connects a client that writes nothing.
pub(super) fn connect_silent(world: &mut World, now: f64, proxy: usize) {
    connect(world, now, proxy, 0, &[]);
}

/// Connects a client that writes this request.
fn connect(world: &mut World, now: f64, proxy: usize, stage: u32, text: &[u8]) {
    let link = world.open_link(proxy, Peer::Misbehaving(stage as usize), 5e-4);
    world.send(now, link, true, Message::Connect);
    for piece in text.chunks(4096) {
        world.send_bytes(now, link, piece);
    }
    world.service.counts.misbehaving_clients += 1;
    world.misbehaving.0.push(MisbehavingClient { link, connected_at: now });
}

/// A message has arrived at such a client; a line or an end is sufficient.
pub(crate) fn receive(world: &mut World, now: f64, _n: usize, key: LinkKey, message: Message) {
    match message {
        Message::Connect => {}
        Message::ConnectResult(_) => {
            world.misbehaving.0.retain(|c| c.link != key);
            world.links.remove(key);
        }
        Message::Bytes(_) => world.misbehaving.0.retain(|c| c.link != key),
        Message::End(_) => {
            world.misbehaving.0.retain(|c| c.link != key);
            world.close_from_peer(now, key, EndKind::Closed);
        }
    }
}
