//! Opens connections.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which an opening packet counts as lost: more than a round trip between regions. The kernel repeats it after a second only.
const OPENING_LOST_AFTER: Duration = Duration::from_millis(50);

/// Opens a connection without delayed writes. Where the opening packet may be lost, a second one is sent; the first
/// connection that is open counts.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let mut first = pin!(TcpStream::connect(addr));
    let stream = match timeout(OPENING_LOST_AFTER, first.as_mut()).await {
        Ok(res) => res?,
        Err(_) => tokio::select! {
            res = first => res?,
            res = TcpStream::connect(addr) => res?,
        },
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}
