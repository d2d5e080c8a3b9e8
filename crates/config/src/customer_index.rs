//! The index of the customers by their prefixes.

use std::{collections::BTreeMap, net::IpAddr};

use crate::{Config, Prefix};

/// Finds the customer of a caller's address by longest prefix match.
///
/// It is searched once for each new flow, thousands of times a second on each balancer. A linear
/// search would delay the first packet of each flow in proportion to the number of prefixes in the
/// configuration. The prefixes are therefore kept in one sorted list for each prefix length,
/// longest first, which needs at most one binary search for each length in use. In practice there
/// are few lengths.
#[derive(Debug, Clone, Default)]
pub struct Index {
    v4: PrefixesByLength,
    v6: PrefixesByLength,
}

/// For each prefix length in use, longest first: the first addresses of the prefixes of that
/// length, sorted, each with the index of its customer in [`Config::customers`].
type PrefixesByLength = Vec<(u8, Vec<(IpAddr, usize)>)>;

impl Index {
    /// Builds the index of the customers' prefixes.
    ///
    /// ```
    /// use acacia_config::{Config, Customer, Mark, customer_index::Index};
    /// let mut config = Config::default();
    /// config.add_customer(Customer::new("crew", Mark::Paying, ["10.0.0.0/8".parse()?]));
    /// let index = Index::new(&config);
    /// assert_eq!(index.find([10, 1, 2, 3].into()), Some(0));
    /// assert_eq!(index.find([11, 1, 2, 3].into()), None);
    /// # Ok::<(), acacia_config::Problem>(())
    /// ```
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut prefixes: BTreeMap<(bool, u8), Vec<(IpAddr, usize)>> = BTreeMap::new();
        for (position, customer) in config.customers().iter().enumerate() {
            for prefix in &customer.prefixes {
                let family_and_length = (prefix.address().is_ipv4(), prefix.length());
                let entry = (prefix.address(), position);
                prefixes.entry(family_and_length).or_default().push(entry);
            }
        }
        let mut index = Index::default();
        for ((is_v4, length), mut prefixes) in prefixes.into_iter().rev() {
            prefixes.sort_unstable();
            let lengths = if is_v4 { &mut index.v4 } else { &mut index.v6 };
            lengths.push((length, prefixes));
        }
        index
    }

    /// The index in [`Config::customers`] of the customer with the longest prefix that contains the
    /// address; `None` if no prefix does.
    #[must_use]
    pub fn find(&self, address: IpAddr) -> Option<usize> {
        let lengths = if address.is_ipv4() {
            &self.v4
        } else {
            &self.v6
        };
        lengths.iter().find_map(|(length, prefixes)| {
            let first = Prefix::around(address, *length).address();
            let at = prefixes.binary_search_by(|(address, _)| address.cmp(&first));
            Some(prefixes[at.ok()?].1)
        })
    }
}
