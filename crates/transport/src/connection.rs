//! An open connection: a reader task and a writer task, each with a channel of frames.
//!
//! A frame on the wire is its length in bytes (`u32`, big-endian), the protocol version (`u16`,
//! big-endian) and its `rkyv` bytes. The connection closes when either task ends (design 4.2).

use std::iter;
use std::ops::RangeInclusive;
use std::time::Duration;

use rkyv::rancor;
use rkyv::util::AlignedVec;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::traffic::{self, TrafficCounter};
use crate::{Error, Frame, Handshake, MAX_FRAME_BYTES};

/// Capacity of the channel in each direction, in frames; it is full if the receiver is too slow.
const CHANNEL_CAPACITY: usize = 1_024;
/// Capacity of the channel of body parts. Small, so that the owner decides late which part is next.
const PART_CHANNEL_CAPACITY: usize = 1;
/// Maximum number of frames in one write.
const MAX_FRAMES_PER_WRITE: usize = 256;
/// Number of bytes that the peer has to accept within [`WRITE_TIMEOUT`].
const WRITE_CHUNK_BYTES: usize = 16 * 1024;
/// Timeout for writing [`WRITE_CHUNK_BYTES`].
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the length and the version before each frame, in bytes.
const PREFIX_BYTES: usize = size_of::<u32>() + size_of::<u16>();

/// Sends frames to a peer; closed once the connection has ended.
pub type FrameSender = mpsc::Sender<Frame>;

pub(crate) type SocketReader = BufReader<OwnedReadHalf>;
pub(crate) type SocketWriter = OwnedWriteHalf;

/// An open connection after both handshakes.
///
/// The connection ends when every [`FrameSender`] is dropped, when the peer closes the connection,
/// when either side violates the protocol, or when the peer accepts no data for two seconds.
pub struct Connection {
    /// Handshake that the peer sent.
    pub peer_handshake: Handshake,
    /// Protocol version that both sides speak. Frames of later versions must not be sent.
    pub protocol_version: u16,
    /// Sends frames to the peer.
    pub sender: FrameSender,
    /// Sends the parts of long bodies to the peer, one at a time. A part never overtakes a frame
    /// that was sent with `sender` before it, and all such frames overtake waiting parts.
    pub part_sender: FrameSender,
    /// The number of frames, including parts, that were written to the socket after the handshake.
    pub written_frames: watch::Receiver<u64>,
    /// Yields the peer's frames in the order in which they were sent, and `None` at the end.
    pub receiver: mpsc::Receiver<Frame>,
}

/// Reads one complete frame of one of these protocol versions, and returns it with its version.
pub(crate) async fn read_frame(
    reader: &mut SocketReader,
    versions: RangeInclusive<u16>,
) -> Result<(Frame, u16), Error> {
    let length = reader.read_u32().await? as usize;
    let version = reader.read_u16().await?;
    if !versions.contains(&version) {
        return Err(Error::VersionMismatch(version));
    }
    if length > MAX_FRAME_BYTES {
        return Err(Error::FrameTooLong(length));
    }
    let mut bytes = AlignedVec::<16>::with_capacity(length);
    bytes.resize(length, 0);
    reader.read_exact(&mut bytes).await?;
    let frame = rkyv::from_bytes::<Frame, rancor::Error>(&bytes);
    frame
        .map(|frame| (frame, version))
        .map_err(|_| Error::Malformed)
}

/// Appends a frame with its prefix to `buffer` and counts the frame under its kind.
pub(crate) fn encode_frame(frame: &Frame, version: u16, buffer: &mut Vec<u8>) -> Result<(), Error> {
    let bytes = rkyv::to_bytes::<rancor::Error>(frame).map_err(|_| Error::Malformed)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::FrameTooLong(bytes.len()));
    }
    buffer.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    buffer.extend_from_slice(&version.to_be_bytes());
    buffer.extend_from_slice(&bytes);
    traffic::record(frame, PREFIX_BYTES + bytes.len());
    Ok(())
}

/// Writes one frame of a handshake, before the writer task exists.
pub(crate) async fn write_frame(
    writer: &mut SocketWriter,
    frame: &Frame,
    version: u16,
) -> Result<(), Error> {
    let mut buffer = Vec::new();
    encode_frame(frame, version, &mut buffer)?;
    Ok(writer.write_all(&buffer).await?)
}

