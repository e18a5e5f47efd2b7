//! The project's own daemons, as separate processes started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{client::ask_ready, record::Record};

pub const FRONT: u16 = 8740;
const READY: u16 = 8749;
const CONTROL: u16 = 8748;

/// Chooses a free block of loopback addresses 127.N.0.0/16.
pub fn free_block() -> u8 {
    let first = 20 + (std::process::id() % 200) as u8;
    let mut blocks = (first..=250).chain(20..first);
    let is_free = |block: &u8| {
        [FRONT, READY, CONTROL, 9464]
            .iter()
            .all(|port| TcpListener::bind((format!("127.{block}.1.1"), *port)).is_ok())
    };
    blocks
        .find(is_free)
        .expect("a free block of loopback addresses")
}

/// A machine of the deployment.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub ip: String,
    /// Address at which it reaches the store.
    pub store: String,
    pub memory_mb: u32,
    /// Writing calls a second that the store takes.
    pub writes_per_s: u32,
}

pub struct Edge {
    pub node: Node,
    child: Option<Child>,
    pub ready: Arc<AtomicBool>,
}

pub struct Fleet {
    pub edges: Vec<Edge>,
    /// Command of the role `edge` in the deploy file.
    command: String,
    zones: Vec<String>,
    seeds: Vec<String>,
    folder: PathBuf,
    record: Arc<Record>,
}

impl Fleet {
    pub fn new(command: &str, zones: &[&str], nodes: Vec<Node>, record: &Arc<Record>) -> Self {
        let folder = std::env::temp_dir().join(format!("fleet-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        // The first machine of up to three zones.
        let mut seeds: Vec<String> = Vec::new();
        for zone in zones.iter().take(3) {
            let first = nodes.iter().find(|node| node.zone == *zone);
            seeds.extend(first.map(|node| format!("{}:{CONTROL}", node.ip)));
        }
        let edge = |node| Edge {
            node,
            child: None,
            ready: Arc::new(AtomicBool::new(false)),
        };
        Self {
            edges: nodes.into_iter().map(edge).collect(),
            command: command.to_owned(),
            zones: zones.iter().map(|&z| z.to_owned()).collect(),
            seeds,
            folder,
            record: Arc::clone(record),
        }
    }

    /// Writes the settings of a daemon and starts it.
    pub fn start(&mut self, index: usize) {
        let node = &self.edges[index].node;
        let mut text = format!(
            "Node={}\nRole=edge\nMachineClass=edge\nServes=edge,control_plane\nIp={ip}\nZone={}\n\
             Region=region-1\n",
            node.name,
            node.zone,
            ip = node.ip
        );
        for zone in &self.zones {
            text.push_str(&format!("Zones.{zone}=region-1\n"));
        }
        let ip = &node.ip;
        text.push_str(&format!(
            "Listen.Front={ip}:{FRONT}\nListen.Ready={ip}:{READY}\nListen.Control={ip}:{CONTROL}\n\
             PortRange=7200,7215\nSeeds={}\nBootstrap=true\nInTolerance=false\nLimits.CpuShare=0.25\n\
             Limits.Cores=1\nLimits.MemoryMb={}\nLimits.FdLimit=3075\nLimits.LinkMbps=1000.0\n\
             Limits.DiskMb=0\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\n",
            self.seeds.join(","),
            node.memory_mb
        ));
        text.push_str(
            "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             FaultTolerance.Machines=1\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\n\
             Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\n\
             Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
             Bounds.ConfigMs=2000\nBounds.RevertMs=250\nBounds.OuterMs=5000\n\
             Bounds.FailClosed=false\nBounds.RevokeMs=5000\nBounds.RetryRatio=0.2\n\
             Bounds.BudgetWindowS=10\nBounds.RetrySlack=56\nBounds.RecoverS=12\nBounds.PassMs=120\n\
             Bounds.ReuseWindowS=8.6\nBounds.settle_ms=1500\nPlatform.form=objects\n\
             Platform.HistoryS=20\nPlatform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n",
        );
        text.push_str(&format!(
            "Platform.Address={}\nPlatform.WritesPerS={}\nPlatform.ReadsPerS={}\n",
            node.store,
            node.writes_per_s,
            5 * node.writes_per_s
        ));
        let path = self.folder.join(format!("{}.conf", node.name));
        fs::write(&path, text).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.name)))
            .expect("log");
        let mut words = self.command.split(' ');
        let child = Command::new(words.next().unwrap_or(""))
            .args(words)
            .env_clear()
            .env("CORNELARCH_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.record
            .add(format!("start {} pid={}", node.name, child.id()));
        self.edges[index].child = Some(child);
    }

    pub fn start_all(&mut self) {
        (0..self.edges.len()).for_each(|index| self.start(index));
    }

    /// Asks all daemons once a second whether they are ready, as the platform does.
    pub fn watch_ready(&self) {
        for edge in &self.edges {
            let (address, ready) = (format!("{}:{READY}", edge.node.ip), Arc::clone(&edge.ready));
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    match ask_ready(&address) {
                        true => {
                            misses = 0;
                            ready.store(true, Ordering::Relaxed);
                        }
                        false => {
                            misses += 1;
                            if misses >= 2 {
                                ready.store(false, Ordering::Relaxed);
                            }
                        }
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self
                .edges
                .iter()
                .all(|edge| edge.ready.load(Ordering::Relaxed))
            {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Fronts with their readiness.
    pub fn fronts(&self) -> Vec<(String, Arc<AtomicBool>)> {
        let fronts = self.edges.iter();
        fronts
            .map(|edge| (format!("{}:{FRONT}", edge.node.ip), Arc::clone(&edge.ready)))
            .collect()
    }

    /// Returns the daemons that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for edge in &mut self.edges {
            if let Some(child) = &mut edge.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{} {status}", edge.node.name));
            }
        }
        ended
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for edge in &mut self.edges {
            if let Some(child) = &mut edge.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Opens a channel.
pub fn connect(address: &str, limit: Duration) -> std::io::Result<TcpStream> {
    let address = address
        .parse()
        .map_err(|_| std::io::ErrorKind::InvalidInput)?;
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
