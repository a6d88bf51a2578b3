//! Runs the programs as an operator does: flags, exit codes, reload, and the commands of `gradefordctl`
//! (docs/operators).

use std::process::Command;

fn program(name: &str) -> Command {
    let own_path = std::env::current_exe().expect("a path");
    let folder = own_path.ancestors().nth(2).expect("the build's folder");
    Command::new(folder.join(name))
}

/// Runs a program and returns its exit code, standard output and standard error.
fn outcome(name: &str, arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = program(name).args(arguments).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn invalid_flags_and_settings_are_named_and_nothing_starts() {
    let valid_arguments = [
        "--name",
        "c",
        "--zone",
        "1",
        "--seat",
        "0",
        "--seats",
        "3",
        "--mates-address",
        "127.0.0.1:1",
        "--operators-address",
        "127.0.0.1:2",
        "--seeds",
        "127.0.0.1:1",
        "--folder",
        "/nonexistent/x",
        "--check",
    ];
    assert_eq!(outcome("gradeford-core", &valid_arguments).0, Some(0));
    let with_value = |flag: &str, value: &str| {
        let index = valid_arguments
            .iter()
            .position(|argument| *argument == flag)
            .expect("a flag")
            + 1;
        let arguments: Vec<&str> = valid_arguments
            .iter()
            .enumerate()
            .map(|(argument_index, argument)| {
                if argument_index == index {
                    value
                } else {
                    *argument
                }
            })
            .collect();
        outcome("gradeford-core", &arguments)
    };
    [
        ("--seats", "4", "seats"),
        ("--mates-address", "here", "mates_address"),
        ("--seat", "nine", "seat"),
        ("--seeds", "a,b", "seeds"),
    ]
    .iter()
    .for_each(|(flag, value, field_name)| {
        let (code, _, output) = with_value(flag, value);
        assert_eq!(code, Some(2), "{flag} {value}");
        assert!(output.contains(field_name), "{output}");
    });
    let (code, _, output) = outcome("gradeford-node", &["--speed", "9"]);
    assert!(code == Some(2) && output.contains("--speed"), "{output}");
    let used_folder = std::env::temp_dir().join(format!("gradeford-used-{}", std::process::id()));
    std::fs::create_dir_all(&used_folder).expect("a folder");
    std::fs::write(used_folder.join("rehearsal.history"), "").expect("a file");
    let folder = used_folder.display().to_string();
    assert_eq!(
        outcome("simulator", &["run", "small", "--folder", &folder]).0,
        Some(2),
        "the folder of an earlier run is rejected"
    );
    std::fs::remove_dir_all(used_folder).expect("clean");
    let invalid_calls: [&[&str]; 7] = [
        &["run", "nowhere"],
        &["run", "small", "--scenario", "dance"],
        &["run", "small", "--seed", "none"],
        &["run", "small", "--folder", "/proc/none"],
        &["all", "small", "--only", "quiet,dance"],
        &["simulate", "--blows", "12"],
        &["simulate", "--strikes", "1"],
    ];
    invalid_calls.iter().for_each(|arguments| {
        assert_eq!(outcome("simulator", arguments).0, Some(2), "{arguments:?}")
    });
    [
        "gradeford-core",
        "gradeford-node",
        "gradefordctl",
        "simulator",
    ]
    .iter()
    .for_each(|name| assert_eq!(outcome(name, &["--help"]).0, Some(0), "{name}"));
}

#[test]
fn gradefordctl_rejects_wrong_usage_and_reports_an_unreachable_core() {
    let invalid_calls: [&[&str]; 6] = [
        &["--core", "127.0.0.1:1"],
        &["--core", "127.0.0.1:1", "dance"],
        &["get"],
        &["--core", "127.0.0.1:1", "get", "lane", "x"],
        &["--core", "127.0.0.1:1", "delete", "order", "Bad Name"],
        &["--core", "127.0.0.1:1", "apply", "/nonexistent"],
    ];
    invalid_calls.iter().for_each(|arguments| {
        assert_eq!(
            outcome("gradefordctl", arguments).0,
            Some(2),
            "{arguments:?}"
        )
    });
    assert_eq!(
        outcome("gradefordctl", &["--core", "127.0.0.1:1", "get"]).0,
        Some(3)
    );
    assert_eq!(
        outcome("gradefordctl", &["compare", "127.0.0.1:1", "127.0.0.1:1"]).0,
        Some(3)
    );
}

#[test]
fn gradefordctl_applies_edits_and_reads_the_desired_state() {
    let folder = std::env::temp_dir().join(format!("gradeford-day-{}", std::process::id()));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let deployment = simulator::deployment::named("small").expect("a site");
        let mut fleet =
            simulator::fleet::Fleet::plan(deployment, folder.clone(), 1, 0, &[]).expect("a plan");
        (0..3)
            .try_for_each(|replica_index| fleet.start_replica(replica_index))
            .expect("replicas");
        let operator_addresses: Vec<String> = fleet
            .replicas
            .iter()
            .map(|replica| replica.operators_address.clone())
            .collect();
        fleet
            .wait_until_ready(&operator_addresses)
            .await
            .expect("a core");
        let address_list = operator_addresses.join(",");
        let write_file = |name: &str, text: serde_json::Value| {
            let path = folder.join(name);
            std::fs::write(&path, text.to_string()).expect("a file");
            path.display().to_string()
        };
        let run_command = |arguments: &[&str]| {
            let (code, output, _) = outcome(
                "gradefordctl",
                &[&["--core", address_list.as_str()], arguments].concat(),
            );
            (
                code,
                serde_json::from_str::<serde_json::Value>(&output).unwrap_or_default(),
            )
        };
        let site = write_file(
            "site.json",
            serde_json::json!({ "edits": fleet.deployment.edits() }),
        );
        let (code, answer) = run_command(&["apply", &site, "--id", "site"]);
        assert_eq!(
            (code, answer["accepted"]["version"].as_u64()),
            (Some(0), Some(1))
        );
        assert_eq!(
            run_command(&["apply", &site, "--id", "site", "--base", "0"]).0,
            Some(0),
            "a repeat is harmless"
        );
        assert_eq!(
            run_command(&["apply", &site, "--id", "again", "--base", "0"]).0,
            Some(1),
            "stale"
        );
        let mut order = fleet
            .deployment
            .edits()
            .pop()
            .map(|edit| edit["put_order"]["order"].clone())
            .expect("an order");
        order["importance"] = 9.into();
        let changed_order = write_file("dear.json", order.clone());
        assert_eq!(
            run_command(&["edit", "order", "seat-seat-checkout", &changed_order]).0,
            Some(0)
        );
        assert_eq!(
            run_command(&["get", "order", "seat-seat-checkout"]).1["importance"].as_u64(),
            Some(9)
        );
        order["importance"] = 99.into();
        let (code, answer) = run_command(&[
            "edit",
            "order",
            "seat-seat-checkout",
            &write_file("over.json", order),
        ]);
        assert_eq!(
            (code, answer["faults"][0]["path"].as_str()),
            (Some(1), Some("edits[0].order.importance"))
        );
        assert_eq!(
            run_command(&["delete", "order", "seat-seat-check"]).0,
            Some(0)
        );
        assert_eq!(run_command(&["get", "order", "seat-seat-check"]).0, Some(1));
        assert_eq!(run_command(&["get"]).1["version"].as_u64(), Some(3));
        assert_eq!(run_command(&["standing"]).0, Some(0));
        assert_eq!(run_command(&["replace-seat", "1", "nonsense"]).0, Some(1));
        // The states of all replicas converge.
        let states_equal = || async {
            let peer_addresses = (
                fleet.replicas[0].peer_address.as_str(),
                fleet.replicas[2].peer_address.as_str(),
            );
            outcome(
                "gradefordctl",
                &["compare", peer_addresses.0, peer_addresses.1],
            )
            .0 == Some(0)
        };
        fleet
            .wait_until("two replicas hold the same state", states_equal)
            .await
            .expect("equal states");
        fleet.stop().await;
    });
    std::fs::remove_dir_all(folder).expect("clean");
}

