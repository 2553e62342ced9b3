//! Validation of the `Host` header field.

use std::net::Ipv6Addr;

/// Returns whether a field value is a host with an optional port (RFC 9112, 3.2).
///
/// An empty value is rejected: it is valid only if the target URI has no host, and `http` URIs,
/// which callers use, always have one.
#[must_use]
pub fn is_valid(value: &[u8]) -> bool {
    let Ok(value) = std::str::from_utf8(value) else {
        return false;
    };
    if let Some(rest) = value.strip_prefix('[') {
        let closed = rest.split_once(']');
        return closed
            .is_some_and(|(address, suffix)| is_ipv6_address(address) && is_port_suffix(suffix));
    }
    let (name, suffix) = value.split_at(value.find(':').unwrap_or(value.len()));
    is_name(name.as_bytes()) && is_port_suffix(suffix)
}

fn is_ipv6_address(address: &str) -> bool {
    address.parse::<Ipv6Addr>().is_ok()
}

/// Returns whether a name is not empty and contains only characters that are allowed in a
/// registered name (RFC 3986, 3.2.2).
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

/// Returns whether the text after the host is empty, or a colon and an optional port number.
fn is_port_suffix(suffix: &str) -> bool {
    let Some(port) = suffix.strip_prefix(':') else {
        return suffix.is_empty();
    };
    port.bytes().all(|byte| byte.is_ascii_digit())
        && (port.is_empty() || port.parse::<u16>().is_ok())
}
