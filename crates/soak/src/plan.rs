//! What happens in a run: it follows from the seed alone.

use std::time::Duration;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use serde::Serialize;

/// Time without faults at the start: hosts come up and callers spread.
const START: Duration = Duration::from_secs(4);

/// Length of a time with faults, and of the time after it in which only planned work happens; the
/// promises with a time bound are checked in the latter.
const FAULTY: Duration = Duration::from_secs(9);
const CALM: Duration = Duration::from_secs(11);

/// Time after a backend server's leaving at which the store does an older heartbeat, and time until
/// the next one.
const LATE_HEARTBEAT: (Duration, Duration) =
    (Duration::from_millis(2800), Duration::from_millis(800));

/// Numbers of what there is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entry hosts.
    pub hosts: usize,
    /// Places of backend servers.
    pub servers: usize,
    /// Data centres.
    pub data_centres: usize,
}

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Trouble {
    /// Bytes come late.
    Delay,
    /// Connections are reset, new ones too.
    Reset,
    /// Connections go silent for good; new ones too.
    Silent,
    /// Bytes pass only towards the accepting side.
    OneWay,
}

/// Connections that go silent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Links {
    /// Of hosts to the store.
    Store,
    /// Of hosts to backend servers.
    Servers,
    /// Both.
    Both,
}

/// Whose connections go silent: those of hosts with the store, or of all hosts with servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Scope {
    /// One host or server.
    One(usize),
    /// Those of a data centre.
    DataCentre(usize),
    /// All but one.
    AllBut(usize),
    /// All.
    All,
}

impl Scope {
    /// Whether it holds a host or a server, by its number and that of its data centre.
    pub fn contains(self, number: usize, data_centre: usize) -> bool {
        match self {
            Scope::One(one) => number == one,
            Scope::DataCentre(of) => data_centre == of,
            Scope::AllBut(one) => number != one,
            Scope::All => true,
        }
    }
}

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum StoreTrouble {
    /// It turns all calls away.
    Busy,
    /// It answers nothing.
    Silent,
    /// It answers late.
    Slow,
    /// It applies writes late and does not answer them.
    LosesWrites,
    /// It drops its history, and stale reads lag.
    Compacts,
    /// At the end it comes back from a copy of the beginning; operators and servers write again what
    /// they wrote since.
    ComesBackOlder,
}

/// What is wrong with the answers of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Spoilt {
    /// They end early.
    Cut,
    /// A second answer follows each.
    Doubled,
    /// They are lost after the request has run.
    Lost,
    /// They name another request.
    Crossed,
    /// They report a failure, some with a status that promises that the request has not run.
    Failed,
}

/// What a backend server says of itself in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Signal {
    /// It takes only so many requests a second.
    Limit,
    /// It turns requests away and asks for a pause.
    Pause,
    /// It leaves.
    Leave,
}

/// Numbers that another writer leaves in the entry of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OddNumber {
    /// A remaining warm-up that a signed number of milliseconds below zero makes.
    WarmupUnderflow,
    /// The longest remaining warm-up.
    LongestWarmup,
    /// A remaining warm-up that no duration holds.
    HugeWarmup,
    /// The largest number of slots.
    MostSlots,
}

/// One kind of event, with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// A host is killed and started again at the end.
    Kill(usize),
    /// All hosts are killed and started again at the end.
    KillAll,
    /// A host is stopped by SIGTERM and started again after it has exited.
    Stop(usize),
    /// A host stands still.
    Pause(usize),
    /// A host's settings change and it gets SIGHUP.
    Reload(usize),
    /// The link of callers to a host.
    Callers(usize, Trouble),
    /// The link of a host to the store.
    StoreLink(usize, Trouble),
    /// The link of all hosts to a backend server.
    ServerLink(usize, Trouble),
    /// Open connections go silent for good, without a reset; new ones work.
    Silence(Links, Scope),
    /// The store.
    Store(StoreTrouble),
    /// A backend server crashes; another one starts in its place at the end.
    Crash(usize),
    /// A backend server reports that it leaves; another one starts in its place at the end.
    Drain(usize),
    /// A backend server's entry is removed while it still serves.
    Vanish(usize),
    /// The store does a heartbeat of a leaving backend server that is older than its leaving; at the
    /// end comes its next heartbeat, or the entry lapses.
    LateHeartbeat(usize),
    /// A backend server crashes and one of another service takes its address.
    Reuse(usize),
    /// A backend server takes several times as long.
    Slow(usize),
    /// A backend server spoils part of its answers.
    Spoil(usize, Spoilt),
    /// A backend server says something of itself.
    Signal(usize, Signal),
    /// Another writer leaves an entry like that of a server, with an odd number; it is removed at the
    /// end.
    OddEntry(usize, OddNumber),
    /// Operators change the configuration.
    Config,
    /// Operators change the configuration several times in a row.
    Storm,
    /// A data centre is emptied and taken back at the end.
    Evacuate(usize),
}

