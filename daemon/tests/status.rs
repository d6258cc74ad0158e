//! What `/status` shows of evacuations and the warm-up limit.

use std::time::Duration;

use lagoonhollow_daemon::process::packet::evacuation_log::EvacuationLog;
use lagoonhollow_daemon::process::packet::metrics::PacketMetrics;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_lib::version::revision::Revision;

/// A time that starts over when another domain is evacuated.
#[test]
fn the_status_tells_since_when_each_evacuation_is_known() {
    let (at, revision) = (Moment::from_millis, |number| Revision { epoch: 0, number });
    let set = |last, orders: &[(&str, u64)]| {
        Evacuations::open(revision(last), orders.iter().map(|(d, n)| ((*d).into(), revision(*n))))
    };
    let mut log = EvacuationLog::default();
    log.update(&set(5, &[("d-0", 5)]), at(1_000));
    log.update(&set(7, &[("d-0", 5), ("d-1", 7)]), at(3_000));
    let shown = |log: &EvacuationLog, now| {
        let status = log.status(now);
        let row = |e: &lagoonhollow_daemon::process::status::EvacuationStatus| {
            (e.domain.clone(), e.revision.clone(), e.known_for_ms)
        };
        status.iter().map(row).collect::<Vec<_>>()
    };
    let first = ("d-0".to_owned(), "0.5".to_owned(), 3_000);
    let second = ("d-1".to_owned(), "0.7".to_owned(), 1_000);
    assert_eq!(shown(&log, at(4_000)), [first, second.clone()]);
    log.update(&set(9, &[("d-1", 7)]), at(4_000));
    assert_eq!(shown(&log, at(4_000)), [second]);
}

/// A backend server that is shown as cold after its period.
#[test]
fn a_backend_server_is_shown_as_cold_only_while_a_limit_applies() {
    let metrics = PacketMetrics::open();
    assert_eq!(metrics.cold(), None);
    metrics.set_cold(Some((2.5, Duration::from_millis(1_200))));
    assert_eq!(metrics.cold(), Some((2.5, 1_200)));
    metrics.set_cold(None);
    assert_eq!(metrics.cold(), None);
}
