//! Measures the size of a load report exchange.

use cornelarch_standin::engine::{self, EngineOptions};
use tokio::net::{TcpListener, TcpStream};

/// Size of the IPv4 and TCP headers without options, in bytes.
const PACKET_HEADERS: u64 = 40;
/// Packets per exchange on an open connection: request, response and acknowledgement.
const PACKETS: u64 = 3;

/// Error returned by [`measure`].
type ExchangeError = Box<dyn std::error::Error + Send + Sync>;

/// Size of one exchange in bytes, without packet headers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExchangeSize {
    pub(super) request: u64,
    pub(super) response: u64,
}

impl ExchangeSize {
    /// Returns the size of both directions including packet headers, in bytes.
    pub(super) const fn total(self) -> u64 {
        self.request + self.response + PACKETS * PACKET_HEADERS
    }
}

/// Requests a load report from an engine stand-in through a relay that counts the bytes.
///
/// # Errors
///
/// Returns an error if the engine or the relay cannot be started or the request fails.
pub(super) fn measure() -> Result<ExchangeSize, ExchangeError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let engine = engine::bind(EngineOptions::default()).await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let url = format!("http://{}/load", listener.local_addr()?);
        let target = engine.address();
        let relay = tokio::spawn(async move {
            let (mut caller, _) = listener.accept().await?;
            let mut engine = TcpStream::connect(target).await?;
            tokio::io::copy_bidirectional(&mut caller, &mut engine).await
        });
        let client = reqwest::Client::new();
        let response = client.get(url).send().await?.error_for_status()?;
        response.bytes().await?;
        // Dropping the client closes the connection, which ends the relay task.
        drop(client);
        let (request, response) = relay.await??;
        Ok(ExchangeSize { request, response })
    })
}
