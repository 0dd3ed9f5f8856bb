//! The `dewhead-lab` command.

fn main() {
    std::process::exit(dewhead_lab::commands::run_command_line());
}
