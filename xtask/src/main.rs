//! Regenerates the committed protobuf code: `cargo run -p xtask`.

use std::{fs, path};

use anyhow::Context as _;

const PROTO: &str = "proto/peer.proto";
const OUT: &str = "crates/node/src/peer/generated.rs";

fn main() -> anyhow::Result<()> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let out = std::env::temp_dir().join(format!("yuccatide-xtask-{}", std::process::id()));
    fs::create_dir_all(&out)?;
    let set = protox::compile([root.join(PROTO)], [root.join("proto")])
        .context("the protocol does not compile")?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .compile_fds(set)
        .context("no code could be generated")?;
    let code = fs::read_to_string(out.join("yuccatide.peer.v1.rs"))?;
    fs::write(root.join(OUT), code)?;
    fs::remove_dir_all(&out)?;
    println!("wrote {OUT}");
    Ok(())
}
