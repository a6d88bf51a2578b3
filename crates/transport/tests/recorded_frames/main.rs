//! The bytes of all frames as they stand on a conn, length and version included, as an earlier build
//! wrote them. Each goes through a real conn both ways: said by it, and taken by it.

#[path = "../../../test-support/tests/recorded/mod.rs"]
mod recorded;
#[path = "../../../test-support/tests/recorded/variants.rs"]
mod recorded_variants;
mod samples;

use recorded::RecordedBytes;
use samples::{cue, frames, further_frames, greeting, take};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use transport::{Connection, Frame, Handshake, HeaderDecoder, HeaderEncoder, Purpose, accept};

const LENGTH_AND_VERSION: usize = 6;

/// A frame as bytes, as the far side of the conn reads it.
async fn read_raw(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH_AND_VERSION];
    stream
        .read_exact(&mut bytes)
        .await
        .expect("length and version");
    let length = u32::from_be_bytes(bytes[..4].try_into().expect("four bytes")) as usize;
    bytes.resize(LENGTH_AND_VERSION + length, 0);
    stream
        .read_exact(&mut bytes[LENGTH_AND_VERSION..])
        .await
        .expect("a whole frame");
    bytes
}

/// A conn of this build, and the bare stream at its other end. The greeting that opens it is the
/// recorded one; the one that answers it is checked as well.
async fn conn(recorded: &mut RecordedBytes, greeting_bytes: &[u8]) -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut stream = TcpStream::connect(address).await.expect("a stream");
    let (accepted, _) = listener.accept().await.expect("a caller");
    stream
        .write_all(greeting_bytes)
        .await
        .expect("a greeting is sent");
    let own = greeting(Purpose::Consensus);
    let taken = accept(accepted, async |called: Handshake| {
        assert_eq!(called, greeting(Purpose::Consensus));
        Ok(own)
    });
    let conn = taken.await.expect("a conn");
    recorded.check("greeting-in-answer", &read_raw(&mut stream).await);
    (conn, stream)
}

async fn check(
    recorded: &mut RecordedBytes,
    (conn, stream): &mut (Connection, TcpStream),
    name: &str,
    frame: Frame,
) {
    conn.sender
        .send(frame.clone())
        .await
        .expect("the conn is open");
    let bytes = recorded.check(name, &read_raw(stream).await);
    stream.write_all(&bytes).await.expect("the conn is open");
    assert_eq!(conn.receiver.recv().await, Some(frame), "{name}");
}

/// What opens the conn on which all others are compared.
fn opening() -> Vec<u8> {
    let frame = Frame::Handshake(Box::new(greeting(Purpose::Consensus)));
    let archive = rkyv::to_bytes::<rkyv::rancor::Error>(&frame).expect("an archive");
    let length = (archive.len() as u32).to_be_bytes();
    [
        &length[..],
        &transport::PROTOCOL_VERSION.to_be_bytes(),
        &archive,
    ]
    .concat()
}

#[tokio::test]
async fn every_frame_has_the_recorded_bytes_on_a_conn_both_ways() {
    let mut recorded = RecordedBytes::of("frames");
    let opening = recorded.check("greeting-to-open", &opening());
    let mut conn = conn(&mut recorded, &opening).await;
    let all = frames()
        .into_iter()
        .map(|(name, frame)| (name.to_string(), frame));
    for (name, frame) in all.chain(further_frames()) {
        check(&mut recorded, &mut conn, &name, frame).await;
    }
    recorded.finish();
}

/// Whole, then as a pair worth a number, then by that number.
#[tokio::test]
async fn what_is_said_again_on_a_conn_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::of("said-again");
    let opening = opening();
    let mut conn = conn(&mut recorded, &opening).await;
    let (mut speaker, mut listener) = (HeaderEncoder::default(), HeaderDecoder::default());
    for number in 1..=3 {
        let said = cue(number).encode(&mut speaker);
        let frame = Frame::ForwardedRequest(number, Box::new(said.clone()));
        check(&mut recorded, &mut conn, &format!("cue-{number}"), frame).await;
        let mut heard = said.decode(&mut listener).expect("known words");
        heard.headers.sort();
        assert_eq!(heard, cue(number));
    }
    let (mut speaker, mut listener) = (HeaderEncoder::default(), HeaderDecoder::default());
    for number in 1..=3 {
        let said = take().encode(&mut speaker);
        let frame = Frame::ForwardedResponse(number, 5, Box::new(said.clone()));
        check(&mut recorded, &mut conn, &format!("taken-{number}"), frame).await;
        assert_eq!(said.decode(&mut listener).expect("known words"), take());
    }
    recorded.finish();
}
