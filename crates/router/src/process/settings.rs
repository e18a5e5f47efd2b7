//! Settings of a router process, read from an INI file. Unknown sections and keys are errors.

use std::{fmt, fs, net::SocketAddr, path::Path, str::FromStr, time::Duration};

use cornelarch_core::{
    base::{DomainName, EnvironmentName, InstanceName},
    limit::CallerOptions,
};
use ini::{Ini, ParseOption};
use snafu::{ResultExt, Snafu};

/// Memory of the machine unless the settings state it, in MB. The largest body that a document allows
/// fits.
const MEMORY_MB: u64 = 1_024;
const BYTES_PER_MB: u64 = 1024 * 1024;

/// Holds a secret that must not appear in logs or dumps.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Creates a secret from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the secret as bytes, for constant-time comparison.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("(secret)")
    }
}

/// Configures one router process.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The name of the instance, unique in the fleet.
    pub instance: InstanceName,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The environment whose configuration the router uses.
    pub environment: EnvironmentName,
    /// The base URL of the platform.
    pub platform: String,
    /// Addresses of the peers through which the router joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The address for callers; port 0 takes a free one.
    pub callers: SocketAddr,
    /// The address for operators; port 0 takes a free one.
    pub operator: SocketAddr,
    /// The address for peers; port 0 takes a free one.
    pub peers: SocketAddr,
    /// The address that is announced to peers; the bound one if absent.
    pub advertise: Option<SocketAddr>,
    /// The bearer key of operators; if it is empty, every operator request is refused.
    pub operator_key: SecretText,
    /// Relative capacity of the machine; scales the bounds of the admission queues.
    pub capacity: f64,
    /// Time between the start of a drain and the refusal of new requests.
    pub drain_grace: Duration,
    /// Time-out for running requests to finish during a drain.
    pub drain: Duration,
    /// Time-out of a request; the configuration document may set a shorter one.
    pub request_timeout: Duration,
    /// Chunks that a stream buffers for a slow caller.
    pub stream_buffer: usize,
    /// Time between two polls of an upstream's load.
    pub load_poll: Duration,
    /// Time between two reads of order records while searching for expired ones.
    pub order_sweep: Duration,
    /// Limits of the memory and the connections of callers.
    pub caller_limits: CallerOptions,
    /// The number of ledger shards, the same for every router and tool of the environment.
    pub ledger_shards: u32,
    /// The UDP address that receives metrics; if absent, none are sent.
    pub metrics: Option<SocketAddr>,
    /// The prefix of metric names.
    pub metrics_prefix: String,
}

fn default_callers() -> CallerOptions {
    CallerOptions::for_machine(Some(MEMORY_MB * BYTES_PER_MB), None)
}

impl Default for RouterSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            instance: InstanceName::new("router"),
            domain: DomainName::new("a"),
            environment: EnvironmentName::new("trial"),
            platform: String::new(),
            seeds: Vec::new(),
            callers: loopback,
            operator: loopback,
            peers: loopback,
            advertise: None,
            operator_key: SecretText::default(),
            capacity: 1.0,
            drain_grace: Duration::from_secs(5),
            drain: Duration::from_secs(600),
            request_timeout: Duration::from_secs(600),
            stream_buffer: 32,
            load_poll: Duration::from_secs(2),
            order_sweep: Duration::from_secs(2),
            caller_limits: default_callers(),
            ledger_shards: 8,
            metrics: None,
            metrics_prefix: "cornelarch".to_owned(),
        }
    }
}

/// Describes one fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The line, counted from 1.
    pub line: usize,
    /// The section.
    pub section: String,
    /// The key, empty if the fault concerns the whole section.
    pub key: String,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            section,
            key,
            message,
        } = self;
        if key.is_empty() {
            write!(formatter, "line {line}, section [{section}]: {message}")
        } else {
            write!(
                formatter,
                "line {line}, section [{section}], key {key}: {message}"
            )
        }
    }
}

