//! Exchanges messages with other hosts as UDP datagrams.

use std::{io, net, sync, time};

use tokio::net::UdpSocket;
use yuccatide_steering::gateway as decisions;

use super::gateway;

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends and receives messages between hosts. Returns only if the socket can't be bound.
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
                let is_urgent = gateway.take_urgency();
                let summary_due = last_summary.elapsed() >= decisions::SUMMARY_INTERVAL || is_urgent;
                if summary_due {
                    last_summary = time::Instant::now();
                }
                send(&socket, gateway.outgoing_messages(summary_due)).await;
            }
            () = gateway.quota_messages_due() => send(&socket, gateway.quota_messages()).await,
            received = socket.recv_from(&mut buf) => {
                let Ok((length, _)) = received else {
                    // ICMP port unreachable: the peer is down, which its missing heartbeats show.
                    continue;
                };
                match postcard::from_bytes(&buf[..length]) {
                    Ok(message) => send(&socket, gateway.handle_message(message)).await,
                    Err(e) => log::debug!(error:% = e; "failed to decode a datagram"),
                }
            }
        }
    }
}

async fn send(socket: &UdpSocket, messages: impl IntoIterator<Item = decisions::Outgoing>) {
    for decisions::Outgoing { to, message } in messages {
        let bytes = match postcard::to_allocvec(&message) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(error:% = e; "failed to encode a message");
                continue;
            }
        };
        for address in to {
            if let Err(e) = socket.send_to(&bytes, address).await {
                log::debug!(address:%, error:% = e; "failed to send a datagram");
            }
        }
    }
}
