//! Messages between hosts, as datagrams.

use std::{io, net, sync, time};

use tokio::net::UdpSocket;
use yuccatide_steering::gateway as decisions;

use super::gateway;

/// Size of the largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends and receives the messages between hosts, for ever.
pub async fn gossip(
    address: net::SocketAddr,
    gateway: sync::Arc<gateway::Gateway>,
) -> io::Result<()> {
    let socket = UdpSocket::bind(address).await?;
    let mut heartbeat = tokio::time::interval(decisions::HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_summary = time::Instant::now();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            _ = heartbeat.tick() => {
                let summary_due = last_summary.elapsed() >= decisions::SUMMARY_INTERVAL;
                if summary_due {
                    last_summary = time::Instant::now();
                }
                send(&socket, gateway.outgoing_messages(summary_due)).await;
            }
            received = socket.recv_from(&mut buf) => {
                let Ok((length, _)) = received else {
                    // A port without a listener: its host is down, as its silence tells.
                    continue;
                };
                match postcard::from_bytes(&buf[..length]) {
                    Ok(message) => send(&socket, gateway.handle_message(message)).await,
                    Err(e) => log::debug!(error:% = e; "a datagram was not readable"),
                }
            }
        }
    }
}

async fn send(socket: &UdpSocket, messages: Vec<(net::SocketAddr, decisions::Message)>) {
    for (address, message) in messages {
        match postcard::to_allocvec(&message) {
            Ok(bytes) => {
                if let Err(e) = socket.send_to(&bytes, address).await {
                    log::debug!(address:%, error:% = e; "a datagram was not sent");
                }
            }
            Err(e) => log::error!(error:% = e; "a message has no encoding"),
        }
    }
}
