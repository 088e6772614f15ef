//! Reads and checks `node.ini`.

use crate::document::{Document, Section};
use crate::findings::Findings;
use crate::reader::{Bounds, Reader, items};
use crate::schema::{self, Kind, sections};
use crate::unit::Unit;
use crate::{Finding, Node};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const NODE: Kind = Kind { keyword: "node", name_count: 0 };
const LISTEN: Kind = Kind { keyword: "listen", name_count: 0 };
const PLATFORM: Kind = Kind { keyword: "platform", name_count: 0 };
const PEERS: Kind = Kind { keyword: "peers", name_count: 0 };
const KEYS: Kind = Kind { keyword: "keys", name_count: 0 };
const LOG: Kind = Kind { keyword: "log", name_count: 0 };

const ADDRESS: &str = "an IP address and port such as 10.0.0.1:7001";
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const DEFAULT_LOG_LEVEL: &str = "info";
const LOG_RATE: Bounds = Bounds::new(Unit::Lines, 0, 1_000_000);
const DEFAULT_LOG_RATE: u64 = 1_000;
const KEY_MIN_CHARS: usize = 32;
const KEY_MAX_CHARS: usize = 256;
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Reads the settings of one VM.
pub fn read(document: &Document, findings: &mut Findings) -> Node {
    schema::check(document, &[NODE, LISTEN, PLATFORM, PEERS, KEYS, LOG], findings);
    let mut node = empty();
    read_section(document, &NODE, findings, |reader| {
        node.vm = reader.name_of("vm");
        node.domain = reader.name_of("domain");
    });
    read_section(document, &LISTEN, findings, |reader| read_listen(reader, &mut node));
    read_section(document, &PLATFORM, findings, |reader| {
        let entry = reader.required("addresses", ADDRESS);
        reader.check_not_empty("addresses", entry);
        node.platform = read_addresses(reader, entry);
    });
    read_section(document, &KEYS, findings, |reader| {
        node.operator_key = read_key(reader, "operator-key");
        node.peer_key = read_key(reader, "peer-key");
    });
    if let Some(section) = sections(document, &PEERS).next() {
        let mut reader = Reader::new(&document.file, section, findings);
        let entry = reader.optional("addresses");
        node.peers = read_addresses(&mut reader, entry);
        reader.finish();
    }
    if let Some(section) = sections(document, &LOG).next() {
        let mut reader = Reader::new(&document.file, section, findings);
        node.log_level = read_level(&mut reader);
        node.log_rate = reader.number_or("rate", LOG_RATE, DEFAULT_LOG_RATE) as u32;
        reader.finish();
    }
    check(document, &node, findings);
    node
}

/// Placeholder settings for a file that can't be read.
pub fn empty() -> Node {
    Node {
        vm: "".into(),
        domain: "".into(),
        caller: PLACEHOLDER_ADDRESS,
        relay: PLACEHOLDER_ADDRESS,
        peer: PLACEHOLDER_ADDRESS,
        operator: PLACEHOLDER_ADDRESS,
        local: PLACEHOLDER_ADDRESS,
        platform: Vec::new(),
        peers: Vec::new(),
        operator_key: "".into(),
        peer_key: "".into(),
        log_level: DEFAULT_LOG_LEVEL.into(),
        log_rate: DEFAULT_LOG_RATE as u32,
    }
}

fn read_section<Read>(document: &Document, kind: &Kind, findings: &mut Findings, read: Read)
where
    Read: FnOnce(&mut Reader<'_>),
{
    let Some(section) = sections(document, kind).next() else {
        findings.push(schema::missing_section(document, &format!("[{}]", kind.keyword)));
        return;
    };
    let mut reader = Reader::new(&document.file, section, findings);
    read(&mut reader);
    reader.finish();
}

fn read_listen(reader: &mut Reader<'_>, node: &mut Node) {
    node.caller = read_address(reader, "caller");
    node.relay = read_address(reader, "relay");
    node.peer = read_address(reader, "peer");
    node.operator = read_address(reader, "operator");
    node.local = read_address(reader, "local");
}

fn read_address(reader: &mut Reader<'_>, key: &str) -> SocketAddr {
    let Some(entry) = reader.required(key, ADDRESS) else {
        return PLACEHOLDER_ADDRESS;
    };
    entry.value.parse().unwrap_or_else(|_| {
        reader.report(entry.line, key, format!("`{}` isn't an address", entry.value), ADDRESS);
        PLACEHOLDER_ADDRESS
    })
}

fn read_addresses(
    reader: &mut Reader<'_>,
    entry: Option<&crate::document::Entry>,
) -> Vec<SocketAddr> {
    let line = entry.map(|entry| entry.line).unwrap_or_default();
    let mut addresses = Vec::new();
    for text in items(entry) {
        match text.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => {
                let problem = format!("`{text}` isn't an address");
                reader.report(line, "addresses", problem, ADDRESS);
            }
        }
    }
    addresses
}

/// Reads a secret key; its findings never contain the key itself.
fn read_key(reader: &mut Reader<'_>, key: &str) -> Arc<str> {
    let allowed = format!("{KEY_MIN_CHARS} to {KEY_MAX_CHARS} visible ASCII characters");
    let Some(entry) = reader.required(key, &allowed) else {
        return "".into();
    };
    if !(KEY_MIN_CHARS..=KEY_MAX_CHARS).contains(&entry.value.len()) {
        let problem = format!("the key has {} characters", entry.value.len());
        reader.report(entry.line, key, problem, &allowed);
    }
    if !entry.value.chars().all(|c| c.is_ascii_graphic()) {
        reader.report(entry.line, key, "the key has other characters".into(), &allowed);
    }
    entry.value.as_str().into()
}

fn read_level(reader: &mut Reader<'_>) -> Arc<str> {
    let Some(entry) = reader.optional("level") else {
        return DEFAULT_LOG_LEVEL.into();
    };
    if !LOG_LEVELS.contains(&entry.value.as_str()) {
        let problem = format!("`{}` isn't a level", entry.value);
        reader.report(entry.line, "level", problem, &LOG_LEVELS.join(", "));
    }
    entry.value.as_str().into()
}

fn check(document: &Document, node: &Node, findings: &mut Findings) {
    let listen: Option<&Section> = sections(document, &LISTEN).next();
    let mut report = |key: &str, problem: String, allowed: &str| {
        if listen.is_some_and(|section| section.entries.iter().any(|entry| entry.key == key)) {
            let found = schema::key_finding(document, "listen", key);
            findings.push(Finding { problem, allowed: allowed.into(), ..found });
        }
    };
    if node.local != PLACEHOLDER_ADDRESS && !node.local.ip().is_loopback() {
        let problem = format!("`{}` can be reached from other machines", node.local);
        report("local", problem, "a loopback address such as 127.0.0.1:7005");
    }
    let listeners = [
        ("caller", node.caller),
        ("relay", node.relay),
        ("peer", node.peer),
        ("operator", node.operator),
        ("local", node.local),
    ];
    for (index, (key, address)) in listeners.iter().enumerate() {
        let mut earlier = listeners[..index].iter();
        if let Some((other, _)) = earlier.find(|(_, each)| each == address && each.port() != 0) {
            let problem = format!("`{address}` is also the address of {other}");
            report(key, problem, "an address of its own for each listener");
        }
    }
    if node.operator_key == node.peer_key && !node.peer_key.is_empty() {
        findings.push(Finding {
            problem: "the key is also the operators' key".into(),
            allowed: "a key of its own".into(),
            ..schema::key_finding(document, "keys", "peer-key")
        });
    }
}
