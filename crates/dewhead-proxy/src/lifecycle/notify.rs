//! Words to a service manager, on the socket that it names (`NOTIFY_SOCKET`); without one they go nowhere.

use log::warn;
use sd_notify::NotifyState;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Notification<'a> {
    Ready,
    Reloading,
    Stopping,
    Status(&'a str),
    /// That this is the service's process now.
    MainPid,
    /// The loop still turns.
    Watchdog,
}

/// Where words go, and how often the manager wants a sign of life.
pub struct Notifier {
    named: bool,
    every: Option<f64>,
    next: f64,
    failed: bool,
}

impl Notifier {
    /// By this process's environment.
    pub fn from_environment() -> Notifier {
        let named = std::env::var_os("NOTIFY_SOCKET").is_some();
        // Twice as often as it must be, so that one that comes a little late is in time.
        let every = sd_notify::watchdog_enabled()
            .map(|limit| (limit / 2).max(Duration::from_millis(10)).as_secs_f64());
        Notifier { named, every: every.filter(|_| named), next: f64::NEG_INFINITY, failed: false }
    }

    /// One that tells nobody.
    pub fn disabled() -> Notifier {
        Notifier { named: false, every: None, next: f64::NEG_INFINITY, failed: false }
    }

    pub fn send(&mut self, word: Notification) {
        if !self.named {
            return;
        }
        let told = match word {
            Notification::Ready => sd_notify::notify(&[NotifyState::Ready]),
            Notification::Reloading => NotifyState::monotonic_usec_now()
                .and_then(|clock| sd_notify::notify(&[NotifyState::Reloading, clock])),
            Notification::Stopping => sd_notify::notify(&[NotifyState::Stopping]),
            Notification::Status(text) => sd_notify::notify(&[NotifyState::Status(text)]),
            Notification::MainPid => sd_notify::notify(&[NotifyState::MainPid(std::process::id())]),
            Notification::Watchdog => sd_notify::notify(&[NotifyState::Watchdog]),
        };
        if let Err(e) = told {
            // Said once: a manager that does not listen is no reason to stop serving.
            if !std::mem::replace(&mut self.failed, true) {
                warn!("the service manager is not reached: {e}");
            }
        }
    }

    /// When the next sign of life is due.
    pub fn watchdog_due(&self) -> Option<f64> {
        self.every.map(|_| self.next)
    }

    /// Gives a sign of life if one is due.
    pub fn send_watchdog_if_due(&mut self, now: f64) {
        if let Some(every) = self.every.filter(|_| now >= self.next) {
            self.next = now + every;
            self.send(Notification::Watchdog);
        }
    }
}
