//! The command line.

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

/// Experiments on dewhead proxies in a world of the project's own.
#[derive(FromArgs)]
struct Line {
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

/// Runs the program; what it returns is the exit code.
pub fn run_command_line() -> i32 {
    let line: Line = argh::from_env();
    let outcome = match line.command {
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
        Err(fault) => {
            eprintln!("dewhead-lab: {fault}");
            1
        }
    }
}
