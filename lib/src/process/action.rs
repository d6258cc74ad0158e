//! Actions that an agent's decisions return for the caller to carry out.

use crate::connection::flow::FlowKey;
use crate::process::message::Message;
use crate::process::message::Via;
use crate::process::notice::Notice;
use crate::request::answer::Answer;
use crate::request::message::Request;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another agent.
    Send {
        /// Receiver.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Answer a caller's request.
    Answer {
        /// Entry that the answer is sent through.
        via: Via,
        /// The caller's flow.
        flow: FlowKey,
        /// Message ID of the request.
        id: u16,
        /// The answer.
        answer: Answer,
    },
    /// Notify a caller on a channel.
    Notify {
        /// Entry that the notification is sent through.
        via: Via,
        /// The caller's flow.
        flow: FlowKey,
        /// Message ID that the caller acknowledges.
        id: u16,
        /// The notification.
        answer: Answer,
    },
    /// Send a request to the backend server.
    Run {
        /// ID that the backend server's answer carries.
        id: u64,
        /// The request.
        request: Request,
        /// Time after which the answer is of no use.
        deadline: Moment,
    },
    /// Tell the backend server that no caller waits for an answer any more.
    Cancel {
        /// ID of the request or channel.
        id: u64,
    },
    /// Gossip a notice to the rest of the fleet.
    Spread(Notice),
}