impl Fault {
    /// Whether it is planned work, which disturbs no promise with a time bound.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Stop(_)
                | Fault::Reload(_)
                | Fault::Drain(_)
                | Fault::Vanish(_)
                | Fault::LateHeartbeat(_)
                | Fault::Signal(..)
                | Fault::OddEntry(..)
                | Fault::Config
                | Fault::Storm
                | Fault::Evacuate(_)
        )
    }

    /// Name for the counts of a verdict.
    pub fn name(self) -> String {
        let text = format!("{self:?}");
        let digits = |c: char| c.is_ascii_digit() || matches!(c, '(' | ')' | ',' | ' ');
        text.split(digits)
            .filter(|part| !part.is_empty())
            .collect::<Vec<_>>()
            .join("-")
    }
}

/// Something that happens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Event {
    /// When, since the start of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

/// The events of a run, by time; they overlap and come in series.
pub fn plan(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut events = faults(seed, size, length);
    events.extend(signals(seed, size, length));
    events.extend(returns_of_the_store(seed, length));
    events.extend(silences(seed, size, length));
    events.extend(odd_entries(seed, size, length));
    events.sort_by_key(|event| event.at);
    events
}

/// Signals of backend servers, drawn by themselves so that a seed keeps its other events.
fn signals(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut rng = Pcg64::seed_from_u64(!seed);
    let mut events = Vec::new();
    let mut at = START;
    while at < length {
        let server = rng.random_range(0..size.servers);
        let fault = match rng.random_range(0..3) {
            0 => Fault::Signal(server, Signal::Limit),
            1 => Fault::Signal(server, Signal::Pause),
            // Always the same one: who has said so is not used again for a while, and a service
            // must not lose all of its servers.
            _ => Fault::Signal(0, Signal::Leave),
        };
        let lasts = match fault {
            Fault::Signal(_, Signal::Pause) => 200..1000,
            _ => 5000..8000,
        };
        events.push(Event {
            at,
            lasts: Duration::from_millis(rng.random_range(lasts)),
            fault,
        });
        at += Duration::from_millis(rng.random_range(1500..5000));
    }
    events
}

/// Entries of another writer, drawn by themselves for the same reason.
fn odd_entries(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    const NUMBERS: [OddNumber; 4] = [
        OddNumber::WarmupUnderflow,
        OddNumber::LongestWarmup,
        OddNumber::HugeWarmup,
        OddNumber::MostSlots,
    ];
    let mut rng = Pcg64::seed_from_u64(seed.rotate_left(48) ^ 3);
    let mut events = Vec::new();
    let mut at = START;
    while at < length {
        let number = *NUMBERS
            .choose(&mut rng)
            .unwrap_or(&OddNumber::LongestWarmup);
        events.push(Event {
            at,
            lasts: Duration::from_millis(rng.random_range(1000..8000)),
            fault: Fault::OddEntry(rng.random_range(0..size.servers), number),
        });
        at += Duration::from_millis(rng.random_range(1500..6000));
    }
    events
}

/// Returns of the store from an older copy, drawn by themselves for the same reason: one in each time
/// with faults.
fn returns_of_the_store(seed: u64, length: Duration) -> Vec<Event> {
    let mut rng = Pcg64::seed_from_u64(seed.rotate_left(32) ^ 1);
    let mut events = Vec::new();
    let mut start = START;
    while start < length {
        let offset = rng.random_range(0..FAULTY.as_millis() as u64);
        events.push(Event {
            at: start + Duration::from_millis(offset),
            lasts: Duration::from_millis(rng.random_range(500..6000)),
            fault: Fault::Store(StoreTrouble::ComesBackOlder),
        });
        start += FAULTY + CALM;
    }
    events
}

