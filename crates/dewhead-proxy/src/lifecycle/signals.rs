//! Signals: a flag tells that one has come, and a byte on a socket wakes the loop.
//!
//! The byte alone is not enough: the handler's write may fail, for want of memory or as another signal comes, and there is
//! nobody to try it again. The flag is looked at in each turn, and the signal itself ends the wait that it comes in.

use crate::transient::retry_transient;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Whether signals of one kind have come since it was last asked.
#[derive(Clone, Default)]
pub struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    /// Signals that came close together are one.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}

/// What signals ask for.
pub struct SignalFlags {
    /// To end: SIGTERM and SIGINT.
    pub stop: SignalFlag,
    /// To read the configuration again: SIGHUP.
    pub reload: SignalFlag,
}

/// The signals that the process is told things by.
pub struct Signals {
    pub flags: SignalFlags,
    /// Where a byte comes for each.
    pub stop_wakeup: UnixStream,
    pub reload_wakeup: UnixStream,
}

impl Signals {
    /// Listens for them from now on. Before that one ends the process.
    ///
    /// # Errors
    ///
    /// No handler or socket is to be had.
    pub fn register() -> Result<Signals, String> {
        let (stop, stop_wakeup) = listen_for(&[SIGTERM, SIGINT])?;
        let (reload, reload_wakeup) = listen_for(&[SIGHUP])?;
        Ok(Signals { flags: SignalFlags { stop, reload }, stop_wakeup, reload_wakeup })
    }
}

fn listen_for(signals: &[i32]) -> Result<(SignalFlag, UnixStream), String> {
    let fault = |e| format!("signals: {e}");
    let flag = SignalFlag::default();
    let (bytes, sender) = retry_transient(UnixStream::pair).map_err(fault)?;
    for signal in signals {
        let sender = retry_transient(|| sender.try_clone()).map_err(fault)?;
        // Handlers run in this order, so that a byte is never there before its flag.
        signal_hook::flag::register(*signal, flag.0.clone()).map_err(fault)?;
        signal_hook::low_level::pipe::register(*signal, sender).map_err(fault)?;
    }
    Ok((flag, bytes))
}
