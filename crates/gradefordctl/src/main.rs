//! The operators' command line (docs/operators/gradefordctl.md).

mod commands;
mod compare;
mod core_client;

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
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        return print!("{HELP}");
    }
    if arguments.contains("--version") {
        return println!("gradefordctl {}", env!("CARGO_PKG_VERSION"));
    }
    let code = match commands::parse(arguments) {
        Ok((office, command)) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map(|runtime| runtime.block_on(commands::run(office, command)))
            .unwrap_or(commands::EXIT_UNREACHABLE),
        Err(fault) => {
            eprintln!("gradefordctl: {fault}\ngradefordctl: see gradefordctl --help");
            commands::EXIT_USAGE
        }
    };
    std::process::exit(code);
}
