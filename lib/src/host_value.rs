//! The host that a request is meant for, as its `Host` field names it.

use std::net::Ipv6Addr;

/// Returns whether a value of the field is a host with a port or without (RFC 9112, 3.2).
///
/// An empty one is valid only where a request's target has no host at all. Callers ask by
/// `http`, whose addresses always have one.
#[must_use]
pub fn is_valid(value: &[u8]) -> bool {
    let Ok(value) = std::str::from_utf8(value) else {
        return false;
    };
    if let Some(rest) = value.strip_prefix('[') {
        let closed = rest.split_once(']');
        return closed.is_some_and(|(address, behind)| is_address(address) && is_port(behind));
    }
    let (name, behind) = value.split_at(value.find(':').unwrap_or(value.len()));
    is_name(name.as_bytes()) && is_port(behind)
}

/// Returns whether what stands in brackets is an address.
fn is_address(address: &str) -> bool {
    address.parse::<Ipv6Addr>().is_ok()
}

/// Returns whether a name has no bytes but those that may stand in one (RFC 3986, 3.2.2).
fn is_name(mut name: &[u8]) -> bool {
    if name.is_empty() {
        return false;
    }
    while let [first, rest @ ..] = name {
        name = match (first, rest) {
            (b'%', [high, low, rest @ ..])
                if high.is_ascii_hexdigit() && low.is_ascii_hexdigit() =>
            {
                rest
            }
            (byte, rest) if byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=".contains(byte) => {
                rest
            }
            _ => return false,
        };
    }
    true
}

/// Returns whether what stands behind a host is nothing, or a colon and a port.
fn is_port(behind: &str) -> bool {
    let Some(port) = behind.strip_prefix(':') else {
        return behind.is_empty();
    };
    port.bytes().all(|byte| byte.is_ascii_digit())
        && (port.is_empty() || port.parse::<u16>().is_ok())
}
