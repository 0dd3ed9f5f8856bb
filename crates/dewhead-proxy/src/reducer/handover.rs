//! What one process hands to the one that takes its place, and what that takes up.

use super::Reducer;
use crate::memory::known::{self, Handed};
use crate::memory::pace::Pace;
use log::info;
use serde_json::Value;

/// What was handed on longer ago than this many of the longest guard times is the list alone.
const USE: f64 = 20.0;

impl Reducer {
    /// The list and what was learned, each with its age.
    pub fn export_state(&self, now: f64) -> Value {
        let list = self.watch.entries.list(self.watch.version);
        let paces = self.servers.0.iter().map(|(id, server)| (*id, &server.pace));
        known::write(now, list, &self.balancer.learned(now), paces, &self.kinds)
    }

    /// Takes up what another process has learned: of servers that are listed and have not started anew.
    pub fn import_state(&mut self, now: f64, handed: &Handed) {
        let ago = (now - handed.at).max(0.0);
        if ago > USE * self.longest_guard {
            return info!("what was handed on is {ago:.0} s old and left aside");
        }
        let recalled = self.balancer.recall(now, ago, &handed.servers);
        for (id, (recent, usual, seen, since)) in &handed.paces {
            if let Some(server) = self.servers.0.get_mut(id) {
                server.pace = Pace::recall(now, (*recent, *usual, *seen, since + ago));
            }
        }
        self.kinds.recall(&handed.kinds);
        info!("taken up what was learned of {recalled} servers, {ago:.1} s ago");
    }

    /// Another process serves from now on: who stands here leaves over so many seconds, and the process ends.
    pub(super) fn retire(&mut self, now: f64, spread: f64) {
        if self.ends {
            return;
        }
        info!("retiring: {} sessions are open", self.sessions.len());
        self.ends = true;
        self.spread = spread.max(0.0);
        self.send_all_away(now);
        self.end_after(now, self.spread + self.longest_guard);
    }
}
