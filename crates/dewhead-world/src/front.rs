//! The front layer: it deals clients out among the proxies of their zone, takes a proxy in once that has answered
//! `PING`, and learns late that one has died.

use crate::random::RandomStream;
use crate::world::{EndKind, Event, LinkKey, Message, Peer, Proxy, World};

pub(crate) struct Front {
    /// By zone: the proxies that it sends to.
    zones: Vec<Vec<usize>>,
    random: RandomStream,
}

/// A proxy that has not answered is asked again after this.
const ASK_AGAIN: f64 = 0.1;

impl Front {
    pub(crate) fn new(proxies: &[Proxy], zones: usize, random: RandomStream) -> Front {
        // A zone without a proxy of its own sends to the next one's.
        let mut front = Front { zones: vec![Vec::new(); zones], random };
        front.zones.truncate(zones.min(proxies.len()).max(1));
        front
    }

    pub(crate) fn proxy_for(&mut self, zone: usize) -> Option<usize> {
        let zone = zone % self.zones.len();
        // With none of its own left, a zone's clients go to the others'.
        let all: Vec<usize> = if self.zones[zone].is_empty() {
            self.zones.iter().flatten().copied().collect()
        } else {
            self.zones[zone].clone()
        };
        if all.is_empty() {
            return None;
        }
        Some(all[self.random.index(all.len())])
    }

    fn drop_proxy(&mut self, proxy: usize) {
        for zone in &mut self.zones {
            zone.retain(|p| *p != proxy);
        }
    }
}

impl World {
    /// Asks a proxy that has started whether it serves.
    pub(crate) fn front_pings(&mut self, now: f64, proxy: usize) {
        if !self.proxies[proxy].listening || self.proxies[proxy].is_stopping() {
            return;
        }
        let latency = self.network.client_latency();
        let link = self.open_link(proxy, Peer::Front, latency);
        self.send(now, link, true, Message::Connect);
        self.send_bytes(now, link, b"PING\r\n");
    }

    pub(crate) fn front_receives(&mut self, now: f64, key: LinkKey, message: Message) {
        let proxy = self.links[key].proxy;
        match message {
            Message::Bytes(bytes) if bytes.first() == Some(&b'P') => {
                self.front.drop_proxy(proxy);
                let zone = self.proxies[proxy].zone % self.front.zones.len();
                self.front.zones[zone].push(proxy);
                self.front.zones[zone].sort_unstable();
                self.close_from_peer(now, key, EndKind::Closed);
            }
            Message::Bytes(_) | Message::Connect => {}
            Message::End(_) => {
                self.close_from_peer(now, key, EndKind::Closed);
                self.queue.push(now + ASK_AGAIN, Event::FrontPing(proxy));
            }
            Message::ConnectResult(_) => {
                self.links.remove(key);
                self.queue.push(now + ASK_AGAIN, Event::FrontPing(proxy));
            }
        }
    }

    /// A process has died: the front goes on sending to it for a while.
    pub(crate) fn front_notices_exit(&mut self, now: f64, proxy: usize) {
        let late = self.front.random.uniform_in(self.experiment.front.failure_notice);
        self.queue.push(now + late, Event::FrontRemoves(proxy, self.proxies[proxy].start_count));
    }

    /// A process is told to stop: new clients go on coming for a moment.
    pub(crate) fn front_notices_stop(&mut self, now: f64, proxy: usize) {
        let late = self.front.random.uniform_in(self.experiment.front.stop_notice);
        self.queue.push(now + late, Event::FrontRemoves(proxy, self.proxies[proxy].start_count));
    }

    /// The front has noticed, unless the proxy serves again by now.
    pub(crate) fn front_removes(&mut self, proxy: usize, start: u64) {
        let one = &self.proxies[proxy];
        if !one.listening || one.start_count == start && one.is_stopping() {
            self.front.drop_proxy(proxy);
        }
    }
}
