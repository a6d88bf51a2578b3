//! Each command, from its words to its exit code.

pub const EXIT_DONE: i32 = 0;
pub const EXIT_REFUSED: i32 = 1;
pub const EXIT_USAGE: i32 = 2;
pub const EXIT_UNREACHABLE: i32 = 3;
pub const EXIT_UNKNOWN: i32 = 4;

pub enum Command {
    Get(String),
    Change {
        id: Option<String>,
        base: Option<u64>,
        body: serde_json::Value,
    },
    Replace(u16, String),
    Compare(String, String),
}

type ItemKind = &'static str;

pub fn parse(
    mut arguments: pico_args::Arguments,
) -> Result<(Option<crate::core_client::CoreClient>, Command), String> {
    let cores: Option<String> = arguments
        .opt_value_from_str("--core")
        .map_err(|error| error.to_string())?;
    let id: Option<String> = arguments
        .opt_value_from_str("--id")
        .map_err(|error| error.to_string())?;
    let base: Option<u64> = arguments
        .opt_value_from_str("--base")
        .map_err(|error| error.to_string())?;
    let word: String = arguments
        .subcommand()
        .map_err(|error| error.to_string())?
        .ok_or("a command is missing")?;
    let rest: Vec<String> = arguments
        .finish()
        .into_iter()
        .map(|part| part.to_string_lossy().into_owned())
        .collect();
    if let Some(flag) = rest.iter().find(|part| part.starts_with("--")) {
        return Err(format!("{flag} is not a flag of gradefordctl"));
    }
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    let command = match (word.as_str(), rest.as_slice()) {
        ("get", []) => Command::Get("/v1/desired".into()),
        ("get", [kind, name]) => {
            Command::Get(format!("/v1/{}s/{}", item_kind(kind)?, checked_name(name)?))
        }
        ("standing", []) => Command::Get("/v1/standing".into()),
        ("status", []) => Command::Get("/v1/status".into()),
        ("replace-seat", [seat, disk]) => Command::Replace(
            seat.parse().map_err(|_| format!("{seat:?} is no seat"))?,
            disk.to_string(),
        ),
        ("compare", [one, two]) => Command::Compare(one.to_string(), two.to_string()),
        ("apply", [file]) => Command::Change {
            id,
            base,
            body: read_json_file(file)?,
        },
        ("edit", [kind, name, file]) => {
            let kind = item_kind(kind)?;
            let edit = serde_json::json!({ format!("put_{kind}"): { "name": checked_name(name)?, kind: read_json_file(file)? } });
            Command::Change {
                id,
                base,
                body: serde_json::json!({ "edits": [edit] }),
            }
        }
        ("delete", [kind, name]) => {
            let edit = serde_json::json!({ format!("drop_{}", item_kind(kind)?): { "name": checked_name(name)? } });
            Command::Change {
                id,
                base,
                body: serde_json::json!({ "edits": [edit] }),
            }
        }
        (
            "get" | "standing" | "status" | "compare" | "apply" | "edit" | "delete"
            | "replace-seat",
            _,
        ) => {
            return Err(format!("{word} is given other words than it takes"));
        }
        _ => return Err(format!("there is no command {word:?}")),
    };
    let cores: Vec<String> = cores
        .unwrap_or_default()
        .split(',')
        .filter(|core| !core.is_empty())
        .map(str::to_string)
        .collect();
    if cores.is_empty() && !matches!(command, Command::Compare(..)) {
        return Err("--core names at least one operators' address".into());
    }
    Ok((Some(crate::core_client::CoreClient::new(cores)?), command))
}

fn item_kind(word: &str) -> Result<ItemKind, String> {
    match word {
        "grouping" => Ok("grouping"),
        "order" => Ok("order"),
        _ => Err(format!("{word:?} is neither grouping nor order")),
    }
}

fn checked_name(name: &str) -> Result<&str, String> {
    model::validation::is_valid_name(name)
        .then_some(name)
        .ok_or_else(|| format!("{name:?} is not 1 to 63 of a-z, 0-9 and '-'"))
}

fn read_json_file(file: &str) -> Result<serde_json::Value, String> {
    let text = match file {
        "-" => std::io::read_to_string(std::io::stdin()),
        file => std::fs::read_to_string(file),
    };
    let text = text.map_err(|error| format!("{file}: {error}"))?;
    serde_json::from_str(&text).map_err(|error| format!("{file}: {error}"))
}

pub async fn run(office: Option<crate::core_client::CoreClient>, command: Command) -> i32 {
    let Some(office) = office else {
        return EXIT_USAGE;
    };
    match command {
        Command::Get(path) => print_answer(office.get(&path).await),
        Command::Change { id, base, body } => change(&office, id, base, body).await,
        Command::Replace(seat, disk) => replace_disk(&office, seat, disk).await,
        Command::Compare(one, two) => crate::compare::run(&one, &two).await,
    }
}

async fn change(
    office: &crate::core_client::CoreClient,
    id: Option<String>,
    base: Option<u64>,
    mut body: serde_json::Value,
) -> i32 {
    let Some(change) = body.as_object_mut() else {
        eprintln!("gradefordctl: a change is a JSON object with \"edits\"");
        return EXIT_USAGE;
    };
    if let Some(id) = id.map(serde_json::Value::from).or_else(|| {
        (!change.contains_key("id"))
            .then(|| format!("gradefordctl-{}", model::incarnation::draw()).into())
    }) {
        change.insert("id".into(), id);
    }
    let given = base
        .map(serde_json::Value::from)
        .or_else(|| change.get("base").cloned());
    let base = match given {
        Some(base) => base,
        None => match office.get("/v1/desired").await {
            Some((200, state)) => state["version"].clone(),
            answer => return print_answer(answer),
        },
    };
    change.insert("base".into(), base);
    print_answer(office.post("/v1/changes", &body).await)
}

/// The disk that is to go is the one the core now says holds the seat.
async fn replace_disk(office: &crate::core_client::CoreClient, seat: u16, disk: String) -> i32 {
    let status = match office.get("/v1/status").await {
        Some((200, status)) => status,
        answer => return print_answer(answer),
    };
    let from = status["holders"][seat.to_string()].clone();
    print_answer(
        office
            .post(
                "/v1/seats",
                &serde_json::json!({ "seat": seat, "from": from, "to": disk }),
            )
            .await,
    )
}

fn print_answer(answer: Option<crate::core_client::Answer>) -> i32 {
    let Some((status, answer)) = answer else {
        eprintln!("gradefordctl: no core seat answered");
        return EXIT_UNREACHABLE;
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&answer).unwrap_or_default()
    );
    match status {
        200..300 => EXIT_DONE,
        503 if answer["verdict"] == "may-have-run" => EXIT_UNKNOWN,
        500.. => EXIT_UNREACHABLE,
        _ => EXIT_REFUSED,
    }
}
