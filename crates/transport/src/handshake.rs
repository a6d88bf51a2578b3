//! The first words on a conn, from both sides (design 4.2).

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

async fn within_timeout<T>(
    work: impl Future<Output = Result<T, crate::Error>>,
) -> Result<T, crate::Error> {
    tokio::time::timeout(HANDSHAKE_TIMEOUT, work)
        .await
        .unwrap_or(Err(crate::Error::TimedOut))
}

fn split_stream(
    stream: tokio::net::TcpStream,
) -> std::io::Result<(
    crate::connection::SocketReader,
    crate::connection::SocketWriter,
)> {
    stream.set_nodelay(true)?;
    // A machine without power says nothing: what it has not taken by then ends the conn.
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let (reader, writer) = stream.into_split();
    Ok((
        tokio::io::BufReader::with_capacity(64 * 1024, reader),
        writer,
    ))
}

/// Goes out from the address this process is known by, so that a site's own rules can tell who dials.
async fn connect(address: &str, own: &str) -> Result<tokio::net::TcpStream, crate::Error> {
    let bad = |error| crate::Error::Connection(std::io::Error::new(ErrorKind::InvalidInput, error));
    let target: SocketAddr = address.parse().map_err(bad)?;
    let socket = if target.is_ipv4() {
        tokio::net::TcpSocket::new_v4()?
    } else {
        tokio::net::TcpSocket::new_v6()?
    };
    let from = own
        .parse::<SocketAddr>()
        .ok()
        .filter(|own| !own.ip().is_unspecified() && own.is_ipv4() == target.is_ipv4());
    from.map(|own| socket.bind(SocketAddr::new(own.ip(), 0)))
        .transpose()?;
    Ok(socket.connect(target).await?)
}

/// Calls a mate and waits until it has greeted back.
pub async fn dial(address: &str, own: crate::Handshake) -> Result<crate::Connection, crate::Error> {
    within_timeout(async {
        let (mut reader, mut writer) = split_stream(connect(address, &own.address).await?)?;
        let zone = own.zone.clone();
        crate::connection::write_frame(&mut writer, &crate::Frame::Handshake(Box::new(own)))
            .await?;
        match crate::connection::read_frame(&mut reader).await? {
            crate::Frame::Handshake(greeting) => {
                Ok(crate::connection::start(&zone, *greeting, reader, writer))
            }
            crate::Frame::HandshakeRefused(reason) => Err(crate::Error::Refused(reason)),
            _ => Err(crate::Error::Malformed),
        }
    })
    .await
}

/// Takes one caller. `judge` sees the greeting and answers with ours, or with why not.
pub async fn accept<J, F>(
    stream: tokio::net::TcpStream,
    authorize: J,
) -> Result<crate::Connection, crate::Error>
where
    J: FnOnce(crate::Handshake) -> F,
    F: Future<Output = Result<crate::Handshake, String>>,
{
    within_timeout(async {
        let (mut reader, mut writer) = split_stream(stream)?;
        let greeting = match crate::connection::read_frame(&mut reader).await {
            Ok(crate::Frame::Handshake(greeting)) => *greeting,
            Ok(_) => return Err(crate::Error::Malformed),
            Err(trouble) => {
                crate::connection::write_frame(
                    &mut writer,
                    &crate::Frame::HandshakeRefused(trouble.to_string()),
                )
                .await?;
                return Err(trouble);
            }
        };
        match authorize(greeting.clone()).await {
            Ok(own) => {
                let zone = own.zone.clone();
                crate::connection::write_frame(
                    &mut writer,
                    &crate::Frame::Handshake(Box::new(own)),
                )
                .await?;
                Ok(crate::connection::start(&zone, greeting, reader, writer))
            }
            Err(reason) => {
                crate::connection::write_frame(
                    &mut writer,
                    &crate::Frame::HandshakeRefused(reason.clone()),
                )
                .await?;
                Err(crate::Error::Refused(reason))
            }
        }
    })
    .await
}
