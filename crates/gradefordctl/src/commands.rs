//! Execution of the commands.

use serde_json::{Value, json};

use crate::cli::Command;
use crate::core_client::{Answer, CoreClient};
use crate::{compare, exit};

/// Executes the command, prints the answer and returns the exit code.
pub(crate) async fn run(client: &CoreClient, command: Command) -> i32 {
    match command {
        Command::Get { path } => print_answer(client.get(&path).await),
        Command::Change {
            id,
            base_version,
            change,
        } => send_change(client, id, base_version, change).await,
        Command::ReplaceDisk {
            replica_id,
            new_disk,
        } => replace_disk(client, replica_id, new_disk).await,
        Command::Compare { first, second } => compare::run(&first, &second).await,
    }
}

/// Sends a change. If neither the flags nor the file give them, the id is generated and the base
/// version is the current one.
async fn send_change(
    client: &CoreClient,
    id: Option<String>,
    base_version: Option<u64>,
    mut change: Value,
) -> i32 {
    let Some(fields) = change.as_object_mut() else {
        eprintln!("gradefordctl: a change is a JSON object with \"edits\"");
        return exit::USAGE;
    };
    match id {
        Some(id) => {
            fields.insert("id".into(), id.into());
        }
        None if !fields.contains_key("id") => {
            let id = format!("gradefordctl-{}", model::incarnation::draw());
            fields.insert("id".into(), id.into());
        }
        None => {}
    }
    let base_version = base_version
        .map(Value::from)
        .or_else(|| fields.get("base").cloned());
    let base_version = match base_version {
        Some(base_version) => base_version,
        None => match client.get("/v1/desired").await {
            Some(Answer { status: 200, body }) => body["version"].clone(),
            answer => return print_answer(answer),
        },
    };
    fields.insert("base".into(), base_version);
    print_answer(client.post("/v1/changes", &change).await)
}

/// Replaces the disk that the core currently has as the member.
async fn replace_disk(client: &CoreClient, replica_id: u16, new_disk: String) -> i32 {
    let status = match client.get("/v1/status").await {
        Some(Answer { status: 200, body }) => body,
        answer => return print_answer(answer),
    };
    let old_disk = &status["holders"][replica_id.to_string()];
    let replacement = json!({ "seat": replica_id, "from": old_disk, "to": new_disk });
    print_answer(client.post("/v1/seats", &replacement).await)
}

fn print_answer(answer: Option<Answer>) -> i32 {
    let Some(Answer { status, body }) = answer else {
        eprintln!("gradefordctl: no core seat answered");
        return exit::UNREACHABLE;
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&body).unwrap_or_default()
    );
    match status {
        200..300 => exit::DONE,
        503 if body["verdict"] == "may-have-run" => exit::UNKNOWN,
        500.. => exit::UNREACHABLE,
        _ => exit::REFUSED,
    }
}
