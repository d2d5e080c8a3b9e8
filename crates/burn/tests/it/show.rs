use acacia_burn::{Count, Ledger, Mark, Objective, Report, Source, json, page, report, table};

const NOW: u64 = 1_700_000_000;

/// A report on three services with 90 minutes of counts. One service name contains HTML.
fn example() -> Report {
    let source = Source {
        balancer: 1,
        incarnation: 1,
    };
    let mut ledger = Ledger::new(source, NOW - 5400);
    for (service, mark) in [
        ("talkoo-live", Mark::Paying),
        ("karttapalvelu", Mark::Trial),
        ("karttapalvelu", Mark::Paying),
        ("<script>&\"", Mark::Paying),
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
    report(&ledger, NOW, &[4, 7], |_, mark| {
        Objective::default_for(mark)
    })
}

/// Returns the names of all tags in order. Panics if a tag is not closed in order.
fn check_well_formed(html: &str) -> Vec<&str> {
    let (mut open, mut all, mut rest) = (Vec::new(), Vec::new(), html);
    while let Some(start) = rest.find('<') {
        let text = &rest[..start];
        assert!(!text.contains('>'), "stray bracket in {text}");
        let end = start + rest[start..].find('>').expect("the tag ends");
        let tag = &rest[start + 1..end];
        rest = &rest[end + 1..];
        let name = tag
            .trim_start_matches('/')
            .split([' ', '/', '\n'])
            .next()
            .unwrap_or_default();
        if tag.starts_with('/') {
            assert_eq!(open.pop(), Some(name), "closed in order");
        } else if !tag.starts_with('!') && !tag.ends_with('/') {
            open.push(name);
        }
        all.push(name);
    }
    assert!(open.is_empty(), "left open: {open:?}");
    all
}

#[test]
fn the_page_is_well_formed_and_holds_one_plot_per_service() {
    let html = page(&example()).expect("drawn");

    let tags = check_well_formed(&html);

    let opened = |wanted: &str| tags.iter().filter(|tag| **tag == wanted).count() / 2;
    assert_eq!((opened("svg"), opened("h2"), opened("table")), (3, 3, 3));
    assert!(!tags.contains(&"script") && html.contains("&lt;script&gt;&amp;&quot;"));
    assert!(
        html.contains("#1F77B4") && html.contains("#C8781E"),
        "one line for each mark"
    );
    assert!(html.contains("burn rate\n"), "the axis is labelled");
    assert!(
        !html.contains("src=") && !html.contains("href="),
        "no external resources"
    );
}

#[test]
fn the_table_states_which_counts_are_missing() {
    let text = table(&example());

    assert!(text.contains("balancers 4, 7"), "{text}");
    assert!(text.contains("(1.5 h)"), "{text}");
    assert!(text.contains("99.9 % / 30 d"), "{text}");
}

#[test]
fn json_holds_every_window() {
    let text = json(&example()).expect("encodes");

    let value: serde_json::Value = serde_json::from_str(&text).expect("decodes");
    assert_eq!(value["rows"].as_array().map(Vec::len), Some(4));
    let window = &value["rows"][3]["windows"][4];
    assert_eq!(window["seconds"], 259_200);
    assert_eq!(window["covered"], 5400);
    assert_eq!(window["count"]["broken"], 400);
    assert_eq!(value["unanswered"][1], 7);
}
