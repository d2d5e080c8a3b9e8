use std::sync::Arc;

use acacia_cookie::{
    place::{Candidate, choose},
    ring::{Draw, Ring, Rings},
};
use acacia_wire::flow::mix;

const SERVERS: u32 = 3_000;
const FLOWS: u64 = 60_000;

fn hash(position: u32) -> u64 {
    mix(u64::from(position) + 1)
}

/// Servers in data centres `a` to `e` in turn, those at `missing` left out.
fn rings(count: u32, missing: &[u32]) -> Rings {
    let mut rings = Rings::default();
    for position in (0..count).filter(|position| !missing.contains(position)) {
        let centre = ["a", "b", "c", "d", "e"][position as usize % 5];
        rings.insert(&Arc::from(centre), hash(position), position);
    }
    rings
}

/// The server that a flow gets at these weights and loads.
fn place(
    rings: &Rings,
    flow: u64,
    weight: impl Fn(u32) -> f64,
    load: impl Fn(u32) -> f64,
) -> Option<u32> {
    let Draw {
        near,
        far,
        far_scale,
    } = rings.draw("a", flow);
    let near = near.into_iter().map(|position| (position, 1.0));
    let far = far.into_iter().map(|position| (position, far_scale));
    let candidates = near.chain(far).map(|(position, scale)| Candidate {
        position,
        hash: hash(position),
        weight: weight(position) * scale,
        local: position % 5 == 0,
    });
    choose(flow, candidates, load)
}

/// An opening costs as much before ten thousand servers as before fifty only if few of them are looked at.
#[test]
fn few_servers_of_a_large_service_are_candidates() {
    let draw = rings(SERVERS, &[]).draw("a", 7);

    assert!(draw.near.len() + draw.far.len() <= 20);
}

/// In a small service all servers are compared, so that no flow waits while another server idles.
#[test]
fn all_servers_of_a_small_service_are_candidates() {
    let draw = rings(40, &[]).draw("a", 7);

    assert_eq!((draw.near.len(), draw.far.len()), (8, 32));
}

/// If the candidates were not drawn evenly, some servers would be overloaded while others idle.
#[test]
fn all_near_servers_get_as_many_flows() {
    let rings = rings(SERVERS, &[]);
    let mut counts = vec![0u32; SERVERS as usize];
    for flow in 0..FLOWS {
        counts[place(&rings, mix(flow), |_| 1.0, |_| 1.0).expect("a server") as usize] += 1;
    }

    let near: Vec<u32> = counts.iter().step_by(5).copied().collect();
    let mean = f64::from(near.iter().sum::<u32>()) / near.len() as f64;
    let spread = near
        .iter()
        .map(|count| (f64::from(*count) - mean).powi(2))
        .sum::<f64>();
    let deviation = (spread / near.len() as f64).sqrt() / mean;
    // Random placement alone gives 0.1 at 100 flows for each server.
    assert!(deviation < 0.2, "{deviation}");
    assert!(near.iter().all(|count| *count > 0));
}

#[test]
fn servers_get_flows_in_proportion_to_their_weights() {
    let rings = rings(SERVERS, &[]);
    let weight = |position: u32| {
        if position.is_multiple_of(15) {
            1.7
        } else {
            0.7
        }
    };
    let mut counts = vec![0.0; SERVERS as usize];
    for flow in 0..FLOWS {
        let load = |position: u32| (counts[position as usize] + 1.0) / weight(position);
        let position = place(&rings, mix(flow), weight, load).expect("a server");
        counts[position as usize] += 1.0;
    }

    // One near server in three is fast.
    let near = || counts.iter().enumerate().step_by(5);
    let fast: f64 = near()
        .filter(|(at, _)| at.is_multiple_of(15))
        .map(|(_, count)| count)
        .sum();
    let all: f64 = near().map(|(_, count)| count).sum();
    let ratio = fast * 2.0 / (all - fast);
    assert!((ratio / (1.7 / 0.7) - 1.0).abs() < 0.1, "{ratio}");
}

/// A copy of an opening may reach a balancer that doesn't know of a change yet. If it then chose another
/// server, both would answer.
#[test]
fn balancers_that_differ_by_one_change_agree_on_nearly_all_flows() {
    let (before, after) = (rings(SERVERS, &[]), rings(SERVERS, &[1_500]));
    let differ = (0..FLOWS).filter(|flow| {
        let flow = mix(*flow);
        place(&before, flow, |_| 1.0, |_| 1.0) != place(&after, flow, |_| 1.0, |_| 1.0)
    });

    let share = differ.count() as f64 / FLOWS as f64;
    assert!(share < 0.05, "{share}");
}

/// While its own data centre has no server, a balancer sends flows to all others alike.
#[test]
fn without_near_servers_all_others_are_used() {
    let missing: Vec<u32> = (0..SERVERS).step_by(5).collect();
    let rings = rings(SERVERS, &missing);
    let mut counts = [0u32; 5];
    for flow in 0..FLOWS {
        counts[place(&rings, mix(flow), |_| 1.0, |_| 1.0).expect("a server") as usize % 5] += 1;
    }

    assert_eq!(counts[0], 0);
    assert!(
        counts[1..]
            .iter()
            .all(|count| (13_500..16_500).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_removed_server_is_in_no_window() {
    let mut ring = Ring::default();
    for position in 0..100 {
        ring.insert(hash(position), position);
    }

    ring.remove(hash(40), 40);

    assert_eq!(ring.len(), 99);
    let drawn = (0..1_000).flat_map(|draw| ring.window(mix(draw), 16).collect::<Vec<_>>());
    assert!(drawn.into_iter().all(|position| position != 40));
}
