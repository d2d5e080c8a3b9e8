use acacia_member::{FRAME_BYTES, Heartbeat, Phase};
use acacia_peer::{Echo, Payload};
use acacia_wire::control::{Envelope, Secret, seal};
use serde::Serialize;

#[derive(Serialize)]
enum Message {
    Heartbeat(Heartbeat),
}

/// docs/CAPACITY.md is based on the size of a heartbeat in normal operation: incarnations are in
/// milliseconds since 1970, and sequence numbers are those after some days.
#[test]
fn a_heartbeat_frame_is_as_large_as_estimated() {
    let (incarnation, number) = (1_800_000_000_000, 2_000_000);
    let message = Message::Heartbeat(Heartbeat {
        number,
        phase: Phase::Ready,
        echo: Some(acacia_member::Echo {
            incarnation,
            number,
        }),
        ask: vec![],
        hear: vec![],
        interval: 500,
        prompt: false,
        revision: 100_000,
        table: 100_000,
        intro: None,
        payload: vec![],
    });
    let body = postcard::to_allocvec(&message).expect("encodes");
    let echo = Some(Echo {
        incarnation,
        sequence: 8 * number,
    });
    let envelope = Envelope {
        sender: 3900,
        incarnation,
        sequence: 8 * number,
    };

    let frame = seal(
        &envelope,
        &Payload {
            to: 3899,
            echo,
            body: Some(body),
        },
        &Secret::new(&[7; 32], None),
    );

    const LENGTH_FIELD_BYTES: usize = 8;
    assert!(
        (FRAME_BYTES - 4..=FRAME_BYTES).contains(&(frame.len() + LENGTH_FIELD_BYTES)),
        "{}",
        frame.len()
    );
}
