//! The compact text format of a bucket table: the list of the table's server numbers, followed by
//! one or two characters per bucket that index into that list.
//!
//! 4,096 buckets of up to 64 servers take 4 KB. Run-length encoding would save nothing: a server's
//! buckets are scattered over the table, so that the load of a lost server spreads over the others.

use std::{collections::BTreeSet, sync::Arc};

use crate::document::BUCKETS;

/// The digits of an index, in base 64.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Separates the list of servers from the buckets.
const SEPARATOR: char = ':';

/// Encodes a table as text.
pub(crate) fn encode(table: &[u16]) -> String {
    let servers: Vec<u16> = table
        .iter()
        .copied()
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    let numbers: Vec<String> = servers.iter().map(u16::to_string).collect();
    let mut text = numbers.join(",");
    text.push(SEPARATOR);
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

/// Decodes a table; `None` if the text is not a table of [`BUCKETS`] buckets.
pub(crate) fn decode(text: &str) -> Option<Arc<[u16]>> {
    let (numbers, buckets) = text.split_once(SEPARATOR)?;
    let servers = numbers.split(',').map(|number| number.parse().ok());
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
