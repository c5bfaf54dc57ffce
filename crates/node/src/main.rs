//! `yuccatided`, the daemon of an entry host.

use std::process;

use yuccatide_node::{daemon, flags, settings, telemetry::logs};

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> process::ExitCode {
    let flags = flags::Yuccatided::from_env_or_exit();
    let settings = match settings::Settings::read(&flags.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return process::ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.check {
        return process::ExitCode::SUCCESS;
    }
    logs::init(&settings.telemetry.level);
    match run(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = format!("{e:#}"); "the host can't run");
            process::ExitCode::FAILURE
        }
    }
}

fn run(settings: settings::Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        use tokio::signal::unix;
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
        let mut daemon = daemon::Daemon::start(settings).await?;
        log::info!(
            callers:% = daemon.callers(),
            peers:% = daemon.peers(),
            admin:% = daemon.admin();
            "started"
        );
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.ended() => anyhow::bail!("a server of the host has ended"),
        }
        log::info!("stopping");
        tokio::select! {
            () = daemon.stop() => log::info!("stopped"),
            _ = terminate.recv() => log::warn!("stopped at once"),
            _ = interrupt.recv() => log::warn!("stopped at once"),
        }
        Ok(())
    })
}
