//! The command line.

mod capacity;
mod compare;
mod demo;
mod hollow;
mod hunt;
mod kinds;
mod replay;
mod report;
mod run;
mod scale;
mod soak;
mod table;

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
    Kinds(kinds::Kinds),
    Report(report::Report),
    Hunt(hunt::Hunt),
    Scale(scale::Scale),
    Soak(soak::Soak),
    Capacity(capacity::Capacity),
    Hollow(hollow::Hollow),
}

/// Runs the program; what it returns is the exit code.
pub fn carry_out() -> i32 {
    let line: Line = argh::from_env();
    let outcome = match line.command {
        Command::Run(run) => run.carry_out(),
        Command::Compare(compare) => compare.carry_out(),
        Command::Demo(demo) => demo.carry_out(),
        Command::Replay(replay) => replay.carry_out(),
        Command::Table(table) => table.carry_out(),
        Command::Kinds(kinds) => kinds.carry_out(),
        Command::Report(report) => report.carry_out(),
        Command::Hunt(hunt) => hunt.carry_out(),
        Command::Soak(soak) => soak.carry_out(),
        Command::Scale(scale) => scale.carry_out(),
        Command::Capacity(capacity) => capacity.carry_out(),
        Command::Hollow(hollow) => hollow.carry_out(),
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