/// Reports a settings file that cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {file} cannot be read: {source}"))]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file has faults.
    #[snafu(display("settings file {file} has {} fault(s):{}", faults.len(), list_faults(faults)))]
    Invalid {
        /// The path of the file.
        file: String,
        /// Every fault, in the order of lines.
        faults: Vec<SettingsFault>,
    },
}

fn list_faults(faults: &[SettingsFault]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}

impl RouterSettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file at once.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).context(UnreadableSnafu { file: &file })?;
        Self::parse(&file, &text)
    }

    /// Reads settings from `text`; `file` is used in messages.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(text);
        let settings = reader.read();
        if reader.faults.is_empty() {
            return Ok(settings);
        }
        let mut faults = reader.faults;
        faults.sort_by_key(|fault| fault.line);
        Err(SettingsError::Invalid {
            file: file.to_owned(),
            faults,
        })
    }
}

/// Removes known keys from a parsed file and collects faults; the remaining keys are unknown.
struct SettingsReader<'a> {
    text: &'a str,
    ini: Ini,
    faults: Vec<SettingsFault>,
}

impl<'a> SettingsReader<'a> {
    fn new(text: &'a str) -> Self {
        let options = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let (ini, faults) = match Ini::load_from_str_opt(text, options) {
            Ok(ini) => (ini, Vec::new()),
            Err(error) => {
                let fault = SettingsFault {
                    line: error.line + 1,
                    section: String::new(),
                    key: String::new(),
                    message: format!("cannot be parsed: {}", error.msg),
                };
                (Ini::new(), vec![fault])
            }
        };
        Self { text, ini, faults }
    }

    fn read(&mut self) -> RouterSettings {
        if !self.faults.is_empty() {
            // After a parse error every required key would be reported as missing.
            return RouterSettings::default();
        }
        let defaults = RouterSettings::default();
        let settings = RouterSettings {
            instance: InstanceName::from(self.required::<String>("router", "instance")),
            domain: DomainName::from(self.required::<String>("router", "domain")),
            environment: EnvironmentName::from(self.required::<String>("router", "environment")),
            platform: self.read_platform(),
            seeds: self.read_seeds(),
            callers: self.optional("router", "callers", defaults.callers),
            operator: self.optional("router", "operator", defaults.operator),
            peers: self.optional("router", "peers", defaults.peers),
            advertise: self.take("router", "advertise"),
            operator_key: SecretText(self.required("router", "operator_key")),
            capacity: self.positive("limits", "capacity", defaults.capacity),
            drain_grace: self.seconds("limits", "drain_grace_s", defaults.drain_grace),
            drain: self.seconds("limits", "drain_s", defaults.drain),
            request_timeout: self.seconds("limits", "request_timeout_s", defaults.request_timeout),
            stream_buffer: self.optional("limits", "stream_buffer", defaults.stream_buffer),
            load_poll: self.millis("limits", "load_poll_ms", defaults.load_poll),
            order_sweep: self.millis("limits", "order_sweep_ms", defaults.order_sweep),
            caller_limits: self.read_callers(),
            ledger_shards: self.optional("budgets", "ledger_shards", defaults.ledger_shards),
            metrics: self.take("metrics", "address"),
            metrics_prefix: self.optional("metrics", "prefix", defaults.metrics_prefix),
        };
        self.check_drain(&settings);
        self.check_sizes(&settings);
        self.report_unknown_keys();
        settings
    }

    fn read_platform(&mut self) -> String {
        let url: String = self.required("router", "platform");
        if !url.is_empty() && !url.starts_with("http://") {
            self.fault("router", "platform", "must start with http://");
        }
        url.trim_end_matches('/').to_owned()
    }

