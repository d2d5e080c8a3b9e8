use crate::fixture::cases;
use acacia_config::{check, parse, print};
use proptest::prelude::*;

use crate::fixture::{any_config, config};

#[test]
fn the_canonical_form_is_stable() {
    let text = print(&config());
    let expected = "\
[service live]
address = 10.77.0.1
port = 443
protocol = tcp
share = 70%
callers = paying
slots = 2
connections = 2000

[servers live]
live-1 = 10.1.0.1:6080 hervanta
live-2 = 10.1.0.2:6080 hervanta

[service maps]
address = 10.77.0.2
port = 443
protocol = tcp
share = 30%
callers = trial
slots = 2
connections = 2000

[servers maps]
maps-1 = 10.1.0.3:6080 hervanta
maps-2 = 10.1.0.4:6080 hervanta

[customer crew]
mark = paying
weight = 1
prefix = 10.9.0.0/16
";
    assert_eq!(text, expected);
}

proptest! {
    #![proptest_config(cases(256))]

    /// Guards against a configuration in force that differs from the text that an operator
    /// reviewed.
    #[test]
    fn the_canonical_form_parses_to_the_same_value(config in any_config()) {
        let text = print(&config);
        prop_assert_eq!(check(&config), []);
        prop_assert_eq!(parse(&text), Ok(config));
    }

    /// The same services, servers and customers print the same text, in whatever order they were
    /// added.
    #[test]
    fn the_order_of_insertion_does_not_matter(config in any_config()) {
        let mut rebuilt = acacia_config::Config::default();
        for customer in config.customers().iter().rev() {
            rebuilt.add_customer(customer.clone());
        }
        for server in config.servers().iter().rev() {
            rebuilt.add_server(server.clone());
        }
        for service in config.services().iter().rev() {
            rebuilt.add_service(service.clone());
        }
        prop_assert_eq!(print(&rebuilt), print(&config));
        prop_assert_eq!(rebuilt, config);
    }
}
