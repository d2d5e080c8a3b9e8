use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};

use acacia_code::Code;
use acacia_kernel::{BoxError, Registry, Service};
use rstest::rstest;

/// A service whose thread runs until the service is stopped, and then sets `ended`.
fn steady(name: &str, ended: &Arc<AtomicBool>) -> Service {
    let ended = Arc::clone(ended);
    Service::new(name, [], move |context| {
        let (stop, stopped) = channel::<()>();
        context.spawn(move || {
            let _ = stopped.recv();
            ended.store(true, Ordering::SeqCst);
            Ok(())
        })?;
        context.on_stop(move || drop(stop));
        Ok(())
    })
}

fn exiting(name: &str, task: fn() -> Result<(), BoxError>) -> Service {
    Service::new(name, ["steady"], move |context| Ok(context.spawn(task)?))
}

/// A control thread panics or returns while the traffic threads keep running. Without a shutdown,
/// the process would serve from a stale view and look healthy, and flows would break later.
#[rstest]
#[case::panics(|| panic!("index out of range"), "panicked: index out of range")]
#[case::returns(|| Ok(()), "returned")]
#[case::fails(|| Err("socket closed".into()), "socket closed")]
fn an_unexpected_exit_stops_all_services_in_order(
    #[case] task: fn() -> Result<(), BoxError>,
    #[case] reason: &str,
) {
    let ended = Arc::new(AtomicBool::new(false));
    let mut registry = Registry::default();
    registry.add(steady("steady", &ended));
    registry.add(exiting("exiting", task));

    let outcome = registry.start().expect("starts").wait();

    assert_eq!(outcome.code(), Code::ServiceDied);
    let exit = outcome.exit.expect("the exit is reported");
    assert_eq!((&*exit.service, &*exit.reason), ("exiting", reason));
    assert!(ended.load(Ordering::SeqCst), "the other service was joined");
}

/// The second of two services can't bind its port. Without a rollback, the first would keep running
/// in a process that has already reported its failure.
#[test]
fn a_failed_start_stops_what_was_started() {
    let ended = Arc::new(AtomicBool::new(false));
    let mut registry = Registry::default();
    registry.add(steady("steady", &ended));
    registry.add(Service::new("failing", ["steady"], |_| -> Result<(), _> {
        Err("port in use".into())
    }));

    let error = registry.start().err().expect("the start fails");

    assert_eq!(error.code(), Code::ServiceStartFailed);
    assert!(error.to_string().contains("port in use"));
    assert!(ended.load(Ordering::SeqCst), "the other service was joined");
}

#[test]
fn a_dropped_kernel_joins_its_threads() {
    let ended = Arc::new(AtomicBool::new(false));
    let mut registry = Registry::default();
    registry.add(steady("steady", &ended));

    drop(registry.start().expect("starts"));

    assert!(ended.load(Ordering::SeqCst));
}

#[test]
fn services_communicate_through_their_handles() {
    let (result, received) = channel::<u32>();
    let mut registry = Registry::default();
    registry.add(Service::new("sink", [], move |_| Ok(result)));
    registry.add(Service::new("user", ["sink"], |context| {
        Ok(context.find::<Sender<u32>>("sink")?.send(5)?)
    }));

    let kernel = registry.start().expect("starts");

    assert_eq!(received.recv(), Ok(5));
    drop(kernel);
}
