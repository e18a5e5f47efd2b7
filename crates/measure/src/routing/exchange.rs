//! Size of one load report exchange.

use cornelarch_standin::engine::{self, EngineOptions};
use tokio::net::{TcpListener, TcpStream};

/// Bytes of the IPv4 and TCP headers without options.
const PACKET_HEADERS: u64 = 40;
/// Packets of an exchange on an open connection: request, response and acknowledgement.
const PACKETS: u64 = 3;

/// Error of the measurement.
type ExchangeError = Box<dyn std::error::Error + Send + Sync>;

/// Holds the bytes of one exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExchangeSize {
    pub(super) request: u64,
    pub(super) response: u64,
}

impl ExchangeSize {
    /// Returns the bytes in both directions with the headers of the packets.
    pub(super) const fn total(self) -> u64 {
        self.request + self.response + PACKETS * PACKET_HEADERS
    }
}

/// Reads the load of an engine stand-in through a relay that counts the bytes.
///
/// # Errors
///
/// Returns an error if a part cannot be started or does not answer.
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
        // Closes the connection, which ends the relay.
        drop(client);
        let (request, response) = relay.await??;
        Ok(ExchangeSize { request, response })
    })
}
