use std::{collections::BTreeMap, net::IpAddr};

use crate::{Config, Prefix};

/// Finds the customer of a caller's address: the prefixes of a configuration, arranged for many
/// questions.
///
/// Load: each new flow asks once, thousands a second on each balancer. Harm: a walk over all
/// prefixes makes every opening packet wait for the size of the configuration. Hence a sorted
/// list for each length of prefix, longest first: at most one binary search for each length that
/// is in use, few in practice.
#[derive(Debug, Clone, Default)]
pub struct CustomerIndex {
    v4: Lengths,
    v6: Lengths,
}

/// For each length in use, longest first: the blocks of that length and their customers.
type Lengths = Vec<(u8, Vec<(IpAddr, usize)>)>;

impl CustomerIndex {
    /// The callers of a configuration.
    ///
    /// ```
    /// use acacia_config::{CustomerIndex, Config, Customer, Mark};
    /// let mut config = Config::default();
    /// config.add_customer(Customer::new("crew", Mark::Paying, ["10.0.0.0/8".parse()?]));
    /// let index = CustomerIndex::new(&config);
    /// assert_eq!(index.find([10, 1, 2, 3].into()), Some(0));
    /// assert_eq!(index.find([11, 1, 2, 3].into()), None);
    /// # Ok::<(), acacia_config::Problem>(())
    /// ```
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut blocks: BTreeMap<(bool, u8), Vec<(IpAddr, usize)>> = BTreeMap::new();
        for (place, customer) in config.customers().iter().enumerate() {
            for prefix in &customer.prefixes {
                let kind = (prefix.address().is_ipv4(), prefix.length());
                let block = (prefix.address(), place);
                blocks.entry(kind).or_default().push(block);
            }
        }
        let mut index = CustomerIndex::default();
        for ((is_v4, length), mut blocks) in blocks.into_iter().rev() {
            blocks.sort_unstable();
            let lengths = if is_v4 { &mut index.v4 } else { &mut index.v6 };
            lengths.push((length, blocks));
        }
        index
    }

    /// The customer that an address belongs to, as its place in [`Config::customers`]: the one
    /// with the longest prefix around it.
    #[must_use]
    pub fn find(&self, address: IpAddr) -> Option<usize> {
        let lengths = if address.is_ipv4() {
            &self.v4
        } else {
            &self.v6
        };
        lengths.iter().find_map(|(length, blocks)| {
            let first = Prefix::around(address, *length).address();
            let at = blocks.binary_search_by(|(block, _)| block.cmp(&first));
            Some(blocks[at.ok()?].1)
        })
    }
}
