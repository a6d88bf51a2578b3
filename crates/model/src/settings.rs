//! Settings of a daemon: read from a TOML file and overridden by flags. All faults are reported at
//! once (design 10.1).

use std::net::SocketAddr;
use std::{fs, process};

use pico_args::Arguments;
use serde::de::DeserializeOwned;
use validator::{Validate, ValidationError};

use crate::validation::{self, Fault};

/// The exit code of a daemon with invalid flags or settings.
pub const USAGE_EXIT_CODE: i32 = 2;

/// Settings that are always text, even if the value looks like a number: a zone may be named 1.
const TEXT_SETTINGS: [&str; 7] = [
    "name",
    "zone",
    "mates_address",
    "operators_address",
    "advertised_address",
    "local_address",
    "folder",
];

/// The parsed command line of a daemon.
pub struct CommandLine {
    /// Settings given as flags; they override the file.
    pub overrides: toml::Table,
    /// Whether to only check the settings (`--check`).
    pub check_only: bool,
    /// The path of the settings file (`--config`).
    pub config_file: Option<String>,
}

/// Parses `--config FILE`, `--check`, and one `--NAME VALUE` for each setting in `settings`.
///
/// # Errors
///
/// Returns a fault for each flag that is unknown or lacks its value.
pub fn parse_command_line(
    mut arguments: Arguments,
    settings: &[&'static str],
) -> Result<CommandLine, Vec<Fault>> {
    let config_file: Option<String> = arguments
        .opt_value_from_str("--config")
        .map_err(|error| vec![fault("--config", error)])?;
    let check_only = arguments.contains("--check");
    let mut overrides = toml::Table::new();
    let mut faults = Vec::new();
    for setting in settings {
        // The parser requires static names; a few dozen are leaked once per process.
        let flag: &'static str =
            Box::leak(format!("--{}", setting.replace('_', "-")).into_boxed_str());
        match arguments.opt_value_from_str::<_, String>(flag) {
            Ok(Some(text)) => {
                overrides.insert(setting.to_string(), parse_value(setting, &text));
            }
            Ok(None) => {}
            Err(error) => faults.push(fault(flag, error)),
        }
    }
    let unknown = arguments.finish();
    faults.extend(
        unknown
            .iter()
            .map(|flag| fault(&flag.to_string_lossy(), "is not a flag of this program")),
    );
    if faults.is_empty() {
        Ok(CommandLine {
            overrides,
            check_only,
            config_file,
        })
    } else {
        Err(faults)
    }
}

fn fault(path: &str, message: impl ToString) -> Fault {
    Fault {
        path: path.into(),
        message: message.to_string(),
    }
}

/// Parses the value of a flag: a list for `seeds`, text for names and addresses, and otherwise an
/// integer, a boolean or text.
fn parse_value(setting: &str, text: &str) -> toml::Value {
    if setting == "seeds" {
        let addresses = text.split(',').filter(|part| !part.is_empty());
        return toml::Value::Array(addresses.map(|part| part.to_string().into()).collect());
    }
    if TEXT_SETTINGS.contains(&setting) {
        return toml::Value::String(text.into());
    }
    text.parse::<i64>()
        .map(toml::Value::Integer)
        .or_else(|_| text.parse::<bool>().map(toml::Value::Boolean))
        .unwrap_or_else(|_| toml::Value::String(text.into()))
}

/// Loads the settings from the file and the flags and validates them.
///
/// # Errors
///
/// Returns a fault if the file cannot be read or parsed, or one for each setting that is out of
/// range.
pub fn load_settings<T: DeserializeOwned + Validate>(
    command_line: &CommandLine,
) -> Result<T, Vec<Fault>> {
    let text = match &command_line.config_file {
        Some(file) => fs::read_to_string(file).map_err(|error| vec![fault(file, error)])?,
        None => String::new(),
    };
    let parsed = text.parse::<toml::Table>();
    let mut table = parsed.map_err(|error| vec![fault("config", error.message())])?;
    table.extend(command_line.overrides.clone());
    let settings: T = toml::Value::Table(table)
        .try_into()
        .map_err(|error| vec![fault("config", one_line(&error))])?;
    match settings.validate() {
        Ok(()) => Ok(settings),
        Err(errors) => Err(validation::faults_from_errors("config", &errors)),
    }
}

fn one_line(error: &toml::de::Error) -> String {
    error.to_string().trim().replace('\n', " ")
}

/// Prints each fault as a line on standard error.
pub fn print_faults(program: &str, faults: &[Fault]) {
    for fault in faults {
        eprintln!("{program}: {}: {}", fault.path, fault.message);
    }
}

/// Validates that a text is an IP address and port.
///
/// # Errors
///
/// Returns an error that describes the expected form.
pub fn validate_address(text: &str) -> Result<(), ValidationError> {
    let parsed = text.parse::<SocketAddr>();
    parsed.map(|_| ()).map_err(|_| {
        ValidationError::new("address")
            .with_message("is an IP number and port, as in 127.0.0.1:7000".into())
    })
}

/// Validates that every text in a list is an IP address and port.
///
/// # Errors
///
/// Returns an error that describes the expected form if any text is invalid.
pub fn validate_addresses(list: &[String]) -> Result<(), ValidationError> {
    list.iter().try_for_each(|text| validate_address(text))
}

/// Validates the name of a log level.
///
/// # Errors
///
/// Returns an error that lists the valid names.
pub fn validate_log_level(text: &str) -> Result<(), ValidationError> {
    let parsed = text.parse::<slog::Level>();
    parsed.map(|_| ()).map_err(|()| {
        ValidationError::new("level")
            .with_message("is critical, error, warning, info, debug or trace".into())
    })
}

/// Handles `--help`, `--version` and `--check` and loads the settings, as every daemon does on
/// startup.
///
/// Returns `None` if the program should exit because one of these flags was handled. On invalid
/// flags or settings it prints the faults and ends the process with [`USAGE_EXIT_CODE`].
pub fn load_settings_or_exit<T: DeserializeOwned + Validate>(
    program: &str,
    help: &str,
    names: &[&'static str],
) -> Option<(CommandLine, T)> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{help}");
        return None;
    }
    if arguments.contains("--version") {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return None;
    }
    let loaded = parse_command_line(arguments, names).and_then(|command_line| {
        load_settings(&command_line).map(|settings| (command_line, settings))
    });
    let (command_line, settings) = loaded.unwrap_or_else(|faults| {
        print_faults(program, &faults);
        process::exit(USAGE_EXIT_CODE)
    });
    if command_line.check_only {
        println!("{program}: the settings are fine");
        return None;
    }
    Some((command_line, settings))
}
