//! The platform's store: lists, watches by long polling, and writes, as PROTOCOL.md tells.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, json};

/// Objects of a list's page at most.
const PAGE: usize = 500;

struct Object {
    name: String,
    revision: u64,
    create_revision: u64,
    spec: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            r#"{{"metadata":{{"name":{},"revision":{},"create_revision":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
            json::quote(&self.name),
            self.revision,
            self.create_revision,
            self.spec
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    json: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("the store listens");
        let store = Store {
            shared: Arc::default(),
            address: listener.local_addr().expect("the store has an address"),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(http::Connection::new(stream)));
            }
        });
        store
    }

    /// Writes an object as the operator or a server does.  The return is the confirmation.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        put(&mut state.lock().unwrap(), kind, name, spec);
        changed.notify_all();
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.shared;
        let mut guard = state.lock().unwrap();
        let s = &mut *guard;
        if let Some(object) = s.objects.remove(&(kind.to_string(), name.to_string())) {
            s.revision += 1;
            s.events.push(Event {
                revision: s.revision,
                kind: kind.to_string(),
                json: format!(r#"{{"object":{},"deleted":true}}"#, object.json()),
            });
        }
        drop(guard);
        changed.notify_all();
    }

    fn serve(&self, mut connection: http::Connection) {
        while let Ok(Some(req)) = connection.read() {
            let (status, body) = self.respond(&req);
            let start = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if connection.write(&start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, req: &http::Message) -> (u16, String) {
        let target = req.target().to_string();
        let path = target.split('?').next().unwrap_or("");
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_string();
        let name = parts.next().map(str::to_string);
        let (state, changed) = &*self.shared;
        match (req.method(), name) {
            ("GET", None) => match http::parameter(&target, "watch") {
                Some(since) => self.watch(&kind, since.parse().unwrap_or(0), &target),
                None => (200, list(&state.lock().unwrap(), &kind, &target)),
            },
            ("GET", Some(name)) => match state.lock().unwrap().objects.get(&(kind, name)) {
                Some(object) => (200, object.json()),
                None => (404, "{}".to_string()),
            },
            (method @ ("POST" | "PUT"), name) => {
                let body = req.body_text();
                let spec = json::field(&body, "spec").unwrap_or("null");
                let named = json::field(&body, "metadata").and_then(|m| json::field(m, "name"));
                let name = name.unwrap_or_else(|| json::unquote(named.unwrap_or("\"\"")));
                let mut guard = state.lock().unwrap();
                let key = (kind.clone(), name.clone());
                let known = guard.objects.get(&key).map(Object::json);
                let answer = match (method, known) {
                    ("POST", Some(json)) => (409, json),
                    ("PUT", None) => (404, "{}".to_string()),
                    _ => {
                        put(&mut guard, &kind, &name, spec);
                        (200, guard.objects[&key].json())
                    }
                };
                drop(guard);
                changed.notify_all();
                answer
            }
            _ => (405, "{}".to_string()),
        }
    }

    fn watch(&self, kind: &str, since: u64, target: &str) -> (u16, String) {
        let wait = http::parameter(target, "wait_ms").and_then(|w| w.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let (state, changed) = &*self.shared;
        let mut guard = state.lock().unwrap();
        loop {
            let events: Vec<&str> = guard
                .events
                .iter()
                .filter(|event| event.revision > since && event.kind == kind)
                .map(|event| event.json.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), guard.revision);
                return (200, format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#));
            }
            guard = changed.wait_timeout(guard, left).unwrap().0;
        }
    }
}

fn put(state: &mut State, kind: &str, name: &str, spec: &str) {
    let key = (kind.to_string(), name.to_string());
    let known = state.objects.get(&key);
    if known.is_some_and(|known| known.spec == spec) {
        return;
    }
    let create_revision = known.map_or(state.revision + 1, |known| known.create_revision);
    state.revision += 1;
    let object = Object {
        name: name.to_string(),
        revision: state.revision,
        create_revision,
        spec: spec.to_string(),
    };
    state.events.push(Event {
        revision: state.revision,
        kind: kind.to_string(),
        json: format!(r#"{{"object":{},"deleted":false}}"#, object.json()),
    });
    state.objects.insert(key, object);
}

fn list(state: &State, kind: &str, target: &str) -> String {
    let after = http::parameter(target, "after");
    let found: Vec<&Object> = state
        .objects
        .iter()
        .filter(|((k, name), _)| k == kind && after.is_none_or(|after| name.as_str() > after))
        .map(|(_, object)| object)
        .collect();
    let page: Vec<String> = found.iter().take(PAGE).map(|object| object.json()).collect();
    format!(
        r#"{{"items":[{}],"more":{},"store_revision":{}}}"#,
        page.join(","),
        found.len() > PAGE,
        state.revision
    )
}
