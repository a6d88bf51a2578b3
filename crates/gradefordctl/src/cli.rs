//! Parsing of the command line.

use std::fs;
use std::io;

use model::validation::is_valid_name;
use pico_args::Arguments;
use serde_json::{Value, json};
use thiserror::Error;

use crate::core_client::CoreClient;

/// Error in the command line, as text for the user.
#[derive(Debug, Error)]
#[error("{0}")]
pub(crate) struct UsageError(String);

impl From<pico_args::Error> for UsageError {
    fn from(error: pico_args::Error) -> UsageError {
        UsageError(error.to_string())
    }
}

/// Command that the program carries out.
pub(crate) enum Command {
    /// Print the answer of a replica to `GET` of this path.
    Get {
        /// Path with its leading slash.
        path: String,
    },
    /// Send a change.
    Change {
        /// Id of the change, if given as a flag.
        id: Option<String>,
        /// Version that the change is based on, if given as a flag.
        base_version: Option<u64>,
        /// The change as JSON, which may also contain `id` and `base`.
        change: Value,
    },
    /// Replace the disk of a member by another one.
    ReplaceDisk {
        /// Replica number of the member.
        replica_id: u16,
        /// Identity of the new disk in hexadecimal.
        new_disk: String,
    },
    /// Compare the states of two processes.
    Compare {
        /// Peer address of the first process.
        first: String,
        /// Peer address of the second process.
        second: String,
    },
}

/// Parses the command line and reads the files that it names.
pub(crate) fn parse(mut arguments: Arguments) -> Result<(CoreClient, Command), UsageError> {
    let cores: Option<String> = arguments.opt_value_from_str("--core")?;
    let id: Option<String> = arguments.opt_value_from_str("--id")?;
    let base_version: Option<u64> = arguments.opt_value_from_str("--base")?;
    let name = arguments.subcommand()?;
    let name = name.ok_or_else(|| UsageError("a command is missing".into()))?;
    let operands: Vec<String> = arguments
        .finish()
        .into_iter()
        .map(|operand| operand.to_string_lossy().into_owned())
        .collect();
    if let Some(flag) = operands.iter().find(|operand| operand.starts_with("--")) {
        return Err(UsageError(format!("{flag} is not a flag of gradefordctl")));
    }
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    let command = parse_command(&name, &operands, id, base_version)?;
    let cores: Vec<String> = cores
        .unwrap_or_default()
        .split(',')
        .filter(|core| !core.is_empty())
        .map(str::to_string)
        .collect();
    if cores.is_empty() && !matches!(command, Command::Compare { .. }) {
        return Err(UsageError(
            "--core names at least one operators' address".into(),
        ));
    }
    let client = CoreClient::new(cores).map_err(|error| UsageError(error.to_string()))?;
    Ok((client, command))
}

fn parse_command(
    name: &str,
    operands: &[&str],
    id: Option<String>,
    base_version: Option<u64>,
) -> Result<Command, UsageError> {
    let change = |change| Command::Change {
        id,
        base_version,
        change,
    };
    Ok(match (name, operands) {
        ("get", []) => Command::Get {
            path: "/v1/desired".into(),
        },
        ("get", [kind, item]) => Command::Get {
            path: format!("/v1/{}s/{}", item_kind(kind)?, checked_name(item)?),
        },
        ("standing", []) => Command::Get {
            path: "/v1/standing".into(),
        },
        ("status", []) => Command::Get {
            path: "/v1/status".into(),
        },
        ("replace-seat", [replica, disk]) => Command::ReplaceDisk {
            replica_id: replica
                .parse()
                .map_err(|_| UsageError(format!("{replica:?} is not a seat number")))?,
            new_disk: disk.to_string(),
        },
        ("compare", [first, second]) => Command::Compare {
            first: first.to_string(),
            second: second.to_string(),
        },
        ("apply", [file]) => change(read_json_file(file)?),
        ("edit", [kind, item, file]) => change(put_change(kind, item, file)?),
        ("delete", [kind, item]) => change(drop_change(kind, item)?),
        (
            "get" | "standing" | "status" | "compare" | "apply" | "edit" | "delete"
            | "replace-seat",
            _,
        ) => {
            return Err(UsageError(format!("wrong arguments for {name}")));
        }
        _ => return Err(UsageError(format!("there is no command {name:?}"))),
    })
}

/// Builds a change that creates or replaces one item with the content of a JSON file.
fn put_change(kind: &str, item: &str, file: &str) -> Result<Value, UsageError> {
    let kind = item_kind(kind)?;
    let item = checked_name(item)?;
    let edit = json!({ format!("put_{kind}"): { "name": item, kind: read_json_file(file)? } });
    Ok(json!({ "edits": [edit] }))
}

/// Builds a change that deletes one item.
fn drop_change(kind: &str, item: &str) -> Result<Value, UsageError> {
    let kind = item_kind(kind)?;
    let edit = json!({ format!("drop_{kind}"): { "name": checked_name(item)? } });
    Ok(json!({ "edits": [edit] }))
}

/// Checks the name of an item kind, which is part of paths and of the names of edits.
fn item_kind(kind: &str) -> Result<&str, UsageError> {
    match kind {
        "grouping" | "order" => Ok(kind),
        _ => Err(UsageError(format!(
            "{kind:?} is neither grouping nor order"
        ))),
    }
}

fn checked_name(name: &str) -> Result<&str, UsageError> {
    if is_valid_name(name) {
        return Ok(name);
    }
    Err(UsageError(format!(
        "{name:?} is not 1 to 63 of a-z, 0-9 and '-'"
    )))
}

/// Reads JSON from a file, or from standard input if the file name is `-`.
fn read_json_file(file: &str) -> Result<Value, UsageError> {
    let text = match file {
        "-" => io::read_to_string(io::stdin()),
        file => fs::read_to_string(file),
    };
    let text = text.map_err(|error| UsageError(format!("{file}: {error}")))?;
    serde_json::from_str(&text).map_err(|error| UsageError(format!("{file}: {error}")))
}
