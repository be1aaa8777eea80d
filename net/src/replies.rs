//! Replies of a keeper on their way to the process that asked, and a bound on the
//! memory of those with texts.

use async_channel::Receiver;
use async_channel::Sender;
use limpetferry_lib::keeper_protocol::KeeperMessage;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::RequestId;
use serde::Serialize;
use serde::Serializer;

use crate::held::Held;
use crate::held::Hold;
use crate::peer::Outgoing;

/// How often a text is in memory while it is sent: as it was read, and encoded.
const COPIES: usize = 2;

/// A bound on the memory of replies with texts.
#[derive(Clone)]
pub struct ReplyBudget {
    held: Held,
    most: usize,
}

impl ReplyBudget {
    /// Creates a bound of `most` bytes.
    pub fn new(most: usize) -> Self {
        Self {
            held: Held::default(),
            most,
        }
    }

    /// Reserves memory to read and send `bytes` bytes of texts; `None` if there is too
    /// little.
    pub fn reserve(&self, bytes: usize) -> Option<Hold> {
        self.held.hold(bytes * COPIES, self.most)
    }

    /// Returns whether `bytes` bytes of texts can be sent at all.
    pub fn could_hold(&self, bytes: usize) -> bool {
        bytes * COPIES <= self.most
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.held.bytes()
    }
}

/// A message to another process, with the memory that is reserved for it.
pub struct Reply {
    message: KeeperMessage,
    reservation: Option<Hold>,
}

impl Serialize for Reply {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.message.serialize(serializer)
    }
}

impl Outgoing for Reply {
    type Held = Option<Hold>;

    fn is_work(&self) -> bool {
        self.message.is_work()
    }

    fn into_held(self) -> Self::Held {
        self.reservation
    }
}

/// Sends replies to one process.
#[derive(Clone)]
pub struct ReplySender(Sender<Reply>);

impl ReplySender {
    /// Makes the two ends of a queue of replies.
    pub fn channel() -> (Self, Receiver<Reply>) {
        let (sender, receiver) = async_channel::unbounded();
        (Self(sender), receiver)
    }

    /// Sends a reply; returns whether the process is still linked.
    pub fn send(&self, ticket: RequestId, reply: KeeperReply) -> bool {
        self.send_reserved(ticket, reply, None)
    }

    /// Sends a reply for which memory is reserved; returns whether the process is still
    /// linked.
    pub fn send_reserved(
        &self,
        ticket: RequestId,
        reply: KeeperReply,
        reservation: Option<Hold>,
    ) -> bool {
        let reply = Reply {
            message: KeeperMessage::Tell(ticket, reply),
            reservation,
        };
        self.0.try_send(reply).is_ok()
    }
}
