//! What all commands share.

use std::{fs, io::Write, path};

use serde::Serialize;
use yuccatide_steering::model;

use crate::{client, error, flags};

/// Host, token and form of the output.
pub struct Context {
    /// Time since the Unix epoch.
    pub now: model::Time,
    host: Option<String>,
    token: Option<String>,
    token_file: Option<path::PathBuf>,
    json: bool,
}

impl Context {
    /// Takes flags first and environment variables for what they leave out.
    pub fn new(
        flags: &flags::Yuccatide,
        env: impl Fn(&str) -> Option<String>,
        now: model::Time,
    ) -> Context {
        let file = || env("YUCCATIDE_TOKEN_FILE").map(path::PathBuf::from);
        let by_flag = flags.token.is_some() || flags.token_file.is_some();
        let token = env("YUCCATIDE_TOKEN").filter(|_| !by_flag);
        Context {
            now,
            host: flags.host.clone().or_else(|| env("YUCCATIDE_HOST")),
            token_file: flags
                .token_file
                .clone()
                .or_else(|| file().filter(|_| !by_flag && token.is_none())),
            token: flags.token.clone().or(token),
            json: flags.json,
        }
    }

    /// Whether a host is named.
    pub fn has_host(&self) -> bool {
        self.host.is_some()
    }

    /// A client of the named host.
    pub fn client(&self) -> Result<client::Client, error::Error> {
        let host = self.host.as_ref().ok_or_else(|| {
            input("no host is named: --host IP:PORT or YUCCATIDE_HOST".to_string())
        })?;
        let address = host
            .parse()
            .map_err(|_| input(format!("{host:?} is no address of the form IP:PORT")))?;
        Ok(client::Client::new(address, self.token()?))
    }

    /// A client of the named host with a token, which changes need.
    pub fn client_with_token(&self) -> Result<client::Client, error::Error> {
        let client = self.client()?;
        match client.has_token() {
            true => Ok(client),
            false => Err(input(
                "a change needs a token: --token-file or YUCCATIDE_TOKEN_FILE".to_string(),
            )),
        }
    }

    /// Prints a value as JSON, or else its text.
    pub fn print(
        &self,
        out: &mut impl Write,
        value: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> Result<(), error::Error> {
        match self.json {
            true => writeln!(out, "{}", pretty(value))?,
            false => write!(out, "{}", text())?,
        }
        Ok(())
    }

    fn token(&self) -> Result<Option<String>, error::Error> {
        let text = match (&self.token, &self.token_file) {
            (Some(_), Some(_)) => {
                return Err(input("name either --token or --token-file".to_string()));
            }
            (Some(token), None) => token.clone(),
            (None, Some(path)) => {
                fs::read_to_string(path).map_err(|e| input(format!("{}: {e}", path.display())))?
            }
            (None, None) => return Ok(None),
        };
        let token = text.trim();
        match !token.is_empty() && token.chars().all(|c| c.is_ascii_graphic()) {
            true => Ok(Some(token.to_string())),
            false => Err(input("the token is empty or has blanks in it".to_string())),
        }
    }
}

/// A value as indented JSON.
pub fn pretty(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("the value has a JSON form")
}

fn input(message: String) -> error::Error {
    error::Error::Input(message)
}
