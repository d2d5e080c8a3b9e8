use std::net::IpAddr;

use acacia_config::{Config, Customer, Mark, Prefix, customer_index};
use proptest::prelude::*;

use crate::fixture::{any_config, cases};

/// The prefix of the given length that contains an address; `None` for IPv6.
fn prefix_of(address: IpAddr, length: u8) -> Option<Prefix> {
    let IpAddr::V4(v4) = address else {
        return None;
    };
    let masked = v4.to_bits() & u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0);
    Prefix::new(IpAddr::V4(masked.into()), length)
}

proptest! {
    #![proptest_config(cases(256))]

    /// Guards against callers that are classified as those of another customer, and so are charged
    /// or delayed in its place. The index finds a customer with a prefix of the same length as the
    /// linear search over all prefixes does.
    #[test]
    fn the_index_agrees_with_a_linear_search(
        config in any_config(), last: [u8; 3], around: prop::sample::Index,
        nested in prop::collection::vec(0_u8..=32, 0..6),
    ) {
        let mut config: Config = config;
        let address = IpAddr::from([1 + around.index(5) as u8, last[0], last[1], last[2]]);
        for length in nested {
            let prefixes = prefix_of(address, length);
            config.add_customer(Customer::new(&format!("n{length}"), Mark::Trial, prefixes));
        }
        let index = customer_index::Index::new(&config);
        let found = index.find(address).map(|position| &config.customers()[position]);
        let expected = config.customer_at(address);
        let longest = |c: &Customer| c.prefixes.iter().filter(|p| p.contains(address)).map(Prefix::length).max();
        prop_assert_eq!(found.and_then(longest), expected.and_then(longest));
        prop_assert_eq!(index.find(IpAddr::from([0_u16; 8])), None);
    }
}
