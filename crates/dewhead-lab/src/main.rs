//! The `dewhead-lab` command.

fn main() {
    std::process::exit(dewhead_lab::commands::carry_out());
}
