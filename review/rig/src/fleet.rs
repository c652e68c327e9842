//! The instances: the program of the deploy file, each as a process of its own with a settings file.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::clock::{random, record, sleep_ms, unix_ms};

/// Addresses of one run: all of 127.A.B.0/24.
#[derive(Debug, Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    /// A network of loopback addresses whose ports are free.
    pub fn free() -> Self {
        loop {
            let net = Self(20 + (random() % 200) as u8, 1 + (random() % 250) as u8);
            let is_free = |port| TcpListener::bind(net.at(11, port)).is_ok();
            if is_free(9_464) && is_free(8_144) {
                return net;
            }
        }
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host)), port)
    }
}

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Instances and the folder of their settings and logs.
pub struct Fleet {
    pub instances: Vec<Instance>,
    folder: PathBuf,
    program: PathBuf,
}

impl Fleet {
    /// Starts instances in three zones, with settings like those of a small deployment.
    pub fn start(program: PathBuf, net: Net, count: u8, store: SocketAddr) -> Self {
        Self::start_with_memory(program, net, count, store, 260)
    }

    /// The same with machines of so much memory, in MB.
    pub fn start_with_memory(
        program: PathBuf,
        net: Net,
        count: u8,
        store: SocketAddr,
        ram_mb: u64,
    ) -> Self {
        let folder =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut instances = Vec::new();
        for number in 0..count {
            let host = 11 + number;
            let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3];
            let name = format!("front-{zone}-{}", 1 + number / 3);
            let seeds: Vec<String> = (0..3)
                .map(|it| format!("\"{}\"", net.at(11 + it, 8_146)))
                .collect();
            let text = SETTINGS
                .replace("{NAME}", &name)
                .replace("{ZONE}", zone)
                .replace("{IP}", &net.at(host, 0).ip().to_string())
                .replace("{SEEDS}", &seeds.join(","))
                .replace("{RAM}", &ram_mb.to_string())
                .replace("{STORE}", &store.to_string());
            let settings = folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text).expect("settings can be written");
            instances.push(Instance {
                front: net.at(host, 8_144),
                directory: net.at(host, 8_143),
                ready: net.at(host, 8_140),
                log: folder.join(format!("{name}.log")),
                name,
                settings,
                process: None,
            });
        }
        let mut fleet = Self {
            instances,
            folder,
            program,
        };
        for number in 0..fleet.instances.len() {
            fleet.launch(number);
        }
        fleet
    }

    /// Starts the process of an instance.
    pub fn launch(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&instance.log)
            .expect("a log");
        let copy = log.try_clone().expect("a log");
        let mut command = Command::new(&self.program);
        // SAFETY: the call is allowed between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .env("CHICORYRACK_BOOT", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .expect("the program of the deploy file starts");
        record(&format!("instance {} started", instance.name));
        instance.process = Some(child);
    }

    /// Sends a signal to the process of an instance, which this run started.
    pub fn signal(&self, number: usize, signal: i32) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        let instance = &self.instances[number];
        if let Some(child) = &instance.process {
            record(&format!("instance {} gets signal {signal}", instance.name));
            // SAFETY: the process is a child that was not waited for yet.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process of an instance has ended; kills it after that time.
    pub fn wait_end(&mut self, number: usize, most_ms: u64) {
        let instance = &mut self.instances[number];
        let Some(child) = instance.process.as_mut() else {
            return;
        };
        let mut waited = 0;
        while matches!(child.try_wait(), Ok(None)) {
            if waited >= most_ms {
                record(&format!("instance {} is killed", instance.name));
                let _ = child.kill();
                let _ = child.wait();
                break;
            }
            sleep_ms(5);
            waited += 5;
        }
        record(&format!("instance {} has ended", instance.name));
        instance.process = None;
    }

    /// Memory that the process of an instance has in use, in kB.
    pub fn memory_kb(&self, number: usize) -> u64 {
        let Some(child) = &self.instances[number].process else {
            return 0;
        };
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok())
            .unwrap_or(0)
    }

    /// Whether all processes run.
    pub fn all_run(&mut self) -> bool {
        self.instances.iter_mut().all(|it| {
            it.process
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        })
    }

    /// Waits until all instances say that they are ready; false if one does not.
    pub fn wait_ready(&self, most_ms: u64) -> bool {
        let mut waited = 0;
        loop {
            let is_ready =
                |it: &Instance| crate::get_status(it.ready, "/chicoryrack/readyz") == Some(200);
            if self.instances.iter().all(is_ready) {
                return true;
            }
            if waited >= most_ms {
                return false;
            }
            sleep_ms(200);
            waited += 200;
        }
    }

    /// Lines of all logs that contain one of the words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut found = Vec::new();
        for instance in &self.instances {
            let text = std::fs::read_to_string(&instance.log).unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)));
            found.extend(lines.map(|line| format!("{}: {line}", instance.name)));
        }
        found
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.process.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

/// Has the process killed when its parent ends, however that happens.
fn end_with_parent() -> std::io::Result<()> {
    unsafe extern "C" {
        fn prctl(option: i32, argument: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the call changes an attribute of the calling process only.
    unsafe { prctl(PR_SET_PDEATHSIG, 9) };
    Ok(())
}

const SETTINGS: &str = r#"node = "{NAME}"
role = "entry"
class = "front"
serves = ["front","dir","ctl"]
ip = "{IP}"
zone = "{ZONE}"
region = "r"
portRange = [7660,7675]
seeds = [{SEEDS}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "dir"
beatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]

[zones]
zone-a = "r"
zone-b = "r"
zone-c = "r"

[listen]
front = "{IP}:8144"
ready = "{IP}:8140"
control = "{IP}:8146"
directory = "{IP}:8143"

[limits]
cpuShare = 0.25
cores = 1
ramMb = {RAM}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0

[tolerate]
machines = 1
zones = 0
regions = 0

[bounds]
seedLagS = 3
reuseS = 2
stableMs = 3000
ackMs = 4000
catchupS = 4
drainMs = 2000
graceS = 8
lostSlackMs = 200
configMs = 2000
revertMs = 250
skewMaxMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 58
recoverS = 12
transitMs = 120
cacheWindowS = 8.1
fenced = false
leaseMs = 3000
thawMs = 300
ttl_max_s = 5

[platform]
addr = "{STORE}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"#;
