//! Execution of the actions that decisions return.

use std::net::SocketAddr;
use std::sync::Arc;

use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_platform::packet;
use lagoonhollow_wire::relay;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::process::packet::decision_log::DecisionLog;
use crate::process::packet::metrics::PacketMetrics;
use crate::process::packet::traffic_queues::Report;

/// Executes the actions of a traffic thread.
#[derive(Debug)]
pub struct Executor {
    /// Socket for datagrams to other processes and to callers.
    pub link: UdpSocket,
    /// Socket for packets to the backend server; an entry has none.
    pub backend: Option<UdpSocket>,
    /// Port on which callers receive packets.
    pub caller_port: u16,
    /// Queue of reports to the control thread.
    pub reports: mpsc::Sender<Report>,
    /// The process's metrics.
    pub metrics: Arc<PacketMetrics>,
    /// Writes decisions to the log.
    pub decision_log: DecisionLog,
}

impl Executor {
    /// Executes `actions` of a process that knows the versions `known`.
    pub fn execute(&mut self, actions: Vec<Action>, known: KnownVersions, now: Moment) {
        for action in actions {
            match action {
                Action::Send { to, message, packet } => {
                    let raw = packet.as_ref().map_or(&[][..], |p| &p.raw);
                    let Ok(bytes) = relay::encode(known, &message, raw) else {
                        self.metrics.count(Reason::Malformed);
                        continue;
                    };
                    if raw.is_empty() {
                        self.metrics.control_sent.inc();
                        self.metrics.control_bytes.inc_by(bytes.len() as u64);
                    } else {
                        self.metrics.forwarded.inc();
                    }
                    self.send(&bytes, to);
                }
                Action::Backend(packet) => self.send_to_backend(&packet),
                Action::Caller(packet) => {
                    let caller = SocketAddr::new(packet.segment.flow.caller.ip(), self.caller_port);
                    self.metrics.sent.inc();
                    self.send(&packet.raw, caller);
                }
                Action::Reset { flow, seq } => {
                    let caller = SocketAddr::new(flow.caller.ip(), self.caller_port);
                    self.metrics.resets.inc();
                    self.send(&packet::encode_reset(&flow, seq), caller);
                }
                Action::Behind { peer, known } => {
                    if self.reports.try_send(Report::Behind { peer, known }).is_err() {
                        self.metrics.count(Reason::ChannelFull);
                    }
                }
                // Another conclusion asks again if the queue is full.
                Action::Confirm => {
                    if self.reports.try_send(Report::Confirm).is_err() {
                        self.metrics.count(Reason::ChannelFull);
                    }
                }
                Action::Answered { peer, known, sent, age } => {
                    let report = Report::Answered { peer, known, sent, age };
                    if self.reports.try_send(report).is_err() {
                        self.metrics.count(Reason::ChannelFull);
                    }
                }
                Action::Record(event) => self.decision_log.record(&event, known, now),
                Action::Measured(phase, took) => self.metrics.observe(phase, took),
            }
        }
    }

    /// Sends a datagram. One that can't be sent counts as lost in the network.
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if self.link.try_send_to(bytes, to).is_err() {
            self.metrics.count(Reason::ChannelFull);
        }
    }

    fn send_to_backend(&self, packet: &Packet) {
        let Some(socket) = &self.backend else { return };
        self.metrics.sent.inc();
        if socket.try_send(&packet.raw).is_err() {
            self.metrics.count(Reason::ChannelFull);
        }
    }
}
