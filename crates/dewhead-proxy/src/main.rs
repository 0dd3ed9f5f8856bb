//! The `dewhead` proxy binary.

fn main() {
    std::process::exit(dewhead_proxy::lifecycle::run());
}