#[test]
fn a_reload_with_an_invalid_file_keeps_the_old_settings_and_logs_the_reason() {
    let folder = std::env::temp_dir().join(format!("gradeford-reload-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let config = folder.join("node.toml");
    let valid_settings = "name = \"n\"\nzone = \"z\"\nmates_address = \"127.0.0.1:0\"\nlocal_address = \"127.0.0.1:0\"\nseeds = [\"127.0.0.1:1\"]\n";
    std::fs::write(&config, valid_settings).expect("a file");
    let arguments = ["--config".to_string(), config.display().to_string()];
    let mut node =
        simulator::process::Process::start(&folder, "gradeford-node", "gradeford-node", &arguments)
            .expect("a node");
    let log = || std::fs::read_to_string(folder.join("gradeford-node.log")).unwrap_or_default();
    let wait_for_log = |node: &mut simulator::process::Process, expected_text: &str| {
        while !log().contains(expected_text) {
            assert!(
                node.exit_status().is_none() || log().contains(expected_text),
                "the process ended before it logged {expected_text:?}: {}",
                log()
            );
            std::thread::yield_now();
        }
    };
    wait_for_log(&mut node, "listening");
    std::fs::write(&config, valid_settings.replace("127.0.0.1:1", "nowhere")).expect("a file");
    node.signal(rustix::process::Signal::HUP);
    wait_for_log(&mut node, "the old ones stay");
    // The same log line names the fault; the rest of the line may not be written yet.
    wait_for_log(&mut node, "seeds");
    std::fs::write(
        &config,
        valid_settings.to_string() + "log_level = \"debug\"\n",
    )
    .expect("a file");
    node.signal(rustix::process::Signal::HUP);
    wait_for_log(&mut node, "settings read again");
    node.signal(rustix::process::Signal::TERM);
    wait_for_log(&mut node, "stopped");
    while node.exit_status().is_none() {
        std::thread::yield_now();
    }
    std::fs::remove_dir_all(folder).expect("clean");
}
