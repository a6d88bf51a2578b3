//! Into the back end over HTTP: a new conn for each request, so that nothing is ever sent twice or
//! to whoever took over an address (design 5.3).

use model::{Error, ErrorKind};
use std::time::Duration;

pub struct BackendClient {
    http: reqwest::Client,
}

impl BackendClient {
    pub fn new() -> Result<BackendClient, reqwest::Error> {
        let http = reqwest::Client::builder()
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(Duration::from_millis(500))
            .no_proxy()
            .build()?;
        Ok(BackendClient { http })
    }

    async fn forward(
        &self,
        address: &str,
        dispatch: &transport::AttemptRequest,
        left: model::Microseconds,
    ) -> Result<transport::AttemptResponse, Error> {
        let method = reqwest::Method::from_bytes(dispatch.method.as_bytes())
            .map_err(|_| Error::new(ErrorKind::BadRequest, "not a method"))?;
        let request = dispatch.headers.iter().fold(
            self.http.request(
                method,
                format!("http://{address}{}{}", dispatch.path, dispatch.query),
            ),
            |request, (name, value)| request.header(name.as_str(), value.as_slice()),
        );
        let request = request
            .header(crate::ATTEMPT_ID_HEADER, &dispatch.attempt_id)
            .header(crate::ATTEMPT_ORDINAL_HEADER, dispatch.ordinal)
            .header(crate::TIME_LEFT_HEADER, left)
            .header(crate::CLIENT_HEADER, &dispatch.client_service)
            .header(crate::SERVICE_HEADER, &dispatch.service)
            .header(crate::INCARNATION_HEADER, dispatch.incarnation);
        let request = dispatch.shard_key.iter().fold(request, |request, key| {
            request.header(crate::SHARD_KEY_HEADER, key)
        });
        let request = dispatch
            .fencing_token
            .iter()
            .fold(request, |request, fence| {
                request.header(crate::FENCING_TOKEN_HEADER, *fence)
            });
        let request = request
            .body(dispatch.body.clone())
            .build()
            .map_err(|error| Error::caused_by(ErrorKind::BadRequest, &error))?;
        let response =
            self.http
                .execute(request)
                .await
                .map_err(|error| match error.is_connect() {
                    true => Error::new(ErrorKind::Unreachable, "the back end takes no conn"),
                    false => Error::caused_by(ErrorKind::BackendLost, &error),
                })?;
        let status = response.status().as_u16();
        let seal = response
            .headers()
            .get(crate::SEAL_HEADER)
            .and_then(|seal| seal.to_str().ok())
            .unwrap_or_default()
            .to_string();
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| {
                name.as_str() == "content-type" || name.as_str().starts_with("x-app-")
            })
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        let body = read_whole_body(response).await?;
        if seal != crate::seal::seal(&dispatch.attempt_id, status, &body) {
            return Err(Error::new(
                ErrorKind::BadSeal,
                "the reply is not sealed for this try",
            ));
        }
        Ok(transport::AttemptResponse {
            status,
            headers,
            body,
            seal,
        })
    }
}

async fn read_whole_body(mut response: reqwest::Response) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) if body.len() + chunk.len() > http_util::BODY_LIMIT => {
                return Err(Error::new(
                    ErrorKind::ResponseTooLarge,
                    format!("the reply is over {} bytes", http_util::BODY_LIMIT),
                ));
            }
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => return Ok(body),
            Err(error) => return Err(Error::caused_by(ErrorKind::BackendLost, &error)),
        }
    }
}

impl legacy_proxy::BackendConnector for BackendClient {
    fn forward<'a>(
        &'a self,
        address: &'a str,
        dispatch: &'a transport::AttemptRequest,
        left: model::Microseconds,
    ) -> legacy_proxy::ForwardFuture<'a> {
        Box::pin(self.forward(address, dispatch, left))
    }
}
