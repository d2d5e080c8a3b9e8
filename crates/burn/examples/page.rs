//! Prints an example of the HTML page, or of the table if the argument is `table`: two services, an
//! outage of 10 minutes and a balancer with 90 minutes of counts.

use acacia_burn::{Count, Ledger, Mark, Objective, Source, page, report, table};

const NOW: u64 = 1_700_000_000;

fn main() -> Result<(), acacia_burn::Error> {
    let source = Source {
        balancer: 1,
        incarnation: 1,
    };
    let mut ledger = Ledger::new(source, NOW - 5400);
    for (service, mark) in [
        ("talkoo-live", Mark::Paying),
        ("karttapalvelu", Mark::Trial),
        ("karttapalvelu", Mark::Paying),
    ] {
        for minute in (0..90).rev() {
            let broken = if (20..30).contains(&minute) { 40 } else { 0 };
            let count = Count {
                good: 960,
                broken,
                slow: 1,
                refused: 2,
            };
            ledger.add(source, NOW - minute * 60, &service.into(), mark, count);
        }
    }
    let report = report(&ledger, NOW, &[7], |_, mark| Objective::default_for(mark));
    if std::env::args().any(|argument| argument == "table") {
        print!("{}", table(&report));
    } else {
        print!("{}", page(&report)?);
    }
    Ok(())
}
