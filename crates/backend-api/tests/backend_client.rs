//! Only a whole, sealed reply to this very try is a success (design 5.3).

use legacy_proxy::BackendConnector;
use model::{ErrorKind, ExecutionStatus};

struct BackendStandIn;

#[salvo::handler]
impl BackendStandIn {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let try_id =
            http_util::header_text(request, backend_api::ATTEMPT_ID_HEADER).unwrap_or_default();
        let told = http_util::header_text(request, backend_api::CLIENT_HEADER).unwrap_or_default();
        let body = format!("{try_id} for {told}").into_bytes();
        let whole = backend_api::seal::seal(&try_id, 200, &body);
        let (status, body, seal) = match request.uri().path() {
            "/whole" => (200, body, whole),
            "/truncated" => (200, body[..3].to_vec(), whole),
            "/unsealed" => (200, body, String::new()),
            "/anothers" => (
                200,
                body.clone(),
                backend_api::seal::seal("another", 200, &body),
            ),
            "/status" => (201, body, whole),
            "/large" => (
                200,
                vec![7; http_util::MAX_BODY_BYTES + 1],
                backend_api::seal::seal(&try_id, 200, &vec![7; http_util::MAX_BODY_BYTES + 1]),
            ),
            _ => (
                404,
                body.clone(),
                backend_api::seal::seal(&try_id, 404, &body),
            ),
        };
        response.status_code(salvo::http::StatusCode::from_u16(status).expect("a status"));
        if let Ok(seal) = salvo::http::HeaderValue::from_str(&seal) {
            response
                .headers_mut()
                .insert(backend_api::SEAL_HEADER, seal);
        }
        response.write_body(body).expect("a body");
    }
}

fn dispatch(path: &str) -> transport::AttemptRequest {
    transport::AttemptRequest {
        request_id: 1,
        attempt_id: "desk/1".into(),
        ordinal: 0,
        client_service: "desk".into(),
        route: "l".into(),
        service: "seat".into(),
        backend: "seat-0".into(),
        incarnation: 1,
        method: "GET".into(),
        path: path.into(),
        query: String::new(),
        headers: vec![],
        body: vec![],
        shard_key: None,
        fencing_token: None,
        time_left: 5_000_000,
        priority: 5,
        last_watermark: 0,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_spoilt_response_is_an_error_that_may_have_run() {
    let actor = http_util::HttpServer::start(
        "127.0.0.1:0",
        salvo::Router::with_path("{**rest}").goal(BackendStandIn),
    )
    .await
    .expect("a stand-in");
    let address = actor.address.to_string();
    let door = backend_api::BackendClient::new().expect("a door");
    let whole = door
        .forward(&address, &dispatch("/whole"), 5_000_000)
        .await
        .expect("a reply");
    assert_eq!(
        (whole.status, whole.body),
        (200, b"desk/1 for desk".to_vec())
    );
    let refusal = door
        .forward(&address, &dispatch("/absent"), 5_000_000)
        .await
        .expect("the back end's own refusal is its answer");
    assert_eq!(refusal.status, 404);
    let spoilt = [
        ("/truncated", ErrorKind::BadSeal),
        ("/unsealed", ErrorKind::BadSeal),
        ("/anothers", ErrorKind::BadSeal),
        ("/status", ErrorKind::BadSeal),
        ("/large", ErrorKind::ResponseTooLarge),
    ];
    for (path, cause) in spoilt {
        let trouble = door
            .forward(&address, &dispatch(path), 5_000_000)
            .await
            .expect_err(path);
        assert_eq!(
            (trouble.kind, trouble.execution_status),
            (cause, ExecutionStatus::MayHaveRun),
            "{path}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_closed_port_is_certain_and_a_broken_answer_is_not() {
    let door = backend_api::BackendClient::new().expect("a door");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    // Takes the request, answers half a head and hangs up.
    let hanging_up = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a conn");
        let mut head = [0; 64];
        tokio::io::AsyncReadExt::read(&mut stream, &mut head)
            .await
            .expect("a request");
        tokio::io::AsyncWriteExt::write_all(&mut stream, b"HTTP/1.1 200")
            .await
            .expect("half an answer");
    });
    let lost = door
        .forward(&address, &dispatch("/x"), 5_000_000)
        .await
        .expect_err("half an answer");
    assert_eq!(
        (lost.kind, lost.execution_status),
        (ErrorKind::BackendLost, ExecutionStatus::MayHaveRun)
    );
    hanging_up.await.expect("it hung up");
    let closed = door
        .forward(&address, &dispatch("/x"), 5_000_000)
        .await
        .expect_err("nobody listens");
    assert_eq!(
        (closed.kind, closed.execution_status),
        (ErrorKind::Unreachable, ExecutionStatus::NotRun)
    );
}
