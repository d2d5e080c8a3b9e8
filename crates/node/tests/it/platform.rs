//! The thread that makes calls to the platform.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use acacia_node::{
    control::{agreement, platform},
    settings::Settings,
};
use acacia_stand::platform::Stand;
use crossbeam_channel::bounded;
use tokio::sync::mpsc;

use crate::settings::valid;

/// Far longer than any call takes.
const DEADLINE: Duration = Duration::from_secs(10);

fn settings(platform: SocketAddr) -> Settings {
    let text = valid().replace("127.0.0.1:6083", &platform.to_string());
    Settings::parse(&text).expect("settings")
}

/// The control thread stalls while its queue is full. If results were dropped then, it would wait
/// for them for ever, and this balancer would never write tables again.
#[tokio::test(flavor = "multi_thread")]
async fn results_wait_for_a_control_thread_that_stalls() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let stand = Stand::start(any, any).await.expect("a platform");
    let settings = settings(stand.address());
    let (sender, events) = bounded(1);
    let (calls, mut received) = mpsc::channel(8);
    sender
        .send(platform::Event::Machines(vec![]))
        .expect("room");
    for _ in 0..2 {
        calls.try_send(agreement::Call::ReadTables).expect("room");
    }
    let stop = AtomicBool::new(false);

    let answers = thread::scope(|scope| {
        scope.spawn(|| platform::run(&settings, &mut received, &sender, &stop));
        // By then the store has answered both calls.
        thread::sleep(Duration::from_secs(2));
        let is_read =
            |event: &platform::Event| matches!(event, platform::Event::ReadTables(Some(_)));
        let end = Instant::now() + DEADLINE;
        let answers = std::iter::from_fn(|| events.recv_deadline(end).ok());
        let answers = answers.filter(is_read).take(2).count();
        stop.store(true, Ordering::Relaxed);
        answers
    });

    assert_eq!(answers, 2);
    stand.stop().await;
}
