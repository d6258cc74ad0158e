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
use lagoonhollow_daemon::process::settings_reader;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;
/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Exit code for a process that could not be started.
const NOT_STARTED: u8 = 1;

/// Command-line arguments of the daemon.
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
    // The handlers come first: until then these signals kill the process.
    let signals = match Signals::bind() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("lagoonhollowd: can't install the signal handlers: {error}");
            return ExitCode::from(NOT_STARTED);
        }
    };
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
    match run(&path, settings, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoonhollowd: {error}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

fn run(
    path: &Path,
    settings: Configuration,
    mut signals: Signals,
) -> Result<(), Box<dyn std::error::Error>> {
    log::open(settings.level())?;
    match settings {
        Configuration::Coap(settings) => {
            let mut daemon = Daemon::spawn(settings)?;
            signals.wait(path);
            daemon.drain();
            daemon.join();
        }
        Configuration::Packets(settings) => {
            let mut daemon = PacketDaemon::spawn(settings)?;
            signals.wait(path);
            daemon.drain();
            daemon.join();
        }
    }
    Ok(())
}

/// The signals that the process handles.
struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn bind() -> std::io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let context = runtime.enter();
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let hangup = signal(SignalKind::hangup())?;
        drop(context);
        Ok(Self { runtime, terminate, interrupt, hangup })
    }

    /// Waits for SIGTERM or SIGINT, and reloads the settings file when it changes.
    ///
    /// SIGHUP makes it check the file at once.
    fn wait(&mut self, path: &Path) {
        let Self { runtime, terminate, interrupt, hangup } = self;
        runtime.block_on(async {
            let mut text = settings_reader::read_text(path).ok();
            loop {
                tokio::select! {
                    _ = terminate.recv() => break,
                    _ = interrupt.recv() => break,
                    // The file may also change without a signal.
                    _ = hangup.recv() => {}
                    () = tokio::time::sleep(RELOAD_INTERVAL) => {}
                }
                let now = settings_reader::read_text(path).ok();
                if now.is_some() && now != text {
                    text = now;
                    reload(path);
                }
            }
        });
    }
}

/// Reloads the settings file. The log level takes effect at once, addresses and
/// names at the next start.
fn reload(path: &Path) {
    match Configuration::open(path) {
        Ok(settings) => {
            log::set_level(settings.level());
            spdlog::info!("settings_reloaded");
        }
        Err(error) => spdlog::error!("settings_refused", kv: { error: }),
    }
}
