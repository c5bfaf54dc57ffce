//! The example deployments.

use yuccatide_steering::config;

const CAMARA: &str = include_str!("../../../../deployments/camara/config.json");
const LAMPOLIE: &str = include_str!("../../../../deployments/lampolie/config.json");

/// Names of the example deployments.
pub const NAMES: [&str; 2] = ["camara", "lampolie"];

/// Configuration of an example deployment.
pub fn document(name: &str) -> Option<config::Document> {
    let text = match name {
        "camara" => CAMARA,
        "lampolie" => LAMPOLIE,
        _ => return None,
    };
    Some(config::Document::from_json(text).expect("the example configurations are valid"))
}
