//! Runs one case of the review: `standin CASE FOLDER TROUBLE`, in the root of the repository.
//!
//! TROUBLE is 1 for the disruption and 0 for the same without it; other values leave out a part
//! of it. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not
//! run.

mod backend;
mod client;
mod fabric;
mod late_run;
mod node;
mod record;
mod scene;
mod silent_config;
mod silent_drain;
mod store;
mod stream;
mod unseen_run;
mod wire;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case has shown.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder, trouble] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::open(&Path::new(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let work = std::env::temp_dir().join(format!("lagoonhollow-review-{}", std::process::id()));
    if std::fs::create_dir_all(&work).is_err() {
        return ExitCode::from(2);
    }
    record.line(format!("CASE {case} with TROUBLE={trouble}"));
    let run = || match case.as_str() {
        "late-run" => late_run::run(&work, &record, trouble),
        "silent-config" => silent_config::run(&work, &record, trouble),
        "silent-drain" => silent_drain::run(&work, &record, trouble),
        "unseen-run" => unseen_run::run(&work, &record, trouble),
        _ => Verdict::NotRun,
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    } else {
        println!("logs: {}", work.display());
    }
    let (code, text) = match verdict {
        Ok(Verdict::Broken) => (1, "the rule was broken"),
        Ok(Verdict::Held) => (0, "the rule held"),
        Ok(Verdict::NotRun) | Err(_) => (2, "the case could not run"),
    };
    record.line(format!("VERDICT {text}"));
    println!("{text}");
    ExitCode::from(code)
}
