//! Rehearsals for gradeford. Test-only: the one program here that starts others.

const HELP: &str = "\
rehearsal: tries gradeford on one machine

usage: rehearsal run SITE [--seconds N] [--seed N] [--spoil N] [--folder DIR]
       rehearsal understudy --name N --service S --zone Z ...

  SITE      swanreach, kurasa or small
  --ushers  flags for every usher, in one word, for paired runs
  --changes operators' changes to make and time (default 10)
  --spoil   of a thousand back-end replies, how many are spoilt (default 5)
exit codes: 0 every invariant held, 1 one was broken or the run failed, 2 wrong usage
";

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        return print!("{HELP}");
    }
    let runtime = tokio::runtime::Runtime::new();
    let ended = runtime.map_err(|error| error.to_string()).and_then(|runtime| match arguments.subcommand() {
        Ok(Some(word)) if word == "run" => runtime.block_on(perform(arguments)),
        Ok(Some(word)) if word == "understudy" => runtime.block_on(understudy(arguments)),
        _ => {
            eprint!("{HELP}");
            std::process::exit(2)
        }
    });
    if let Err(trouble) = ended {
        eprintln!("rehearsal: {trouble}");
        std::process::exit(1);
    }
}

fn usage<T>(read: Result<T, pico_args::Error>) -> T {
    read.unwrap_or_else(|error| {
        eprintln!("rehearsal: {error}");
        std::process::exit(2)
    })
}

async fn perform(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let seconds = usage(arguments.opt_value_from_str("--seconds")).unwrap_or(30);
    let seed = usage(arguments.opt_value_from_str("--seed")).unwrap_or(1);
    let spoil = usage(arguments.opt_value_from_str("--spoil")).unwrap_or(5);
    let folder: Option<std::path::PathBuf> = usage(arguments.opt_value_from_str("--folder"));
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(format!("gradeford-rehearsal-{}", std::process::id())));
    let usher_flags: Option<String> = usage(arguments.opt_value_from_str("--ushers"));
    let usher_flags = usher_flags.unwrap_or_default().split_whitespace().map(str::to_string).collect();
    let changes = usage(arguments.opt_value_from_str("--changes")).unwrap_or(10);
    let site: String = usage(arguments.free_from_str());
    let report = rehearsal::run::run(rehearsal::run::Plan { site, seconds, seed, spoil, folder, usher_flags, changes }).await?;
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    if report.held() { Ok(()) } else { Err("an invariant was broken".into()) }
}

async fn understudy(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let sends: String = usage(arguments.value_from_str("--sends"));
    let part = rehearsal::understudy::Part {
        name: usage(arguments.value_from_str("--name")),
        service: usage(arguments.value_from_str("--service")),
        zone: usage(arguments.value_from_str("--zone")),
        slots: usage(arguments.value_from_str("--slots")),
        usher: usage(arguments.value_from_str("--usher")),
        listen: usage(arguments.value_from_str("--listen")),
        history: usage(arguments.value_from_str("--history")),
        work_us: usage(arguments.value_from_str("--work")),
        spoil: usage(arguments.value_from_str("--spoil")),
        seed: usage(arguments.value_from_str("--seed")),
        rate: usage(arguments.value_from_str("--rate")),
        sends: serde_json::from_str(&sends).map_err(|error| error.to_string())?,
    };
    rehearsal::understudy::run(part).await
}
