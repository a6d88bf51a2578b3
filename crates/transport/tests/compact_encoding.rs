//! The compact encoding returns the headers that were sent and shortens repeated headers.

use rkyv::rancor;
use transport::{Error, Header, HeaderDecoder, HeaderEncoder, Headers};

fn header(name: &str, value: &str) -> Header {
    (name.to_string(), value.as_bytes().to_vec())
}

fn request(number: u32) -> Headers {
    vec![
        header("host", "a.example"),
        header("user-agent", "sdk/1.9"),
        header("accept", "*/*"),
        header("try", &format!("{number:016x}")),
    ]
}

fn sorted(mut headers: Headers) -> Headers {
    headers.sort();
    headers
}

#[test]
fn decoded_headers_are_those_sent_and_repeated_ones_are_short() {
    let (mut encoder, mut decoder) = (HeaderEncoder::default(), HeaderDecoder::default());
    let mut lengths = Vec::new();
    for number in 0..5 {
        let encoded = encoder.encode(request(number));
        lengths.push(
            rkyv::to_bytes::<rancor::Error>(&encoded)
                .expect("the headers are serialized")
                .len(),
        );
        let decoded = decoder.decode(encoded).expect("every index was assigned");
        assert_eq!(sorted(decoded), sorted(request(number)));
    }
    assert!(lengths[4] * 2 < lengths[0], "{lengths:?}");
}

#[test]
fn headers_of_one_name_keep_their_order_and_unknown_indices_are_rejected() {
    let (mut encoder, mut decoder) = (HeaderEncoder::default(), HeaderDecoder::default());
    let cookies: Headers = ["b", "a", "b"].map(|value| header("cookie", value)).into();
    for _ in 0..3 {
        let decoded = decoder.decode(encoder.encode(cookies.clone()));
        assert_eq!(decoded.expect("every index was assigned"), cookies);
    }
    let single: Headers = vec![("x".to_string(), vec![1])];
    for _ in 0..2 {
        drop(encoder.encode(single.clone()));
    }
    let unknown = HeaderDecoder::default().decode(encoder.encode(single));
    assert!(matches!(unknown, Err(Error::Malformed)), "{unknown:?}");
}
