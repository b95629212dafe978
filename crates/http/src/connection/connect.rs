//! Opens connections.

use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens a connection without delayed writes.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
