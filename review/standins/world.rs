//! A small deployment: a store, servers, machines that run the program, and clients.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::{client, host, proxy, record, server, store};

/// Name under which clients ask for the service.
pub const HOST_NAME: &str = "bitacora.example";

/// Time in which all hosts must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The deployment of a run.  Its processes end with it.
pub struct World {
    pub root: PathBuf,
    pub record: record::Record,
    pub store: store::Store,
    /// Proxy between each machine and the store, in the order of the machines.
    pub proxies: Vec<proxy::Proxy>,
    pub machines: Vec<host::Machine>,
    pub hosts: Vec<host::Host>,
    pub servers: Vec<server::Server>,
    pub deployment: host::Deployment,
    is_over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

/// First two bytes of the loopback addresses of this run: runs beside each other don't meet.
fn prefix() -> String {
    format!("127.{}", 16 + process::id() % 200)
}

/// Address of a client; spread, as hosts place clients by their addresses.
fn client_address(number: usize) -> Ipv4Addr {
    let [second, fourth] = [16 + process::id() % 200, 1 + number as u32 * 29 % 251];
    Ipv4Addr::new(127, second as u8, 3 + number as u8, fourth as u8)
}

impl World {
    /// Starts store and proxies for machines with these names and zones; `zones` has the region of
    /// each zone.
    pub fn new(root: &Path, zones: &[(&str, &str)], machines: &[(&str, &str)]) -> World {
        let folder = std::env::temp_dir().join(format!("yuccatide-review-{}", process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let region = |zone: &str| zones.iter().find(|(z, _)| *z == zone).map_or("", |(_, r)| *r);
        let machines: Vec<host::Machine> = machines
            .iter()
            .enumerate()
            .map(|(i, (name, zone))| {
                host::Machine::new(name, zone, region(zone), &format!("{}.1.{}", prefix(), i + 1))
            })
            .collect();
        let store = store::Store::start(&format!("{}.9.1", prefix()));
        let proxies = machines.iter().map(|m| proxy::Proxy::start(&m.ip, store.address)).collect();
        World {
            root: root.to_path_buf(),
            record: record::Record::new(),
            store,
            proxies,
            machines,
            hosts: Vec::new(),
            servers: Vec::new(),
            deployment: host::Deployment {
                zones: zones.iter().map(|(z, r)| (z.to_string(), r.to_string())).collect(),
                port_range: (7660, 7675),
                folder,
                grace_s: 6.0,
                is_first_start: true,
            },
            is_over: Arc::default(),
            clients: Vec::new(),
        }
    }

    /// Starts a server and registers it.
    pub fn add_server(&mut self, options: server::Options) {
        let ip = format!("{}.2.{}", prefix(), self.servers.len() + 1);
        let server = server::Server::start(&ip, options, &self.record);
        self.store.put("servers", server.id(), &server.entry("ready"));
        self.servers.push(server);
    }

    fn settings_of(&self, i: usize) -> String {
        let seeds: Vec<&host::Machine> = self.machines.iter().take(3).collect();
        self.deployment.settings(&self.machines[i], &seeds, self.proxies[i].address)
    }

    /// Writes the settings file of a machine.
    pub fn write_settings(&self, i: usize) -> PathBuf {
        self.deployment.write_settings(&self.machines[i], &self.settings_of(i))
    }

    /// Starts the program on all machines; false if not all become ready.
    pub fn start_hosts(&mut self) -> bool {
        for i in 0..self.machines.len() {
            let settings = self.write_settings(i);
            let folder = &self.deployment.folder;
            let host = host::Host::start(&self.root, &self.machines[i], &settings, folder);
            self.hosts.push(host);
        }
        let is_ready = self.hosts.iter().all(|host| host.wait_until_ready(READY_TIMEOUT));
        self.record.say("hosts-ready", is_ready.to_string());
        is_ready
    }

    /// Starts the program on a machine again, after its process has ended.
    pub fn restart_host(&mut self, i: usize) -> bool {
        self.deployment.is_first_start = false;
        let settings = self.write_settings(i);
        let folder = &self.deployment.folder;
        self.hosts[i] = host::Host::start(&self.root, &self.machines[i], &settings, folder);
        self.hosts[i].wait_until_ready(READY_TIMEOUT)
    }

    /// Stops a host as the platform does: SIGTERM, and SIGKILL after the grace time in its settings.
    /// Returns the time of the signal, that of the end, and whether it was killed.
    pub fn stop_host(&mut self, i: usize) -> (f64, f64, bool) {
        let stopped_at = self.record.say("sigterm", self.machines[i].name.clone());
        self.hosts[i].signal(host::Signal::Term);
        let kill_at = stopped_at + self.deployment.grace_s;
        while self.record.now() < kill_at {
            if self.hosts[i].ended().is_some() {
                let ended_at = self.record.say("ended", self.machines[i].name.clone());
                return (stopped_at, ended_at, false);
            }
            thread::sleep(Duration::from_millis(5));
        }
        let killed_at = self.record.say("sigkill", self.machines[i].name.clone());
        self.hosts[i].kill();
        (stopped_at, killed_at, true)
    }

    /// Directories for clients of a zone, nearest first.
    pub fn directories(&self, zone: &str, region: &str) -> Vec<SocketAddr> {
        let mut machines: Vec<&host::Machine> = self.machines.iter().collect();
        machines.sort_by_key(|m| (m.zone != zone, m.region != region));
        machines.iter().map(|m| m.directory).collect()
    }

    /// Starts clients of a zone that run `turn` again and again until the run is over.
    pub fn add_clients(
        &mut self,
        count: usize,
        zone: &str,
        turn: impl Fn(usize, &mut client::Client) + Clone + Send + 'static,
    ) {
        let zones = &self.deployment.zones;
        let region = zones.iter().find(|(z, _)| z == zone).map_or("", |(_, r)| r.as_str());
        for i in 0..count {
            let mut client = client::Client::new(
                &format!("{zone}-{}", self.clients.len()),
                client_address(self.clients.len()),
                (zone, region),
                HOST_NAME,
                self.directories(zone, region),
                &self.record,
            )
            .with_kept_for(if i % 3 == 0 { 3 } else { 1 });
            let (is_over, turn) = (self.is_over.clone(), turn.clone());
            self.clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    turn(i, &mut client);
                }
            }));
        }
    }

    /// Ends the clients; each completes its request.
    pub fn end_clients(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    /// Sleeps until a time of the record, in seconds.
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.record.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.hosts.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.deployment.folder);
        } else {
            println!("kept: {}", self.deployment.folder.display());
        }
    }
}

/// A route of a configuration; `times` are its timeout and its latency objective, in seconds.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, times: (f64, f64), priority: u32) -> String {
    let (timeout_s, target_s) = times;
    format!(
        r#""{name}":{{"host":"{HOST_NAME}","path_prefix":"{prefix}","kind":"{kind}","timeout_s":{timeout_s},"target_latency_s":{target_s},"priority":{priority},"service":"{service}","attempts":2,"session_affinity":true,"allowed_regions":[]}}"#
    )
}

/// A configuration with these routes.
pub fn config(version: u32, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#""{name}":{{"health_check":"/health","max_connections":390,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":15.0}}"#))
        .collect();
    format!(
        r#"{{"version":"r{version}","routes":{{{}}},"services":{{{}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"base_version":"r{}"}}"#,
        routes.join(","),
        services.join(","),
        version - 1
    )
}
