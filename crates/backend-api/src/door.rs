//! Into the back end over HTTP: a new conn for each request, so that nothing is ever sent twice or
//! to whoever took over an address (design 5.3).

use model::{Cause, Trouble};

pub struct Door {
    http: reqwest::Client,
}

impl Door {
    pub fn new() -> Result<Door, reqwest::Error> {
        let http = reqwest::Client::builder()
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(std::time::Duration::from_millis(500))
            .no_proxy()
            .build()?;
        Ok(Door { http })
    }

    async fn pass_on(&self, address: &str, dispatch: &transport::Dispatch, left: model::Micros) -> Result<transport::Reply, Trouble> {
        let method = reqwest::Method::from_bytes(dispatch.method.as_bytes()).map_err(|_| Trouble::new(Cause::BadRequest, "not a method"))?;
        let request = dispatch
            .headers
            .iter()
            .fold(self.http.request(method, format!("http://{address}{}{}", dispatch.path, dispatch.query)), |request, (name, value)| {
                request.header(name.as_str(), value.as_slice())
            });
        let request = request
            .header(crate::TRY, &dispatch.try_id)
            .header(crate::DISPATCH, dispatch.ordinal)
            .header(crate::WAIT, left)
            .header(crate::SENDER, &dispatch.sender_service)
            .header(crate::SERVICE, &dispatch.service)
            .header(crate::INCARNATION, dispatch.incarnation);
        let request = dispatch.key.iter().fold(request, |request, key| request.header(crate::KEY, key));
        let request = dispatch.fence.iter().fold(request, |request, fence| request.header(crate::FENCE, *fence));
        let request = request.body(dispatch.body.clone()).build().map_err(|error| Trouble::new(Cause::BadRequest, error.to_string()))?;
        let response = self.http.execute(request).await.map_err(|error| match error.is_connect() {
            true => Trouble::new(Cause::Unreachable, "the back end takes no conn"),
            false => Trouble::new(Cause::BackEndLost, error.to_string()),
        })?;
        let status = response.status().as_u16();
        let seal = response.headers().get(crate::SEAL).and_then(|seal| seal.to_str().ok()).unwrap_or_default().to_string();
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| name.as_str() == "content-type" || name.as_str().starts_with("x-app-"))
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        let body = whole(response).await?;
        if seal != crate::seal::seal(&dispatch.try_id, status, &body) {
            return Err(Trouble::new(Cause::BadSeal, "the reply is not sealed for this try"));
        }
        Ok(transport::Reply { status, headers, body, seal })
    }
}

async fn whole(mut response: reqwest::Response) -> Result<Vec<u8>, Trouble> {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) if body.len() + chunk.len() > http_util::BODY_LIMIT => {
                return Err(Trouble::new(Cause::ReplyTooLarge, format!("the reply is over {} bytes", http_util::BODY_LIMIT)));
            }
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => return Ok(body),
            Err(error) => return Err(Trouble::new(Cause::BackEndLost, error.to_string())),
        }
    }
}

impl legacy_proxy::BackDoor for Door {
    fn run<'a>(&'a self, address: &'a str, dispatch: &'a transport::Dispatch, left: model::Micros) -> legacy_proxy::Running<'a> {
        Box::pin(self.pass_on(address, dispatch, left))
    }
}
