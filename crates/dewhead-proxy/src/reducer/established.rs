//! Standing connections: lines pass and are read along, and clients are sent away politely.

use super::{CloseKind, Effect, Endpoint, Reducer, LINES, LINE_ENDS, MOST_SILENT, TELL_AGAIN};
use crate::memory::counters::{AnswerReason, CloseReason};
use crate::memory::sessions::Stage;
use crate::wire::answers::{self, word, Word};
use dewhead::terms::Ending;
use log::{debug, trace};

impl Reducer {
    pub(super) fn pass_down(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let key = self.legs[leg].session;
        let mut bytes = bytes;
        if self.sessions[key].moving.is_some() {
            // The line under way still goes through.
            let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
            bytes = &bytes[..end];
        }
        self.watch_lines(now, leg, bytes);
        self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len()));
        let session = &self.sessions[key];
        if let Some(ending) = session.moving.filter(|_| session.down.between()) {
            self.move_away(now, key, ending);
        }
    }

    /// Reads along as a standing connection's lines pass.
    pub(super) fn watch_lines(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let out = &mut self.legs[leg];
        let session = &mut self.sessions[out.session];
        let Some(call) = session.call.clone() else { return };
        let mut slowest = None;
        let who = session.who();
        let (asked, unanswered, asked_at) = (&mut session.asked, &mut session.unanswered, session.asked_at);
        session.down.feed(bytes, |line, _| match word(line) {
            Word::Load(load) => {
                trace!("{}: load on server {:x} is {load}", who, out.server);
                call.load_is(now, out.number, load);
            }
            Word::Bye => out.farewell = Some(Ending::Served),
            Word::Move => out.farewell = Some(Ending::Cancelled),
            _ => {
                if let Some(since) = unanswered.take() {
                    slowest = Some(now - since);
                    *asked = asked.saturating_sub(1);
                    if *asked > 0 {
                        *unanswered = Some(asked_at);
                    }
                }
            }
        });
        if let Some(took) = slowest.filter(|took| self.tells(*took)) {
            self.messages_take(now, leg, LINES, took);
        }
    }

    /// Told once a second while messages are slow by one sign or another, and once more when they no longer are.
    pub(super) fn messages_take(&mut self, now: f64, leg: usize, sign: usize, took: f64) {
        let out = &self.legs[leg];
        let Some(server) = self.servers.0.get_mut(&out.server) else { return };
        server.delays[sign] = (took, now);
        // A sign counts for as long as it would not be told again. The last set-up's, told with each line that passed,
        // was taken for a new one every second: the limit was cut for good, and nothing was set up to clear it.
        let fresh = server.delays.iter().filter(|(_, at)| now - at < TELL_AGAIN);
        let took = fresh.fold(0.0, |most, (took, _)| f64::max(most, *took));
        let slow = took > self.slow_from;
        if (slow || server.slow) && now - server.told_at >= TELL_AGAIN {
            server.told_at = now;
            server.slow = slow;
            debug!("messages at server {:x} take {took:.3} s", out.server);
            if let Some(call) = &self.sessions[out.session].call {
                call.messages_take(now, out.number, took);
            }
        }
    }

    /// Sends a standing client away politely, as soon as it is between two lines.
    pub(super) fn move_away(&mut self, now: f64, key: usize, ending: Ending) {
        let session = &mut self.sessions[key];
        let Some((_, leg)) = session.legs.first().copied().filter(|_| session.stage == Stage::Standing)
        else {
            return;
        };
        if !session.down.between() {
            if session.moving.replace(ending).is_none() {
                self.replace_timer(key, Some(now + LINE_ENDS));
            }
            return;
        }
        self.end_leg(now, leg, ending, true, CloseKind::Graceful);
        self.answer(now, key, answers::MOVE.to_vec(), AnswerReason::Moved);
    }

    pub(super) fn session_due(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        match session.stage {
            Stage::Greeting if !session.head.is_empty() => self.misunderstood(now, key),
            Stage::Greeting => self.close_all(now, key, CloseKind::Graceful, CloseReason::FirstLineOverdue),
            Stage::Parting => self.close_all(now, key, CloseKind::Abortive, CloseReason::Lingered),
            Stage::Waiting => {}
            Stage::Returning => {
                if let Some((server, wanted)) = &session.returning {
                    let (server, until) = (*server, wanted.until);
                    if now < until {
                        self.dial(now, key, server, until);
                    } else {
                        self.answer(now, key, answers::FAILED.to_vec(), AnswerReason::NotPutBack);
                    }
                }
            }
            Stage::Standing => match (session.moving, session.unanswered) {
                (Some(ending), _) => {
                    // Its server stopped within a line, so there is no place for a word.
                    if let Some(leg) = session.bound() {
                        self.end_leg(now, leg, ending, true, CloseKind::Abortive);
                    }
                    self.answer(now, key, Vec::new(), AnswerReason::LineNeverEnded);
                }
                (None, Some(since)) if now - since >= MOST_SILENT - 1e-3 => {
                    self.move_away(now, key, Ending::Broken);
                }
                (None, Some(since)) => self.replace_timer(key, Some(since + MOST_SILENT)),
                (None, None) => {}
            },
        }
    }
}
