//! Helpers of the pool tests.
#![allow(dead_code)]

pub mod checked_pool;

use yuccatide_steering::{config, model};

/// Configuration document of an example deployment.
pub fn document(name: &str) -> config::Document {
    let text = match name {
        "camara" => include_str!("../../../../deployments/camara/config.json"),
        _ => include_str!("../../../../deployments/lampolie/config.json"),
    };
    config::Document::from_json(text).unwrap()
}

/// A request of the given kind of work.
pub fn request(id: u128, work: &str, deadline: model::Time) -> model::RequestMeta {
    model::RequestMeta {
        id,
        work: work.to_string(),
        origin: "gent-a".to_string(),
        affinity: 0,
        deadline,
        body_bytes: 100,
        key: None,
    }
}
