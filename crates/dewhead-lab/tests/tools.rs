//! The code behind the commands: search and shrinking of the hunt, the report page, seeds and confidence intervals.

use dewhead_lab::report::{self, ReportedRun};
use dewhead_lab::runs::{self, run_task, Task};
use dewhead_lab::simulated::ProxyKind;
use dewhead_lab::{hunt, stats};
use dewhead_world::experiment::Experiment;

fn small_experiment() -> Experiment {
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
    Experiment::parse(text).expect("the experiment is valid")
}

#[test]
fn a_hunt_is_deterministic_and_shrinks_findings() {
    let search = || hunt::search(&small_experiment(), 3, |round, _, _| round < 1);
    let (first, second) = (search(), search());
    let texts = |findings: &[hunt::Finding]| {
        findings
            .iter()
            .map(|f| (toml::to_string(&f.experiment).unwrap(), f.loss.to_bits()))
            .collect::<Vec<_>>()
    };
    assert!(!first.is_empty());
    assert_eq!(texts(&first), texts(&second));
    assert!(first.windows(2).all(|w| w[0].loss >= w[1].loss), "the worst comes first");
    // A scenario in which only one trouble matters is shrunk to that trouble.
    let mut scenario = small_experiment();
    let trouble = |kind: &str, at: f64, fraction: f64, magnitude: f64| {
        let text = format!(
            "[[trouble]]\nkind = \"{kind}\"\nat = {at}\nlasts = 12\npart = {fraction}\nsize = {magnitude}"
        );
        Experiment::parse(&text).unwrap().troubles.remove(0)
    };
    scenario.troubles = vec![trouble("neighbour", 8.0, 1.0, 4.0), trouble("slow-network", 9.0, 0.5, 1.5)];
    let original = hunt::evaluate(&scenario, &[2000, 2001, 2002, 2003]);
    let shrunk = hunt::shrink(&original);
    assert_eq!(
        hunt::trouble_kinds(&shrunk.experiment),
        ["neighbour"],
        "loss {:.3}, then {:.3}",
        original.loss,
        shrunk.loss
    );
    assert!(shrunk.loss >= 0.79 * original.loss, "{} of {}", shrunk.loss, original.loss);
}

#[test]
fn a_report_is_a_self_contained_page() {
    let mut experiment = small_experiment();
    experiment.name = "<small>".into();
    let result = run_task(&Task { point: "a & b".into(), experiment, seed: 1, proxy: ProxyKind::Dewhead });
    let line = serde_json::to_string(&result).unwrap();
    let run: ReportedRun = serde_json::from_str(&line).unwrap();
    let page = report::render_page(&[run]).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("&lt;small&gt;") && page.contains("a &amp; b") && !page.contains("<small>"));
    for reference in ["src=", "href=", "url("] {
        assert!(!page.contains(reference), "the page refers to another resource: {reference}");
    }
}

#[test]
fn seeds_are_parsed_as_lists_and_ranges() {
    assert_eq!(runs::parse_seeds("3").unwrap(), [3]);
    assert_eq!(runs::parse_seeds("1..4").unwrap(), [1, 2, 3, 4]);
    assert_eq!(runs::parse_seeds("1, 9,4").unwrap(), [1, 9, 4]);
    for invalid in ["", "4..1", "a", "1..", "0..999999"] {
        assert!(runs::parse_seeds(invalid).unwrap_err().contains("--seeds"), "{invalid}");
    }
}

#[test]
fn a_confidence_interval_contains_the_mean_in_95_percent_of_samples() {
    let mut random = oorandom::Rand64::new(4);
    let containing = (0..2000).filter(|_| {
        let sample: Vec<f64> =
            (0..6).map(|_| (0..12).map(|_| random.rand_float()).sum::<f64>() - 6.0).collect();
        let (mean, half_width) = stats::confidence_interval(&sample);
        mean.abs() <= half_width
    });
    let count = containing.count();
    assert!((1860..1940).contains(&count), "{count} of 2000; 1900 are expected");
    assert!(
        stats::confidence_interval(&[1.0]).1.is_infinite(),
        "a single value gives no estimate of the variance"
    );
}