/// Starts both tasks after the handshakes. `zone` is the zone of this process.
pub(crate) fn start(
    zone: &str,
    peer_handshake: Handshake,
    protocol_version: u16,
    reader: SocketReader,
    mut writer: SocketWriter,
) -> Connection {
    let (sender, outgoing) = mpsc::channel(CHANNEL_CAPACITY);
    let (part_sender, parts) = mpsc::channel(PART_CHANNEL_CAPACITY);
    let (written, written_frames) = watch::channel(0);
    let mut outgoing = OutgoingFrames {
        frames: outgoing,
        parts,
    };
    let (incoming, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let (reader_alive, reader_ended) = oneshot::channel();
    let counter = traffic::counter_between(zone, &peer_handshake.zone);
    let reading = tokio::spawn(read_frames(
        reader,
        protocol_version,
        incoming,
        reader_alive,
    ));
    tokio::spawn(async move {
        write_frames(
            &mut writer,
            protocol_version,
            &mut outgoing,
            reader_ended,
            (counter, written),
        )
        .await;
        reading.abort();
    });
    Connection {
        peer_handshake,
        protocol_version,
        sender,
        part_sender,
        written_frames,
        receiver,
    }
}

/// Forwards received frames to the connection's owner until the stream ends, a frame is invalid or
/// the receiver is dropped.
///
/// `_reader_alive` is dropped with this task, which notifies the writer that the connection has
/// ended.
async fn read_frames(
    mut reader: SocketReader,
    version: u16,
    incoming: mpsc::Sender<Frame>,
    _reader_alive: oneshot::Sender<()>,
) {
    while let Ok((frame, _)) = read_frame(&mut reader, version..=version).await {
        if incoming.send(frame).await.is_err() {
            break;
        }
    }
}

/// The frames that wait to be written.
struct OutgoingFrames {
    frames: mpsc::Receiver<Frame>,
    parts: mpsc::Receiver<Frame>,
}

impl OutgoingFrames {
    /// Waits for frames and returns those of the next write: all that wait, up to a maximum, and
    /// then one part of a body. Returns `None` once every sender of frames is dropped.
    async fn next_write(&mut self) -> Option<Vec<Frame>> {
        let (mut write, mut part) = (Vec::new(), None);
        tokio::select! {
            frame = self.frames.recv() => write.push(frame?),
            Some(next) = self.parts.recv() => part = Some(next),
        }
        let waiting = iter::from_fn(|| self.frames.try_recv().ok());
        if part.is_some() {
            // The part may belong to any of these frames, so it follows all of them.
            write.extend(waiting);
        } else {
            write.extend(waiting.take(MAX_FRAMES_PER_WRITE - 1));
            if self.frames.is_empty() {
                part = self.parts.try_recv().ok();
                // A frame may have been sent together with the part that belongs to it.
                write.extend(iter::from_fn(|| self.frames.try_recv().ok()));
            }
        }
        write.extend(part);
        Some(write)
    }
}

/// Writes frames until every sender is dropped, the reader task has ended or a write fails.
async fn write_frames(
    writer: &mut SocketWriter,
    version: u16,
    outgoing: &mut OutgoingFrames,
    mut reader_ended: oneshot::Receiver<()>,
    (counter, written): (&TrafficCounter, watch::Sender<u64>),
) {
    let mut buffer = Vec::new();
    loop {
        let frames = tokio::select! {
            frames = outgoing.next_write() => frames,
            // The peer is gone; the closed channel shows this to the holders of senders.
            _ = &mut reader_ended => None,
        };
        let Some(frames) = frames else { return };
        buffer.clear();
        let encoded = frames
            .iter()
            .try_for_each(|frame| encode_frame(frame, version, &mut buffer));
        counter.count(frames.len(), buffer.len());
        if encoded.is_err() || write_in_chunks(writer, &buffer).await.is_err() {
            return;
        }
        written.send_modify(|written| *written += frames.len() as u64);
    }
}

/// Writes all bytes, with a timeout for each chunk: a peer on a slow link may need long for many
/// bytes, while a peer that accepts no bytes within the timeout is considered gone.
async fn write_in_chunks(writer: &mut SocketWriter, bytes: &[u8]) -> Result<(), Error> {
    for chunk in bytes.chunks(WRITE_CHUNK_BYTES) {
        timeout(WRITE_TIMEOUT, writer.write_all(chunk))
            .await
            .map_err(|_| Error::TimedOut)??;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
