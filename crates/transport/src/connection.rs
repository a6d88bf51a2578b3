//! One conn: a reader and a writer task, channels to both (design 4.2).

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Frames waiting for one mate; a full buffer means the mate is not keeping up.
const CHANNEL_CAPACITY: usize = 1_024;
const WRITE_CHUNK_BYTES: usize = 16 * 1024;
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

pub type FrameSender = tokio::sync::mpsc::Sender<crate::Frame>;

pub struct Connection {
    pub peer_handshake: crate::Handshake,
    pub sender: FrameSender,
    pub receiver: tokio::sync::mpsc::Receiver<crate::Frame>,
}

pub(crate) type SocketReader = tokio::io::BufReader<tokio::net::tcp::OwnedReadHalf>;
pub(crate) type SocketWriter = tokio::net::tcp::OwnedWriteHalf;

pub(crate) async fn read_frame(reader: &mut SocketReader) -> Result<crate::Frame, crate::Error> {
    let length = reader.read_u32().await? as usize;
    let version = reader.read_u16().await?;
    if version != crate::PROTOCOL_VERSION {
        return Err(crate::Error::VersionMismatch(version));
    }
    if length > crate::MAX_FRAME_BYTES {
        return Err(crate::Error::FrameTooLong(length));
    }
    let mut bytes = rkyv::util::AlignedVec::<16>::with_capacity(length);
    bytes.resize(length, 0);
    reader.read_exact(&mut bytes).await?;
    rkyv::from_bytes::<crate::Frame, rkyv::rancor::Error>(&bytes)
        .map_err(|_| crate::Error::Malformed)
}

pub(crate) fn encode_frame(frame: &crate::Frame, out: &mut Vec<u8>) -> Result<(), crate::Error> {
    let bytes =
        rkyv::to_bytes::<rkyv::rancor::Error>(frame).map_err(|_| crate::Error::Malformed)?;
    if bytes.len() > crate::MAX_FRAME_BYTES {
        return Err(crate::Error::FrameTooLong(bytes.len()));
    }
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(&crate::PROTOCOL_VERSION.to_be_bytes());
    out.extend_from_slice(&bytes);
    crate::traffic::record(frame, bytes.len() + 6);
    Ok(())
}

pub(crate) async fn write_frame(
    writer: &mut SocketWriter,
    frame: &crate::Frame,
) -> Result<(), crate::Error> {
    let mut out = Vec::new();
    encode_frame(frame, &mut out)?;
    Ok(writer.write_all(&out).await?)
}

/// A mate on a narrow link may take long for much; one that takes nothing for a while is gone.
async fn write_in_chunks(writer: &mut SocketWriter, out: &[u8]) -> bool {
    for piece in out.chunks(WRITE_CHUNK_BYTES) {
        if !matches!(
            tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(piece)).await,
            Ok(Ok(()))
        ) {
            return false;
        }
    }
    true
}

pub(crate) fn start(
    zone: &str,
    greeting: crate::Handshake,
    mut reader: SocketReader,
    mut writer: SocketWriter,
) -> Connection {
    let (sender, mut outgoing) = tokio::sync::mpsc::channel::<crate::Frame>(CHANNEL_CAPACITY);
    let (incoming, receiver) = tokio::sync::mpsc::channel(CHANNEL_CAPACITY);
    let (ended, mut reading_ended) = tokio::sync::oneshot::channel::<()>();
    let reading = tokio::spawn(async move {
        // Dropped with this task, which the writer hears at once.
        let _ended = ended;
        while let Ok(frame) = read_frame(&mut reader).await {
            if incoming.send(frame).await.is_err() {
                break;
            }
        }
    });
    let counted = crate::traffic::counter_between(zone, &greeting.zone);
    tokio::spawn(async move {
        let mut out = Vec::new();
        loop {
            let first = tokio::select! {
                frame = outgoing.recv() => frame,
                // The mate is gone: whoever holds a sender learns it by the closed channel.
                _ = &mut reading_ended => None,
            };
            let Some(first) = first else { break };
            out.clear();
            // What has gathered leaves in one write.
            let more = std::iter::from_fn(|| outgoing.try_recv().ok())
                .take(255)
                .collect::<Vec<_>>();
            let frames = more.len() + 1;
            let whole = std::iter::once(first)
                .chain(more)
                .try_for_each(|frame| encode_frame(&frame, &mut out));
            counted.count(frames, out.len());
            if whole.is_err() || !write_in_chunks(&mut writer, &out).await {
                break;
            }
        }
        reading.abort();
    });
    Connection {
        peer_handshake: greeting,
        sender,
        receiver,
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_beat_does_not_pay_for_the_largest_frame() {
        let length = |frame: &crate::Frame| {
            let mut out = Vec::new();
            super::encode_frame(frame, &mut out).expect("it fits");
            out.len()
        };
        let core = |message| crate::Frame::Consensus(mencius::Frame { cursor: 1, message });
        let lengths = [
            length(&crate::Frame::Heartbeat),
            length(&crate::Frame::RequestProof { number: 1 }),
            length(&crate::Frame::Proof {
                number: 1,
                position: 1,
            }),
            length(&core(mencius::Message::Heartbeat { applied: 1 })),
        ];
        assert!(lengths.iter().all(|length| *length <= 128), "{lengths:?}");
    }
}
