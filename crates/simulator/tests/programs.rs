//! The programs as an operator meets them: flags, exit codes, reload, callboard (docs/operators).

use std::process::Command;

fn program(name: &str) -> Command {
    let own = std::env::current_exe().expect("a path");
    let folder = own.ancestors().nth(2).expect("the build's folder");
    Command::new(folder.join(name))
}

/// Exit code, standard output, standard error.
fn outcome(name: &str, words: &[&str]) -> (Option<i32>, String, String) {
    let output = program(name).args(words).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn wrong_flags_and_settings_are_named_and_nothing_starts() {
    let fine = [
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
    assert_eq!(outcome("gradeford-core", &fine).0, Some(0));
    let with = |flag: &str, value: &str| {
        let place = fine.iter().position(|word| *word == flag).expect("a flag") + 1;
        let words: Vec<&str> = fine
            .iter()
            .enumerate()
            .map(|(at, word)| if at == place { value } else { *word })
            .collect();
        outcome("gradeford-core", &words)
    };
    [
        ("--seats", "4", "seats"),
        ("--mates-address", "here", "mates_address"),
        ("--seat", "nine", "seat"),
        ("--seeds", "a,b", "seeds"),
    ]
    .iter()
    .for_each(|(flag, value, named)| {
        let (code, _, told) = with(flag, value);
        assert_eq!(code, Some(2), "{flag} {value}");
        assert!(told.contains(named), "{told}");
    });
    let (code, _, told) = outcome("gradeford-node", &["--speed", "9"]);
    assert!(code == Some(2) && told.contains("--speed"), "{told}");
    let used = std::env::temp_dir().join(format!("gradeford-used-{}", std::process::id()));
    std::fs::create_dir_all(&used).expect("a folder");
    std::fs::write(used.join("rehearsal.history"), "").expect("a file");
    let folder = used.display().to_string();
    assert_eq!(
        outcome("simulator", &["run", "small", "--folder", &folder]).0,
        Some(2),
        "an earlier run's folder"
    );
    std::fs::remove_dir_all(used).expect("clean");
    let wrong: [&[&str]; 7] = [
        &["run", "nowhere"],
        &["run", "small", "--scenario", "dance"],
        &["run", "small", "--seed", "none"],
        &["run", "small", "--folder", "/proc/none"],
        &["all", "small", "--only", "quiet,dance"],
        &["simulate", "--blows", "12"],
        &["simulate", "--strikes", "1"],
    ];
    wrong
        .iter()
        .for_each(|words| assert_eq!(outcome("simulator", words).0, Some(2), "{words:?}"));
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
fn callboard_refuses_wrong_usage_and_tells_an_unreachable_core() {
    let wrong: [&[&str]; 6] = [
        &["--core", "127.0.0.1:1"],
        &["--core", "127.0.0.1:1", "dance"],
        &["get"],
        &["--core", "127.0.0.1:1", "get", "lane", "x"],
        &["--core", "127.0.0.1:1", "delete", "order", "Bad Name"],
        &["--core", "127.0.0.1:1", "apply", "/nonexistent"],
    ];
    wrong
        .iter()
        .for_each(|words| assert_eq!(outcome("gradefordctl", words).0, Some(2), "{words:?}"));
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
fn an_operators_day_with_callboard() {
    let folder = std::env::temp_dir().join(format!("gradeford-day-{}", std::process::id()));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let deployment = simulator::deployment::named("small").expect("a site");
        let mut fleet =
            simulator::fleet::Fleet::plan(deployment, folder.clone(), 1, 0, &[]).expect("a plan");
        (0..3)
            .try_for_each(|seat| fleet.start_replica(seat))
            .expect("core seats");
        let operators: Vec<String> = fleet
            .replicas
            .iter()
            .map(|core| core.operators_address.clone())
            .collect();
        fleet.wait_until_ready(&operators).await.expect("a core");
        let all = operators.join(",");
        let file = |name: &str, text: serde_json::Value| {
            let path = folder.join(name);
            std::fs::write(&path, text.to_string()).expect("a file");
            path.display().to_string()
        };
        let call = |words: &[&str]| {
            let (code, told, _) =
                outcome("gradefordctl", &[&["--core", all.as_str()], words].concat());
            (
                code,
                serde_json::from_str::<serde_json::Value>(&told).unwrap_or_default(),
            )
        };
        let site = file(
            "site.json",
            serde_json::json!({ "edits": fleet.deployment.edits() }),
        );
        let (code, answer) = call(&["apply", &site, "--id", "site"]);
        assert_eq!(
            (code, answer["accepted"]["version"].as_u64()),
            (Some(0), Some(1))
        );
        assert_eq!(
            call(&["apply", &site, "--id", "site", "--base", "0"]).0,
            Some(0),
            "a repeat is harmless"
        );
        assert_eq!(
            call(&["apply", &site, "--id", "again", "--base", "0"]).0,
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
        let dear = file("dear.json", order.clone());
        assert_eq!(
            call(&["edit", "order", "seat-seat-checkout", &dear]).0,
            Some(0)
        );
        assert_eq!(
            call(&["get", "order", "seat-seat-checkout"]).1["importance"].as_u64(),
            Some(9)
        );
        order["importance"] = 99.into();
        let (code, answer) = call(&[
            "edit",
            "order",
            "seat-seat-checkout",
            &file("over.json", order),
        ]);
        assert_eq!(
            (code, answer["faults"][0]["path"].as_str()),
            (Some(1), Some("edits[0].order.importance"))
        );
        assert_eq!(call(&["delete", "order", "seat-seat-check"]).0, Some(0));
        assert_eq!(call(&["get", "order", "seat-seat-check"]).0, Some(1));
        assert_eq!(call(&["get"]).1["version"].as_u64(), Some(3));
        assert_eq!(call(&["standing"]).0, Some(0));
        assert_eq!(call(&["replace-seat", "1", "nonsense"]).0, Some(1));
        // Every seat comes to believe the same.
        let alike = || async {
            let places = (
                fleet.replicas[0].peer_address.as_str(),
                fleet.replicas[2].peer_address.as_str(),
            );
            outcome("gradefordctl", &["compare", places.0, places.1]).0 == Some(0)
        };
        fleet
            .wait_until("two seats believe the same", alike)
            .await
            .expect("alike");
        fleet.stop().await;
    });
    std::fs::remove_dir_all(folder).expect("clean");
}

#[test]
fn a_reload_with_a_faulty_file_keeps_the_old_settings_and_says_why() {
    let folder = std::env::temp_dir().join(format!("gradeford-reload-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let config = folder.join("node.toml");
    let fine = "name = \"n\"\nzone = \"z\"\nmates_address = \"127.0.0.1:0\"\nlocal_address = \"127.0.0.1:0\"\nseeds = [\"127.0.0.1:1\"]\n";
    std::fs::write(&config, fine).expect("a file");
    let words = ["--config".to_string(), config.display().to_string()];
    let mut usher =
        simulator::process::Process::start(&folder, "gradeford-node", "gradeford-node", &words)
            .expect("a node");
    let log = || std::fs::read_to_string(folder.join("gradeford-node.log")).unwrap_or_default();
    let until = |usher: &mut simulator::process::Process, word: &str| {
        while !log().contains(word) {
            assert!(
                usher.exit_status().is_none() || log().contains(word),
                "it ended before it said {word:?}: {}",
                log()
            );
            std::thread::yield_now();
        }
    };
    until(&mut usher, "listening");
    std::fs::write(&config, fine.replace("127.0.0.1:1", "nowhere")).expect("a file");
    usher.signal(rustix::process::Signal::HUP);
    until(&mut usher, "the old ones stay");
    // The fault is named in the same line, which may still be on its way.
    until(&mut usher, "seeds");
    std::fs::write(&config, fine.to_string() + "log_level = \"debug\"\n").expect("a file");
    usher.signal(rustix::process::Signal::HUP);
    until(&mut usher, "settings read again");
    usher.signal(rustix::process::Signal::TERM);
    until(&mut usher, "stopped");
    while usher.exit_status().is_none() {
        std::thread::yield_now();
    }
    std::fs::remove_dir_all(folder).expect("clean");
}
