use acacia_wire::flow::{Key, Protocol, mix};

fn key(port: u16) -> Key {
    Key {
        client: [192, 0, 2, 1].into(),
        service: [198, 51, 100, 1].into(),
        client_port: port,
        service_port: 443,
        protocol: Protocol::Tcp,
    }
}

/// Balancers of two versions run at the same time during an upgrade. If their hashes of a flow
/// differed, its packets would reach two servers, so these values must never change.
#[test]
fn the_hash_is_the_same_in_every_version() {
    assert_eq!(mix(0), 0xe220_a839_7b1d_cdaf);
    assert_eq!(key(40_000).hash(), 3_872_463_475_144_698_917);
}

#[test]
fn flows_of_one_caller_spread_over_buckets() {
    const BUCKETS: u64 = 64;
    let mut counts = [0u32; BUCKETS as usize];

    for port in 0..64_000 {
        counts[(key(port).hash() % BUCKETS) as usize] += 1;
    }

    assert!(
        counts.iter().all(|count| (850..1150).contains(count)),
        "{counts:?}"
    );
}