/// Silences of open connections, drawn by themselves for the same reason: two in each time with
/// faults, with a change that follows at once.  The connections that nobody has given up stay silent
/// in the time after it.
fn silences(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut rng = Pcg64::seed_from_u64(seed.rotate_left(16) ^ 2);
    let mut events = Vec::new();
    let mut start = START;
    while start < length {
        let late = FAULTY.as_millis() as u64;
        for offset in [
            rng.random_range(0..late),
            rng.random_range(late - 1500..late),
        ] {
            let at = start + Duration::from_millis(offset);
            let links = [Links::Store, Links::Store, Links::Servers, Links::Both];
            let links = *links.choose(&mut rng).unwrap_or(&Links::Both);
            let scope = match rng.random_range(0..6) {
                0 => Scope::One(rng.random_range(0..size.hosts)),
                1 => Scope::DataCentre(rng.random_range(0..size.data_centres)),
                2 => Scope::AllBut(rng.random_range(0..size.hosts)),
                _ => Scope::All,
            };
            events.push(Event {
                at,
                lasts: Duration::ZERO,
                fault: Fault::Silence(links, scope),
            });
            events.push(Event {
                at: at + Duration::from_millis(rng.random_range(0..1500)),
                lasts: Duration::ZERO,
                fault: Fault::Config,
            });
        }
        start += FAULTY + CALM;
    }
    events
}

fn faults(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = START;
    while at < length {
        let phase = at.saturating_sub(START).as_millis() % (FAULTY + CALM).as_millis();
        let is_faulty = phase < FAULTY.as_millis();
        let fault = match is_faulty {
            true => unplanned(&mut rng, size),
            false => planned(&mut rng, size),
        };
        // A leaving host or server takes seconds; evacuations outlast the bound on them.
        let lasts = match fault {
            Fault::Evacuate(_) => 6500..9000,
            Fault::Stop(_) | Fault::Drain(_) | Fault::Vanish(_) => 4000..6000,
            _ => 500..3500,
        };
        events.push(Event {
            at,
            lasts: Duration::from_millis(rng.random_range(lasts)),
            fault,
        });
        if let Fault::Drain(server) | Fault::Vanish(server) = fault {
            let (delay, lasts) = LATE_HEARTBEAT;
            events.push(Event {
                at: at + delay,
                lasts,
                fault: Fault::LateHeartbeat(server),
            });
        }
        let gap = if is_faulty { 100..1300 } else { 800..3000 };
        at += Duration::from_millis(rng.random_range(gap));
    }
    events
}

fn unplanned(rng: &mut Pcg64, size: Size) -> Fault {
    let troubles = [
        Trouble::Delay,
        Trouble::Reset,
        Trouble::Silent,
        Trouble::OneWay,
    ];
    let trouble = *troubles.choose(rng).unwrap_or(&Trouble::Reset);
    let host = rng.random_range(0..size.hosts);
    let server = rng.random_range(0..size.servers);
    match rng.random_range(0..18) {
        0 | 1 => Fault::Kill(host),
        2 if rng.random_bool(0.3) => Fault::KillAll,
        2 | 3 => Fault::Pause(host),
        4 | 5 => Fault::Callers(host, trouble),
        6 | 7 => Fault::StoreLink(host, trouble),
        8 | 9 => Fault::ServerLink(server, trouble),
        10 | 11 => {
            let all = [
                StoreTrouble::Busy,
                StoreTrouble::Silent,
                StoreTrouble::Slow,
                StoreTrouble::LosesWrites,
                StoreTrouble::Compacts,
            ];
            Fault::Store(*all.choose(rng).unwrap_or(&StoreTrouble::Busy))
        }
        12 => Fault::Crash(server),
        13 => Fault::Reuse(server),
        14 => Fault::Slow(server),
        15 | 16 => {
            let all = [
                Spoilt::Cut,
                Spoilt::Doubled,
                Spoilt::Lost,
                Spoilt::Crossed,
                Spoilt::Failed,
            ];
            Fault::Spoil(server, *all.choose(rng).unwrap_or(&Spoilt::Cut))
        }
        _ => planned(rng, size),
    }
}

fn planned(rng: &mut Pcg64, size: Size) -> Fault {
    match rng.random_range(0..8) {
        0 | 1 => Fault::Stop(rng.random_range(0..size.hosts)),
        2 => Fault::Reload(rng.random_range(0..size.hosts)),
        3 => Fault::Drain(rng.random_range(0..size.servers)),
        4 => Fault::Vanish(rng.random_range(0..size.servers)),
        5 => Fault::Evacuate(rng.random_range(0..size.data_centres)),
        6 => Fault::Storm,
        _ => Fault::Config,
    }
}
