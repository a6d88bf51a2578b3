//! One conn: a reader and a writer task, channels to both (design 4.2).

use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Frames waiting for one mate; a full buffer means the mate is not keeping up.
const BUFFER: usize = 1_024;
const PIECE: usize = 16 * 1024;
const WRITE_PATIENCE: std::time::Duration = std::time::Duration::from_secs(2);

pub type Sender = tokio::sync::mpsc::Sender<crate::Frame>;

pub struct Conn {
    pub greeting: crate::Greeting,
    pub sender: Sender,
    pub receiver: tokio::sync::mpsc::Receiver<crate::Frame>,
}

pub(crate) type Reader = tokio::io::BufReader<tokio::net::tcp::OwnedReadHalf>;
pub(crate) type Writer = tokio::net::tcp::OwnedWriteHalf;

pub(crate) async fn read(reader: &mut Reader) -> Result<crate::Frame, crate::Trouble> {
    let length = reader.read_u32().await? as usize;
    let version = reader.read_u16().await?;
    if version != crate::VERSION {
        return Err(crate::Trouble::Version(version));
    }
    if length > crate::FRAME_LIMIT {
        return Err(crate::Trouble::TooLong(length));
    }
    let mut bytes = rkyv::util::AlignedVec::<16>::with_capacity(length);
    bytes.resize(length, 0);
    reader.read_exact(&mut bytes).await?;
    rkyv::from_bytes::<crate::Frame, rkyv::rancor::Error>(&bytes).map_err(|_| crate::Trouble::Garbled)
}

pub(crate) fn encode(frame: &crate::Frame, out: &mut Vec<u8>) -> Result<(), crate::Trouble> {
    let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(frame).map_err(|_| crate::Trouble::Garbled)?;
    if bytes.len() > crate::FRAME_LIMIT {
        return Err(crate::Trouble::TooLong(bytes.len()));
    }
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(&crate::VERSION.to_be_bytes());
    out.extend_from_slice(&bytes);
    crate::traffic::said(frame, bytes.len() + 6);
    Ok(())
}

pub(crate) async fn write(writer: &mut Writer, frame: &crate::Frame) -> Result<(), crate::Trouble> {
    let mut out = Vec::new();
    encode(frame, &mut out)?;
    Ok(writer.write_all(&out).await?)
}

/// A mate on a narrow link may take long for much; one that takes nothing for a while is gone.
async fn all_written(writer: &mut Writer, out: &[u8]) -> bool {
    for piece in out.chunks(PIECE) {
        if !matches!(tokio::time::timeout(WRITE_PATIENCE, writer.write_all(piece)).await, Ok(Ok(()))) {
            return false;
        }
    }
    true
}

pub(crate) fn run(zone: &str, greeting: crate::Greeting, mut reader: Reader, mut writer: Writer) -> Conn {
    let (sender, mut outgoing) = tokio::sync::mpsc::channel::<crate::Frame>(BUFFER);
    let (incoming, receiver) = tokio::sync::mpsc::channel(BUFFER);
    let (ended, mut reading_ended) = tokio::sync::oneshot::channel::<()>();
    let reading = tokio::spawn(async move {
        // Dropped with this task, which the writer hears at once.
        let _ended = ended;
        while let Ok(frame) = read(&mut reader).await {
            if incoming.send(frame).await.is_err() {
                break;
            }
        }
    });
    let counted = crate::traffic::between(zone, &greeting.zone);
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
            let more = std::iter::from_fn(|| outgoing.try_recv().ok()).take(255).collect::<Vec<_>>();
            let frames = more.len() + 1;
            let whole = std::iter::once(first).chain(more).try_for_each(|frame| encode(&frame, &mut out));
            counted.count(frames, out.len());
            if whole.is_err() || !all_written(&mut writer, &out).await {
                break;
            }
        }
        reading.abort();
    });
    Conn { greeting, sender, receiver }
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_beat_does_not_pay_for_the_largest_frame() {
        let length = |frame: &crate::Frame| {
            let mut out = Vec::new();
            super::encode(frame, &mut out).expect("it fits");
            out.len()
        };
        let core = |message| crate::Frame::Core(mencius::Frame { cursor: 1, message });
        let lengths = [
            length(&crate::Frame::Beat),
            length(&crate::Frame::Ask { number: 1 }),
            length(&crate::Frame::Proof { number: 1, position: 1 }),
            length(&core(mencius::Message::Beat { applied: 1 })),
        ];
        assert!(lengths.iter().all(|length| *length <= 128), "{lengths:?}");
    }
}
