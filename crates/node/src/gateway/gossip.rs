//! Messages between hosts, as datagrams.

use std::{io, net, sync, time};

use tokio::net::UdpSocket;
use yuccatide_steering::gateway as decisions;

use super::gateway;

/// Size of the largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends and receives the messages between hosts, for ever.
pub async fn gossip(address: net::SocketAddr, host: sync::Arc<gateway::Gateway>) -> io::Result<()> {
    let socket = UdpSocket::bind(address).await?;
    let mut beat = tokio::time::interval(decisions::HEARTBEAT_INTERVAL);
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut summed_up = time::Instant::now();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            _ = beat.tick() => {
                let is_due = summed_up.elapsed() >= decisions::SUMMARY_INTERVAL;
                if is_due {
                    summed_up = time::Instant::now();
                }
                send(&socket, host.messages(is_due)).await;
            }
            received = socket.recv_from(&mut buf) => {
                let Ok((length, _)) = received else {
                    // A port without a listener: its host is down, as its silence tells.
                    continue;
                };
                match postcard::from_bytes(&buf[..length]) {
                    Ok(message) => send(&socket, host.receive(message)).await,
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
