//! The command line of `dewhead-lab` and its sub-commands.

mod capacity;
mod compare;
mod demo;
mod hunt;
mod replay;
mod report;
mod run;
mod scale;
mod soak;
mod stub_proxies;
mod table;
mod trouble_kinds;

use argh::FromArgs;

/// Run experiments on dewhead proxies with modelled clients, servers and troubles.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(run::Run),
    Compare(compare::Compare),
    Demo(demo::Demo),
    Replay(replay::Replay),
    Table(table::Table),
    TroubleKinds(trouble_kinds::TroubleKinds),
    Report(report::Report),
    Hunt(hunt::Hunt),
    Scale(scale::Scale),
    Soak(soak::Soak),
    Capacity(capacity::Capacity),
    StubProxies(stub_proxies::StubProxies),
}

/// Runs the sub-command given on the command line. Returns the exit code: 0 for success, 2 if a command found a
/// violation or, for `scale`, if the cost models don't predict the largest run, 1 for an error.
pub fn run_command_line() -> i32 {
    let command_line: CommandLine = argh::from_env();
    let outcome = match command_line.command {
        Command::Run(run) => run.execute(),
        Command::Compare(compare) => compare.execute(),
        Command::Demo(demo) => demo.execute(),
        Command::Replay(replay) => replay.execute(),
        Command::Table(table) => table.execute(),
        Command::TroubleKinds(trouble_kinds) => trouble_kinds.execute(),
        Command::Report(report) => report.execute(),
        Command::Hunt(hunt) => hunt.execute(),
        Command::Soak(soak) => soak.execute(),
        Command::Scale(scale) => scale.execute(),
        Command::Capacity(capacity) => capacity.execute(),
        Command::StubProxies(stub_proxies) => stub_proxies.execute(),
    };
    match outcome {
        Ok(true) => 0,
        Ok(false) => 2,
        Err(error) => {
            eprintln!("dewhead-lab: {error}");
            1
        }
    }
}
