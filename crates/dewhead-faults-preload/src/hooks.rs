//! Replacements for the C library's system call wrappers, which inject the faults of a [`Plan`].
//!
//! # Safety
//!
//! Each function has the signature and the contract of the wrapper it replaces, and passes its arguments on unchanged
//! or with a shorter length.

#![allow(clippy::missing_safety_doc)]

use dewhead_faults::plan::{Plan, ENVIRONMENT_VARIABLE};
use libc::{c_char, c_int, c_void, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Errors of `accept` that leave the listening socket usable, so that the caller should try again.
const ACCEPT_ERRORS: &[c_int] = &[
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::ECONNABORTED,
    libc::EINTR,
    libc::EPROTO,
    libc::ENETDOWN,
    libc::EHOSTUNREACH,
];
/// Errors of `socket` that mean a lack of descriptors or memory.
const SOCKET_ERRORS: &[c_int] = &[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// Errors of `connect` caused by this machine or by the network.
const CONNECT_ERRORS: &[c_int] =
    &[libc::EINTR, libc::EAGAIN, libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT];
/// Errors that may replace a reset of a connection: its packets were not acknowledged, or there is no route any more.
const RESET_REPLACEMENT_ERRORS: &[c_int] = &[libc::ETIMEDOUT, libc::EHOSTUNREACH];
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// The plan of this process, parsed once from its environment.
fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let variable = std::env::var(ENVIRONMENT_VARIABLE).unwrap_or_default();
        // A plan that can't be parsed means no faults: the parent process has already parsed it.
        variable.parse().unwrap_or_default()
    })
}

/// The next random number: splitmix64 over a counter that all threads share.
fn next_random() -> u64 {
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let count = COUNTER.fetch_add(1, Ordering::Relaxed) + 1;
    let mut mixed = plan().seed.wrapping_add(count.wrapping_mul(GAMMA));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Whether to inject a fault of this probability into the current call.
fn should_inject(probability: f64) -> bool {
    probability > 0.0 && (next_random() >> 11) as f64 / (1u64 << 53) as f64 <= probability
}

/// Sets `errno`.
fn set_error(error: c_int) {
    // SAFETY: the C library provides errno for every thread.
    unsafe { *libc::__errno_location() = error }
}

/// One of the errors, chosen at random.
fn random_error(errors: &[c_int]) -> c_int {
    errors[next_random() as usize % errors.len()]
}

/// Returns the result of a read or write; if it failed because of a reset, the error may be replaced by another.
fn replace_reset_error(result: ssize_t) -> ssize_t {
    // SAFETY: as in `set_error`.
    let was_reset = result < 0 && unsafe { *libc::__errno_location() } == libc::ECONNRESET;
    if was_reset && should_inject(plan().unreachable) {
        set_error(random_error(RESET_REPLACEMENT_ERRORS));
    }
    result
}

/// A random length from 1 to `length - 1`.
fn shorter_length(length: usize) -> usize {
    1 + next_random() as usize % (length - 1)
}

/// The C library's function of this name.
macro_rules! libc_function {
    ($name:literal, $kind:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name is that of a C library function with this signature.
        let address = *ADDRESS.get_or_init(|| unsafe {
            libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<c_char>()) as usize
        });
        // SAFETY: as above; the C library has the function, because the program that loads this library is linked
        // against it.
        unsafe { std::mem::transmute::<usize, $kind>(address) }
    }};
}

type SendFn = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type RecvFn = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type WritevFn = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type Accept4Fn = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type SocketFn = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type ConnectFn = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type EpollWaitFn = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
type Open64Fn = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
type ClockGettimeFn = unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int;

/// Sends; may fail with `EINTR` or send fewer bytes.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_inject(plan().interrupt) {
        set_error(libc::EINTR);
        return -1;
    }
    let cut = length > 1 && should_inject(plan().short);
    let length = if cut { shorter_length(length) } else { length };
    replace_reset_error(libc_function!("send", SendFn)(fd, bytes, length, flags))
}

/// Receives; may fail with `EINTR` or receive fewer bytes.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_inject(plan().interrupt) {
        set_error(libc::EINTR);
        return -1;
    }
    // Lines are short, so a random length below that of the buffer would rarely split one.
    const SHORT_READ_BYTES: size_t = 16;
    let cut = length > SHORT_READ_BYTES && should_inject(plan().short);
    let length = if cut { shorter_length(SHORT_READ_BYTES) } else { length };
    replace_reset_error(libc_function!("recv", RecvFn)(fd, bytes, length, flags))
}

/// Writes; may fail with `EINTR` or write only a part of the first buffer.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if should_inject(plan().interrupt) {
        set_error(libc::EINTR);
        return -1;
    }
    let first = if count > 0 { Some(*buffers) } else { None };
    let result = match first.filter(|buffer| buffer.iov_len > 1 && should_inject(plan().short)) {
        Some(buffer) => {
            let cut = iovec { iov_base: buffer.iov_base, iov_len: shorter_length(buffer.iov_len) };
            libc_function!("writev", WritevFn)(fd, &cut, 1)
        }
        None => libc_function!("writev", WritevFn)(fd, buffers, count),
    };
    replace_reset_error(result)
}

/// Accepts a connection; may fail with one of `ACCEPT_ERRORS`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if should_inject(plan().accept) {
        set_error(random_error(ACCEPT_ERRORS));
        return -1;
    }
    libc_function!("accept4", Accept4Fn)(fd, address, length, flags)
}

/// Creates a socket; for IPv4 it may fail with one of `SOCKET_ERRORS`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && should_inject(plan().socket) {
        set_error(random_error(SOCKET_ERRORS));
        return -1;
    }
    libc_function!("socket", SocketFn)(domain, kind, protocol)
}

/// Connects a socket; for IPv4 it may fail with one of `CONNECT_ERRORS`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let is_ipv4 = !address.is_null() && c_int::from((*address).sa_family) == libc::AF_INET;
    if !is_ipv4 || !should_inject(plan().connect) {
        return libc_function!("connect", ConnectFn)(fd, address, length);
    }
    let error = random_error(CONNECT_ERRORS);
    if error == libc::EINTR {
        // An interrupted connect continues in the background.
        libc_function!("connect", ConnectFn)(fd, address, length);
    }
    set_error(error);
    -1
}

/// Waits for events; may fail with `EINTR`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if should_inject(plan().interrupt) {
        set_error(libc::EINTR);
        return -1;
    }
    libc_function!("epoll_wait", EpollWaitFn)(fd, events, max_events, timeout)
}

/// Opens a file; opening one for reading may fail with `EIO`.
///
/// `open64` takes a mode only if the call may create a file; on Linux it is harmless to read one that was not passed.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let is_read_only = flags & libc::O_ACCMODE == libc::O_RDONLY;
    if is_read_only && should_inject(plan().open) {
        set_error(libc::EIO);
        return -1;
    }
    libc_function!("open64", Open64Fn)(path, flags, mode)
}

/// Reads a clock; from the time of the plan's step on, the wall clock is shifted by its size.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, now: *mut timespec) -> c_int {
    let result = libc_function!("clock_gettime", ClockGettimeFn)(clock, now);
    let step = plan().step;
    if result == 0 && clock == libc::CLOCK_REALTIME && step.by != 0.0 {
        let seconds = (*now).tv_sec as f64 + (*now).tv_nsec as f64 / NANOSECONDS_PER_SECOND;
        if seconds >= step.from {
            (*now).tv_sec += step.by as libc::time_t;
        }
    }
    result
}
