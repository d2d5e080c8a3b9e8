//! What is answered over the network.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_api::Status;
use acacia_burn::{Count, Mark};
use acacia_node::{
    admin::{self, Published, StatusSnapshot},
    ledger::Ledger,
};
use tokio_util::sync::CancellationToken;

const DEADLINE: Duration = Duration::from_secs(5);

/// The control thread hangs: it shows no new account, and the operators' age of the store must go
/// on all the same, or the balancer looks well for good.
#[test]
fn ages_go_on_while_control_hangs_and_the_ledger_is_given() {
    let published = Published::default();
    let status = Status {
        store_ms: Some(7),
        ..Status::default()
    };
    // Made at the machine's start, long ago.
    published.store(Arc::new(StatusSnapshot {
        status,
        document: Some("text".into()),
        ..StatusSnapshot::default()
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
