//! Signal handling: each handler sets a flag and writes a byte to a socket that wakes the event loop.
//!
//! The byte alone is not enough: the handler's write may fail, for lack of memory or because another signal arrives,
//! and nothing retries it. The loop therefore checks the flag in every iteration, and the signal itself interrupts the
//! wait during which it arrives.

use crate::transient::retry_transient;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Set by the handler when a signal of one kind arrives.
#[derive(Clone, Default)]
pub struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    /// Returns the flag and clears it. Several signals since the last call count as one.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}

/// The flags of all signals that are handled.
pub struct SignalFlags {
    /// Stop the process: SIGTERM and SIGINT.
    pub stop: SignalFlag,
    /// Read the configuration again: SIGHUP.
    pub reload: SignalFlag,
}

/// The registered handlers: their flags, and the sockets that wake the event loop.
pub struct Signals {
    /// The flags that the handlers set.
    pub flags: SignalFlags,
    /// Receives a byte for each SIGTERM and SIGINT.
    pub stop_wakeup: UnixStream,
    /// Receives a byte for each SIGHUP.
    pub reload_wakeup: UnixStream,
}

impl Signals {
    /// Registers the handlers. Until then these signals have their default action, which ends the process.
    ///
    /// # Errors
    ///
    /// A handler can't be registered, or a socket can't be created.
    pub fn register() -> Result<Signals, String> {
        let (stop, stop_wakeup) = register_handlers(&[SIGTERM, SIGINT])?;
        let (reload, reload_wakeup) = register_handlers(&[SIGHUP])?;
        Ok(Signals { flags: SignalFlags { stop, reload }, stop_wakeup, reload_wakeup })
    }
}

fn register_handlers(signals: &[i32]) -> Result<(SignalFlag, UnixStream), String> {
    let error_text = |e| format!("signals: {e}");
    let flag = SignalFlag::default();
    let (wakeup, sender) = retry_transient(UnixStream::pair).map_err(error_text)?;
    for signal in signals {
        let sender = retry_transient(|| sender.try_clone()).map_err(error_text)?;
        // Handlers run in the order of registration, so the flag is always set before its byte arrives.
        signal_hook::flag::register(*signal, flag.0.clone()).map_err(error_text)?;
        signal_hook::low_level::pipe::register(*signal, sender).map_err(error_text)?;
    }
    Ok((flag, wakeup))
}
