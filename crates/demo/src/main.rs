//! Everything in one process: a small copy of a deployment, with callers and failures.

mod flags;
mod fleet;
mod judge;
mod load;
mod progress;
mod report;
mod story;

use std::process;

use yuccatide_standins::deployment;

/// Exit code for wrong usage.
const EXIT_USAGE: u8 = 2;

fn main() -> anyhow::Result<process::ExitCode> {
    let flags = flags::Demo::from_env_or_exit();
    let name = flags.deployment.as_deref().unwrap_or("camara");
    if !deployment::NAMES.contains(&name) {
        eprintln!(
            "there is no deployment {name:?}; there are {}",
            deployment::NAMES.join(", ")
        );
        return Ok(process::ExitCode::from(EXIT_USAGE));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let held = runtime.block_on(run(name, &flags))?;
    runtime.shutdown_background();
    Ok(process::ExitCode::from(u8::from(!held)))
}

async fn run(name: &str, flags: &flags::Demo) -> anyhow::Result<bool> {
    let progress = progress::Progress::new();
    let mut fleet = fleet::Fleet::start(name).await?;
    let told = story::tell(&mut fleet, &progress).await?;
    let report = report::Report::new(name, &fleet, &told);
    progress.finish();
    match flags.json {
        true => println!("{}", report.to_json()?),
        false => println!("{}", report.to_text()),
    }
    if flags.keep {
        println!("{}", fleet.addresses());
        tokio::signal::ctrl_c().await?;
    }
    Ok(report.held())
}
