//! Everything of a run: hosts, backend servers, the store, and what operators do.

use std::{collections, sync, time::Duration};

use anyhow::Context;
use nix::sys::signal::Signal;
use yuccatide_platform_standins::{client, objects, store};

use crate::{
    book, host, keys,
    plan::{self, Fault, StoreTrouble},
    proxy, run, server, traffic,
};

/// Region of each data centre.
const REGIONS: [(&str, &str); 3] = [("a1", "a"), ("a2", "a"), ("b1", "b")];

/// Services; the first one serves all requests, the other one only takes over addresses.
const SERVICES: [&str; 2] = ["log", "desk"];

/// Time for which a backend server serves after it has reported that it leaves.
const DRAIN: Duration = Duration::from_millis(3500);

/// Longest time a client waits on the routes.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Slowness of the store in [`StoreTrouble::Slow`], and the delay of a lost write.
const SLOW_STORE: Duration = Duration::from_millis(400);

/// Time after the store's return in which operators and servers notice what it has lost.
const WRITE_AGAIN_DELAY: Duration = Duration::from_millis(800);

/// Versions of [`Fault::Storm`], and the pause between them.
const STORM: (u32, Duration) = (5, Duration::from_millis(150));

/// Time for hosts to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Hosts, backend servers, store and operators.
pub struct World {
    /// Entry hosts.
    pub hosts: Vec<host::Host>,
    /// Places of backend servers.
    pub places: Vec<server::Place>,
    /// The store.
    pub store: store::Store,
    /// What was seen.
    pub book: book::Book,
    version: u64,
    /// Copy from which the store comes back, with [`StoreTrouble::ComesBackOlder`] in progress.
    backup: Option<store::StoreBackup>,
    evacuated: collections::HashMap<usize, book::At>,
    /// Leaving servers whose older heartbeats the store has done, by place: name and own entry.
    late_heartbeats: collections::HashMap<usize, (String, objects::ServerEntry)>,
}

/// An event that has begun, and how it ends.
pub struct Active {
    /// The event.
    pub event: plan::Event,
    from: book::At,
    /// Starts of each host's process when it began.
    lifetimes: Vec<u32>,
}

impl World {
    /// Starts everything and waits until all hosts take requests.
    pub async fn start(options: &run::Options) -> anyhow::Result<World> {
        let size = options.size();
        let book = book::Book::default();
        let store = store::Store::start().await;
        let mut hosts = Vec::new();
        let mut places = Vec::new();
        for number in 0..size.servers {
            let data_centre = REGIONS[number % REGIONS.len()].0;
            places.push(server::Place::start(number, SERVICES[0], data_centre, &book).await?);
        }
        for number in 0..size.hosts {
            let data_centre = REGIONS[number % REGIONS.len()].0;
            let own = (options.first_host + number, data_centre);
            let (program, dir) = (&options.program, &options.dir);
            let host = host::Host::new(own, program, dir, store.address).await?;
            host.write_settings(&regions(), host::BUDGET_SLACK)?;
            hosts.push(host);
        }
        let mut world = World {
            hosts,
            places,
            store,
            book,
            version: 0,
            backup: None,
            evacuated: collections::HashMap::new(),
            late_heartbeats: collections::HashMap::new(),
        };
        world.change_config();
        (0..size.servers).for_each(|place| world.register(place));
        for host in &mut world.hosts {
            host.start()?;
        }
        world.until_ready().await?;
        Ok(world)
    }

    /// Numbers of what there is.
    pub fn data_centres() -> usize {
        REGIONS.len()
    }

    /// Region and data centre of a caller.
    pub fn place_of(number: usize) -> (String, String) {
        let (data_centre, region) = REGIONS[number % REGIONS.len()];
        (region.to_string(), data_centre.to_string())
    }

    /// Hosts as callers reach them.
    pub fn reach(&self) -> Vec<traffic::Reach> {
        self.hosts
            .iter()
            .map(|host| traffic::Reach {
                requests: host.requests(),
                through: host.callers.address,
                lookups: host.lookups(),
            })
            .collect()
    }

