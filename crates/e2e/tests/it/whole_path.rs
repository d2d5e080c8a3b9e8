use acacia_e2e::deployment::Deployment;

use crate::fixture::{CALLER, counts, small};

/// The fabric sprays the packets of a flow over all balancers at random. Each caller must receive the
/// complete answer to its own request, and no check-in may be executed twice.
#[test]
fn requests_are_served_whole_over_a_spraying_fabric() {
    let mut deployment = Deployment::start(small(2)).unwrap();
    let checkins = deployment
        .caller(
            1,
            "talkoo-live",
            &[("rate", "50".into()), ("requests", "100".into())],
        )
        .unwrap();
    let downloads = deployment
        .caller(
            2,
            "karttapalvelu",
            &[
                ("rate", "20".into()),
                ("requests", "40".into()),
                ("checkin", "0".into()),
            ],
        )
        .unwrap();

    let checkins = checkins.wait(CALLER).unwrap().output;
    let downloads = downloads.wait(CALLER).unwrap().output;

    let servers = deployment.end_servers().unwrap().join("");
    assert_eq!(counts(&checkins)["done"], 100, "{checkins}");
    assert_eq!(counts(&downloads)["done"], 40, "{downloads}");
    let ran: u64 = servers.lines().map(|line| counts(line)["checkins"]).sum();
    let twice: u64 = servers.lines().map(|line| counts(line)["duplicates"]).sum();
    assert_eq!((ran, twice), (100, 0), "{servers}");
    for id in deployment.balancers() {
        assert_eq!(deployment.end_balancer(id).unwrap(), 0);
    }
}
