//! Settings from a file, overridden by flags, every fault named at once (design 10.1).

use crate::validation::Fault;
use std::net::SocketAddr;

pub const USAGE_EXIT_CODE: i32 = 2;

/// Flags common to the daemons.
pub struct CommandLine {
    pub overrides: toml::Table,
    pub check_only: bool,
    pub config_file: Option<String>,
}

/// Reads `--config FILE`, `--check`, and one `--NAME VALUE` for each setting named.
pub fn parse_command_line(
    mut arguments: pico_args::Arguments,
    settings: &[&'static str],
) -> Result<CommandLine, Vec<Fault>> {
    let fault = |path: &str, error: String| Fault {
        path: path.into(),
        message: error,
    };
    let file: Option<String> = arguments
        .opt_value_from_str("--config")
        .map_err(|error| vec![fault("--config", error.to_string())])?;
    let check = arguments.contains("--check");
    let mut values = toml::Table::new();
    let mut faults = Vec::new();
    settings.iter().for_each(|setting| {
        let flag: &'static str =
            Box::leak(format!("--{}", setting.replace('_', "-")).into_boxed_str());
        match arguments.opt_value_from_str::<_, String>(flag) {
            Ok(Some(text)) => {
                values.insert(setting.to_string(), parse_value(setting, &text));
            }
            Ok(None) => {}
            Err(error) => faults.push(fault(flag, error.to_string())),
        }
    });
    let unknown = arguments.finish().into_iter().map(|left| {
        fault(
            &left.to_string_lossy(),
            "is not a flag of this program".into(),
        )
    });
    faults.extend(unknown);
    if faults.is_empty() {
        Ok(CommandLine {
            overrides: values,
            check_only: check,
            config_file: file,
        })
    } else {
        Err(faults)
    }
}

/// Settings whose text stays text, though it may look like a number: a zone may well be called 1.
const TEXT_SETTINGS: [&str; 7] = [
    "name",
    "zone",
    "mates_address",
    "operators_address",
    "advertised_address",
    "local_address",
    "folder",
];

/// A flag's text is a list for seeds, plain text for names and places, else a number, a yes or no, or text.
fn parse_value(setting: &str, text: &str) -> toml::Value {
    if setting == "seeds" {
        return toml::Value::Array(
            text.split(',')
                .filter(|part| !part.is_empty())
                .map(|part| toml::Value::String(part.into()))
                .collect(),
        );
    }
    if TEXT_SETTINGS.contains(&setting) {
        return toml::Value::String(text.into());
    }
    text.parse::<i64>()
        .map(toml::Value::Integer)
        .or_else(|_| text.parse::<bool>().map(toml::Value::Boolean))
        .unwrap_or_else(|_| toml::Value::String(text.into()))
}

pub fn load_settings<T: serde::de::DeserializeOwned + validator::Validate>(
    flags: &CommandLine,
) -> Result<T, Vec<Fault>> {
    let fault = |path: &str, error: String| {
        vec![Fault {
            path: path.into(),
            message: error,
        }]
    };
    let text = match &flags.config_file {
        Some(file) => {
            std::fs::read_to_string(file).map_err(|error| fault(file, error.to_string()))?
        }
        None => String::new(),
    };
    let mut table: toml::Table = text
        .parse()
        .map_err(|error: toml::de::Error| fault("config", error.message().to_string()))?;
    table.extend(flags.overrides.clone());
    let settings: T = toml::Value::Table(table)
        .try_into()
        .map_err(|error: toml::de::Error| {
            fault("config", error.to_string().trim().replace('\n', " "))
        })?;
    match validator::Validate::validate(&settings) {
        Ok(()) => Ok(settings),
        Err(errors) => Err(crate::validation::faults_from_errors("config", &errors)),
    }
}

pub fn print_faults(program: &str, faults: &[Fault]) {
    faults
        .iter()
        .for_each(|fault| eprintln!("{program}: {}: {}", fault.path, fault.message));
}

pub fn is_address(text: &str) -> Result<(), validator::ValidationError> {
    text.parse::<SocketAddr>().map(|_| ()).map_err(|_| {
        validator::ValidationError::new("address")
            .with_message("is an IP number and port, as in 127.0.0.1:7000".into())
    })
}

pub fn are_addresses(list: &[String]) -> Result<(), validator::ValidationError> {
    list.iter().try_for_each(|text| is_address(text))
}

pub fn is_level(text: &str) -> Result<(), validator::ValidationError> {
    text.parse::<slog::Level>().map(|_| ()).map_err(|()| {
        validator::ValidationError::new("level")
            .with_message("is critical, error, warning, info, debug or trace".into())
    })
}

/// What every daemon does before it runs: help, version, settings, `--check`. `None`: that was all.
pub fn start_up<T: serde::de::DeserializeOwned + validator::Validate>(
    program: &str,
    help: &str,
    names: &[&'static str],
) -> Option<(CommandLine, T)> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{help}");
        return None;
    }
    if arguments.contains("--version") {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return None;
    }
    let settings = parse_command_line(arguments, names)
        .and_then(|flags| load_settings(&flags).map(|settings| (flags, settings)));
    let (flags, settings) = settings.unwrap_or_else(|faults| {
        print_faults(program, &faults);
        std::process::exit(USAGE_EXIT_CODE)
    });
    if flags.check_only {
        println!("{program}: the settings are fine");
        return None;
    }
    Some((flags, settings))
}
