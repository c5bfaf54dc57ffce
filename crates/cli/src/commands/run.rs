//! Chooses the command.

use std::{ffi, io::Write};

use yuccatide_steering::model;

use super::{blocks, cx, drain, explain, patch, read, status};
use crate::{error, flags};

/// Runs a command.
///
/// `args` are the arguments after the program's name, `env` reads environment variables, and
/// `now` is the time since the Unix epoch.
pub async fn run(
    args: Vec<ffi::OsString>,
    env: impl Fn(&str) -> Option<String>,
    now: model::Time,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let flags = flags::Yuccatide::from_vec(args)?;
    let cx = cx::Context::new(&flags, env, now);
    match flags.subcommand {
        flags::YuccatideCmd::Config(config) => match config.subcommand {
            flags::ConfigCmd::Get(_) => read::get(&cx, out).await,
            flags::ConfigCmd::Patch(flags) => patch::patch(&cx, flags, out).await,
            flags::ConfigCmd::History(_) => read::history(&cx, out).await,
            flags::ConfigCmd::Validate(flags) => patch::validate(&cx, flags, out).await,
        },
        flags::YuccatideCmd::Status(_) => status::status(&cx, out).await,
        flags::YuccatideCmd::Drain(drain) => match drain.subcommand {
            flags::DrainCmd::Start(flags) => drain::start(&cx, flags, out).await,
            flags::DrainCmd::Cancel(flags) => drain::cancel(&cx, flags, out).await,
            flags::DrainCmd::List(_) => drain::list(&cx, out).await,
        },
        flags::YuccatideCmd::Blocks(blocks) => match blocks.subcommand {
            flags::BlocksCmd::Load(flags) => blocks::load(&cx, flags, out).await,
        },
        flags::YuccatideCmd::Explain(flags) => explain::explain(&cx, flags, out).await,
    }
}
