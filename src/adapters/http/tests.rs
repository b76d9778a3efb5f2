//! Checks HTTP statuses against the API page.

mod limits;

use {
    super::response::status_of,
    crate::core::verdict::{MayHaveRunReason, NotRunReason, Verdict},
    std::collections::BTreeMap,
};

const API_PAGE: &str = include_str!("../../../docs/API.md");

/// Parses the statuses by reason from the page's table with this heading.
fn documented(heading: &str) -> BTreeMap<&'static str, u16> {
    let (_, table) = API_PAGE.split_once(heading).expect("heading");
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    let mut statuses = BTreeMap::new();
    for row in rows {
        let mut cells = row.split('|').skip(1);
        let status = cells
            .next()
            .expect("status")
            .trim()
            .parse()
            .expect("status");
        let reasons = cells.next().expect("reasons").split('`').skip(1).step_by(2);
        statuses.extend(reasons.map(|reason| (reason, status)));
    }
    statuses
}

#[test]
fn api_page_lists_every_not_run_reason_with_its_status() {
    let mut documented = documented("| status | reasons of `not-run` |");
    assert_eq!(documented.remove("not_submitted"), Some(404));
    let returned: BTreeMap<&str, u16> = NotRunReason::ALL
        .iter()
        .map(|reason| {
            (
                reason.as_str(),
                status_of(Verdict::refused(*reason)).as_u16(),
            )
        })
        .collect();
    assert_eq!(returned, documented);
}

#[test]
fn api_page_lists_every_may_have_run_reason_with_its_status() {
    let returned: BTreeMap<&str, u16> = MayHaveRunReason::ALL
        .iter()
        .map(|reason| {
            let verdict = Verdict::may_have_run(*reason);
            (reason.as_str(), status_of(verdict).as_u16())
        })
        .collect();
    assert_eq!(
        returned,
        documented("| status | reasons of `may-have-run` |")
    );
}
