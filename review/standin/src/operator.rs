//! The operator's calls: to any core machine, on to the next after a failure, a 5xx or a second.

use std::time::{Duration, Instant};

use crate::http;
use crate::site::{CONTROL, Machine, Site};

pub struct Answer {
    pub acknowledged: bool,
    pub status: u16,
    pub sends: usize,
}

/// Sends a call unchanged, to one core machine after another, until there is a clear answer.
pub fn amend(site: &Site, cores: &[usize], body: &str, patience: Duration) -> Answer {
    let began = Instant::now();
    let mut pause = Duration::from_millis(100);
    let mut sends = 0;
    let mut status = 0;
    // More for large bodies.
    let silence = Duration::from_secs(1) + Duration::from_micros(body.len() as u64);
    while began.elapsed() < patience {
        let core = cores[sends % cores.len()];
        sends += 1;
        let to = site.address(Machine::Core(core), CONTROL);
        let headers = [("Content-Type", "application/json".to_string())];
        if let Ok(answer) = http::call(
            to,
            "POST",
            "/Config.Amend",
            &headers,
            body.as_bytes(),
            silence,
        ) {
            status = answer.status();
            if status == 200 || (400..500).contains(&status) && ![408, 429].contains(&status) {
                return Answer {
                    acknowledged: status == 200,
                    status,
                    sends,
                };
            }
        }
        std::thread::sleep(pause);
        pause = (pause * 3 / 2).min(Duration::from_secs(1));
    }
    Answer {
        acknowledged: false,
        status,
        sends,
    }
}

/// Reads the configuration back, from one core machine after another.
pub fn read(site: &Site, cores: &[usize], patience: Duration) -> Option<String> {
    let began = Instant::now();
    let mut turn = 0;
    while began.elapsed() < patience {
        let to = site.address(Machine::Core(cores[turn % cores.len()]), CONTROL);
        turn += 1;
        match http::call(to, "GET", "/Config.Read", &[], b"", Duration::from_secs(2)) {
            Ok(answer) if answer.status() == 200 => return Some(answer.text()),
            _ => std::thread::sleep(Duration::from_millis(200)),
        }
    }
    None
}

pub fn service(name: &str, version: u32, sharded: bool) -> String {
    format!(
        r#"{{"kind_tag":"service_list","metadata":{{"name":"{name}","version":"{version:08x}"}},"definition":{{"health_path":"/health","max_conns":110,"protocol":"h1","tls":false{}}}}}"#,
        if sharded {
            r#","sharded":true,"warm":"5s","grant_list":"heartbeat""#
        } else {
            ""
        }
    )
}

pub fn route(
    name: &str,
    version: u32,
    host: &str,
    prefix: &str,
    variant: &str,
    service: &str,
    timeout_ms: u32,
) -> String {
    format!(
        r#"{{"kind_tag":"route_list","metadata":{{"name":"{name}","version":"{version:08x}"}},"definition":{{"host_name":"{host}","path_prefix":"{prefix}","variant":"{variant}","timeout":"{timeout_ms}ms","target":"400ms","priority":1,"service_ref":"{service}","max_tries":2}}}}"#
    )
}

pub fn limits(version: u32) -> String {
    format!(
        r#"{{"kind_tag":"limit_set","metadata":{{"version":"{version:08x}"}},"definition":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#
    )
}

pub fn call(items: &[String]) -> String {
    format!(
        r#"{{"upserts":{{"resource_list":[{}]}},"removals":{{"route_list":[]}}}}"#,
        items.join(",")
    )
}
