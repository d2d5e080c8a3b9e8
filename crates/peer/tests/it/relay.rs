//! A TCP relay that on command stops forwarding on its open connections, like a NAT or firewall
//! that has lost their state.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, spawn};

#[derive(Default)]
struct Shared {
    ending: AtomicBool,
    /// Connections with a number below this one no longer carry data. They are numbered in the
    /// order in which they were accepted.
    silent_below: AtomicUsize,
    /// Number of connections that the far end has not closed.
    open: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
    pumps: Mutex<Vec<JoinHandle<()>>>,
}

pub struct Relay {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl Relay {
    pub fn start(address: SocketAddr, far: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let shared = Arc::new(Shared::default());
        let inner = Arc::clone(&shared);
        let acceptor = spawn(move || accept(&inner, &listener, far));
        Relay {
            address,
            shared,
            acceptor: Some(acceptor),
        }
    }

    /// Stops forwarding on every open connection without closing it; later connections work.
    pub fn silence(&self) {
        let count = self.shared.pumps.lock().unwrap().len() / 2;
        self.shared.silent_below.store(count, Ordering::SeqCst);
    }

    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener, far: SocketAddr) {
    for near in listener.incoming() {
        let (Ok(near), false) = (near, shared.ending.load(Ordering::SeqCst)) else {
            return;
        };
        let Ok(far) = TcpStream::connect(far) else {
            continue;
        };
        let mut pumps = shared.pumps.lock().unwrap();
        let number = pumps.len() / 2;
        shared.open.fetch_add(1, Ordering::SeqCst);
        for (from, to, far_end) in [(&near, &far, false), (&far, &near, true)] {
            let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            shared
                .streams
                .lock()
                .unwrap()
                .push(from.try_clone().unwrap());
            let shared = Arc::clone(shared);
            pumps.push(spawn(move || {
                pump(&shared, number, &mut from, &mut to);
                if far_end {
                    shared.open.fetch_sub(1, Ordering::SeqCst);
                }
            }));
        }
    }
}

fn pump(shared: &Shared, number: usize, from: &mut TcpStream, to: &mut TcpStream) {
    let mut buffer = [0; 16_384];
    let silent = || number < shared.silent_below.load(Ordering::SeqCst);
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if !silent() && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    if !silent() {
        let _ = to.shutdown(Shutdown::Both);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.ending.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
        self.acceptor.take().map(JoinHandle::join);
        for stream in self.shared.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        for pump in self.shared.pumps.lock().unwrap().drain(..) {
            let _ = pump.join();
        }
    }
}
