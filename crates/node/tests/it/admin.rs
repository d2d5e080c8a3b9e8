//! The admin endpoint, queried over the network.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_burn::{Count, Mark};
use acacia_node::{
    admin::{self, Published},
    ledger::Ledger,
};
use tokio_util::sync::CancellationToken;

const DEADLINE: Duration = Duration::from_secs(5);

/// When the control thread hangs, it publishes no new snapshot. The age of the store's last answer
/// must keep growing nevertheless, or the balancer would look healthy for ever.
#[test]
fn ages_grow_while_the_control_thread_hangs_and_the_ledger_is_served() {
    let published = Published::default();
    let status = acacia_api::Status {
        store_ms: Some(7),
        ..acacia_api::Status::default()
    };
    // Its default `at` is the machine's boot, long ago.
    published.store(Arc::new(admin::Status {
        status,
        document: Some("text".into()),
        ..admin::Status::default()
    }));
    let ledger = Arc::new(Ledger::new(3));
    let good = Count {
        good: 2,
        ..Count::default()
    };
    ledger.add(&"live".into(), Mark::Paying, good);
    let listener = admin::listen(SocketAddrV4::new([127, 0, 0, 1].into(), 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let token = stop.clone();
    let server = std::thread::spawn(move || admin::run(listener, token, &published, &ledger));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();

    let (status, document, ledger) = runtime.block_on(async {
        (
            acacia_api::ask(address, DEADLINE, async |a, ctx| a.status(ctx).await).await,
            acacia_api::ask(address, DEADLINE, async |a, ctx| a.document(ctx).await).await,
            acacia_api::ask(address, DEADLINE, async |a, ctx| a.ledger(ctx).await).await,
        )
    });
    stop.cancel();

    assert!(status.unwrap().store_ms > Some(7));
    assert_eq!(document, Ok(Some("text".into())));
    assert_eq!(ledger.unwrap().keys(), [("live".into(), Mark::Paying)]);
    assert!(server.join().unwrap().is_ok());
}
