//! What an agent's decisions ask of the code around them.

use crate::connection::flow::FlowKey;
use crate::process::message::Message;
use crate::process::message::Via;
use crate::process::notice::Notice;
use crate::request::answer::Answer;
use crate::request::message::Request;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// One thing to do.
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
        /// Where it returns through.
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
        /// Where it goes through.
        via: Via,
        /// The caller's flow.
        flow: FlowKey,
        /// Message ID that the caller acknowledges.
        id: u16,
        /// The notification.
        answer: Answer,
    },
    /// Hand a request to the backend server.
    Run {
        /// Number that the answer carries.
        id: u64,
        /// The request.
        request: Request,
        /// When its answer stops being of use.
        deadline: Moment,
    },
    /// Tell the backend server that nobody waits for an answer any more.
    Cancel {
        /// Number of the request or channel.
        id: u64,
    },
    /// Tell the rest of the fleet.
    Spread(Notice),
}
