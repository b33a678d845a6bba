//! The program: one co-ordinator on tokio's sockets. Takes hold of the signals, reads what it is given, says
//! how it ended. Must never hold anything that the library owns.

use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use woadreach_runtime::Tokio;
use woadreachd::Outside;
use woadreachd::config::{self, First, Given};

/// The file that `PROXY_CONFIG` names, and the places that the environment gives.
fn given() -> Result<Given, String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let listen = std::env::var("PROXY_LISTEN").ok();
    Ok(Given {
        path,
        text,
        listen,
        discovery: std::env::var("PROXY_DISCOVERY").ok(),
    })
}

/// Passes on a signal for as long as the process runs.
fn forward(mut signal: Signal) -> mpsc::UnboundedReceiver<()> {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        while signal.recv().await.is_some() && sender.send(()).is_ok() {}
        std::future::pending::<()>().await;
    });
    receiver
}

/// The system's clock, or for rigs one that `WOADREACH_CLOCK=RATE,AHEAD` makes differ from it.
fn clock() -> Result<Tokio, (u8, String)> {
    let Ok(text) = std::env::var("WOADREACH_CLOCK") else {
        return Ok(Tokio::new());
    };
    let read = text
        .split_once(',')
        .and_then(|(r, a)| Some((r.parse().ok()?, a.parse().ok()?)));
    match read {
        Some((rate, ahead)) if (0.5..=2.0).contains(&rate) && f64::abs(ahead) <= 1e6 => {
            Ok(Tokio::skewed(rate, ahead))
        }
        _ => Err((
            2,
            format!("WOADREACH_CLOCK: expected RATE,AHEAD with a rate from 0.5 to 2, not {text}"),
        )),
    }
}

async fn run() -> Result<(), (u8, String)> {
    let signal = |kind| signal(kind).map_err(|e| (1, format!("signals: {e}")));
    // Before all else: until then either would end the process.
    let (hangup, term) = (
        signal(SignalKind::hangup())?,
        signal(SignalKind::terminate())?,
    );
    let config = given()
        .and_then(|given| config::read(First::Environment, &given))
        .map_err(|why| (2, why))?;
    let (hangup, term) = (forward(hangup), forward(term));
    let (report, verdict) = (Box::new(|_: &_| {}), Box::new(|_: &_| {}));
    let outside = Outside {
        hangup,
        term,
        given: Box::new(given),
        report,
        verdict,
    };
    woadreachd::serve(clock()?, config, outside)
        .await
        .map_err(|why| (1, why))
}

fn main() -> ExitCode {
    let level = match std::env::var("WOADREACH_LOG").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("warn") => tracing::Level::WARN,
        _ => tracing::Level::INFO,
    };
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr);
    // Records for machines: a JSON object a line, with the system's time.
    if std::env::var("WOADREACH_LOG_FORMAT").as_deref() == Ok("json") {
        log.json()
            .flatten_event(true)
            .with_current_span(false)
            .init();
    } else {
        log.with_ansi(false).without_time().init();
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("woadreachd: {e}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, why)) => {
            eprintln!("woadreachd: {why}");
            ExitCode::from(code)
        }
    }
}
