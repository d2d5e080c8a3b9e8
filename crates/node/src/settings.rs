//! The daemon's settings, read from an INI file and validated as a whole before anything starts.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    str::FromStr,
    sync::Arc,
};

use acacia_code::Code;
use acacia_wire::control::Secret;
use ini::Ini;

/// Maximum number of traffic threads.
const MAX_THREADS: usize = 64;
/// Length of a key, in bytes.
const KEY_LEN: usize = 32;

/// The validated settings of a balancer that uses [`Transport::Ip`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// This balancer's number, unique among balancers.
    pub id: u16,
    /// The data centre this balancer runs in.
    pub data_centre: Arc<str>,
    /// The IP address at which other balancers reach this one, on the ports of `traffic` and
    /// `control`. It differs from the addresses they listen on if there is a NAT or relay in
    /// between.
    pub advertise: Ipv4Addr,
    /// Address to receive encapsulated packets on, from the fabric and from other balancers.
    pub traffic: SocketAddrV4,
    /// Number of traffic threads.
    pub threads: usize,
    /// Address of the network's gateway, which packets for callers are sent to.
    pub gateway: SocketAddrV4,
    /// Address to listen on for control connections of other balancers.
    pub control: SocketAddrV4,
    /// Address to listen on for operators' requests.
    pub admin: SocketAddrV4,
    /// Address of the platform's API.
    pub platform: SocketAddrV4,
    /// Address that metrics are sent to (statsd over UDP), if any.
    pub metrics: Option<SocketAddrV4>,
    /// Keys that authenticate the traffic between balancers.
    pub secret: Secret,
    /// Other balancers known from the start, by number.
    pub peers: BTreeMap<u16, Peer>,
    /// Log level.
    pub log: log::LevelFilter,
}

/// The address and location of another balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address of its control connections. It receives redirected packets at the same IP address,
    /// on the traffic port of this balancer.
    pub control: SocketAddrV4,
    /// The data centre it runs in.
    pub data_centre: Arc<str>,
}

/// One problem in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The section; empty for keys before the first one.
    pub section: String,
    /// The name of the key.
    pub key: String,
    /// The value found, if any.
    pub found: Option<String>,
    /// A description of valid values.
    pub expected: &'static str,
}

/// All problems of one settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// [`Code::SettingsUnreadable`] or [`Code::SettingsInvalid`].
    pub code: Code,
    /// The problems, in the order in which they were found.
    pub problems: Vec<Problem>,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let found = self.found.as_deref().unwrap_or("nothing");
        write!(
            f,
            "[{}] {}: found {found}, expected {}",
            self.section, self.key, self.expected
        )
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.code)?;
        self.problems
            .iter()
            .try_for_each(|problem| write!(f, "\n  {problem}"))
    }
}

impl std::error::Error for Error {}

/// The keys allowed in each section. Other keys are rejected, and docs/SETTINGS.md describes them
/// all.
pub const KEYS: &[(&str, &[&str])] = &[
    ("balancer", &["id", "data_centre", "advertise"]),
    ("traffic", &["transport", "listen", "threads", "gateway"]),
    ("control", &["listen", "key", "previous_key"]),
    ("admin", &["listen"]),
    ("platform", &["address"]),
    ("metrics", &["statsd"]),
    ("log", &["level"]),
];
/// The keys allowed in a `[peer.N]` section.
pub const PEER_KEYS: &[&str] = &["control", "data_centre"];

impl Settings {
    /// Parses and validates settings.
    ///
    /// ```
    /// use acacia_node::settings::Settings;
    /// let error = Settings::parse("[balancer]\nid = x\n").unwrap_err();
    /// assert!(error.to_string().contains("[balancer] id: found x"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        read(text, KEYS, |reader| reader.settings())
    }
}

/// How packets reach the balancer, which decides how their flows are resolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// IP packets encapsulated in UDP. Balancers store a pin for each flow.
    Ip,
    /// Packets that carry a cookie issued by a balancer.
    Cookie,
}

impl FromStr for Transport {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "ip" => Ok(Transport::Ip),
            "cookie" => Ok(Transport::Cookie),
            _ => Err(()),
        }
    }
}

/// Returns the transport that settings name, or [`Transport::Ip`] if they name none or can't be
/// parsed. Parsing them as a whole then reports the problem.
///
/// ```
/// use acacia_node::settings::{Transport, transport};
/// assert_eq!(transport("[traffic]\ntransport = cookie\n"), Transport::Cookie);
/// ```
#[must_use]
pub fn transport(text: &str) -> Transport {
    Ini::load_from_str(text)
        .ok()
        .and_then(|ini| ini.get_from(Some("traffic"), "transport")?.parse().ok())
        .unwrap_or(Transport::Ip)
}

/// Parses settings with `parse`, which returns `None` if a value is missing, and rejects keys that
/// aren't listed in `keys`.
pub(crate) fn read<T>(
    text: &str,
    keys: &'static [(&'static str, &'static [&'static str])],
    parse: impl FnOnce(&mut Reader<'_>) -> Option<T>,
) -> Result<T, Error> {
    let ini = Ini::load_from_str(text).map_err(|error| Error {
        code: Code::SettingsUnreadable,
        problems: vec![Problem {
            section: String::new(),
            key: format!("line {}", error.line),
            found: Some(error.msg.into_owned()),
            expected: "sections of key = value lines",
        }],
    })?;
    let mut reader = Reader {
        ini: &ini,
        problems: Vec::new(),
    };
    let settings = parse(&mut reader);
    reader.unknown_keys(keys);
    match settings {
        Some(settings) if reader.problems.is_empty() => Ok(settings),
        _ => Err(Error {
            code: Code::SettingsInvalid,
            problems: reader.problems,
        }),
    }
}

