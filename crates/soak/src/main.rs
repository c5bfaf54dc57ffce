//! `yuccatide-soak`: plays seeds and prints a verdict for each.

use std::{fs, path, process, sync, time::Duration};

use anyhow::Context;
use tokio::{signal::unix, task};
use yuccatide_soak::{cases, flags, judge, plan, run};

/// Runs beside each other must differ in their processes' addresses, which follow from the process
/// id of the soak: each run has as many hosts to itself.
const MOST_HOSTS: usize = 200;

fn main() -> process::ExitCode {
    let flags = flags::YuccatideSoak::from_env_or_exit();
    let played = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("no runtime")
        .and_then(|runtime| runtime.block_on(play_or_stop(flags)));
    match played {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e:#}");
            process::ExitCode::from(2)
        }
    }
}

/// Plays all seeds unless the soak is interrupted: its processes end with it then too.
async fn play_or_stop(flags: flags::YuccatideSoak) -> anyhow::Result<bool> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        played = play(flags) => played,
        _ = tokio::signal::ctrl_c() => anyhow::bail!("interrupted"),
        _ = terminate.recv() => anyhow::bail!("interrupted"),
    }
}

/// Plays all seeds; tells whether all promises were kept.
async fn play(flags: flags::YuccatideSoak) -> anyhow::Result<bool> {
    let dir = flags.dir.clone().unwrap_or_else(|| "target/soak".into());
    let hosts = flags.hosts.unwrap_or(6);
    let jobs = flags.jobs.unwrap_or(1).clamp(1, MOST_HOSTS / hosts.max(1));
    let slots = sync::Arc::new(tokio::sync::Mutex::new((0..jobs).collect::<Vec<usize>>()));
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(jobs));
    let mut runs = task::JoinSet::new();
    for seed in seeds(&flags) {
        let options = run::Options {
            seed,
            length: Duration::from_secs(flags.seconds.unwrap_or(40)),
            hosts,
            first_host: 0,
            servers: flags.servers.unwrap_or(9),
            callers: flags.callers.unwrap_or(14),
            program: program(&flags)?,
            dir: dir.join(seed.to_string()),
            is_timed: !flags.untimed,
        };
        let (slots, permits) = (slots.clone(), permits.clone());
        let keep = flags.keep;
        runs.spawn(async move {
            let _permit = permits.acquire().await?;
            let slot = slots.lock().await.pop().unwrap_or_default();
            let options = run::Options {
                first_host: slot * hosts,
                ..options
            };
            let played = one(&options, keep).await;
            slots.lock().await.push(slot);
            played
        });
    }
    let mut is_kept = true;
    let mut total = judge::Verdict::default();
    while let Some(played) = runs.join_next().await {
        let verdict = played??;
        is_kept &= verdict.broken.is_empty();
        total.add(verdict);
    }
    println!("all: {}", serde_json::to_string(&total)?);
    Ok(is_kept)
}

fn seeds(flags: &flags::YuccatideSoak) -> Vec<u64> {
    if flags.cases {
        return cases::CASES.iter().map(|(seed, _)| *seed).collect();
    }
    let first = flags
        .first
        .unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let number = u64::from(flags.seeds.unwrap_or(1));
    (first..first + number).collect()
}

/// Plays one seed and prints its verdict.
async fn one(options: &run::Options, keep: bool) -> anyhow::Result<judge::Verdict> {
    fs::create_dir_all(&options.dir)?;
    let verdict = run::run(options).await?;
    println!(
        "seed {}: {}",
        options.seed,
        serde_json::to_string(&verdict)?
    );
    fs::write(
        options.dir.join("verdict.json"),
        serde_json::to_string_pretty(&verdict)?,
    )?;
    let size = options.size();
    let events = plan::plan(options.seed, size, options.length);
    fs::write(
        options.dir.join("plan.json"),
        serde_json::to_string_pretty(&events)?,
    )?;
    if verdict.broken.is_empty() && !keep {
        fs::remove_dir_all(&options.dir)?;
    }
    Ok(verdict)
}

fn program(flags: &flags::YuccatideSoak) -> anyhow::Result<path::PathBuf> {
    let program = flags.program.clone();
    let program = program.unwrap_or_else(|| "target/release/yuccatide-platformd".into());
    fs::canonicalize(&program).with_context(|| format!("{} is not built", program.display()))
}