    fn read_seeds(&mut self) -> Vec<SocketAddr> {
        let Some(text) = self.take::<String>("router", "seeds") else {
            return Vec::new();
        };
        let mut seeds = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(seed) => seeds.push(seed),
                Err(_) => self.fault("router", "seeds", &format!("{part:?} is not IP:port")),
            }
        }
        seeds
    }

    fn read_callers(&mut self) -> CallerOptions {
        let memory = self.optional("limits", "memory_mb", MEMORY_MB);
        let descriptors = self.take("limits", "descriptors");
        let memory = memory.saturating_mul(BYTES_PER_MB);
        let options = CallerOptions::for_machine(Some(memory), descriptors);
        CallerOptions {
            body_stall: self.millis("limits", "body_stall_ms", options.body_stall),
            answer_stall: self.millis("limits", "answer_stall_ms", options.answer_stall),
            ..options
        }
    }

    fn check_drain(&mut self, settings: &RouterSettings) {
        if settings.drain < settings.request_timeout {
            let message = format!(
                "must be at least request_timeout_s ({} s), or a drain interrupts requests",
                settings.request_timeout.as_secs_f64()
            );
            self.fault("limits", "drain_s", &message);
        }
    }

    fn check_sizes(&mut self, settings: &RouterSettings) {
        if settings.stream_buffer == 0 {
            self.fault("limits", "stream_buffer", "must be above 0");
        }
        if settings.ledger_shards == 0 {
            self.fault("budgets", "ledger_shards", "must be above 0");
        }
        if settings.load_poll.is_zero() {
            self.fault("limits", "load_poll_ms", "must be above 0");
        }
    }

    fn take<T: FromStr>(&mut self, section: &str, key: &str) -> Option<T> {
        let properties = self.ini.section_mut(Some(section))?;
        let values: Vec<String> = properties.remove_all(key).collect();
        let value = values.first()?;
        if values.len() > 1 {
            self.fault(section, key, "is given more than once");
        }
        if let Ok(value) = value.parse() {
            return Some(value);
        }
        let kind = std::any::type_name::<T>()
            .rsplit("::")
            .next()
            .unwrap_or("value");
        let message = match kind {
            "SocketAddr" => format!("{value:?} is not IP:port"),
            _ => format!("{value:?} is not a valid number"),
        };
        self.fault(section, key, &message);
        None
    }

    fn optional<T: FromStr>(&mut self, section: &str, key: &str, default: T) -> T {
        self.take(section, key).unwrap_or(default)
    }

    fn required<T: FromStr + Default + PartialEq>(&mut self, section: &str, key: &str) -> T {
        match self.take::<T>(section, key) {
            Some(value) if value != T::default() => value,
            _ => {
                self.fault(section, key, "is required");
                T::default()
            }
        }
    }

    fn positive(&mut self, section: &str, key: &str, default: f64) -> f64 {
        match self.take::<f64>(section, key) {
            Some(value) if value.is_finite() && value > 0.0 => value,
            Some(_) => {
                self.fault(section, key, "must be above 0");
                default
            }
            None => default,
        }
    }

    fn duration(&mut self, section: &str, key: &str, unit: f64, default: Duration) -> Duration {
        match self.take::<f64>(section, key) {
            Some(value) => Duration::try_from_secs_f64(value * unit).unwrap_or_else(|_| {
                self.fault(section, key, "is not a valid time");
                default
            }),
            None => default,
        }
    }

    fn seconds(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        self.duration(section, key, 1.0, default)
    }

    fn millis(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        self.duration(section, key, 0.001, default)
    }

    /// Reports every section and key that has not been read.
    fn report_unknown_keys(&mut self) {
        let mut rest = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            if !["", "router", "limits", "budgets", "metrics"].contains(&section) {
                rest.push((section.to_owned(), String::new(), "unknown section"));
                continue;
            }
            for (key, _) in properties.iter() {
                rest.push((section.to_owned(), key.to_owned(), "unknown key"));
            }
        }
        for (section, key, message) in rest {
            self.fault(&section, &key, message);
        }
    }

    fn fault(&mut self, section: &str, key: &str, message: &str) {
        self.faults.push(SettingsFault {
            line: find_line(self.text, section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            message: message.to_owned(),
        });
    }
}

/// Returns the line of a key, of its section if the key is absent, or 1.
fn find_line(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    let mut found = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            current = name.trim();
            if current == section {
                found = index + 1;
            }
        } else if current == section
            && line
                .split(['=', ':'])
                .next()
                .is_some_and(|name| name.trim() == key)
        {
            found = index + 1;
        }
    }
    found
}