/// Reads values from a settings file and collects all problems found.
pub(crate) struct Reader<'a> {
    ini: &'a Ini,
    problems: Vec<Problem>,
}

pub(crate) const ADDRESS: &str = "an IPv4 address and port, such as 10.0.0.1:6080";
const IP_ADDRESS: &str = "an IPv4 address, such as 10.0.0.1";
const HEX_KEY: &str = "64 hexadecimal digits";

impl Reader<'_> {
    fn settings(&mut self) -> Option<Settings> {
        // All values are read before a missing one ends the parsing, so that all problems are
        // listed.
        let id = self.required("balancer", "id", "a number from 0 to 65534");
        let data_centre = self.required::<String>("balancer", "data_centre", "a name");
        let advertise = self.optional("balancer", "advertise", IP_ADDRESS);
        self.optional::<Transport>("traffic", "transport", "ip or cookie");
        let traffic = self.required("traffic", "listen", ADDRESS);
        let threads = self
            .optional("traffic", "threads", "a number from 1 to 64")
            .unwrap_or(1);
        if !(1..=MAX_THREADS).contains(&threads) {
            self.problem("traffic", "threads", "a number from 1 to 64");
        }
        let gateway = self.required("traffic", "gateway", ADDRESS);
        let control = self.required("control", "listen", ADDRESS);
        let key = self.key("key", true);
        let previous = self.key("previous_key", false);
        let admin = self.required("admin", "listen", ADDRESS);
        let platform = self.required("platform", "address", ADDRESS);
        let metrics = self.optional("metrics", "statsd", ADDRESS);
        let log = self
            .optional("log", "level", "off, error, warn, info, debug or trace")
            .unwrap_or(log::LevelFilter::Info);
        let peers = self.peers();
        let control: SocketAddrV4 = control?;
        Some(Settings {
            id: id.filter(|id| *id != u16::MAX)?,
            data_centre: data_centre?.into(),
            advertise: advertise.unwrap_or(*control.ip()),
            traffic: traffic?,
            threads,
            gateway: gateway?,
            control,
            admin: admin?,
            platform: platform?,
            metrics,
            secret: Secret::new(&key?, previous.as_ref()),
            peers,
            log,
        })
    }

    fn peers(&mut self) -> BTreeMap<u16, Peer> {
        let sections: Vec<String> = self
            .ini
            .sections()
            .flatten()
            .filter(|section| section.starts_with("peer."))
            .map(str::to_owned)
            .collect();
        let mut peers = BTreeMap::new();
        for section in sections {
            let control = self.required(&section, "control", ADDRESS);
            let data_centre = self.required::<String>(&section, "data_centre", "a name");
            match (section["peer.".len()..].parse(), control, data_centre) {
                (Ok(id), Some(control), Some(data_centre)) => {
                    peers.insert(
                        id,
                        Peer {
                            control,
                            data_centre: data_centre.into(),
                        },
                    );
                }
                (Err(_), ..) => self.problem(&section, "", "a section name such as peer.3"),
                _ => {}
            }
        }
        peers
    }

    pub(crate) fn key(&mut self, name: &str, needed: bool) -> Option<[u8; KEY_LEN]> {
        let text = if needed {
            self.required::<String>("control", name, HEX_KEY)?
        } else {
            self.optional::<String>("control", name, HEX_KEY)?
        };
        let key = decode_hex(&text);
        if key.is_none() {
            // The value is left out of the message, so that no key ends up in a log.
            self.problems.push(Problem {
                section: "control".into(),
                key: name.into(),
                found: Some(format!("{} characters", text.len())),
                expected: HEX_KEY,
            });
        }
        key
    }

    pub(crate) fn required<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            self.problem(section, key, expected);
            return None;
        }
        self.optional(section, key, expected)
    }

    pub(crate) fn optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
    ) -> Option<T> {
        let value = self.ini.get_from(Some(section), key)?.trim();
        let parsed = value.parse().ok().filter(|_| !value.is_empty());
        if parsed.is_none() {
            self.problem(section, key, expected);
        }
        parsed
    }

    /// Returns the trimmed value of a key, or an empty string if it is missing.
    pub(crate) fn text(&self, section: &str, key: &str) -> String {
        self.ini
            .get_from(Some(section), key)
            .unwrap_or_default()
            .trim()
            .to_owned()
    }

    pub(crate) fn problem(&mut self, section: &str, key: &str, expected: &'static str) {
        self.problems.push(Problem {
            section: section.to_owned(),
            key: key.to_owned(),
            found: self.ini.get_from(Some(section), key).map(str::to_owned),
            expected,
        });
    }

    /// Reports keys that are not allowed. A misspelt key would otherwise be ignored and its default
    /// silently used.
    fn unknown_keys(&mut self, all: &[(&str, &[&str])]) {
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            let known = all
                .iter()
                .find_map(|(name, keys)| (*name == section).then_some(*keys))
                .or(section.starts_with("peer.").then_some(PEER_KEYS))
                .unwrap_or(&[]);
            for (key, value) in properties.iter().filter(|(key, _)| !known.contains(key)) {
                self.problems.push(Problem {
                    section: section.to_owned(),
                    key: key.to_owned(),
                    found: Some(value.to_owned()),
                    expected: "no such key here",
                });
            }
        }
    }
}

fn decode_hex(text: &str) -> Option<[u8; KEY_LEN]> {
    let mut key = [0; KEY_LEN];
    if text.len() != 2 * KEY_LEN || !text.is_ascii() {
        return None;
    }
    for (at, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(key)
}
