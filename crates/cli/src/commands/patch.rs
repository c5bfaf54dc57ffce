//! Changes and checks of the configuration.

use std::io::Write;

use serde_json::{Value, json};
use yuccatide_steering::{admin, config, model};

use super::{cx, input};
use crate::{client, error, flags};

/// Submits a patch from a file.
pub async fn patch(
    cx: &cx::Context,
    flags: flags::Patch,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let merge = input::merge(&flags.file)?;
    let version = submit(&cx.client_with_token()?, flags.base, merge).await?;
    print_version(cx, version, out)
}

/// Submits a merge patch under an id of its own.
pub async fn submit(
    client: &client::Client,
    base: model::Version,
    merge: Value,
) -> Result<model::Version, error::Error> {
    let id = format!("{:032x}", rand::random::<u128>());
    client.patch(&config::Patch { id, base, merge }).await
}

/// Prints the version that a patch led to.
pub fn print_version(
    cx: &cx::Context,
    version: model::Version,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    cx.print(out, &admin::Version { version }, || {
        format!("accepted as version {version}\n")
    })
}

/// Checks a document here, and by the host's rules if a host is named.
pub async fn validate(
    cx: &cx::Context,
    flags: flags::Validate,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let doc = input::document(&flags.file)?;
    let problems = config::check(&doc);
    if !problems.is_empty() {
        let problems = problems.into_iter().map(admin::Problem::from).collect();
        return Err(error::Error::Invalid(problems));
    }
    if cx.has_host() {
        cx.client()?.validate(&doc).await?;
    }
    cx.print(out, &json!({"valid": true}), || "valid\n".to_string())
}
