//! A lost opening packet of a connection.
//!
//! What callers saw: a call that was half a second late or refused, and an engine without new work for a second, as one packet was lost. The kernel
//! repeats it after a second; a gateway gives a connection half a second, and suspects an endpoint that can't be connected to.

use sorrellock_http::connect;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep};

/// What the kernel waits before it repeats a lost opening packet.
const KERNEL_RETRY: Duration = Duration::from_secs(1);
/// For how long opening packets are lost.
const LOSS: Duration = Duration::from_millis(20);

/// Connects to a listener whose backlog is full for a while, so that the kernel drops opening packets. How long it took.
async fn connect_through_loss() -> Duration {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let listener = socket.listen(0).expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let _filler = connect(addr).await.expect("the one connection that fits");

    let began = Instant::now();
    let accepts = async {
        sleep(LOSS).await;
        loop {
            listener.accept().await.expect("a connection");
        }
    };
    tokio::select! {
        connected = connect(addr) => connected.expect("a connection"),
        () = accepts => unreachable!("it accepts for ever"),
    };
    began.elapsed()
}

#[test]
fn a_lost_opening_packet_is_repeated_long_before_the_kernel_does() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();

    let took = runtime.expect("a runtime").block_on(connect_through_loss());

    assert!(took >= LOSS, "no packet was lost: {took:?}");
    assert!(took < KERNEL_RETRY / 4, "{took:?}");
}
