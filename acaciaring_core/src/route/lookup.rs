//! Lookup of the route, the class and the key of a request.

use std::collections::HashMap;
use std::sync::Arc;

use super::path::{decode, is_unambiguous, path_of, query_of, segments, strip_prefix};
use super::{Class, Division, KeySource, Route};
use crate::id::{KeyHash, Name};
use crate::state::NUMERIC_KEYS;

/// Routes of one host name by path prefix.
type Prefixes = HashMap<Name, Arc<Route>>;

/// Routing table for lookup by host and path.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    hosts: HashMap<Name, Prefixes>,
    any_host: Prefixes,
    max_prefix: usize,
}

impl FromIterator<Arc<Route>> for Routes {
    fn from_iter<I: IntoIterator<Item = Arc<Route>>>(routes: I) -> Self {
        let mut found = Self::default();
        for route in routes {
            found.insert(route);
        }
        found
    }
}

impl Routes {
    /// Returns the route for a host, with or without port, and a path, with or without query.
    ///
    /// A route for the host takes precedence over one for any host, then the longest prefix wins.
    /// Ambiguous paths have no route: those with empty or dot segments, `%2F` or a malformed
    /// escape, which other HTTP implementations may split or normalise differently.
    #[must_use]
    pub fn find(&self, host: Option<&str>, path: &str) -> Option<&Arc<Route>> {
        let path = path_of(path);
        if !is_unambiguous(path) {
            return None;
        }
        let host = host.map(|host| without_port(host).to_ascii_lowercase());
        let by_host = host.and_then(|host| self.hosts.get(&*host));
        by_host
            .and_then(|prefixes| self.longest_match(prefixes, path))
            .or_else(|| self.longest_match(&self.any_host, path))
    }

    /// Adds a route; of two with the same host and prefix, the lower workspace name wins.
    fn insert(&mut self, route: Arc<Route>) {
        self.max_prefix = self.max_prefix.max(route.prefix.len());
        let prefixes = match &route.host {
            Some(host) => self.hosts.entry(Name::clone(host)).or_default(),
            None => &mut self.any_host,
        };
        let earlier = prefixes.get(&route.prefix);
        if earlier.is_none_or(|earlier| route.workspace < earlier.workspace) {
            prefixes.insert(Name::clone(&route.prefix), route);
        }
    }

    fn longest_match<'a>(&self, prefixes: &'a Prefixes, path: &str) -> Option<&'a Arc<Route>> {
        // A prefix with a trailing slash matches only paths below it.
        let boundaries = path.rmatch_indices('/').flat_map(|(index, _)| [index + 1, index]);
        let mut ends = std::iter::once(path.len()).chain(boundaries);
        ends.find_map(|end| if end <= self.max_prefix { prefixes.get(&path[..end]) } else { None })
    }
}

impl Route {
    /// Returns the class of a request by its method and its path, with or without query.
    ///
    /// Segments are compared in percent-decoded form, so that escapes cannot bypass a class.
    ///
    /// # Panics
    ///
    /// Panics if the route has no class; [`build`](super::build()) yields no such route.
    #[must_use]
    pub fn class(&self, method: &str, path: &str) -> &Class {
        let path = path_of(path);
        let rest = strip_prefix(path, &self.prefix).unwrap_or(path);
        let matches = |class: &&Class| {
            class.method.as_ref().is_none_or(|expected| &**expected == method)
                && has_segment_prefix(rest, &class.path)
        };
        let last = self.classes.last().expect("a route has a class");
        self.classes.iter().find(matches).unwrap_or(last)
    }

    /// Returns the key of a request, by its target (path and query) and its headers.
    ///
    /// Returns `None` if the service is not partitioned by key, or the key is missing, empty,
    /// malformed or given twice with different values.
    #[must_use]
    pub fn key<'a>(
        &self,
        target: &str,
        headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) -> Option<KeyHash> {
        let Division::Keyed { key: source, .. } = &self.division else { return None };
        let key = match source {
            KeySource::Segment(index) => self.segment_key(target, *index),
            KeySource::Header(name) => header_key(headers, name),
            KeySource::Number(name) => return number_key(headers, name),
            KeySource::Query(name) => query_key(target, name),
        };
        key.filter(|key| !key.is_empty()).map(|key| KeyHash::of(&key))
    }

    /// Returns true if a route of another workspace has the same host and prefix.
    #[must_use]
    pub fn conflicts_with(&self, other: &Self) -> bool {
        let same = self.host == other.host && self.prefix == other.prefix;
        same && self.workspace != other.workspace
    }

    fn segment_key(&self, target: &str, index: usize) -> Option<Vec<u8>> {
        let path = path_of(target);
        if !is_unambiguous(path) {
            return None;
        }
        let rest = strip_prefix(path, &self.prefix)?;
        let segment = segments(rest).nth(index)?;
        decode(segment).map(std::borrow::Cow::into_owned)
    }
}

fn has_segment_prefix(path: &str, prefix: &str) -> bool {
    let mut remaining = segments(path).map(decode);
    segments(prefix).all(|segment| {
        let next = remaining.next().flatten();
        next.is_some_and(|next| *next == *segment.as_bytes())
    })
}

fn header_key<'a>(
    headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    name: &str,
) -> Option<Vec<u8>> {
    let matching = headers.into_iter().filter(|(other, _)| other.eq_ignore_ascii_case(name));
    common_value(matching.map(|(_, value)| value.trim_ascii().to_vec()))
}

/// Returns the numeric key in a header.
fn number_key<'a>(
    headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    name: &str,
) -> Option<KeyHash> {
    let text = String::from_utf8(header_key(headers, name)?).ok()?;
    let number: u32 = text.parse().ok()?;
    (number < NUMERIC_KEYS).then(|| KeyHash(number.into()))
}

fn query_key(target: &str, name: &str) -> Option<Vec<u8>> {
    let pairs = query_of(target).split('&');
    let matching = pairs.filter_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let key = decode_form(key)?;
        (*key == *name.as_bytes()).then(|| decode_form(value))
    });
    common_value(matching.map(Option::unwrap_or_default))
}

/// Decodes a query component, in which '+' encodes a space.
fn decode_form(text: &str) -> Option<Vec<u8>> {
    let plain = text.replace('+', " ");
    decode(&plain).map(std::borrow::Cow::into_owned)
}

/// Returns the value that all items have, or `None` if there is none or they differ.
///
/// Guards against a request that is routed by another key than the upstream uses: of two different
/// values, it may take either.
fn common_value(mut values: impl Iterator<Item = Vec<u8>>) -> Option<Vec<u8>> {
    let first = values.next()?;
    values.all(|value| value == first).then_some(first)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
