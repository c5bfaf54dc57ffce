//! A loopback proxy that delays, resets, silences or cuts one way what it passes on.

use std::{io, net, sync, sync::atomic, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
};

use crate::plan::Trouble;

/// Delay of [`Trouble::Delay`]: noticeable beside work of 20 to 60 ms, short beside time-outs.
const DELAY: Duration = Duration::from_millis(250);

/// Bytes passed on at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// A proxy in front of one address; dropping it closes all of its connections.
pub struct Proxy {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    trouble: watch::Sender<Option<Trouble>>,
    /// Number of times that the open connections went silent.
    silences: sync::Arc<atomic::AtomicU32>,
    target: sync::Arc<sync::Mutex<net::SocketAddr>>,
    task: tokio::task::JoinHandle<()>,
}

impl Proxy {
    /// A proxy that passes everything on.
    pub async fn start(target: net::SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let trouble = watch::Sender::new(None);
        let silences = sync::Arc::new(atomic::AtomicU32::new(0));
        let heard = silences.clone();
        let target = sync::Arc::new(sync::Mutex::new(target));
        let (receiver, goal) = (trouble.subscribe(), target.clone());
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            let target = *goal.lock().unwrap_or_else(sync::PoisonError::into_inner);
                            let link = Link {
                                trouble: receiver.clone(),
                                opened: heard.load(atomic::Ordering::Relaxed),
                                silences: heard.clone(),
                            };
                            connections.spawn(pass_on(stream, target, link));
                        }
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Proxy {
            address,
            trouble,
            silences,
            target,
            task,
        })
    }

    /// Changes what is wrong with the link.
    pub fn set(&self, trouble: Option<Trouble>) {
        self.trouble.send_replace(trouble);
    }

    /// Makes all open connections go silent for good, without a reset; new ones work.
    pub fn silence_open(&self) {
        self.silences.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Changes where new connections lead.
    pub fn lead_to(&self, target: net::SocketAddr) {
        *self
            .target
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = target;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether bytes flow towards the accepting side or back.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

/// What is wrong with the link of a connection.
#[derive(Clone)]
struct Link {
    trouble: watch::Receiver<Option<Trouble>>,
    silences: sync::Arc<atomic::AtomicU32>,
    /// Number of silences before the connection was opened.
    opened: u32,
}

impl Link {
    fn is_silent(&self) -> bool {
        self.silences.load(atomic::Ordering::Relaxed) != self.opened
    }
}

async fn pass_on(mut near: TcpStream, target: net::SocketAddr, link: Link) {
    let mut trouble = link.trouble.clone();
    let is_reset = *trouble.borrow() == Some(Trouble::Reset);
    let far = match is_reset {
        true => None,
        false => TcpStream::connect(target).await.ok(),
    };
    let Some(mut far) = far else {
        // Without a far side the near one is reset, as by a host without a listener.
        drop(near.set_zero_linger());
        return;
    };
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let is_reset = tokio::select! {
        _ = trouble.wait_for(|trouble| *trouble == Some(Trouble::Reset)) => true,
        _ = async {
            tokio::join!(
                pump(near_read, far_write, Direction::There, link.clone()),
                pump(far_read, near_write, Direction::Back, link.clone()),
            )
        } => false,
    };
    if is_reset {
        drop((near.set_zero_linger(), far.set_zero_linger()));
    }
}

/// Passes bytes on in one direction until its source ends.
async fn pump(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    direction: Direction,
    mut link: Link,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        if link.is_silent() {
            std::future::pending().await
        }
        let trouble = &mut link.trouble;
        let present = *trouble.borrow_and_update();
        match present {
            Some(Trouble::Silent) => std::future::pending().await,
            Some(Trouble::OneWay) if direction == Direction::Back => {
                drop(trouble.wait_for(Option::is_none).await);
            }
            Some(Trouble::Delay) => tokio::time::sleep(DELAY).await,
            _ => {}
        }
        if read == 0 {
            // An orderly end is passed on as one.
            drop(to.shutdown().await);
            return;
        }
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
