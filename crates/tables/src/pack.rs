//! The compact text form of a bucket table: a list of the servers in it, then one or two
//! characters a bucket that are an index into that list. 4,096 buckets of up to 64 servers take 4
//! KB. Run lengths would not help: a server's buckets are scattered, so that what it loses is
//! spread over the others.

use std::{collections::BTreeSet, sync::Arc};

use crate::document::BUCKETS;

/// The digits of an index.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Between the list of servers and the buckets.
const MARK: char = ':';

/// Writes a table as text.
pub(crate) fn write(table: &[u16]) -> String {
    let servers: Vec<u16> = table
        .iter()
        .copied()
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    let names: Vec<String> = servers.iter().map(u16::to_string).collect();
    let mut text = names.join(",");
    text.push(MARK);
    let is_wide = servers.len() > DIGITS.len();
    for server in table {
        let at = servers.binary_search(server).unwrap_or_default();
        if is_wide {
            text.push(char::from(DIGITS[at / DIGITS.len() % DIGITS.len()]));
        }
        text.push(char::from(DIGITS[at % DIGITS.len()]));
    }
    text
}

/// Reads a table back; none if the text is not one of [`BUCKETS`] buckets.
pub(crate) fn read(text: &str) -> Option<Arc<[u16]>> {
    let (names, buckets) = text.split_once(MARK)?;
    let servers = names.split(',').map(|name| name.parse().ok());
    let servers: Vec<u16> = servers.collect::<Option<_>>()?;
    let width = if servers.len() > DIGITS.len() { 2 } else { 1 };
    if buckets.len() != BUCKETS * width {
        return None;
    }
    let digit = |byte: u8| DIGITS.iter().position(|&digit| digit == byte);
    let index = |digits: &[u8]| {
        digits
            .iter()
            .try_fold(0, |index, &byte| Some(index * DIGITS.len() + digit(byte)?))
    };
    let server = |digits: &[u8]| servers.get(index(digits)?).copied();
    buckets.as_bytes().chunks(width).map(server).collect()
}
