//! Pages that are read, and bytes that are no page.

use super::*;
use quickcheck::quickcheck;

const PAGE: &str = "# HELP woadreach_calls Calls.\n\
                    # TYPE woadreach_calls gauge\n\
                    woadreach_calls{state=\"queued\"} 2.0\n\
                    # TYPE woadreach_decisions counter\n\
                    woadreach_decisions_total{decision=\"sent\"} 7\n\
                    # TYPE woadreach_ready gauge\n\
                    woadreach_ready 1.0\n\
                    other_figure 3\n\
                    # EOF\n";

#[test]
fn samples_are_found_by_name_and_label() {
    let page = ParsedPage::parse(PAGE.as_bytes()).unwrap();
    assert_eq!(page.get("calls{state=\"queued\"}"), Some(2.0));
    assert_eq!(page.get("decisions_total{decision=\"sent\"}"), Some(7.0));
    assert_eq!(page.get("ready"), Some(1.0));
    assert!(page.is_positive("ready") && !page.is_zero("ready"));
    assert_eq!(page.get("other_figure"), None);
    assert!(!page.is_zero("absent") && !page.is_positive("absent"));
}

#[test]
fn what_has_no_figure_of_this_project_is_no_page() {
    for page in [
        "",
        "<html>hello</html>",
        "other_figure 3\n",
        "woadreach_ready\n",
    ] {
        assert_eq!(ParsedPage::parse(page.as_bytes()), None, "{page}");
    }
    assert_eq!(ParsedPage::parse(&[0xff, 0xfe]), None);
}

quickcheck! {
    /// Any bytes are read or refused.
    fn any_bytes_are_read_or_refused(bytes: Vec<u8>) -> bool {
        let _ = ParsedPage::parse(&bytes);
        true
    }

    /// A page that is cut anywhere is read as far as it goes, or refused.
    fn a_page_cut_anywhere_is_read_or_refused(length: usize) -> bool {
        let length = length % PAGE.len();
        let _ = ParsedPage::parse(&PAGE.as_bytes()[..length]);
        true
    }
}
