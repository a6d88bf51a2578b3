//! Only a whole, sealed reply to this very try is a success (design 5.3).

use legacy_proxy::BackDoor;
use model::{Cause, Verdict};

struct Actor;

#[salvo::handler]
impl Actor {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let try_id = http_util::header(request, backend_api::TRY).unwrap_or_default();
        let told = http_util::header(request, backend_api::SENDER).unwrap_or_default();
        let body = format!("{try_id} for {told}").into_bytes();
        let whole = backend_api::seal::seal(&try_id, 200, &body);
        let (status, body, seal) = match request.uri().path() {
            "/whole" => (200, body, whole),
            "/truncated" => (200, body[..3].to_vec(), whole),
            "/unsealed" => (200, body, String::new()),
            "/anothers" => (200, body.clone(), backend_api::seal::seal("another", 200, &body)),
            "/status" => (201, body, whole),
            "/large" => (200, vec![7; http_util::BODY_LIMIT + 1], backend_api::seal::seal(&try_id, 200, &vec![7; http_util::BODY_LIMIT + 1])),
            _ => (404, body.clone(), backend_api::seal::seal(&try_id, 404, &body)),
        };
        response.status_code(salvo::http::StatusCode::from_u16(status).expect("a status"));
        if let Ok(seal) = salvo::http::HeaderValue::from_str(&seal) {
            response.headers_mut().insert(backend_api::SEAL, seal);
        }
        response.write_body(body).expect("a body");
    }
}

fn dispatch(path: &str) -> transport::Dispatch {
    transport::Dispatch {
        number: 1,
        try_id: "desk/1".into(),
        ordinal: 0,
        sender_service: "desk".into(),
        lane: "l".into(),
        service: "seat".into(),
        back_end: "seat-0".into(),
        incarnation: 1,
        method: "GET".into(),
        path: path.into(),
        query: String::new(),
        headers: vec![],
        body: vec![],
        key: None,
        fence: None,
        left: 5_000_000,
        importance: 5,
        mark: 0,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_spoilt_reply_is_a_trouble_that_may_have_run() {
    let actor = http_util::Serving::start("127.0.0.1:0", salvo::Router::with_path("{**rest}").goal(Actor)).await.expect("a stand-in");
    let address = actor.address.to_string();
    let door = backend_api::Door::new().expect("a door");
    let whole = door.run(&address, &dispatch("/whole"), 5_000_000).await.expect("a reply");
    assert_eq!((whole.status, whole.body), (200, b"desk/1 for desk".to_vec()));
    let refusal = door.run(&address, &dispatch("/absent"), 5_000_000).await.expect("the back end's own refusal is its answer");
    assert_eq!(refusal.status, 404);
    let spoilt = [
        ("/truncated", Cause::BadSeal),
        ("/unsealed", Cause::BadSeal),
        ("/anothers", Cause::BadSeal),
        ("/status", Cause::BadSeal),
        ("/large", Cause::ReplyTooLarge),
    ];
    for (path, cause) in spoilt {
        let trouble = door.run(&address, &dispatch(path), 5_000_000).await.expect_err(path);
        assert_eq!((trouble.cause, trouble.verdict), (cause, Verdict::MayHaveRun), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_closed_port_is_certain_and_a_broken_answer_is_not() {
    let door = backend_api::Door::new().expect("a door");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    // Takes the request, answers half a head and hangs up.
    let hanging_up = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a conn");
        let mut head = [0; 64];
        tokio::io::AsyncReadExt::read(&mut stream, &mut head).await.expect("a request");
        tokio::io::AsyncWriteExt::write_all(&mut stream, b"HTTP/1.1 200").await.expect("half an answer");
    });
    let lost = door.run(&address, &dispatch("/x"), 5_000_000).await.expect_err("half an answer");
    assert_eq!((lost.cause, lost.verdict), (Cause::BackEndLost, Verdict::MayHaveRun));
    hanging_up.await.expect("it hung up");
    let closed = door.run(&address, &dispatch("/x"), 5_000_000).await.expect_err("nobody listens");
    assert_eq!((closed.cause, closed.verdict), (Cause::Unreachable, Verdict::NotRun));
}
