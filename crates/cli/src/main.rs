//! `yuccatide`, the operators' command.

use std::{env, io, io::Write, process, time};

use yuccatide_cli::Error;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let args = env::args_os().skip(1).collect::<Vec<_>>();
    let json = args.iter().any(|arg| arg == "--json");
    let now = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    let mut out = Vec::new();
    let result = yuccatide_cli::run(args, |name| env::var(name).ok(), now, &mut out).await;
    let written = io::stdout().write_all(&out).map_err(Error::from);
    match result.and(written) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            report(&e, json);
            process::ExitCode::from(e.exit_code())
        }
    }
}

fn report(e: &Error, json: bool) {
    match e {
        Error::Help(text) => println!("{text}"),
        e if json => eprintln!("{}", e.to_json()),
        e => eprintln!("yuccatide: {e}"),
    }
}
