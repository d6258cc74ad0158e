//! Backend servers whose present run has not registered itself when their agents start.

use std::time::Duration;

use lagoonhollow_lib::request::warm_up::Allowance;
use lagoonhollow_lib::version::service::WarmUp;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 10;
const SINGLE_REQUEST: Plan = Plan {
    requests: 1,
    pause: Duration::ZERO,
    work: Duration::from_millis(5),
    deadline: Duration::from_secs(12),
};
/// A limit of 17 opening packets a second for 5 s.
const WARM_UP: WarmUp = WarmUp { period: Duration::from_secs(5), rate: 8.0 };
const ALLOWANCE: Allowance = Allowance { overage: 1.5, slack: 5.0 };
const LIMIT: usize = 17;

// An agent that starts beside a new run reads the entry of the earlier one, which says that it
// is warm, as long as the store is out of reach of the new run.
#[test]
fn an_agent_that_starts_beside_an_unregistered_run_keeps_its_warm_up_limit() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, 3, &[("alarm", 4)]);
        world.limit_warm_up(WARM_UP, ALLOWANCE);
        world.run(SECOND * 6);
        (0..4).for_each(|i| world.backends[i].member.warming = Duration::ZERO);
        (0..4).for_each(|i| world.register(i));
        world.run(SECOND);
        world.crash(0, true);
        world.kill_agent(0);
        world.run(Duration::from_millis(300));
        world.start_run(0);
        let (name, now) = (world.backends[0].member.name.clone(), world.now);
        world.checks.record_cold(&name, LIMIT, now, now + WARM_UP.period);
        world.run(Duration::from_millis(38));
        world.start_agent(0, false);
        for i in 0..1_000 {
            world.call(0, SINGLE_REQUEST, Duration::from_millis(4 * i));
        }
        world.run(SECOND * 8);
        assert_eq!(world.checks.violations.first(), None, "seed {seed}");
    }
}
