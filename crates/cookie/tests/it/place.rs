use acacia_cookie::place::{Candidate, choose};

/// Opens flows one after the other and closes none; returns how many each server has then.
fn spread(weights: &[f64], flows: u64) -> Vec<f64> {
    let mut counts = vec![0.0; weights.len()];
    for flow in 0..flows {
        let candidates: Vec<Candidate> = weights
            .iter()
            .enumerate()
            .map(|(at, weight)| Candidate {
                position: at as u32,
                hash: at as u64 * 77 + 1,
                weight: *weight,
                local: true,
            })
            .collect();
        let load = |at: u32| (counts[at as usize] + 1.0) / weights[at as usize];
        let chosen = choose(acacia_wire::flow::mix(flow), candidates, load);
        counts[chosen.expect("a server") as usize] += 1.0;
    }
    counts
}

/// With 210 long flows at 14 servers, random placement would give the busiest server about 40 % more
/// flows than the mean, for as long as they last.
#[test]
fn long_flows_are_spread_evenly() {
    let counts = spread(&[1.0; 14], 210);

    let busiest = counts.iter().copied().fold(0.0, f64::max);
    assert!(busiest / 15.0 < 1.2, "{counts:?}");
}

#[test]
fn servers_get_flows_in_proportion_to_their_weights() {
    let weights = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7];

    let counts = spread(&weights, 2_000);

    for (count, weight) in counts.iter().zip(weights) {
        let expected = 2_000.0 * weight / 6.2;
        assert!((count / expected - 1.0).abs() < 0.1, "{counts:?}");
    }
}

/// A server with many flows gets no more while another has few, unless it is the only one.
#[test]
fn the_busiest_server_gets_no_flow_unless_it_is_the_only_one() {
    let server = |position: u32| Candidate {
        position,
        hash: position.into(),
        weight: 1.0,
        local: true,
    };
    let load = |position| [90.0, 1.0][position as usize];
    for flow in 0..1_000 {
        assert_ne!(choose(flow, [server(0), server(1)], load), Some(0));
        assert_eq!(choose(flow, [server(0)], load), Some(0));
    }
}

/// Opens a thousand flows in one of three data centres, whose servers have the load `local` each and
/// those of the others 10; returns how many flows go to other data centres.
fn remote_flows(local: f64) -> usize {
    let candidates: Vec<Candidate> = (0..15)
        .map(|position| Candidate {
            position,
            hash: u64::from(position) * 77 + 1,
            weight: 1.0,
            local: position < 5,
        })
        .collect();
    let load = |position: u32| if position < 5 { local } else { 10.0 };
    let chosen = (0..1_000).filter_map(|flow| {
        choose(
            acacia_wire::flow::mix(flow),
            candidates.iter().copied(),
            load,
        )
    });
    chosen.filter(|position| *position >= 5).count()
}

/// When a data centre is partitioned off, flows to servers of other data centres break with their
/// requests. Most flows should therefore stay local, but not if local servers fill up while others idle.
#[test]
fn flows_stay_in_their_data_centre_until_it_is_half_fuller() {
    assert!(remote_flows(10.0) < 20, "{}", remote_flows(10.0));
    assert!(remote_flows(14.0) < 20, "{}", remote_flows(14.0));
    assert!(remote_flows(20.0) > 200, "{}", remote_flows(20.0));
}
