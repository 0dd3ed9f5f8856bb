//! Clients that send what can't be read, say nothing, or never end a line. Each is owed an error or a close.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::{EndKind, LinkKey, Message, Peer, World};

pub const KIND: TroubleKind = TroubleKind {
    name: "bad-clients",
    description: "'size' clients a second, over 'lasts' seconds, send what can't be read",
    act,
};

/// One is owed an end within this.
const OWED: f64 = 3.0;
/// They come in groups, this often.
const EVERY: f64 = 0.1;

struct Bad {
    link: LinkKey,
    since: f64,
}

/// Those who have had no end yet; one leaves with its end, or once it is counted as left.
#[derive(Default)]
pub struct Crowd(Vec<Bad>);

/// What they say, by turns.
fn words(n: usize, call: u64) -> Vec<u8> {
    match n % 8 {
        0 => b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        1 => vec![b'x'; 20_000],
        2 => b"OPEN 9b1f03aa5c7e2d41 7f c=none,t=none,d=2000\r\n".to_vec(),
        3 => b"OPEN 9b1f03aa5c7e2d41 7f c=menus,d=-1\r\n".to_vec(),
        4 => Vec::new(),
        5 => b"OPEN 9b1f".to_vec(),
        6 => [0u8, 159, 146, 150, b'\r', b'\n'].repeat(50),
        // The id of a call that somebody else has open.
        _ => format!("OPEN {call:016x} 7f c=none,d=1e9\r\n").into_bytes(),
    }
}

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    let ends = trouble.at + trouble.duration;
    let overdue = world.misbehaving.0.iter().filter(|b| now - b.since > OWED + 0.1).count();
    world.service.counts.misbehaving_clients_unanswered += overdue as u64;
    let left: Vec<LinkKey> =
        world.misbehaving.0.iter().filter(|b| now - b.since > OWED + 0.1).map(|b| b.link).collect();
    world.misbehaving.0.retain(|b| now - b.since <= OWED + 0.1);
    for link in left {
        world.close_from_peer(now, link, EndKind::Closed);
    }
    if now < ends {
        let many = trouble.magnitude * EVERY;
        let many = many.floor() as usize + usize::from(world.trouble_random[n].bernoulli(many.fract()));
        for _ in 0..many {
            let proxy = world.trouble_random[n].index(world.proxies.len());
            if !world.proxies[proxy].listening {
                continue;
            }
            let kind = world.trouble_random[n].index(8);
            let call = world.calls.keys().next().copied().unwrap_or(1);
            come(world, now, proxy, stage, &words(kind, call));
        }
    }
    (now < ends + OWED + 0.5).then_some(now + EVERY)
}

/// One that connects and says nothing.
pub(super) fn silent(world: &mut World, now: f64, proxy: usize) {
    come(world, now, proxy, 0, &[]);
}

fn come(world: &mut World, now: f64, proxy: usize, stage: u32, text: &[u8]) {
    let link = world.open_link(proxy, Peer::Misbehaving(stage as usize), 5e-4);
    world.send(now, link, true, Message::Connect);
    for piece in text.chunks(4096) {
        world.send_bytes(now, link, piece);
    }
    world.service.counts.misbehaving_clients += 1;
    world.misbehaving.0.push(Bad { link, since: now });
}

/// It has got something: a line or an end, either will do.
pub(crate) fn receive(world: &mut World, now: f64, _n: usize, key: LinkKey, message: Message) {
    match message {
        Message::Connect => {}
        Message::ConnectResult(_) => {
            world.misbehaving.0.retain(|b| b.link != key);
            world.links.remove(key);
        }
        Message::Bytes(_) => world.misbehaving.0.retain(|b| b.link != key),
        Message::End(_) => {
            world.misbehaving.0.retain(|b| b.link != key);
            world.close_from_peer(now, key, EndKind::Closed);
        }
    }
}
