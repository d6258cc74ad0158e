//! The lagoonhollow daemon.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use lagoonhollow_daemon::process::configuration::Configuration;
use lagoonhollow_daemon::process::daemon::Daemon;
use lagoonhollow_daemon::process::log;
use lagoonhollow_daemon::process::packet::daemon::PacketDaemon;
use lagoonhollow_daemon::process::reader;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;
/// Time between two looks at the settings file.
const RELOAD: Duration = Duration::from_secs(5);
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
    let settings = match Configuration::open(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match run(&path, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoonhollowd: {error}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

fn run(path: &Path, settings: Configuration) -> Result<(), Box<dyn std::error::Error>> {
    log::open(settings.level())?;
    match settings {
        Configuration::Coap(settings) => {
            let mut daemon = Daemon::spawn(settings)?;
            wait_for_signal(path)?;
            daemon.drain();
            daemon.join();
        }
        Configuration::Packets(settings) => {
            let mut daemon = PacketDaemon::spawn(settings)?;
            wait_for_signal(path)?;
            daemon.drain();
            daemon.join();
        }
    }
    Ok(())
}

/// Waits for the signal to stop; takes in changes of the settings file meanwhile.
fn wait_for_signal(path: &Path) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let mut text = reader::text(path).ok();
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                // The file may also change without a signal.
                _ = hangup.recv() => {}
                () = tokio::time::sleep(RELOAD) => {}
            }
            let now = reader::text(path).ok();
            if now.is_some() && now != text {
                text = now;
                reload(path);
            }
        }
        Ok(())
    })
}

/// Takes in a changed settings file. The log's level applies at once; addresses
/// and names apply at the next start.
fn reload(path: &Path) {
    match Configuration::open(path) {
        Ok(settings) => {
            log::set_level(settings.level());
            spdlog::info!("settings_reloaded");
        }
        Err(error) => spdlog::error!("settings_refused", kv: { error: }),
    }
}