    /// Version that the store has.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Waits until all hosts take requests.
    pub async fn until_ready(&self) -> anyhow::Result<()> {
        let all = async {
            for host in &self.hosts {
                while !traffic::is_ready(host.readiness()).await {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, all).await;
        waited.context("hosts don't become ready")
    }

    /// Begins an event; nothing where its target is in the middle of another one.
    pub async fn begin(&mut self, event: plan::Event) -> anyhow::Result<Option<Active>> {
        let from = self.book.now();
        let lifetimes = self.hosts.iter().map(|host| host.lifetime).collect();
        let has_begun = match event.fault {
            Fault::Kill(host) => self.kill(host).await?,
            Fault::KillAll => {
                for host in 0..self.hosts.len() {
                    self.kill(host).await?;
                }
                true
            }
            Fault::Stop(host) => self.signal(host, Signal::SIGTERM)?,
            Fault::Pause(host) => self.signal(host, Signal::SIGSTOP)?,
            Fault::Reload(host) => {
                let slack = host::BUDGET_SLACK - 1;
                self.hosts[host].write_settings(&regions(), slack)?;
                self.signal(host, Signal::SIGHUP)?
            }
            Fault::Callers(host, trouble) => set(&self.hosts[host].callers, trouble),
            Fault::StoreLink(host, trouble) => set(&self.hosts[host].store, trouble),
            Fault::ServerLink(place, trouble) => set(&self.places[place].link, trouble),
            Fault::Silence(links, scope) => self.silence(links, scope),
            Fault::Store(trouble) => self.disturb_store(trouble),
            Fault::Crash(place) => self.crash(place),
            Fault::Reuse(place) => self.reuse(place).await?,
            Fault::Drain(place) => self.leave(place, true),
            Fault::Vanish(place) => self.leave(place, false),
            Fault::LateHeartbeat(place) => self.do_heartbeat_late(place),
            Fault::Slow(place) => self.harm(place, |harm| harm.is_slow = true),
            Fault::Spoil(place, spoilt) => self.harm(place, |harm| harm.spoilt = Some(spoilt)),
            Fault::Signal(place, signal) => self.give_signal(place, signal),
            Fault::OddEntry(place, number) => self.leave_odd_entry(place, number),
            Fault::Config => self.change_config(),
            Fault::Storm => {
                for _ in 0..STORM.0 {
                    self.change_config();
                    tokio::time::sleep(STORM.1).await;
                }
                true
            }
            Fault::Evacuate(data_centre) => self.evacuate(data_centre),
        };
        Ok(has_begun.then_some(Active {
            event,
            from,
            lifetimes,
        }))
    }

    /// Ends an event and records when it was.
    pub async fn end(&mut self, active: &Active) -> anyhow::Result<()> {
        match active.event.fault {
            Fault::Kill(host) => self.restart(host)?,
            Fault::KillAll => {
                for host in 0..self.hosts.len() {
                    self.restart(host)?;
                }
            }
            // Another event may have ended the process before, or stopped it too.
            Fault::Stop(host) if self.hosts[host].lifetime != active.lifetimes[host] => {}
            Fault::Stop(host) => {
                // It may stand still by another event.
                self.hosts[host].signal(Signal::SIGCONT)?;
                if let Some(bad) = self.hosts[host].ended().await? {
                    self.book.with(|seen| seen.bad_exits.push(bad));
                }
                self.restart(host)?;
            }
            Fault::Pause(host) => self.hosts[host].signal(Signal::SIGCONT)?,
            Fault::Callers(host, _) => self.hosts[host].callers.set(None),
            Fault::StoreLink(host, _) => self.hosts[host].store.set(None),
            Fault::ServerLink(place, _) => self.places[place].link.set(None),
            Fault::Store(StoreTrouble::ComesBackOlder) => self.restore_store().await,
            Fault::Store(_) => {
                self.store.set_mode(store::Mode::Available);
                self.store.set_stale_reads(false);
            }
            Fault::Crash(place) | Fault::Reuse(place) => self.replace(place).await?,
            Fault::Drain(place) | Fault::Vanish(place) => {
                let left = DRAIN.saturating_sub(self.book.now() - active.from);
                tokio::time::sleep(left).await;
                self.replace(place).await?;
            }
            Fault::LateHeartbeat(place) => self.end_late_heartbeat(place),
            Fault::Slow(place) => _ = self.harm(place, |harm| harm.is_slow = false),
            Fault::Spoil(place, _) => _ = self.harm(place, |harm| harm.spoilt = None),
            Fault::Signal(place, signal) => {
                let server = self.places[place].name.clone();
                self.harm(place, |harm| harm.signal = None);
                let span = book::Span {
                    from: active.from,
                    to: self.book.now(),
                };
                self.book
                    .with(|seen| seen.signals.push((server, signal, span)));
            }
            Fault::OddEntry(place, _) => {
                let name = odd_entry_name(place);
                self.store.remove(objects::SERVERS_KIND, &name);
            }
            Fault::Evacuate(data_centre) => self.take_back(data_centre),
            Fault::Reload(_) | Fault::Config | Fault::Storm | Fault::Silence(..) => {}
        }
        self.note(active);
        Ok(())
    }

    fn note(&self, active: &Active) {
        let span = book::Span {
            from: active.from,
            to: self.book.now(),
        };
        let all = 0..self.hosts.len();
        self.book.with(|seen| match active.event.fault {
            Fault::Kill(host) | Fault::Pause(host) | Fault::Callers(host, _) => {
                seen.harmed.push((host, span));
                seen.unplanned.push(span);
            }
            Fault::KillAll => {
                seen.harmed.extend(all.map(|host| (host, span)));
                seen.unplanned.push(span);
            }
            Fault::Stop(host) => seen.stops.push((host, span)),
            fault if !fault.is_planned() => seen.unplanned.push(span),
            _ => {}
        });
    }

    async fn kill(&mut self, host: usize) -> anyhow::Result<bool> {
        let is_running = self.hosts[host].is_running();
        self.hosts[host].kill().await?;
        Ok(is_running)
    }

    fn restart(&mut self, host: usize) -> anyhow::Result<()> {
        if !self.hosts[host].is_running() {
            self.hosts[host].start()?;
            self.book
                .with(|seen| *seen.starts.entry(host).or_default() += 1);
        }
        Ok(())
    }

    fn signal(&mut self, host: usize, signal: Signal) -> anyhow::Result<bool> {
        let is_running = self.hosts[host].is_running();
        if is_running {
            self.hosts[host].signal(signal)?;
        }
        Ok(is_running)
    }

    /// The store comes back from its copy, and those who wrote to it since write again.
    async fn restore_store(&mut self) {
        let Some(backup) = self.backup.take() else {
            return;
        };
        let lost = self.store.backup();
        self.store.restore(backup, &[]);
        self.store.cut_connections();
        tokio::time::sleep(WRITE_AGAIN_DELAY).await;
        let (config, _) = objects::CONFIG_OBJECT;
        let kinds = [objects::SERVERS_KIND, config, objects::EVACUATIONS_KIND];
        self.store.write_again(&lost, &kinds);
    }

    fn disturb_store(&mut self, trouble: StoreTrouble) -> bool {
        let mode = match trouble {
            StoreTrouble::Busy => store::Mode::Status(503),
            StoreTrouble::Silent => store::Mode::Unresponsive,
            StoreTrouble::Slow => store::Mode::Slow(SLOW_STORE),
            StoreTrouble::LosesWrites => store::Mode::WriteWithoutReply(SLOW_STORE),
            StoreTrouble::ComesBackOlder => {
                self.backup = Some(self.store.backup());
                return true;
            }
            StoreTrouble::Compacts => {
                self.store.set_stale_reads(true);
                self.store.compact();
                store::Mode::Available
            }
        };
        self.store.set_mode(mode);
        true
    }

    fn silence(&self, links: plan::Links, scope: plan::Scope) -> bool {
        let stores = self.hosts.iter().map(|host| &host.store);
        let servers = self.places.iter().map(|place| &place.link);
        let of_scope = |(number, link)| {
            let is_inside = scope.contains(number, number % REGIONS.len());
            is_inside.then_some(link)
        };
        if links != plan::Links::Servers {
            let links = stores.enumerate().filter_map(of_scope);
            links.for_each(proxy::Proxy::silence_open);
        }
        if links != plan::Links::Store {
            let links = servers.enumerate().filter_map(of_scope);
            links.for_each(proxy::Proxy::silence_open);
        }
        true
    }

    fn register(&mut self, place: usize) {
        let place = &mut self.places[place];
        place.is_registered = true;
        place.entry.sequence += 1;
        self.store
            .put(objects::SERVERS_KIND, &place.name, place.entry.spec());
    }

    fn unregister(&mut self, place: usize) {
        let place = &mut self.places[place];
        place.is_registered = false;
        self.store.remove(objects::SERVERS_KIND, &place.name);
    }

    fn crash(&mut self, place: usize) -> bool {
        let is_there = self.places[place].is_registered;
        if is_there {
            self.places[place].crash();
            self.unregister(place);
        }
        is_there
    }

    /// A server of the other service takes the address over.
    async fn reuse(&mut self, place: usize) -> anyhow::Result<bool> {
        if !self.crash(place) {
            return Ok(false);
        }
        let book = self.book.clone();
        self.places[place]
            .restart(SERVICES[1], server::WARMUP, &book)
            .await?;
        self.register(place);
        Ok(true)
    }

    async fn replace(&mut self, place: usize) -> anyhow::Result<()> {
        self.crash(place);
        let book = self.book.clone();
        self.places[place]
            .restart(SERVICES[0], server::WARMUP, &book)
            .await?;
        self.register(place);
        Ok(())
    }

    fn leave(&mut self, place: usize, reports: bool) -> bool {
        if !self.places[place].is_registered {
            return false;
        }
        match reports {
            true => {
                self.places[place].entry.is_draining = true;
                self.register(place);
            }
            false => self.unregister(place),
        }
        let leaving = book::Leaving {
            server: self.places[place].name.clone(),
            at: self.book.now(),
        };
        self.book.with(|seen| seen.leaving.push(leaving));
        // Other events leave the place alone until it is replaced.
        self.places[place].is_registered = false;
        self.places[place].is_leaving = true;
        true
    }

    fn do_heartbeat_late(&mut self, place: usize) -> bool {
        let server::Place { name, entry, .. } = &self.places[place];
        if !self.places[place].is_leaving {
            return false;
        }
        let late = objects::ServerEntry {
            is_draining: false,
            sequence: 0,
            ..entry.clone()
        };
        self.store.put(objects::SERVERS_KIND, name, late.spec());
        let leaving = (name.clone(), entry.clone());
        self.late_heartbeats.insert(place, leaving);
        true
    }

    fn end_late_heartbeat(&mut self, place: usize) {
        let Some((name, mut entry)) = self.late_heartbeats.remove(&place) else {
            return;
        };
        if entry.is_draining {
            entry.sequence += 1;
            self.store.put(objects::SERVERS_KIND, &name, entry.spec());
        } else {
            self.store.remove(objects::SERVERS_KIND, &name);
        }
    }

    /// Has a backend server give a signal; it gives one at a time.
    fn give_signal(&self, place: usize, signal: plan::Signal) -> bool {
        let mut is_first = false;
        self.harm(place, |harm| {
            is_first = harm.signal.is_none();
            harm.signal.get_or_insert(signal);
        });
        is_first
    }

    fn harm(&self, place: usize, change: impl FnOnce(&mut server::Harm)) -> bool {
        let harm = &self.places[place].harm;
        change(&mut harm.lock().unwrap_or_else(sync::PoisonError::into_inner));
        true
    }

    /// Writes the next version: it has a route of its own, and still that of the one before.
    fn change_config(&mut self) -> bool {
        self.version += 1;
        let route = |prefix: String, is_idempotent| objects::Route {
            prefix,
            is_idempotent,
            timeout: TIMEOUT,
            service: SERVICES[0].to_string(),
        };
        let routes = [
            route("/read/".to_string(), true),
            route("/book/".to_string(), false),
            route(format!("/probe-{}/", self.version), true),
            route(format!("/probe-{}/", self.version - 1), true),
        ];
        let (kind, name) = objects::CONFIG_OBJECT;
        let config = objects::config(
            self.version,
            client::DOMAIN,
            &routes,
            server::WARMUP,
            server::COLD_RATE,
        );
        let config = objects::with_customers(config, &keys::customers(self.version));
        self.store.put(kind, name, config);
        let version = (self.version, self.book.now());
        self.book.with(|seen| seen.versions.push(version));
        true
    }

    /// Leaves an entry like that of the server at a place, with an odd number.
    fn leave_odd_entry(&self, place: usize, number: plan::OddNumber) -> bool {
        let mut spec = self.places[place].entry.spec();
        let (field, value) = match number {
            plan::OddNumber::WarmupUnderflow => {
                ("warmup_left_s", 18_446_744_073_709_521_616_u64.into())
            }
            plan::OddNumber::LongestWarmup => ("warmup_left_s", u64::MAX.into()),
            plan::OddNumber::HugeWarmup => ("warmup_left_s", 1e300.into()),
            plan::OddNumber::MostSlots => ("slots", u32::MAX.into()),
        };
        spec[field] = value;
        let name = odd_entry_name(place);
        self.store.put(objects::SERVERS_KIND, &name, spec);
        true
    }

    fn evacuate(&mut self, data_centre: usize) -> bool {
        let is_new = !self.evacuated.contains_key(&data_centre);
        if is_new {
            let name = REGIONS[data_centre].0;
            self.store
                .put(objects::EVACUATIONS_KIND, name, serde_json::json!({}));
            self.evacuated.insert(data_centre, self.book.now());
        }
        is_new
    }

    fn take_back(&mut self, data_centre: usize) {
        let name = REGIONS[data_centre].0;
        let to = self.book.now();
        self.store.remove(objects::EVACUATIONS_KIND, name);
        if let Some(from) = self.evacuated.remove(&data_centre) {
            let places = self.places.iter();
            let inside = places.filter(|place| place.entry.data_centre == name);
            let servers = inside.map(|place| place.name.clone()).collect();
            let span = book::Span { from, to };
            self.book
                .with(|seen| seen.evacuations.push((servers, span)));
        }
    }
}

fn set(link: &proxy::Proxy, trouble: plan::Trouble) -> bool {
    link.set(Some(trouble));
    true
}

/// Name of another writer's entry that is like the one of the server at a place.
fn odd_entry_name(place: usize) -> String {
    format!("odd-{place}")
}

fn regions() -> collections::BTreeMap<String, String> {
    REGIONS
        .iter()
        .map(|(data_centre, region)| ((*data_centre).to_string(), (*region).to_string()))
        .collect()
}
