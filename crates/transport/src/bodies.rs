//! Long bodies of requests and responses, which follow their frame in parts, so that neither the
//! size limit of a frame nor one long body holds up the other messages of a connection
//! (design 13.2). This module does no I/O.
//!
//! A body is announced by [`Frame::BodyFollows`], followed by the frame of its request or response
//! with an empty body, and then by its parts. The parts are sent with
//! [`Connection::part_sender`](crate::Connection::part_sender), which other frames overtake.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use crate::{Error, Frame};

/// The first protocol version with bodies in parts.
pub const BODY_PARTS_VERSION: u16 = 6;
/// Maximum size of a body that is sent within its frame, and of each part of a longer one, in bytes.
pub const BODY_PART_BYTES: usize = 64 * 1024;

/// The bodies that a sender has announced on a connection and not sent completely.
#[derive(Default)]
pub struct OutgoingBodies {
    /// In the order in which their next parts are sent.
    bodies: VecDeque<OutgoingBody>,
}

struct OutgoingBody {
    request_id: u32,
    unsent: Bytes,
}

impl OutgoingBodies {
    /// Adds the body of the request with this number, which must not be empty, and returns the
    /// frame that announces it.
    pub fn add(&mut self, request_id: u32, body: Bytes) -> Frame {
        let announcement = Frame::BodyFollows(request_id, body.len() as u64);
        self.bodies.push_back(OutgoingBody {
            request_id,
            unsent: body,
        });
        announcement
    }

    /// Returns the next part to send, with the number of its request. The bodies take turns.
    pub fn next_part(&mut self) -> Option<(u32, Frame)> {
        let mut body = self.bodies.pop_front()?;
        let length = body.unsent.len().min(BODY_PART_BYTES);
        let request_id = body.request_id;
        let part = Frame::BodyPart(request_id, body.unsent.split_to(length).to_vec());
        if !body.unsent.is_empty() {
            self.bodies.push_back(body);
        }
        Some((request_id, part))
    }

    /// Drops the rest of the body of this request. Returns whether there was any, in which case the
    /// peer never receives the body as a whole.
    pub fn remove(&mut self, request_id: u32) -> bool {
        let count = self.bodies.len();
        self.bodies.retain(|body| body.request_id != request_id);
        self.bodies.len() < count
    }

    /// Returns whether a part of the body of this request is not sent yet.
    pub fn contains(&self, request_id: u32) -> bool {
        let mut bodies = self.bodies.iter();
        bodies.any(|body| body.request_id == request_id)
    }

    /// Returns whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }
}

/// The messages whose bodies are being received; `Message` is what their frame held.
pub struct IncomingBodies<Message> {
    by_request: HashMap<u32, IncomingBody<Message>>,
}

struct IncomingBody<Message> {
    length: u64,
    received: Vec<u8>,
    /// `None` until the frame has arrived.
    message: Option<Message>,
}

impl<Message> Default for IncomingBodies<Message> {
    fn default() -> Self {
        IncomingBodies {
            by_request: HashMap::new(),
        }
    }
}

impl<Message> IncomingBodies<Message> {
    /// Handles the announcement of a body of `length` bytes.
    pub fn announce(&mut self, request_id: u32, length: u64) {
        let body = IncomingBody {
            length,
            received: Vec::new(),
            message: None,
        };
        self.by_request.insert(request_id, body);
    }

    /// Handles the message itself. Returns it at once if no body was announced for it; otherwise
    /// [`add_part`](Self::add_part) returns it with its body.
    pub fn add_message(&mut self, request_id: u32, message: Message) -> Option<Message> {
        match self.by_request.get_mut(&request_id) {
            Some(body) => {
                body.message = Some(message);
                None
            }
            None => Some(message),
        }
    }

    /// Adds the next part of a body. Returns the message and the body with the last part, and
    /// `None` for all others and for a message that was removed.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the part comes before its message or exceeds the announced length;
    /// the connection has to be closed.
    pub fn add_part(
        &mut self,
        request_id: u32,
        part: Vec<u8>,
    ) -> Result<Option<(Message, Bytes)>, Error> {
        let Some(body) = self.by_request.get_mut(&request_id) else {
            return Ok(None);
        };
        body.received.extend_from_slice(&part);
        let received = body.received.len() as u64;
        if body.message.is_none() || received > body.length {
            return Err(Error::Malformed);
        }
        if received < body.length {
            return Ok(None);
        }
        let complete = self.by_request.remove(&request_id);
        Ok(complete.and_then(|body| Some((body.message?, Bytes::from(body.received)))))
    }

    /// Forgets the message with this number, as nobody waits for it any more. Returns whether its
    /// body was incomplete.
    pub fn remove(&mut self, request_id: u32) -> bool {
        self.by_request.remove(&request_id).is_some()
    }
}
