use std::net::IpAddr;

use acacia_config::{Config, Customer, CustomerIndex, Mark, Prefix};
use proptest::prelude::*;

use crate::fixture::{any_config, cases};

/// The block of that length around an address.
fn block(address: IpAddr, length: u8) -> Option<Prefix> {
    let IpAddr::V4(v4) = address else {
        return None;
    };
    let kept = v4.to_bits() & u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0);
    Prefix::new(IpAddr::V4(kept.into()), length)
}

proptest! {
    #![proptest_config(cases(256))]

    /// A caller that is taken for another customer's pays or waits in its place. The quick search
    /// finds whom the walk over all prefixes finds.
    #[test]
    fn the_quick_search_finds_whom_the_walk_finds(
        config in any_config(), last: [u8; 3], around: prop::sample::Index,
        nested in prop::collection::vec(0_u8..=32, 0..6),
    ) {
        let mut config: Config = config;
        let address = IpAddr::from([1 + around.index(5) as u8, last[0], last[1], last[2]]);
        for length in nested {
            let blocks = block(address, length);
            config.add_customer(Customer::new(&format!("n{length}"), Mark::Trial, blocks));
        }
        let index = CustomerIndex::new(&config);
        let found = index.find(address).map(|place| &config.customers()[place]);
        let walked = config.customer_at(address);
        let longest = |c: &Customer| c.prefixes.iter().filter(|p| p.contains(address)).map(Prefix::length).max();
        prop_assert_eq!(found.and_then(longest), walked.and_then(longest));
        prop_assert_eq!(index.find(IpAddr::from([0_u16; 8])), None);
    }
}
