//! A TCP proxy.  Connections that are open can go silent for good; new ones work.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
};

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Proxy {
    pub fn start(ip: &str, to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind((ip, 0)).expect("the proxy listens");
        let proxy = Proxy {
            address: listener.local_addr().expect("the proxy has an address"),
            open: Arc::default(),
        };
        let open = proxy.open.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let is_silent = Arc::new(AtomicBool::new(false));
                open.lock().unwrap().push(is_silent.clone());
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let _ = from.set_nodelay(true);
                    let ends = (from.try_clone().unwrap(), into.try_clone().unwrap());
                    let is_silent = is_silent.clone();
                    thread::spawn(move || pump(ends.0, ends.1, &is_silent));
                }
            }
        });
        proxy
    }

    /// Drops what is sent on the connections that are open now, both ways and for good, without
    /// closing them.  Returns how many there are.
    pub fn silence_open(&self) -> usize {
        let open = self.open.lock().unwrap();
        open.iter().for_each(|is_silent| is_silent.store(true, Ordering::SeqCst));
        open.iter().filter(|is_silent| Arc::strong_count(is_silent) > 1).count()
    }
}

fn pump(mut from: TcpStream, mut into: TcpStream, is_silent: &AtomicBool) {
    let mut buf = [0; 16384];
    loop {
        let n = from.read(&mut buf).unwrap_or(0);
        if is_silent.load(Ordering::SeqCst) {
            if n == 0 {
                return;
            }
            continue;
        }
        if n == 0 || into.write_all(&buf[..n]).is_err() {
            let _ = into.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}
