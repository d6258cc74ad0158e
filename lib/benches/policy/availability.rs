//! Availability of requests that run at most once, while a witness can't vote.

use std::time::Duration;

use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::world::Call;
use lagoonhollow_testutils::world::World;

const REPORTS: u16 = 600;
const LIFETIME: Duration = Duration::from_secs(20);

/// A fault of a service while callers send reports.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// No fault.
    None,
    /// One agent is down.
    Down,
    /// One agent has just been restarted; its peers were up all the time.
    Recovering,
    /// All agents were started together and have lost their grants.
    AllStarted,
    /// One agent does not reach its peers, but callers reach it.
    CutOff,
    /// Two agents are down.
    TwoDown,
}

/// Shares of the reports by the outcome that their callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shares {
    pub done: f64,
    pub not_run: f64,
    pub unknown: f64,
    pub unanswered: f64,
}

impl Fault {
    pub const ALL: [Self; 6] =
        [Self::None, Self::Down, Self::Recovering, Self::AllStarted, Self::CutOff, Self::TwoDown];

    fn begin(self, world: &mut World, names: &[Name]) {
        match self {
            Self::None => {}
            Self::Down => world.kill(&names[0]),
            Self::Recovering => world.restart(&names[0]),
            Self::AllStarted => names.iter().for_each(|n| world.restart(n)),
            Self::CutOff => names[1..].iter().for_each(|n| world.cut(&names[0], n, true)),
            Self::TwoDown => names[..2].iter().for_each(|n| world.kill(n)),
        }
    }
}

/// Returns the outcomes of reports to a service with `members` backend servers.
pub fn measure(members: u16, fault: Fault) -> Shares {
    let mut doc = docs::numbered(0, members);
    doc.lifetime = LIFETIME;
    let names = docs::names(&doc);
    let address = doc.address;
    let mut world = World::open(u64::from(members), 3, vec![doc]);
    world.run(LIFETIME * 3);
    fault.begin(&mut world, &names);
    // By then the fault is detected, but far from over.
    world.run(Duration::from_secs(4));
    for i in 0..REPORTS {
        let flow = world.flow(Protocol::Udp, i, address);
        world.post(flow, "report");
        world.run(Duration::from_millis(5));
    }
    world.run(LIFETIME);
    let share = |fits: fn(&Call) -> bool| world.calls.count(fits) as f64 / f64::from(REPORTS);
    Shares {
        done: share(|c| c.outcome() == Some(Code::Content)),
        not_run: share(|c| matches!(c.outcome(), Some(Code::NotRun(_)))),
        unknown: share(|c| matches!(c.outcome(), Some(Code::Unknown(_)))),
        unanswered: share(|c| c.outcome().is_none()),
    }
}
