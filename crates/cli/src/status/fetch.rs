//! Reads the metrics pages of many machines concurrently.

use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu, ensure};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::machines::{Machine, MachineList};
use super::parsed_page::ParsedPage;

/// Maximum number of pages that are read concurrently.
const MAX_CONCURRENT_READS: usize = 64;
/// Maximum size of a page.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Why the page of a machine could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum FetchError {
    /// The machine is unreachable, or does not answer within the time-out.
    #[snafu(display("{}", reason(source)))]
    Unreachable { source: reqwest::Error },
    /// The status code of the response is not 200.
    #[snafu(display("status {status}: is there a metrics page at this address?"))]
    Status { status: u16 },
    /// The page is longer than `MAX_PAGE_BYTES`.
    #[snafu(display("the page has more than {MAX_PAGE_BYTES} bytes"))]
    TooLong,
    /// The response body is not a metrics page, or has no sample of this project.
    #[snafu(display("the response is not a woadreach metrics page"))]
    NotMetrics,
    /// The task that read the page panicked.
    #[snafu(display("the task that read this page panicked"))]
    ReaderPanicked,
}

/// Text for a failed request: its innermost cause, such as the error of the operating system, or a time-out.
fn reason(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    let mut innermost: &dyn std::error::Error = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}

/// Reads the pages of all machines of the list. The results are in the order of the list.
pub(crate) async fn fetch_all(list: &MachineList) -> Vec<Result<ParsedPage, FetchError>> {
    let client = reqwest::Client::new();
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_READS));
    let mut reads = JoinSet::new();
    for (index, machine) in list.machines.iter().enumerate() {
        let (client, permits) = (client.clone(), Arc::clone(&permits));
        let (machine, timeout) = (machine.clone(), list.timeout);
        reads.spawn(async move {
            let _permit = permits.acquire().await;
            (index, fetch(&client, &machine, timeout).await)
        });
    }
    let mut pages: Vec<Result<ParsedPage, FetchError>> = list
        .machines
        .iter()
        .map(|_| ReaderPanickedSnafu.fail())
        .collect();
    while let Some(read) = reads.join_next().await {
        if let Ok((index, page)) = read {
            pages[index] = page;
        }
    }
    pages
}

async fn fetch(
    client: &reqwest::Client,
    machine: &Machine,
    timeout: Duration,
) -> Result<ParsedPage, FetchError> {
    let url = format!("http://{}/metrics", machine.metrics);
    let request = client.get(url).timeout(timeout);
    let mut response = request.send().await.context(UnreachableSnafu)?;
    let status = response.status().as_u16();
    ensure!(status == 200, StatusSnafu { status });
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.context(UnreachableSnafu)? {
        ensure!(body.len() + chunk.len() <= MAX_PAGE_BYTES, TooLongSnafu);
        body.extend_from_slice(&chunk);
    }
    ParsedPage::parse(&body).ok_or(FetchError::NotMetrics)
}
