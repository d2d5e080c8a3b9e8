use std::time::Duration;

use acacia_catalog::member::{
    Change, Delegation, Gossip, Group, Letter, Member, Probe, ROUND, Status, Update,
};

use crate::fixture::member;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A balancer whose list has `others`.
fn group(own: &Member, others: &[Member]) -> Group {
    let mut group = Group::new(own.clone(), Vec::new(), Duration::ZERO, 1);
    for other in others {
        group.receive(other, &Gossip::default(), Duration::ZERO);
    }
    group
}

/// A message that claims something about a balancer.
fn claim(about: &Member, status: Status) -> Gossip {
    Gossip {
        updates: vec![Update::new(about, status)],
        ..Gossip::default()
    }
}

/// Runs rounds from one second on in which `group` hears only `heard`, and returns the messages sent.
fn rounds(group: &mut Group, heard: &Member, count: u32) -> Vec<Letter> {
    let mut sent = Vec::new();
    for round in 0..count {
        let now = ms(1_000) + ROUND * round;
        let letters = group.round(now);
        for letter in &letters {
            if let (Some(Probe::Ping(number)), true) =
                (letter.gossip.probe, letter.to == heard.address)
            {
                let answer = Gossip {
                    probe: Some(Probe::Ack(number)),
                    ..Gossip::default()
                };
                group.receive(heard, &answer, now + ms(5));
            }
        }
        sent.extend(letters);
    }
    sent
}

/// A balancer dies without a word. If it stayed on the list, changes would be sent to it in vain, and no
/// other would take its work over.
#[test]
fn a_member_that_answers_no_probe_is_removed() {
    let (own, dead, living) = (member(1, "a"), member(2, "a"), member(3, "a"));
    let mut group = group(&own, &[dead.clone(), living.clone()]);

    rounds(&mut group, &living, 14);

    let left: Vec<_> = group.members().iter().collect();
    assert_eq!(left, [&living]);
    assert!(group.take_changes().contains(&Change::Lost(dead)));
}

/// Packets between two balancers may be lost while others reach both. The others are asked before
/// anybody is suspected.
#[test]
fn others_are_asked_to_ping_a_member_that_did_not_answer() {
    let (own, dead, living) = (member(1, "a"), member(2, "a"), member(3, "a"));
    let mut group = group(&own, &[dead.clone(), living.clone()]);

    let sent = rounds(&mut group, &living, 6);

    let asked = sent.iter().filter(|letter| {
        matches!(letter.gossip.probe, Some(Probe::PingRequest { target, .. }) if target == dead.address)
    });
    assert!(asked.count() > 0);
}

/// A suspected balancer that lives refutes the claim by a later version of its description. If it
/// didn't, a balancer that was unreachable for a moment would be removed for good.
#[test]
fn a_suspected_balancer_refutes() {
    let (own, other) = (member(1, "a"), member(2, "a"));
    let mut accused = group(&own, std::slice::from_ref(&other));
    let suspicion = claim(&own, Status::Suspected { by: 7 });

    accused.receive(&other, &suspicion, ms(10));

    assert_eq!(accused.own().age(), (own.incarnation, own.version + 1));
}

/// Many members die at once, and claims about them fill the messages. A living member that is suspected by
/// mistake must still learn of it in time, so whoever suspects it tells it in each round.
#[test]
fn a_suspected_member_is_told_in_each_round() {
    let (own, accused, living) = (member(1, "a"), member(2, "a"), member(3, "a"));
    let mut group = group(&own, &[accused.clone(), living.clone()]);

    let sent = rounds(&mut group, &living, 7);

    let told = sent.iter().filter(|letter| {
        let first = letter.gossip.updates.first();
        letter.to == accused.address
            && first.is_some_and(|claim| matches!(claim.status, Status::Suspected { .. }))
    });
    assert!(told.count() >= 3);
}

/// A refutation ends the suspicion, whoever brings it.
#[test]
fn a_refuted_member_stays_on_the_list() {
    let (own, accused, other) = (member(1, "a"), member(2, "a"), member(3, "a"));
    let mut group = group(&own, &[accused.clone(), other.clone()]);
    group.receive(
        &other,
        &claim(&accused, Status::Suspected { by: 7 }),
        ms(10),
    );
    let refuted = Member {
        version: accused.version + 1,
        ..accused.clone()
    };

    group.receive(&other, &claim(&refuted, Status::Alive), ms(500));
    group.round(ms(5_000));

    assert_eq!(group.members().get(accused.address), Some(&refuted));
}

/// Old claims about a removed balancer may still be in transit. None may put it back on the list, or it
/// would stay there for as long as balancers repeat them to each other.
#[test]
fn an_old_claim_does_not_put_a_removed_member_back() {
    let (own, removed, other) = (member(1, "a"), member(2, "a"), member(3, "a"));
    let mut group = group(&own, &[removed.clone(), other.clone()]);
    group.receive(&other, &claim(&removed, Status::Removed), ms(10));

    group.receive(&other, &claim(&removed, Status::Alive), ms(20));

    assert_eq!(group.members().get(removed.address), None);
}

/// A balancer that was cut off has been removed meanwhile. When it is heard again, it must learn that, so
/// that it refutes the claim and is put back on all lists.
#[test]
fn a_removed_member_that_is_heard_again_comes_back() {
    let (own, removed, other) = (member(1, "a"), member(2, "a"), member(3, "a"));
    let mut group = group(&own, &[removed.clone(), other.clone()]);
    let mut returned = Group::new(removed.clone(), Vec::new(), Duration::ZERO, 2);
    group.receive(&other, &claim(&removed, Status::Removed), ms(10));

    let answers = group.receive(&removed, &Gossip::default(), ms(9_000));
    for answer in answers.iter().filter(|answer| answer.to == removed.address) {
        returned.receive(&own, &answer.gossip, ms(9_001));
    }
    group.receive(returned.own(), &Gossip::default(), ms(9_002));

    assert_eq!(group.members().get(removed.address), Some(returned.own()));
}

