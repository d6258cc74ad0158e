//! A daemon that runs as a separate process.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde::de::DeserializeOwned;

/// A running `lagoonhollowd` process, which is killed when the value is dropped.
pub struct Daemon {
    admin: SocketAddr,
    child: Child,
    started: Instant,
    // Length of the log file when the process was started.
    logged: u64,
    settings: PathBuf,
    /// Log file, shared by all processes that this test run starts with the same
    /// name and admin address.
    pub log: PathBuf,
}

impl Daemon {
    /// Writes the settings file and starts a process with it; standard output is
    /// appended to the log file.
    pub fn spawn(name: &str, admin: SocketAddr, settings: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        // The process id of the test tells its files from those of earlier runs.
        let run = std::process::id();
        let path = folder.join(format!("{name}-{}-{run}.ini", admin.ip()));
        let log = path.with_extension("log");
        std::fs::write(&path, settings).expect("the settings file can be written");
        let out = File::options().create(true).append(true).open(&log);
        let out = out.expect("the log can be written");
        let logged = out.metadata().expect("the log has a length").len();
        let child = Command::new(env!("CARGO_BIN_EXE_lagoonhollowd"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::from(out))
            .spawn()
            .expect("the daemon starts");
        Self { admin, child, started: Instant::now(), logged, settings: path, log }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process exists");
    }

    /// Returns the body of an admin page, whatever the status code; none if there
    /// is no answer within 2 s.
    pub fn get(&self, path: &str) -> Option<String> {
        let address = self.admin;
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (_, body) = text.split_once("\r\n\r\n")?;
        Some(body.to_owned())
    }

    /// Returns an admin page parsed as JSON; none if that fails.
    pub fn get_json<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        serde_json::from_str(&self.get(path)?).ok()
    }

    /// Replaces the text of the settings file by what `change` returns for it. A process that
    /// starts meanwhile reads the one or the other.
    pub fn edit_settings(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings can be read");
        let new = self.settings.with_extension("new");
        std::fs::write(&new, change(&text)).expect("the settings can be written");
        std::fs::rename(&new, &self.settings).expect("the settings can be replaced");
    }

    /// Returns the exit code if the process has ended; the negated number of the signal
    /// if one ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the process can be waited for")?;
        status.code().or(status.signal().map(|signal| -signal))
    }

    /// Returns whether the process has written any line, which it does once its signal
    /// handlers are installed.
    pub fn has_logged(&self) -> bool {
        std::fs::metadata(&self.log).is_ok_and(|m| m.len() > self.logged)
    }

    /// Returns the time since the process was started.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits until the process ends; returns its exit code, or none if a signal
    /// ended it.
    pub fn wait(mut self) -> Option<i32> {
        self.child.wait().expect("the process can be waited for").code()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
