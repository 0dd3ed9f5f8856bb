//! Tests of experiment files: errors name their key, the matrix is expanded, and a written experiment can be
//! parsed again.

use dewhead_world::experiment::Experiment;

#[test]
fn errors_name_the_key_on_one_line() {
    for (text, key) in [
        ("secnds = 3", "secnds"),
        ("seconds = 0", "seconds"),
        ("[load]\nutilisation = -1", "load.utilisation"),
        ("[load]\nutilization = 1", "utilization"),
        ("[fleet]\nzones = []", "fleet.zones"),
        ("[[trouble]]\nkind = \"none\"\nat = 1", "trouble[0].kind"),
        ("[[trouble]]\nkind = \"burst\"", "at"),
        ("[[trouble]]\nkind = \"burst\"\nat = 1\npart = 2", "trouble[0].part"),
        ("[[trouble]]\nkind = \"burst\"\nat = 1\nzone = \"moon\"", "trouble[0].zone"),
        ("[[traffic]]\nname = \"a b\"", "traffic[0].name"),
        ("[[traffic]]\nname = \"a\"\nlife = \"long\"", "traffic[0].life"),
        ("seconds = ", "line 1"),
        ("[matrix]\n\"load.utilisation\" = [0.5, -1]", "load.utilisation"),
        ("[matrix]\n\"load.none\" = [1]", "load.none"),
    ] {
        let error = Experiment::parse(text)
            .and_then(|experiment| experiment.matrix_points().map(|_| ()))
            .expect_err(text);
        assert!(error.contains(key), "{text}: {error}");
        assert!(!error.contains('\n'), "one line: {error}");
    }
}

#[test]
fn matrix_points_cover_all_combinations_and_can_be_parsed_again() {
    let text = "[matrix]\n\"load.utilisation\" = [0.3, 0.6]\n\"fleet.proxies\" = [1, 2, 3]";
    let points = Experiment::parse(text).unwrap().matrix_points().unwrap();
    assert_eq!(points.len(), 6);
    let (label, last) = &points[5];
    assert_eq!((last.load.utilisation, last.fleet.proxies), (0.6, 3));
    assert_eq!(label, "fleet.proxies = 3, load.utilisation = 0.6");
    let reparsed = Experiment::parse(&toml::to_string(last).unwrap()).unwrap();
    assert_eq!(toml::to_string(&reparsed).unwrap(), toml::to_string(last).unwrap());
}
