//! Repeats one decision, to be run under a tool that counts instructions:
//! `steps WHAT SIZE COUNT` with WHAT one of route, services, open, grant,
//! enforce, tick, and for packets hinted, opened, placed, delivered.

#[path = "../benches/speed/packets.rs"]
mod packets;
#[path = "../benches/speed/steps.rs"]
mod steps;

use std::process::ExitCode;

use steps::Step;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [what, size, count] = arguments.as_slice() else {
        eprintln!("usage: steps WHAT SIZE COUNT");
        return ExitCode::from(2);
    };
    let (Ok(size), Ok(count)) = (size.parse::<u16>(), count.parse::<u32>()) else {
        eprintln!("steps: SIZE and COUNT must be numbers");
        return ExitCode::from(2);
    };
    let mut step = match what.as_str() {
        "route" => Step::route(1, size),
        "services" => Step::route(size, 4),
        "open" => Step::open_flow(size),
        "grant" => Step::grant(size),
        "enforce" => Step::enforce(size),
        "tick" => Step::tick(size.into()),
        "hinted" => packets::hinted(size),
        "opened" => packets::opened(size),
        "placed" => packets::placed(size),
        "delivered" => packets::delivered(size),
        _ => {
            eprintln!("steps: unknown decision {what:?}");
            return ExitCode::from(2);
        }
    };
    (0..count).for_each(|_| step.run());
    ExitCode::SUCCESS
}
