//! A stand-in for discovery, as in `PROTOCOL`, "Discovery".

use crate::data_server::DataServer;
use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone)]
pub struct Target {
    server: Arc<DataServer>,
    state: &'static str,
}

impl Target {
    fn json(&self) -> String {
        let DataServer {
            name, port, cell, ..
        } = &*self.server;
        let state = self.state;
        format!(
            r#"{{"uid":"{name}","endpoint":"127.0.0.1:{port}","az":"yogya-1","model":"small-2c","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
        )
    }
}

struct List {
    revision: u64,
    targets: Vec<Target>,
    /// Revision and target of each change.
    changes: Vec<(u64, Target)>,
}

impl List {
    fn json(&self, since: Option<u64>) -> String {
        let targets: Vec<String> = match since {
            None => self.targets.iter().map(Target::json).collect(),
            Some(since) => {
                let newer = self.changes.iter().filter(|(at, _)| *at > since);
                newer.map(|(_, target)| target.json()).collect()
            }
        };
        let (revision, all) = (self.revision, since.is_none());
        let targets = targets.join(",");
        format!(r#"{{"rev":{revision},"all":{all},"targets":[{targets}]}}"#)
    }
}

pub struct Discovery {
    pub port: u16,
    list: Mutex<List>,
    changed: Condvar,
    /// While discovery is slow: how long after the wait of a call it is answered.
    lateness: Mutex<Option<Duration>>,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(servers: &[Arc<DataServer>], record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let target = |server: &Arc<DataServer>| Target {
            server: server.clone(),
            state: "active",
        };
        let discovery = Arc::new(Discovery {
            port: listener.local_addr().unwrap().port(),
            list: Mutex::new(List {
                revision: 41,
                targets: servers.iter().map(target).collect(),
                changes: Vec::new(),
            }),
            changed: Condvar::new(),
            lateness: Mutex::default(),
            record,
        });
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// Returns the whole list.
    pub fn whole_list(&self) -> String {
        self.list.lock().unwrap().json(None)
    }

    /// From now on each call is answered this long after the wait that it asked for.
    pub fn become_slow(&self, lateness: Duration) {
        *self.lateness.lock().unwrap() = Some(lateness);
        self.record
            .line(&format!("discovery is slow from now on: {lateness:?} late"));
    }

    /// Lists a server as leaving.
    pub fn drain(&self, server: &Arc<DataServer>) {
        let mut list = self.list.lock().unwrap();
        let leaving = Target {
            server: server.clone(),
            state: "leaving",
        };
        list.revision += 1;
        let revision = list.revision;
        for target in &mut list.targets {
            if Arc::ptr_eq(&target.server, server) {
                *target = leaving.clone();
            }
        }
        list.changes.push((revision, leaving));
        self.changed.notify_all();
        self.record.line(&format!(
            "discovery lists {} as leaving, rev {revision}",
            server.name
        ));
    }

    /// Answers the calls on one connection until the broker closes it.
    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    return;
                }
                if line.trim().is_empty() {
                    break;
                }
            }
            let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
            self.record.line(&format!("discovery is called: {path}"));
            let body = self.answer(&path);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let is_sent = stream.write_all((head + &body).as_bytes()).is_ok();
            let end: String = body.chars().take(24).collect();
            self.record.line(&format!(
                "discovery answers {path}: {end}... sent={is_sent}"
            ));
            if !is_sent {
                return;
            }
        }
    }

    /// Waits as the call asks, and returns the body of the answer. A slow discovery looks at its
    /// list only when it answers.
    fn answer(&self, path: &str) -> String {
        let called_at = Instant::now();
        let number = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.into_iter().find(|(n, _)| *n == name)?.1.parse().ok()
        };
        let since = number("index");
        let wait = Duration::from_millis(number("wait").unwrap_or(0));
        let lateness = *self.lateness.lock().unwrap();
        if let Some(lateness) = lateness {
            thread::sleep((wait + lateness).saturating_sub(called_at.elapsed()));
        }
        let mut list = self.list.lock().unwrap();
        if let Some(since) = since {
            let left = wait.saturating_sub(called_at.elapsed());
            let is_old = |list: &mut List| list.revision <= since;
            list = self
                .changed
                .wait_timeout_while(list, left, is_old)
                .unwrap()
                .0;
        }
        list.json(since)
    }
}
