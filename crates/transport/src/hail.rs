//! The first words on a conn, from both sides (design 4.2).

const PATIENCE: std::time::Duration = std::time::Duration::from_secs(1);

const SILENCE: std::time::Duration = std::time::Duration::from_secs(3);

async fn in_time<T>(work: impl Future<Output = Result<T, crate::Trouble>>) -> Result<T, crate::Trouble> {
    tokio::time::timeout(PATIENCE, work).await.unwrap_or(Err(crate::Trouble::Slow))
}

fn halves(stream: tokio::net::TcpStream) -> std::io::Result<(crate::conn::Reader, crate::conn::Writer)> {
    stream.set_nodelay(true)?;
    // A machine without power says nothing: what it has not taken by then ends the conn.
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE))?;
    let (reader, writer) = stream.into_split();
    Ok((tokio::io::BufReader::with_capacity(64 * 1024, reader), writer))
}

/// Goes out from the address this process is known by, so that a site's own rules can tell who dials.
async fn connect(address: &str, own: &str) -> Result<tokio::net::TcpStream, crate::Trouble> {
    let bad = |error| crate::Trouble::Conn(std::io::Error::new(std::io::ErrorKind::InvalidInput, error));
    let target: std::net::SocketAddr = address.parse().map_err(bad)?;
    let socket = if target.is_ipv4() { tokio::net::TcpSocket::new_v4()? } else { tokio::net::TcpSocket::new_v6()? };
    let from = own.parse::<std::net::SocketAddr>().ok().filter(|own| !own.ip().is_unspecified() && own.is_ipv4() == target.is_ipv4());
    from.map(|own| socket.bind(std::net::SocketAddr::new(own.ip(), 0))).transpose()?;
    Ok(socket.connect(target).await?)
}

/// Calls a mate and waits until it has greeted back.
pub async fn dial(address: &str, own: crate::Greeting) -> Result<crate::Conn, crate::Trouble> {
    in_time(async {
        let (mut reader, mut writer) = halves(connect(address, &own.address).await?)?;
        let zone = own.zone.clone();
        crate::conn::write(&mut writer, &crate::Frame::Greeting(Box::new(own))).await?;
        match crate::conn::read(&mut reader).await? {
            crate::Frame::Greeting(greeting) => Ok(crate::conn::run(&zone, *greeting, reader, writer)),
            crate::Frame::Refusal(reason) => Err(crate::Trouble::Refused(reason)),
            _ => Err(crate::Trouble::Garbled),
        }
    })
    .await
}

/// Takes one caller. `judge` sees the greeting and answers with ours, or with why not.
pub async fn accept<J, F>(stream: tokio::net::TcpStream, judge: J) -> Result<crate::Conn, crate::Trouble>
where
    J: FnOnce(crate::Greeting) -> F,
    F: Future<Output = Result<crate::Greeting, String>>,
{
    in_time(async {
        let (mut reader, mut writer) = halves(stream)?;
        let greeting = match crate::conn::read(&mut reader).await {
            Ok(crate::Frame::Greeting(greeting)) => *greeting,
            Ok(_) => return Err(crate::Trouble::Garbled),
            Err(trouble) => {
                crate::conn::write(&mut writer, &crate::Frame::Refusal(trouble.to_string())).await?;
                return Err(trouble);
            }
        };
        match judge(greeting.clone()).await {
            Ok(own) => {
                let zone = own.zone.clone();
                crate::conn::write(&mut writer, &crate::Frame::Greeting(Box::new(own))).await?;
                Ok(crate::conn::run(&zone, greeting, reader, writer))
            }
            Err(reason) => {
                crate::conn::write(&mut writer, &crate::Frame::Refusal(reason.clone())).await?;
                Err(crate::Trouble::Refused(reason))
            }
        }
    })
    .await
}