/// A balancer restarts at once under its address. Its list entry must become that of the new process.
#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let (own, old) = (member(1, "a"), member(2, "a"));
    let mut group = group(&own, std::slice::from_ref(&old));
    let restarted = Member {
        incarnation: old.incarnation + 1,
        version: 0,
        ..old
    };

    group.receive(&restarted, &Gossip::default(), ms(700));

    assert_eq!(group.members().iter().collect::<Vec<_>>(), [&restarted]);
}

/// A balancer restarts with a clock that is behind. Others still know its previous process, whose
/// incarnation is later; the new process must overtake it, or nobody would list it.
#[test]
fn a_process_whose_clock_is_behind_overtakes_its_predecessor() {
    let (own, other) = (member(1, "a"), member(2, "a"));
    let mut restarted = group(&own, std::slice::from_ref(&other));
    let previous = Member {
        incarnation: own.incarnation + 9,
        ..own
    };

    restarted.receive(&other, &claim(&previous, Status::Removed), ms(10));

    assert!(restarted.own().age() > previous.age());
}

/// A balancer that is cut off hears nobody. If it took that for the death of all others, it would have
/// to learn its whole list anew after the cut.
#[test]
fn a_balancer_that_hears_nobody_suspects_nobody_for_seconds() {
    let own = member(1, "a");
    let others: Vec<Member> = (2..20).map(|number| member(number, "a")).collect();
    let mut group = group(&own, &others);

    for round in 0..11 {
        group.round(ROUND * round);
    }

    assert_eq!(group.members().len(), others.len());
}

/// A balancer is suspended. When it wakes, answers and refutations wait in its socket, so it must not
/// judge by the time that passed.
#[test]
fn a_balancer_that_stood_still_judges_nobody_by_the_time_it_missed() {
    let (own, accused, other) = (member(1, "a"), member(2, "a"), member(3, "a"));
    let mut group = group(&own, &[accused.clone(), other.clone()]);
    group.round(ms(500));
    group.receive(
        &other,
        &claim(&accused, Status::Suspected { by: 7 }),
        ms(600),
    );

    group.round(ms(20_000));

    assert_eq!(group.members().len(), 2);
}

/// A balancer that announced its departure and answers no more has ended. Nobody needs to wait for a
/// refutation, and its work must go to others at once.
#[test]
fn a_member_that_left_is_removed_without_delay() {
    let (own, living) = (member(1, "a"), member(3, "a"));
    let leaving = Member {
        leaving: true,
        ..member(2, "a")
    };
    let mut group = group(&own, &[leaving, living.clone()]);

    rounds(&mut group, &living, 6);

    assert_eq!(group.members().len(), 1);
}

/// A delegation of data centre `b`.
fn delegation(stamp: u64, numbers: &[u8]) -> Gossip {
    let members = numbers.iter().map(|number| member(*number, "b"));
    let delegation = Delegation {
        data_centre: "b".into(),
        stamp,
        population: 9,
        members: members.collect(),
    };
    Gossip {
        delegations: vec![delegation],
        ..Gossip::default()
    }
}

/// Representatives change whenever the store refuses one of them. On-call would search for a dead balancer
/// if each change were logged as a loss.
#[test]
fn a_representative_that_is_replaced_is_not_reported_as_lost() {
    let (own, distant) = (member(1, "a"), member(1, "b"));
    let mut group = group(&own, &[]);
    group.receive(&distant, &delegation(1, &[1, 2, 3]), ms(10));
    group.take_changes();

    group.receive(&distant, &delegation(2, &[1, 3, 4]), ms(20));

    let known: Vec<u8> = group
        .members()
        .of("b")
        .map(|one| one.address.ip().octets()[3])
        .collect();
    assert_eq!(known, [1, 3, 4]);
    assert_eq!(group.take_changes(), [Change::Found(member(4, "b"))]);
}

/// A late message must not bring back representatives that were replaced.
#[test]
fn an_older_delegation_changes_nothing() {
    let (own, distant) = (member(1, "a"), member(1, "b"));
    let mut group = group(&own, &[]);
    group.receive(&distant, &delegation(2, &[1, 3, 4]), ms(10));

    group.receive(&distant, &delegation(1, &[1, 2, 3]), ms(20));

    assert!(group.members().get(member(2, "b").address).is_none());
}

/// Nobody answers from a data centre behind a cut. Its representatives must leave the list, or changes would
/// be sent to them and one of them be taken for the reader; and they must be contacted until they answer.
#[test]
fn a_data_centre_that_does_not_answer_is_dropped_and_contacted_further() {
    let (own, distant) = (member(1, "a"), member(1, "b"));
    let mut group = group(&own, &[]);
    group.receive(&distant, &delegation(1, &[1, 2, 3]), ms(10));

    let sent: Vec<Letter> = (1..=20)
        .flat_map(|round| group.round(ROUND * round))
        .collect();

    assert_eq!(group.members().of("b").count(), 0);
    let last = sent.last().expect("messages");
    assert_eq!(last.to.ip().octets()[2], b'b');

    group.receive(&distant, &delegation(9, &[1, 2, 3]), ms(11_000));
    assert_eq!(group.members().of("b").count(), 3);
}
