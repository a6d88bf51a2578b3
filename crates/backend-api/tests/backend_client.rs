//! Only a complete response with a valid seal for the attempt is a success (design 5.3).

use legacy_proxy::BackendConnector;
use model::{ErrorKind, ExecutionStatus};

struct BackendStandIn;

#[salvo::handler]
impl BackendStandIn {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let attempt_id =
            http_util::header_text(request, backend_api::ATTEMPT_ID_HEADER).unwrap_or_default();
        let client_service =
            http_util::header_text(request, backend_api::CLIENT_HEADER).unwrap_or_default();
        let body = format!("{attempt_id} for {client_service}").into_bytes();
        let valid_seal = backend_api::seal::seal(&attempt_id, 200, &body);
        let (status, body, seal) = match request.uri().path() {
            "/complete" => (200, body, valid_seal),
            "/truncated" => (200, body[..3].to_vec(), valid_seal),
            "/unsealed" => (200, body, String::new()),
            "/other-attempt" => (
                200,
                body.clone(),
                backend_api::seal::seal("another", 200, &body),
            ),
            "/status" => (201, body, valid_seal),
            "/large" => (
                200,
                vec![7; http_util::MAX_BODY_BYTES + 1],
                backend_api::seal::seal(&attempt_id, 200, &vec![7; http_util::MAX_BODY_BYTES + 1]),
            ),
            _ => (
                404,
                body.clone(),
                backend_api::seal::seal(&attempt_id, 404, &body),
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

fn attempt_request(path: &str) -> transport::AttemptRequest {
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
async fn response_with_a_wrong_seal_or_size_is_an_error_that_may_have_run() {
    let server = http_util::HttpServer::start(
        "127.0.0.1:0",
        salvo::Router::with_path("{**rest}").goal(BackendStandIn),
    )
    .await
    .expect("the backend starts");
    let address = server.address.to_string();
    let client = backend_api::BackendClient::new().expect("the client is created");
    let complete = client
        .forward(&address, &attempt_request("/complete"), 5_000_000)
        .await
        .expect("a response");
    assert_eq!(
        (complete.status, complete.body),
        (200, b"desk/1 for desk".to_vec())
    );
    let error_response = client
        .forward(&address, &attempt_request("/absent"), 5_000_000)
        .await
        .expect("an error status of the backend is a response");
    assert_eq!(error_response.status, 404);
    let invalid_responses = [
        ("/truncated", ErrorKind::BadSeal),
        ("/unsealed", ErrorKind::BadSeal),
        ("/other-attempt", ErrorKind::BadSeal),
        ("/status", ErrorKind::BadSeal),
        ("/large", ErrorKind::ResponseTooLarge),
    ];
    for (path, expected_kind) in invalid_responses {
        let error = client
            .forward(&address, &attempt_request(path), 5_000_000)
            .await
            .expect_err(path);
        assert_eq!(
            (error.kind, error.execution_status),
            (expected_kind, ExecutionStatus::MayHaveRun),
            "{path}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_port_means_not_run_and_a_broken_response_may_have_run() {
    let client = backend_api::BackendClient::new().expect("the client is created");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    // Reads from the request, sends a part of the response head and closes the connection.
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 64];
        tokio::io::AsyncReadExt::read(&mut stream, &mut head)
            .await
            .expect("a request");
        tokio::io::AsyncWriteExt::write_all(&mut stream, b"HTTP/1.1 200")
            .await
            .expect("a partial response");
    });
    let broken = client
        .forward(&address, &attempt_request("/x"), 5_000_000)
        .await
        .expect_err("a partial response");
    assert_eq!(
        (broken.kind, broken.execution_status),
        (ErrorKind::BackendLost, ExecutionStatus::MayHaveRun)
    );
    server.await.expect("the server closed the connection");
    let closed = client
        .forward(&address, &attempt_request("/x"), 5_000_000)
        .await
        .expect_err("no listener");
    assert_eq!(
        (closed.kind, closed.execution_status),
        (ErrorKind::Unreachable, ExecutionStatus::NotRun)
    );
}
