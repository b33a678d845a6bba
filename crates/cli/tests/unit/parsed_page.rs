//! Valid metrics pages, and input that is not one.

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
fn a_page_without_samples_of_this_project_is_rejected() {
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
    /// Guards against panics of the parser on arbitrary bytes.
    fn any_bytes_are_parsed_or_rejected(bytes: Vec<u8>) -> bool {
        let _ = ParsedPage::parse(&bytes);
        true
    }

    /// Guards against panics of the parser on a truncated page.
    fn a_truncated_page_is_parsed_or_rejected(length: usize) -> bool {
        let length = length % PAGE.len();
        let _ = ParsedPage::parse(&PAGE.as_bytes()[..length]);
        true
    }
}
