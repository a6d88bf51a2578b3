//! The signals by which operators speak to a program.

use std::io;

use tokio::signal::unix::{self, SignalKind};

/// What an operator asks for by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: stop in good order.
    Stop,
    /// SIGHUP: read the settings again.
    Reload,
}

/// Catches SIGTERM and SIGHUP, which would otherwise end the process.
pub struct Signals {
    terminate: unix::Signal,
    hang_up: unix::Signal,
}

impl Signals {
    /// Begins to catch signals; to be called before anything else, as one may come early.
    ///
    /// # Errors
    ///
    /// If the system does not let the handlers be set.
    pub fn install() -> io::Result<Signals> {
        let terminate = unix::signal(SignalKind::terminate())?;
        let hang_up = unix::signal(SignalKind::hangup())?;
        Ok(Signals { terminate, hang_up })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.terminate.recv() => Signal::Stop,
            _ = self.hang_up.recv() => Signal::Reload,
        }
    }

    /// Waits for SIGTERM and takes no notice of SIGHUP.
    pub async fn stop_requested(&mut self) {
        while self.next().await != Signal::Stop {}
    }
}
