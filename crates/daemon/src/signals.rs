//! Handling of the signals that operators send to a program.

use std::io;

use tokio::signal::unix::{self, SignalKind};

/// Action that an operator requests by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: stop gracefully.
    Stop,
    /// SIGHUP: read the settings again.
    Reload,
}

/// Handlers for SIGTERM and SIGHUP, whose default action would end the process.
pub struct Signals {
    terminate: unix::Signal,
    hang_up: unix::Signal,
}

impl Signals {
    /// Installs the handlers. Call this first, because a signal may arrive early during the start.
    ///
    /// # Errors
    ///
    /// Fails if the operating system rejects the handlers.
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

    /// Waits for SIGTERM and ignores SIGHUP.
    pub async fn stop_requested(&mut self) {
        while self.next().await != Signal::Stop {}
    }
}
