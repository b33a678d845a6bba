//! The tables and plots of `docs/CAPACITY.md` come from the runs' files, and the fit from its formula.

use std::path::{Path, PathBuf};
use woadreach_local_tier::capacity::{
    CapacityError, Table, fill, fit, load, plots, tables, tables_of,
};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

#[test]
fn the_tables_of_the_page_come_from_the_files() {
    let runs = load(&docs().join("capacity")).unwrap();
    let made = tables(&runs).unwrap();
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let held = tables_of(&page, &made).unwrap();
    for (table, held) in made.iter().zip(&held) {
        assert_eq!(
            &table.text, held,
            "table {}: run woadreach-tier capacity",
            table.name
        );
    }
}

#[test]
fn the_plots_come_from_the_files() {
    let folder = docs().join("capacity");
    for plot in plots(&load(&folder).unwrap()) {
        let held = std::fs::read_to_string(folder.join(plot.file)).unwrap();
        assert_eq!(plot.svg, held, "{}: run woadreach-tier capacity", plot.file);
    }
}

#[test]
fn a_table_that_was_edited_by_hand_is_noticed_and_made_anew() {
    let table = Table {
        name: "t",
        text: "| a |\n| --- |\n| 1 |\n".to_owned(),
    };
    let edited = "before\n<!-- table t -->\n| a |\n| --- |\n| 2 |\n<!-- end t -->\nafter\n";
    let tables = [table];
    assert_ne!(tables_of(edited, &tables).unwrap()[0], tables[0].text);
    let page = fill(edited, &tables).unwrap();
    assert_eq!(tables_of(&page, &tables).unwrap()[0], tables[0].text);
    assert!(page.starts_with("before\n") && page.ends_with("after\n"));
}

#[test]
fn a_page_without_a_place_for_a_table_is_an_error_that_names_it() {
    let table = Table {
        name: "missing",
        text: String::new(),
    };
    let error = fill("no marks", &[table]).unwrap_err();
    assert!(
        matches!(&error, CapacityError::NoMarks { name } if name == "missing"),
        "{error}"
    );
}

#[test]
fn a_fit_finds_the_line_through_its_points() {
    let observations: Vec<(Vec<f64>, f64)> = (0..6)
        .map(f64::from)
        .map(|x| (vec![1.0, x, x * x], 2.0 + 3.0 * x - 0.5 * x * x))
        .collect();
    let fitted = fit(&observations).unwrap();
    for (term, expected) in fitted.terms.iter().zip([2.0, 3.0, -0.5]) {
        assert!((term.value - expected).abs() < 1e-9, "{term:?}");
    }
    assert!((fitted.at(&[1.0, 10.0, 100.0]).value - -18.0).abs() < 1e-8);
}

#[test]
fn the_standard_error_is_that_of_the_textbook() {
    // Slope of y = x over 1..=4 with residuals +1, -1, -1, +1: variance 4 / 2, sum of squares around the
    // mean 5.
    let observations = [(1.0, 2.0), (2.0, 1.0), (3.0, 2.0), (4.0, 5.0)];
    let rows: Vec<(Vec<f64>, f64)> = observations
        .iter()
        .map(|(x, y)| (vec![1.0, *x], *y))
        .collect();
    let fitted = fit(&rows).unwrap();
    assert!((fitted.terms[1].value - 1.0).abs() < 1e-12);
    assert!((fitted.terms[1].error - (2.0_f64 / 5.0).sqrt()).abs() < 1e-12);
    assert!((fitted.residual - 2.0_f64.sqrt()).abs() < 1e-12);
}

#[test]
fn what_is_not_determined_is_not_fitted() {
    assert!(
        fit(&[
            (vec![1.0, 2.0], 3.0),
            (vec![1.0, 2.0], 4.0),
            (vec![1.0, 2.0], 5.0)
        ])
        .is_none()
    );
    assert!(
        fit(&[(vec![1.0, 2.0], 3.0), (vec![1.0, 4.0], 4.0)]).is_none(),
        "no degree of freedom is left"
    );
    assert!(fit(&[]).is_none());
}
