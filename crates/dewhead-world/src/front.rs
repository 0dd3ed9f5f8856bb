//! The front layer: it deals clients out among the proxies of their zone, takes a proxy in once that has answered
//! `PING`, and learns late that one has died.

use crate::chance::Chance;
use crate::world::{Due, Far, How, LinkKey, Parcel, Proxy, World};

pub(crate) struct Front {
    /// By zone: the proxies that it sends to.
    zones: Vec<Vec<usize>>,
    chance: Chance,
}

/// A proxy that has not answered is asked again after this.
const ASK_AGAIN: f64 = 0.1;

impl Front {
    pub(crate) fn new(proxies: &[Proxy], zones: usize, chance: Chance) -> Front {
        // A zone without a proxy of its own sends to the next one's.
        let mut front = Front { zones: vec![Vec::new(); zones], chance };
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
        Some(all[self.chance.place(all.len())])
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
        if !self.proxies[proxy].up || self.proxies[proxy].is_stopping() {
            return;
        }
        let latency = self.network.to_client();
        let link = self.link(proxy, Far::Front, latency);
        self.post(now, link, true, Parcel::Open);
        self.say(now, link, b"PING\r\n");
    }

    pub(crate) fn front_gets(&mut self, now: f64, key: LinkKey, parcel: Parcel) {
        let proxy = self.links[key].proxy;
        match parcel {
            Parcel::Bytes(bytes) if bytes.first() == Some(&b'P') => {
                self.front.drop_proxy(proxy);
                let zone = self.proxies[proxy].zone % self.front.zones.len();
                self.front.zones[zone].push(proxy);
                self.front.zones[zone].sort_unstable();
                self.leave(now, key, How::Closed);
            }
            Parcel::Bytes(_) | Parcel::Open => {}
            Parcel::End(_) => {
                self.leave(now, key, How::Closed);
                self.queue.put(now + ASK_AGAIN, Due::FrontPing(proxy));
            }
            Parcel::Answer(_) => {
                self.links.remove(key);
                self.queue.put(now + ASK_AGAIN, Due::FrontPing(proxy));
            }
        }
    }

    /// A process has died: the front goes on sending to it for a while.
    pub(crate) fn front_loses(&mut self, now: f64, proxy: usize) {
        let late = self.front.chance.within(self.of.front.notice);
        self.queue.put(now + late, Due::FrontDrops(proxy, self.proxies[proxy].starts));
    }

    /// A process is told to stop: new clients go on coming for a moment.
    pub(crate) fn front_stops(&mut self, now: f64, proxy: usize) {
        let late = self.front.chance.within(self.of.front.stop_notice);
        self.queue.put(now + late, Due::FrontDrops(proxy, self.proxies[proxy].starts));
    }

    /// The front has noticed, unless the proxy serves again by now.
    pub(crate) fn front_drops(&mut self, proxy: usize, start: u64) {
        let one = &self.proxies[proxy];
        if !one.up || one.starts == start && one.is_stopping() {
            self.front.drop_proxy(proxy);
        }
    }
}
