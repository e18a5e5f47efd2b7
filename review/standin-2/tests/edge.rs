//! Processes of the project, started with the command of the deploy file.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::call;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

/// Settings of one entry instance of a small deployment.
#[derive(Clone, Debug)]
pub struct EdgeSpec {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub writes_per_s: u64,
    pub folder: PathBuf,
}

pub struct Edge {
    pub spec: EdgeSpec,
    child: Child,
}

/// Returns a loopback address with free ports for one instance, whose metrics port is fixed.
pub fn free_ip(seed: u32, number: u8) -> Ipv4Addr {
    (0..200u32)
        .map(|try_| {
            let mixed = seed.wrapping_mul(2_654_435_761).wrapping_add(try_ * 7_919);
            Ipv4Addr::new(
                127,
                20 + (mixed >> 24) as u8 % 200,
                (mixed >> 16) as u8,
                10 + number,
            )
        })
        .find(|ip| {
            [8740, 8748, 8749, 9464]
                .iter()
                .all(|p| TcpListener::bind((*ip, *p)).is_ok())
        })
        .expect("a free loopback address")
}

/// Returns the start command of the role in the deploy file, split at spaces.
fn deploy_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy file");
    let role = text.split("[roles.edge]").nth(1).expect("role");
    let line = role
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .expect("run");
    line.trim()
        .trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect()
}

impl EdgeSpec {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8740)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8748)
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8749)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.conf", self.name))
    }

    /// Writes the settings file, as the platform does at every start.
    pub fn write_settings(&self) {
        let Self {
            name,
            zone,
            ip,
            store,
            writes_per_s,
            ..
        } = self;
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "Node={name}\nRole=edge\nMachineClass=edge\nServes=edge,control_plane\nIp={ip}\n\
             Zone={zone}\nRegion=north\nZones.zone-a=north\nZones.zone-b=north\nZones.zone-c=north\n\
             Listen.Front={ip}:8740\nListen.Ready={ip}:8749\nListen.Control={ip}:8748\n\
             PortRange=7200,7215\nSeeds={}\nBootstrap=true\nInTolerance=false\n\
             Limits.CpuShare=0.19\nLimits.Cores=1\nLimits.MemoryMb=195\nLimits.FdLimit=3075\n\
             Limits.LinkMbps=750.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=vip\n\
             HeartbeatMs=1200\n\
             Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             FaultTolerance.Machines=1\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\n\
             Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\n\
             Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
             Bounds.ConfigMs=2000\nBounds.RevertMs=250\nBounds.OuterMs=5000\n\
             Bounds.FailClosed=false\nBounds.RevokeMs=5000\nBounds.RetryRatio=0.2\n\
             Bounds.BudgetWindowS=10\nBounds.RetrySlack=56\nBounds.RecoverS=12\nBounds.PassMs=120\n\
             Bounds.ReuseWindowS=8.6\nBounds.settle_ms=1500\nPlatform.Address={store}\n\
             Platform.form=objects\nPlatform.WritesPerS={writes_per_s}\nPlatform.ReadsPerS=2000\n\
             Platform.HistoryS=20\nPlatform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n",
            seeds.join(",")
        );
        fs::write(self.settings_path(), text).expect("settings");
    }

    /// Starts the process and waits until it is ready.
    pub fn start(&self) -> Edge {
        let edge = self.spawn();
        assert!(
            edge.wait_ready(Duration::from_secs(15)),
            "{} is not ready",
            self.name
        );
        edge
    }

    /// Starts the process.
    pub fn spawn(&self) -> Edge {
        self.write_settings();
        let log = |end| {
            let path = self.folder.join(format!("{}.{end}", self.name));
            let file = fs::OpenOptions::new().create(true).append(true).open(path);
            Stdio::from(file.expect("log"))
        };
        let words = deploy_command();
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]);
        command
            .env_clear()
            .env("CORNELARCH_BOOT", self.settings_path());
        command
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("err"));
        Edge {
            spec: self.clone(),
            child: command.spawn().expect("cornelarch-edge starts"),
        }
    }
}

impl Edge {
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "ready")];
        let limit = Duration::from_millis(800);
        let answer = call(
            self.spec.ready(),
            "GET /v1/readyz HTTP/1.1",
            &headers,
            b"",
            limit,
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the resident memory of the process in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/statm", self.child.id()));
        let pages = text
            .ok()
            .and_then(|text| text.split(' ').nth(1)?.parse::<u64>().ok());
        pages.unwrap_or(0) * 4_096 / 1_000_000
    }

    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("pid");
        // SAFETY: `kill` only takes numbers; the child was started by this process and is not reaped.
        unsafe { kill(pid, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("wait").is_some()
    }

    /// Waits until the process has ended, and kills it at the limit.
    pub fn wait_ended(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while !self.has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
