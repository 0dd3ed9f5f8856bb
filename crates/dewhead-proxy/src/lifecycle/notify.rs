//! Notifications to the service manager, on the socket named by `NOTIFY_SOCKET`. Without that variable nothing is sent.

use log::warn;
use sd_notify::NotifyState;
use std::time::Duration;

/// A notification, as in `sd_notify(3)`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Notification<'a> {
    /// `READY=1`.
    Ready,
    /// `RELOADING=1` with `MONOTONIC_USEC`.
    Reloading,
    /// `STOPPING=1`.
    Stopping,
    /// `STATUS=` with a text.
    Status(&'a str),
    /// `MAINPID=`: this process is now the main process of the service.
    MainPid,
    /// `WATCHDOG=1`: the event loop still runs.
    Watchdog,
}

/// Sends notifications, including the periodic watchdog notification if the service manager requests it.
pub struct Notifier {
    enabled: bool,
    /// Time between watchdog notifications, in seconds; none if the service manager requests none.
    watchdog_interval: Option<f64>,
    /// When the next watchdog notification is due, by the clock of the event loop.
    next_watchdog: f64,
    /// Whether a failure to send has been logged.
    failure_logged: bool,
}

impl Notifier {
    /// A notifier configured by the environment of this process.
    pub fn from_environment() -> Notifier {
        let enabled = std::env::var_os("NOTIFY_SOCKET").is_some();
        // At half the watchdog timeout, so that a notification that is a little late is still in time.
        let watchdog_interval = sd_notify::watchdog_enabled()
            .map(|limit| (limit / 2).max(Duration::from_millis(10)).as_secs_f64());
        Notifier {
            enabled,
            watchdog_interval: watchdog_interval.filter(|_| enabled),
            next_watchdog: f64::NEG_INFINITY,
            failure_logged: false,
        }
    }

    /// A notifier that sends nothing.
    pub fn disabled() -> Notifier {
        Notifier {
            enabled: false,
            watchdog_interval: None,
            next_watchdog: f64::NEG_INFINITY,
            failure_logged: false,
        }
    }

    /// Sends a notification. A failure is logged once and otherwise ignored.
    pub fn send(&mut self, notification: Notification) {
        if !self.enabled {
            return;
        }
        let sent = match notification {
            Notification::Ready => sd_notify::notify(&[NotifyState::Ready]),
            Notification::Reloading => NotifyState::monotonic_usec_now()
                .and_then(|clock| sd_notify::notify(&[NotifyState::Reloading, clock])),
            Notification::Stopping => sd_notify::notify(&[NotifyState::Stopping]),
            Notification::Status(text) => sd_notify::notify(&[NotifyState::Status(text)]),
            Notification::MainPid => sd_notify::notify(&[NotifyState::MainPid(std::process::id())]),
            Notification::Watchdog => sd_notify::notify(&[NotifyState::Watchdog]),
        };
        if let Err(e) = sent {
            // Logged once: a service manager that can't be reached is no reason to stop serving.
            if !std::mem::replace(&mut self.failure_logged, true) {
                warn!("the service manager can't be reached: {e}");
            }
        }
    }

    /// When the next watchdog notification is due; none if the service manager requests none.
    pub fn watchdog_due(&self) -> Option<f64> {
        self.watchdog_interval.map(|_| self.next_watchdog)
    }

    /// Sends the watchdog notification if it is due.
    pub fn send_watchdog_if_due(&mut self, now: f64) {
        if let Some(interval) = self.watchdog_interval.filter(|_| now >= self.next_watchdog) {
            self.next_watchdog = now + interval;
            self.send(Notification::Watchdog);
        }
    }
}
