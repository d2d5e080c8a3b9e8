use acacia_member::{FRAME_BYTES, Heartbeat, Phase};
use acacia_peer::{Echo, FramePayload};
use acacia_wire::control::{Envelope, Secret, seal};
use serde::Serialize;

#[derive(Serialize)]
enum Message {
    Heartbeat(Heartbeat),
}

/// docs/CAPACITY.md rests on the size of a heartbeat when all is well: incarnations in
/// milliseconds since 1970, numbers after some days.
#[test]
fn a_heartbeats_frame_has_the_size_that_the_estimate_takes() {
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
        &FramePayload {
            to: 3899,
            echo,
            body: Some(body),
        },
        &Secret::new(&[7; 32], None),
    );

    const LENGTH: usize = 8;
    assert!(
        (FRAME_BYTES - 4..=FRAME_BYTES).contains(&(frame.len() + LENGTH)),
        "{}",
        frame.len()
    );
}
