//! The broker under test: its configuration and its process.

use crate::discovery::Discovery;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The settings that the cases set.
pub struct Deployment {
    pub aim_ms: u32,
    pub give_up_ms: u32,
    pub sockets: u32,
    pub memory_mb: u32,
}

impl Deployment {
    /// The settings of an instance, in the names of `WIRE`. The figures are those of the example
    /// there, unless a case sets them.
    fn settings(&self) -> String {
        let (aim, give_up) = (self.aim_ms, self.give_up_ms);
        let class = |name: &str, gain: f64, late: f64| {
            format!(
                r#"{{"Aim":{aim}.0,"DedupScope":"all","Gain":{gain},"GiveUp":{give_up}.0,"LateWorth":{late},"MemorySpan":5000.0,"Name":"{name}","Semantics":"repeatable","Stream":false}}"#
            )
        };
        let classes = [
            class("quick-find", 2.0, 0.0),
            class("full-report", 1.0, 0.1),
        ]
        .join(",");
        format!(
            r#"{{"Allowed":{{"Cancel":true,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeout":250.0,"Keepalive":15000.0,"MaxOpen":144,"MaxRetryAfter":1000.0,"Multiplex":32,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":true,"SendCap":3}},
"Clients":{{"MarksRetry":true}},"Family":"fanout",
"FamilyInfo":{{"Batch":16,"Call":44.0,"ClassNeed":[0.7777777777777778,1.0],"FetchParts":[0,0],"MinShare":[0.7777777777777778,1.0],"PartialEarns":[0.9,0.9],"Positions":12,"Shards":36,"WarmKeys":false,"Width":3}},
"Flavors":["small-2c"],"Goal":{{"Whole":0.5,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.3}},
"Layer":0,"Layers":["arsip-nodes"],"Locality":0,"MembershipMode":"pushed","Ordinal":0,"OverShareWorth":0.1,"PeersTotal":2,"Projects":[],"Report":{{"Columns":[],"How":"off"}},
"Rules":{{"AnswerSlack":20.0,"AskWithin":10000.0,"Cold":12000.0,"ColdFrom":0.17,"DrainGrace":500.0,"Fall":1500.0,"FallMultiple":4.0}},
"Services":[{classes}],"Tick":5.0,"Weights":"rough","WorthBy":"work","Zones":["yogya-1"]}}"#
        )
    }
}

/// A broker process, which is killed when this is dropped.
pub struct Broker {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    pid_file: PathBuf,
}

impl Broker {
    /// Starts a broker with the command `run` of the deploy file, and waits until it is ready.
    /// Its process id stands in `broker.pid` in `case_folder` for as long as it may run, so that the
    /// script can end it if this program is ended first.
    pub fn start(
        root: &Path,
        case_folder: &Path,
        deployment: &Deployment,
        discovery: &Discovery,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let private = folder.join("tmp");
        fs::create_dir_all(&private)?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let discovery_address = format!("127.0.0.1:{}", discovery.port);
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{discovery_address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            deployment.memory_mb,
            deployment.sockets,
            discovery.whole_list(),
            deployment.settings()
        );
        let config_path = folder.join("config.json");
        fs::write(&config_path, config)?;
        let log = File::create(folder.join("broker.log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(root)?])
            .current_dir(root)
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery_address)
            .env("RELAY_CONFIG", &config_path)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let broker = Broker {
            child,
            address,
            folder,
            pid_file: case_folder.join("broker.pid"),
        };
        fs::write(&broker.pid_file, broker.child.id().to_string())?;
        broker.wait_until_ready()?;
        Ok(broker)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(30) {
            if let Ok(stream) = TcpStream::connect(self.address) {
                let status = crate::client::get_ready(stream);
                if status == Some(200) {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the broker is not ready after 30 s"))
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the memory of the process that is not backed by files, in KiB; 0 if it has ended.
    pub fn anonymous_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
        let number = line.and_then(|line| line.trim().split(' ').next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Returns what the broker has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("broker.log")).unwrap_or_default()
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.pid_file);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the command `run` of the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let value = text.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        (key.trim() == "run").then(|| value.trim().trim_matches('"').to_owned())
    });
    value.ok_or_else(|| io::Error::other("the deploy file has no command run"))
}
