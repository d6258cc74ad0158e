//! The lagoonhollow daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use lagoonhollow_daemon::process::daemon::Daemon;
use lagoonhollow_daemon::process::log;
use lagoonhollow_daemon::process::settings::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a process that could not be started.
const NOT_STARTED: u8 = 1;

/// Arguments of the daemon.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "show the version")]
    version: bool,
    #[options(help = "settings file (INI)", meta = "FILE")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("lagoonhollowd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("lagoonhollowd: --settings FILE is missing");
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match Settings::open(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoonhollowd: {error}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    log::open(settings.level)?;
    let mut daemon = Daemon::spawn(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok::<_, std::io::Error>(())
    })?;
    daemon.drain();
    daemon.join();
    Ok(())
}
