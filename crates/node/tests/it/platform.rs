//! The thread that calls the platform.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use acacia_node::{
    control::{
        agreement::PlatformCall,
        platform::{self, PlatformEvent},
    },
    settings::Settings,
};
use acacia_stand::platform::Stand;
use crossbeam_channel::bounded;
use tokio::sync::mpsc;

use crate::settings::valid;

/// Far longer than any call may take.
const LONG: Duration = Duration::from_secs(10);

fn settings(platform: SocketAddr) -> Settings {
    let text = valid().replace("127.0.0.1:6083", &platform.to_string());
    Settings::parse(&text).expect("settings")
}

/// The control thread stands still while its queue fills up. An answer that was dropped then leaves it
/// waiting, and this balancer writes no tables any more.
#[tokio::test(flavor = "multi_thread")]
async fn answers_wait_for_a_control_thread_that_stands_still() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let stand = Stand::start(any, any).await.expect("a platform");
    let settings = settings(stand.address());
    let (told, news) = bounded(1);
    let (orders, mut received) = mpsc::channel(8);
    told.send(PlatformEvent::Machines(vec![])).expect("room");
    for _ in 0..2 {
        orders.try_send(PlatformCall::ReadTables).expect("room");
    }
    let stop = AtomicBool::new(false);

    let answers = thread::scope(|scope| {
        scope.spawn(|| platform::run(&settings, &mut received, &told, &stop));
        // By then the store has answered all.
        thread::sleep(Duration::from_secs(2));
        let is_read = |news: &PlatformEvent| matches!(news, PlatformEvent::ReadTables(Some(_)));
        let end = Instant::now() + LONG;
        let answers = std::iter::from_fn(|| news.recv_deadline(end).ok());
        let answers = answers.filter(is_read).take(2).count();
        stop.store(true, Ordering::Relaxed);
        answers
    });

    assert_eq!(answers, 2);
    stand.stop().await;
}
