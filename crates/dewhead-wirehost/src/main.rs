//! Adapter between the simulator's wire, on standard input and output, and many balancers. It only translates: each
//! event becomes a method call on a balancer, and no decision is made here.

mod actions;
mod host;

use std::io::{self, BufRead, Write};

fn main() {
    let mut host = host::Host::default();
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut line = Vec::new();
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return,
            Ok(_) if line.iter().all(u8::is_ascii_whitespace) => continue,
            Ok(_) => {}
            Err(error) => fail(&format!("standard input: {error}")),
        }
        match host.batch(&line) {
            Ok(reply) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    fail("standard output is closed");
                }
            }
            Err(message) => fail(&message),
        }
    }
}

/// Prints an error and exits with status 1.
fn fail(message: &str) -> ! {
    eprintln!("dewhead-wirehost: {message}");
    std::process::exit(1)
}
