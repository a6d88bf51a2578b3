//! The command-line client for operators (docs/operators/gradefordctl.md).

#![deny(missing_docs)]

mod cli;
mod commands;
mod compare;
mod core_client;
mod exit;

use std::process;

use pico_args::Arguments;
use tokio::runtime::Builder;

const HELP: &str = "\
gradefordctl: read and change what gradeford is told to do

usage: gradefordctl --core ADDRESS[,ADDRESS...] COMMAND

  get                            the whole desired state, with its version
  get grouping|order NAME        one of them
  apply FILE                     one atomic change: {\"edits\": [...]}, also \"id\" and \"base\"
  edit grouping|order NAME FILE  put one from a JSON file ('-' reads standard input)
  delete grouping|order NAME     take one away
  standing                       back ends, nodes and key terms
  status                         of the first core seat that answers
  replace-seat SEAT DISK         another disk, as its /v1/status names it, takes a core seat over
  compare MATE MATE              what two nodes believe, by their mates' addresses

  --core ADDRESSES  operators' addresses of core seats, tried in turn
  --id ID           the change's own name; sending it again is harmless
  --base VERSION    the version the change was made from; without it, the current one
  --help, --version

Answers are JSON on standard output. Exit codes: 0 done (compare: alike), 1 refused (compare:
they differ), 2 wrong usage, 3 no core seat answered, 4 not known whether the change took effect.
";

fn main() {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        return print!("{HELP}");
    }
    if arguments.contains("--version") {
        return println!("gradefordctl {}", env!("CARGO_PKG_VERSION"));
    }
    let exit_code = match cli::parse(arguments) {
        Ok((client, command)) => match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime.block_on(commands::run(&client, command)),
            Err(_) => exit::UNREACHABLE,
        },
        Err(error) => {
            eprintln!("gradefordctl: {error}\ngradefordctl: see gradefordctl --help");
            exit::USAGE
        }
    };
    process::exit(exit_code);
}
