//! Control messages between hosts.

use std::net;

use serde::{Deserialize, Serialize};
use yuccatide_steering::{dedup, membership, propagation, steer};

use super::engine;
use crate::peer;

/// A control message, encoded by postcard.  New kinds are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Control {
    /// Which hosts are alive.
    Membership(membership::Message),
    /// Configuration.
    Propagation(propagation::Message),
    /// Idempotency keys.
    Dedup(dedup::Message),
    /// Shares, grants and load.
    Steer(steer::Message),
}

impl engine::Engine {
    /// Takes control messages from another host.
    pub fn on_batch(&self, batch: peer::Batch) {
        self.meter.received(batch.bytes);
        for message in &batch.messages {
            match postcard::from_bytes(message) {
                Ok(message) => self.meter.timed(|| self.on_control(&batch.from, message)),
                Err(e) => {
                    self.metrics.fault("malformed control message");
                    log::warn!(host = batch.from, error:% = e; "a control message is malformed");
                }
            }
        }
    }

    fn on_control(&self, from: &str, message: Control) {
        let now = self.now();
        match message {
            Control::Membership(message) => {
                let actions = self.lock().membership.on_message(message, now);
                self.carry_out_membership(actions);
            }
            Control::Propagation(message) => {
                let actions = self.lock().follower.on_message(message, now);
                self.carry_out_propagation(actions);
            }
            Control::Dedup(message) => {
                let actions = self
                    .lock()
                    .active
                    .as_mut()
                    .map(|active| active.dedup.on_message(from, message, now));
                self.carry_out_dedup(actions.unwrap_or_default());
            }
            Control::Steer(message) => {
                let actions = self
                    .lock()
                    .active
                    .as_mut()
                    .map(|active| active.steer.on_message(from, message, now));
                self.carry_out_steer(actions.unwrap_or_default());
            }
        }
    }

    /// Sends a control message to an address; it may be lost.
    pub(super) fn deliver(&self, to: net::SocketAddr, message: &Control) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => self.links.deliver(to, bytes),
            Err(e) => log::error!(error:% = e; "a control message has no encoding"),
        }
    }

    /// Sends a control message to a host, if it is known.
    pub(super) fn deliver_to_host(&self, to: &str, message: &Control) {
        if let Some(address) = self.peer_address(to) {
            self.deliver(address, message);
        }
    }
}
