//! Fingerprints of requests.

use acaciaring_core::Fingerprint;
use acaciaring_schema::peer::Request;
use ring::digest::{Context, SHA256};

/// Header that selects the route together with the path.
const HOST: &str = "host";

/// Returns the target of a request.
pub(crate) fn target(request: &Request) -> u64 {
    Fingerprint::target_of(&request.workspace, &request.method, &request.path)
}

/// Returns the fingerprint of a request.
///
/// Other headers, the routing key and the time left are no part of it: they differ from one attempt
/// to the next, or with the VM at which the request arrives.
pub(crate) fn fingerprint(request: &Request) -> Fingerprint {
    let mut context = Context::new(&SHA256);
    let mut update = |field: &[u8]| {
        context.update(&(field.len() as u64).to_le_bytes());
        context.update(field);
    };
    for field in [&request.workspace, &request.method, &request.path] {
        update(field.as_bytes());
    }
    let hosts = request.headers.iter().filter(|header| header.name == HOST);
    hosts.for_each(|header| update(&header.value));
    update(&request.body);
    let mut digest = [0; 16];
    digest.copy_from_slice(&context.finish().as_ref()[..16]);
    Fingerprint { target: target(request), digest }
}

#[cfg(test)]
mod tests;
