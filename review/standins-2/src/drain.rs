//! The check of DRAIN.

use crate::Record;
use crate::backend::Run;
use crate::client::End;
use crate::client::Seen;

/// `drain_timeout_ms` of the settings.
const DRAIN_S: f64 = 3.0;
/// Time beyond the bound from which on a request counts.
const MARGIN_S: f64 = 0.1;

/// Counts the requests whose opening packet was sent and taken after the bound of DRAIN.
pub fn late_requests(seen: &[Seen], runs: &[Run], drained: f64, record: &Record) -> usize {
    let bound = drained + DRAIN_S + MARGIN_S;
    let (mut late, mut lost) = (0, 0);
    for request in seen.iter().flat_map(|s| &s.sent) {
        let Some(run) = runs.iter().find(|r| r.id == request.id) else { continue };
        if request.opened > bound && run.opened > bound {
            let answered = matches!(&request.end, Some((End::Answered, _)));
            (late, lost) = (late + 1, lost + usize::from(!answered));
            record.line(&format!(
                "VIOLATION DRAIN {}: opened {:.3} s after the acknowledgement, answered {answered}",
                run.id,
                request.opened - drained
            ));
        }
    }
    record.line(&format!(
        "{late} requests opened later than {DRAIN_S} s after the acknowledgement; {lost} of them \
         were lost when the backend ended"
    ));
    late
}
