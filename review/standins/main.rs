//! Stand-ins of the platform, of servers and of clients, and the cases that are played with them.
//!
//! `standins CASE RECORD` plays a case from the repository's root and appends its record to a file.  Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod deadly;
mod evacuation;
mod gone;
mod host;
mod http;
mod json;
mod moved;
mod proxy;
mod record;
mod reload;
mod server;
mod store;
mod versions;
mod world;

use std::{env, panic, path, process};

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        process::exit(2);
    };
    let root = env::current_dir().expect("the current folder is known");
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = panic::AssertUnwindSafe(|| {
        let zones = [("a1", "a"), ("a2", "a"), ("b1", "b")];
        let machines = [("front-a1-1", "a1"), ("front-a1-2", "a1"), ("front-a2-1", "a2"), ("front-b1-1", "b1")];
        let mut world = world::World::new(&root, &zones, &machines);
        let held = match case.as_str() {
            "deadly" => deadly::run(&mut world, has_trouble),
            "evacuation" => evacuation::run(&mut world, has_trouble),
            "gone" => gone::run(&mut world, has_trouble),
            "moved" => moved::run(&mut world, has_trouble),
            "versions" => versions::run(&mut world, has_trouble),
            "reload" => reload::run(&mut world, has_trouble),
            _ => None,
        };
        world.record.write(path::Path::new(record));
        held
    });
    // What a stand-in can't do, such as listen, is no verdict.
    let held = panic::catch_unwind(play).unwrap_or(None);
    let code = match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    };
    println!("{case}, trouble {has_trouble}: exit code {code}");
    process::exit(code);
}
