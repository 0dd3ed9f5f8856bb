//! What the commands are made of: the hunt and its shrinking, the page of a report, seeds, intervals.

use dewhead_lab::report::{self, ReportedRun};
use dewhead_lab::runs::{self, run_task, Task};
use dewhead_lab::simulated::ProxyKind;
use dewhead_lab::{hunt, stats};
use dewhead_world::experiment::Experiment;

fn small() -> Experiment {
    let text = r#"
seconds = 24
[fleet]
proxies = 2
nodes = 4
[load]
utilisation = 0.4
[[machine]]
name = "small"
cores = 1
[[traffic]]
name = "feeds"
life = 8
"#;
    Experiment::parse(text).expect("it is sound")
}

#[test]
fn a_hunt_is_repeated_exactly_and_shrinks_what_it_finds() {
    let search = || hunt::search(&small(), 3, |round, _, _| round < 1);
    let (one, two) = (search(), search());
    let told = |finds: &[hunt::Finding]| {
        finds.iter().map(|f| (toml::to_string(&f.experiment).unwrap(), f.loss.to_bits())).collect::<Vec<_>>()
    };
    assert!(!one.is_empty());
    assert_eq!(told(&one), told(&two));
    assert!(one.windows(2).all(|w| w[0].loss >= w[1].loss), "the worst comes first");
    // A day of which only one part matters is shrunk to that part.
    let mut day = small();
    let more = |kind: &str, at: f64, part: f64, size: f64| {
        let text =
            format!("[[trouble]]\nkind = \"{kind}\"\nat = {at}\nlasts = 12\npart = {part}\nsize = {size}");
        Experiment::parse(&text).unwrap().troubles.remove(0)
    };
    day.troubles = vec![more("neighbour", 8.0, 1.0, 4.0), more("slow-network", 9.0, 0.5, 1.5)];
    let whole = hunt::evaluate(&day, &[2000, 2001, 2002, 2003]);
    let shrunk = hunt::shrink(&whole);
    assert_eq!(
        hunt::trouble_kinds(&shrunk.experiment),
        ["neighbour"],
        "loses {:.3}, then {:.3}",
        whole.loss,
        shrunk.loss
    );
    assert!(shrunk.loss >= 0.79 * whole.loss, "{} of {}", shrunk.loss, whole.loss);
}

#[test]
fn a_report_is_one_page_that_needs_nothing_else() {
    let mut of = small();
    of.name = "<small>".into();
    let played =
        run_task(&Task { point: "a & b".into(), experiment: of, seed: 1, proxy: ProxyKind::Dewhead });
    let line = serde_json::to_string(&played).unwrap();
    let run: ReportedRun = serde_json::from_str(&line).unwrap();
    let page = report::render_page(&[run]).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("&lt;small&gt;") && page.contains("a &amp; b") && !page.contains("<small>"));
    for outside in ["src=", "href=", "url("] {
        assert!(!page.contains(outside), "the page asks for something: {outside}");
    }
}

#[test]
fn seeds_are_read_as_they_are_written() {
    assert_eq!(runs::parse_seeds("3").unwrap(), [3]);
    assert_eq!(runs::parse_seeds("1..4").unwrap(), [1, 2, 3, 4]);
    assert_eq!(runs::parse_seeds("1, 9,4").unwrap(), [1, 9, 4]);
    for bad in ["", "4..1", "a", "1..", "0..999999"] {
        assert!(runs::parse_seeds(bad).unwrap_err().contains("--seeds"), "{bad}");
    }
}

#[test]
fn an_interval_holds_the_mean_as_often_as_it_says() {
    let mut chance = oorandom::Rand64::new(4);
    let held = (0..2000).filter(|_| {
        let sample: Vec<f64> =
            (0..6).map(|_| (0..12).map(|_| chance.rand_float()).sum::<f64>() - 6.0).collect();
        let (mean, width) = stats::confidence_interval(&sample);
        mean.abs() <= width
    });
    let held = held.count();
    assert!((1860..1940).contains(&held), "{held} of 2000, where 1900 are meant");
    assert!(stats::confidence_interval(&[1.0]).1.is_infinite(), "one figure tells nothing of its spread");
}
