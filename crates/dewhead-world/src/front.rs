//! The front layer: distributes clients over the proxies of their zone, adds a proxy once it has answered
//! `PING`, and notices failures with a delay.

use crate::random::RandomStream;
use crate::world::{EndKind, Event, LinkKey, Message, Peer, Proxy, World};

/// The state of the front layer.
pub(crate) struct Front {
    /// By zone: the proxies that receive clients.
    zones: Vec<Vec<usize>>,
    random: RandomStream,
}

/// Delay until a proxy that has not answered gets another `PING`, in seconds.
const PING_RETRY_DELAY: f64 = 0.1;

impl Front {
    pub(crate) fn new(proxies: &[Proxy], zones: usize, random: RandomStream) -> Front {
        // Zones beyond the number of proxies share the lists of the others.
        let mut front = Front { zones: vec![Vec::new(); zones], random };
        front.zones.truncate(zones.min(proxies.len()).max(1));
        front
    }

    /// Draws a proxy for a client of this zone.
    pub(crate) fn proxy_for(&mut self, zone: usize) -> Option<usize> {
        let zone = zone % self.zones.len();
        // Without a proxy of its own, a zone uses those of all zones.
        let candidates: Vec<usize> = if self.zones[zone].is_empty() {
            self.zones.iter().flatten().copied().collect()
        } else {
            self.zones[zone].clone()
        };
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.random.index(candidates.len())])
    }

    /// Removes a proxy from all zones.
    fn remove_proxy(&mut self, proxy: usize) {
        for zone in &mut self.zones {
            zone.retain(|p| *p != proxy);
        }
    }
}

impl World {
    /// Sends `PING` to a proxy that has started.
    pub(crate) fn front_pings(&mut self, now: f64, proxy: usize) {
        if !self.proxies[proxy].listening || self.proxies[proxy].is_stopping() {
            return;
        }
        let latency = self.network.client_latency();
        let link = self.open_link(proxy, Peer::Front, latency);
        self.send(now, link, true, Message::Connect);
        self.send_bytes(now, link, b"PING\r\n");
    }

    /// A message has arrived at the front layer.
    pub(crate) fn front_receives(&mut self, now: f64, key: LinkKey, message: Message) {
        let proxy = self.links[key].proxy;
        match message {
            Message::Bytes(bytes) if bytes.first() == Some(&b'P') => {
                self.front.remove_proxy(proxy);
                let zone = self.proxies[proxy].zone % self.front.zones.len();
                self.front.zones[zone].push(proxy);
                self.front.zones[zone].sort_unstable();
                self.close_from_peer(now, key, EndKind::Closed);
            }
            Message::Bytes(_) | Message::Connect => {}
            Message::End(_) => {
                self.close_from_peer(now, key, EndKind::Closed);
                self.queue.push(now + PING_RETRY_DELAY, Event::FrontPing(proxy));
            }
            Message::ConnectResult(_) => {
                self.links.remove(key);
                self.queue.push(now + PING_RETRY_DELAY, Event::FrontPing(proxy));
            }
        }
    }

    /// A proxy has ended: the front layer sends it clients until it notices.
    pub(crate) fn front_notices_exit(&mut self, now: f64, proxy: usize) {
        let notice_delay = self.front.random.uniform_in(self.experiment.front.failure_notice);
        self.queue.push(now + notice_delay, Event::FrontRemoves(proxy, self.proxies[proxy].start_count));
    }

    /// A proxy is stopping: the front layer sends it clients until it notices.
    pub(crate) fn front_notices_stop(&mut self, now: f64, proxy: usize) {
        let notice_delay = self.front.random.uniform_in(self.experiment.front.stop_notice);
        self.queue.push(now + notice_delay, Event::FrontRemoves(proxy, self.proxies[proxy].start_count));
    }

    /// Removes a proxy, unless it has started to serve again.
    pub(crate) fn front_removes(&mut self, proxy: usize, start: u64) {
        let proxy_state = &self.proxies[proxy];
        if !proxy_state.listening || proxy_state.start_count == start && proxy_state.is_stopping() {
            self.front.remove_proxy(proxy);
        }
    }
}
