//! The daemon's settings, read from INI and checked as a whole before anything starts.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    str::FromStr,
    sync::Arc,
};

use acacia_code::Code;
use acacia_wire::control::Secret;
use ini::Ini;

/// Largest number of traffic threads.
const MOST_THREADS: usize = 64;
/// Length of a key, in bytes.
const KEY: usize = 32;

/// Everything a balancer learns from its settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This balancer's number, unique among balancers.
    pub id: u16,
    /// The data centre this balancer runs in.
    pub data_centre: Arc<str>,
    /// The IP number at which other balancers reach this one, on the ports of `traffic` and
    /// `control`: another than these listen at where an address is translated or relayed.
    pub advertise: Ipv4Addr,
    /// Where encapsulated packets come in, from the fabric and from other balancers.
    pub traffic: SocketAddrV4,
    /// Traffic threads.
    pub threads: usize,
    /// Where packets for callers are sent: the network's gateway.
    pub gateway: SocketAddrV4,
    /// Where control messages of other balancers come in.
    pub control: SocketAddrV4,
    /// Where operators' requests come in.
    pub admin: SocketAddrV4,
    /// Where the platform answers.
    pub platform: SocketAddrV4,
    /// Where metrics are sent (statsd over UDP), if anywhere.
    pub metrics: Option<SocketAddrV4>,
    /// Keys of the traffic between balancers.
    pub secret: Secret,
    /// Other balancers known from the start, by number.
    pub peers: BTreeMap<u16, Peer>,
    /// Level of logs.
    pub log: log::LevelFilter,
}

/// Another balancer's addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Where it takes control messages. It takes redirected packets at the same IP number, on the
    /// port that this balancer takes them.
    pub control: SocketAddrV4,
    /// The data centre it runs in.
    pub data_centre: Arc<str>,
}

/// One problem in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The section, empty for the part before the first.
    pub section: String,
    /// The key.
    pub key: String,
    /// What stands there, if anything.
    pub found: Option<String>,
    /// What is expected.
    pub expected: &'static str,
}

/// All problems of one settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// [`Code::SettingsUnreadable`] or [`Code::SettingsInvalid`].
    pub code: Code,
    /// Each problem.
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

/// Every key that may stand in a section, for the check on unknown ones and for docs/SETTINGS.md.
pub const KEYS: &[(&str, &[&str])] = &[
    ("balancer", &["id", "data_centre", "advertise"]),
    ("traffic", &["transport", "listen", "threads", "gateway"]),
    ("control", &["listen", "key", "previous_key"]),
    ("admin", &["listen"]),
    ("platform", &["address"]),
    ("metrics", &["statsd"]),
    ("log", &["level"]),
];
/// Keys of a `[peer.N]` section.
pub const PEER_KEYS: &[&str] = &["control", "data_centre"];

impl Settings {
    /// Reads and checks `text`.
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

/// How flows are resolved, which the transport decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// IP packets in UDP: balancers remember flows by pins.
    Ip,
    /// Packets that carry a cookie of the balancer's.
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

/// The transport that settings name; [`Transport::Ip`] where they name none or can't be read,
/// which reading them whole then reports.
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

/// Reads settings with `take`, which gives nothing if a value is missing, and refuses keys that
/// aren't among `keys`.
pub(crate) fn read<T>(
    text: &str,
    keys: &'static [(&'static str, &'static [&'static str])],
    take: impl FnOnce(&mut Reader<'_>) -> Option<T>,
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
    let settings = take(&mut reader);
    reader.unknown_keys(keys);
    match settings {
        Some(settings) if reader.problems.is_empty() => Ok(settings),
        _ => Err(Error {
            code: Code::SettingsInvalid,
            problems: reader.problems,
        }),
    }
}

/// Takes values out of a file and collects what is wrong with them.
pub(crate) struct Reader<'a> {
    ini: &'a Ini,
    problems: Vec<Problem>,
}

pub(crate) const ADDRESS: &str = "an IPv4 address and port, such as 10.0.0.1:6080";
const IP_NUMBER: &str = "an IPv4 address, such as 10.0.0.1";
const HEX_KEY: &str = "64 hexadecimal digits";

impl Reader<'_> {
    fn settings(&mut self) -> Option<Settings> {
        // Each value is read before any is missed, so that all problems are listed at once.
        let id = self.required("balancer", "id", "a number from 0 to 65534");
        let data_centre = self.required::<String>("balancer", "data_centre", "a name");
        let advertise = self.optional("balancer", "advertise", IP_NUMBER);
        self.optional::<Transport>("traffic", "transport", "ip or cookie");
        let traffic = self.required("traffic", "listen", ADDRESS);
        let threads = self
            .optional("traffic", "threads", "a number from 1 to 64")
            .unwrap_or(1);
        if !(1..=MOST_THREADS).contains(&threads) {
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
            let centre = self.required::<String>(&section, "data_centre", "a name");
            match (section["peer.".len()..].parse(), control, centre) {
                (Ok(id), Some(control), Some(centre)) => {
                    peers.insert(
                        id,
                        Peer {
                            control,
                            data_centre: centre.into(),
                        },
                    );
                }
                (Err(_), ..) => self.problem(&section, "", "a section name such as peer.3"),
                _ => {}
            }
        }
        peers
    }

    pub(crate) fn key(&mut self, name: &str, needed: bool) -> Option<[u8; KEY]> {
        let text = if needed {
            self.required::<String>("control", name, HEX_KEY)?
        } else {
            self.optional::<String>("control", name, HEX_KEY)?
        };
        let key = decode_hex(&text);
        if key.is_none() {
            // The value stays out of the message: logs aren't a place for keys.
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

    /// What stands there; nothing is an empty text.
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

    /// A misspelt key would otherwise leave its default in force without a word.
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

fn decode_hex(text: &str) -> Option<[u8; KEY]> {
    let mut key = [0; KEY];
    if text.len() != 2 * KEY || !text.is_ascii() {
        return None;
    }
    for (at, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(key)
}
