//! One daemon as a separate process.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde::de::DeserializeOwned;

/// A running process that is killed at the end of its test.
pub struct Daemon {
    admin: SocketAddr,
    child: Child,
    settings: PathBuf,
    /// The log of all processes under this name in this run of the tests.
    pub log: PathBuf,
}

impl Daemon {
    pub fn spawn(name: &str, admin: SocketAddr, settings: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        // Files of earlier runs of the tests must not be taken for this one's.
        let run = std::process::id();
        let path = folder.join(format!("{name}-{}-{run}.ini", admin.ip()));
        let log = path.with_extension("log");
        std::fs::write(&path, settings).expect("the settings file can be written");
        let out = File::options().create(true).append(true).open(&log);
        let child = Command::new(env!("CARGO_BIN_EXE_lagoonhollowd"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::from(out.expect("the log can be written")))
            .spawn()
            .expect("the daemon starts");
        Self { admin, child, settings: path, log }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process is there");
    }

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

    pub fn get_json<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        serde_json::from_str(&self.get(path)?).ok()
    }

    /// Changes the settings file.
    pub fn edit_settings(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings can be read");
        std::fs::write(&self.settings, change(&text)).expect("the settings can be written");
    }

    /// Returns the exit code of a process that has ended; that of one ended by
    /// a signal is -1.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the process can be waited for")?;
        Some(status.code().unwrap_or(-1))
    }

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
