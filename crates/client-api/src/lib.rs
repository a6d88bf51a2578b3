//! Senders: one function a request, read from top to bottom (design 5.2).

use model::{Error, ErrorKind};

/// Headers that speak of one conn, or that only we may set.
fn is_reserved_header(name: &str) -> bool {
    const RESERVED_NAMES: [&str; 10] = [
        "connection",
        "host",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "te",
        "trailer",
        "upgrade",
        "authorization",
        "expect",
    ];
    RESERVED_NAMES.contains(&name) || name.starts_with("x-gradeford-") || name.starts_with("proxy-")
}

struct CallHandler {
    proxy: legacy_proxy::OutboundProxy,
    slot_owner: legacy_proxy::SlotOwnerHandle,
}

pub fn router(
    near: legacy_proxy::OutboundProxy,
    house: legacy_proxy::SlotOwnerHandle,
) -> salvo::Router {
    salvo::Router::with_path("call/{service}/{**rest}").goal(CallHandler {
        proxy: near,
        slot_owner: house,
    })
}

#[salvo::handler]
impl CallHandler {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let try_id = http_util::header_text(request, "x-gradeford-try");
        match self.call(request, try_id.clone()).await {
            Ok(reply) => {
                response.status_code(
                    salvo::http::StatusCode::from_u16(reply.status)
                        .unwrap_or(salvo::http::StatusCode::BAD_GATEWAY),
                );
                let sealed = [
                    ("x-gradeford-seal", reply.seal),
                    ("x-gradeford-try", try_id.unwrap_or_default()),
                ];
                let headers = reply
                    .headers
                    .into_iter()
                    .chain(sealed.map(|(name, value)| (name.to_string(), value.into_bytes())));
                headers
                    .filter_map(|(name, value)| {
                        let name = salvo::http::HeaderName::from_bytes(name.as_bytes()).ok()?;
                        Some((name, salvo::http::HeaderValue::from_bytes(&value).ok()?))
                    })
                    .for_each(|(name, value)| drop(response.headers_mut().insert(name, value)));
                response.write_body(reply.body).unwrap_or_default();
            }
            Err(trouble) => http_util::write_error(response, try_id.as_deref(), &trouble),
        }
    }
}

impl CallHandler {
    async fn call(
        &self,
        request: &mut salvo::Request,
        try_id: Option<String>,
    ) -> Result<transport::AttemptResponse, Error> {
        let secret = http_util::bearer_token(request).unwrap_or_default();
        let named = |try_id: &String| {
            try_id.len() <= 192 && legacy_proxy::forwarded_attempts::is_attempt_id(try_id)
        };
        let try_id = try_id
            .filter(named)
            .ok_or_else(|| Error::new(ErrorKind::BadRequest, "the header x-gradeford-try is the registration's try_prefix and a name, at most 192 letters"))?;
        // An earlier life of this node may have known the secret, and taken the try.
        let sender = self.slot_owner.client(&secret).ok_or_else(|| {
            Error::new(
                ErrorKind::UnknownClient,
                "no live registration has this secret",
            )
        })?;
        self.proxy.accept(&sender, &try_id).await?;
        let ask = match self.read_request(request, try_id.clone()).await {
            Ok(ask) => ask,
            Err(trouble) => {
                self.proxy.record_not_run(&try_id, Some(&trouble)).await;
                return Err(trouble);
            }
        };
        // On its own task: a sender that hangs up does not tear a request that was passed on.
        let near = self.proxy.clone();
        let run = tokio::spawn(async move { near.call(sender, ask).await });
        run.await
            .unwrap_or_else(|_| Err(Error::new(ErrorKind::PeerLost, "the request's task broke")))
    }

    async fn read_request(
        &self,
        request: &mut salvo::Request,
        try_id: String,
    ) -> Result<legacy_proxy::Request, Error> {
        let wait = http_util::header_text(request, "x-gradeford-wait")
            .map(|text| {
                text.parse::<model::Microseconds>().map_err(|_| {
                    Error::new(
                        ErrorKind::BadRequest,
                        "x-gradeford-wait is whole microseconds",
                    )
                })
            })
            .transpose()?;
        let key = http_util::header_text(request, "x-gradeford-key")
            .filter(|key| !key.is_empty() && key.len() <= 256);
        let service = request.param::<String>("service").unwrap_or_default();
        let path = unambiguous_path(request.uri().path(), &service)?;
        let query = request
            .uri()
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        let headers = request
            .headers()
            .iter()
            .filter(|(name, _)| !is_reserved_header(name.as_str()))
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        let method = request.method().as_str().to_string();
        let body = http_util::read_body(request).await.ok_or_else(|| {
            Error::new(
                ErrorKind::TooLarge,
                format!(
                    "the body is over {} bytes or broke off",
                    http_util::BODY_LIMIT
                ),
            )
        })?;
        Ok(legacy_proxy::Request {
            attempt_id: try_id,
            service,
            method,
            path,
            query,
            headers,
            body,
            shard_key: key,
            timeout: wait,
        })
    }
}

/// What an order's path is compared with must be what the back end sees: no dots, no hidden slashes.
fn unambiguous_path(path: &str, service: &str) -> Result<String, Error> {
    let rest = path
        .strip_prefix("/call/")
        .and_then(|rest| rest.strip_prefix(service))
        .unwrap_or_default();
    let lower = rest.to_ascii_lowercase();
    let tricky = ["//", "%2e", "%2f", "%5c", "\\", "%00"]
        .iter()
        .any(|part| lower.contains(part));
    let dots = rest.split('/').any(|part| part == "." || part == "..");
    if !rest.starts_with('/') || tricky || dots {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "the path holds dots, doubled or encoded slashes",
        ));
    }
    Ok(rest.to_string())
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_path_that_could_mean_two_things_is_refused() {
        let path = |text: &str| super::unambiguous_path(text, "seat").ok();
        assert_eq!(
            path("/call/seat/checkout/4").as_deref(),
            Some("/checkout/4")
        );
        [
            "/call/seat",
            "/call/seat/a/../b",
            "/call/seat/a//b",
            "/call/seat/%2E%2e/b",
            "/call/seat/a%2Fb",
            "/call/seatx/a",
        ]
        .iter()
        .for_each(|text| assert_eq!(path(text), None, "{text}"));
    }

    #[test]
    fn a_sender_cannot_speak_in_our_name() {
        assert!(
            super::is_reserved_header("x-gradeford-sender")
                && super::is_reserved_header("authorization")
                && super::is_reserved_header("host")
        );
        assert!(
            !super::is_reserved_header("content-type") && !super::is_reserved_header("x-app-note")
        );
    }
}
