use std::sync::{Arc, Mutex};

use acacia_code::Code;
use acacia_kernel::{Error, Registry, Service};

fn idle<const N: usize>(name: &'static str, dependencies: [&str; N]) -> Service {
    Service::new(name, dependencies, move |_| Ok(name))
}

fn registry(services: Vec<Service>) -> Registry {
    let mut registry = Registry::default();
    services
        .into_iter()
        .for_each(|service| registry.add(service));
    registry
}

fn failure(services: Vec<Service>) -> Error {
    registry(services).start().err().expect("the start fails")
}

#[test]
fn services_start_after_their_dependencies_and_stop_before_them() {
    let events = Arc::new(Mutex::new(Vec::new()));
    let recorded = |name: &'static str, dependencies: [&str; 1]| {
        let events = Arc::clone(&events);
        Service::new(name, dependencies, move |context| {
            events.lock().unwrap().push(format!("start {name}"));
            let events = Arc::clone(&events);
            context.on_stop(move || events.lock().unwrap().push(format!("stop {name}")));
            Ok(())
        })
    };
    let services = vec![recorded("c", ["b"]), recorded("b", ["a"]), idle("a", [])];

    let kernel = registry(services).start().expect("starts");
    kernel.stopper().stop();
    let outcome = kernel.wait();

    assert_eq!(outcome.code(), Code::Success);
    assert_eq!(
        *events.lock().unwrap(),
        ["start b", "start c", "stop c", "stop b"]
    );
}

#[test]
fn an_error_names_the_dependency_cycle() {
    let error = failure(vec![
        idle("a", []),
        idle("outside", ["b"]),
        idle("b", ["c"]),
        idle("c", ["a", "b"]),
    ]);

    assert_eq!(error.code(), Code::ServiceCycle);
    let Error::Cycle(names) = error else {
        panic!("another error")
    };
    assert_eq!(
        names.iter().map(|name| &**name).collect::<Vec<_>>(),
        ["b", "c"]
    );
}

#[test]
fn missing_and_duplicate_names_are_refused() {
    let missing = failure(vec![idle("a", ["nobody"])]);
    let duplicate = failure(vec![idle("a", []), idle("a", [])]);

    assert_eq!(missing.code(), Code::ServiceMissing);
    assert!(missing.to_string().contains("nobody"));
    assert_eq!(duplicate.code(), Code::ServiceDuplicate);
}

#[test]
fn a_name_is_found_only_when_declared_and_by_its_type() {
    let undeclared = Service::new("b", [], |context| {
        context.find::<&'static str>("a")?;
        Ok(())
    });
    let mistyped = Service::new("b", ["a"], |context| {
        context.find::<u64>("a")?;
        Ok(())
    });

    let undeclared = failure(vec![idle("a", []), undeclared]).to_string();
    let mistyped = failure(vec![idle("a", []), mistyped]).to_string();

    assert!(undeclared.contains("no service named a"), "{undeclared}");
    assert!(mistyped.contains("another type"), "{mistyped}");
}
