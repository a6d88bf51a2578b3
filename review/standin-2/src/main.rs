//! Plays one case of the review: `review-standin-2 CASE FOLDER RECORD`. The variable `TROUBLE` is 0 for the control
//! without the disruption. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod backend;
mod cases;
mod http;
mod json;
mod site;

use std::env;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use site::Record;

/// After this time a case is given up.
const LONGEST: Duration = Duration::from_secs(112);

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder, record_path] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE FOLDER RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::start();
    record.line(format!("case {case}, with the disruption: {trouble}"));
    let (folder, record_path) = (PathBuf::from(folder), PathBuf::from(record_path));
    let (case, own) = (case.clone(), record.clone());
    // The processes of the system are children of this thread's site, which ends them when it is dropped.
    let playing = thread::spawn(move || match case.as_str() {
        "late-beat" => cases::late_beat(own, &folder, trouble),
        "term-queue" => cases::term_queue(own, &folder, trouble),
        "term-large" => cases::term_large(own, &folder, trouble),
        "term-upload" => cases::term_upload(own, &folder, trouble),
        "limits" => cases::limits(own, &folder, trouble),
        "founder" => cases::founder(own, &folder, trouble),
        "replaced" => cases::replaced(own, &folder, trouble),
        "memory" => cases::memory(own, &folder, trouble),
        _ => Verdict::CouldNotRun,
    });
    let (late, late_path) = (record.clone(), record_path.clone());
    thread::spawn(move || {
        thread::sleep(LONGEST);
        late.line("the case took too long");
        site::kill_all();
        late.write(&late_path);
        exit(2);
    });
    let verdict = playing.join().unwrap_or(Verdict::CouldNotRun);
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::Held => ("the rule held", 0),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.line(text);
    record.write(&record_path);
    println!("{text}");
    // Threads of clients and backends end with this process.
    thread::sleep(Duration::from_millis(20));
    exit(code);
}
