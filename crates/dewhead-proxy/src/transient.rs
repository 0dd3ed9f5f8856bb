//! Errors of system calls that pass by themselves: the machine is short of something, or a signal came.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// At the start a call that fails for a moment is made again after this, so many times.
const PAUSE: Duration = Duration::from_millis(20);
const TRIES: u32 = 50;

/// Whether the error tells of this machine's want of something, not of what the call was about.
pub fn is_transient(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(
        errno,
        Some(
            Errno::INTR
                | Errno::AGAIN
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::ADDRNOTAVAIL
        )
    )
}

/// Whether a file or an address may be had a moment later: another process is about to leave it, or a disk failed once.
fn may_pass(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    is_transient(error) || matches!(errno, Some(Errno::IO | Errno::ADDRINUSE))
}

/// Makes a call that the process can't start without, for up to a second while it fails in a way that may pass. Blocks.
///
/// # Errors
///
/// The call's last one.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..TRIES {
        match call() {
            Err(error) if may_pass(&error) => std::thread::sleep(PAUSE),
            other => return other,
        }
    }
    call()
}
