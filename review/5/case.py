"""A target starts while the clock of its machine is ahead, the clock is set back, and the agent beside the target is
killed. The next agent takes the target for one that has just started and denies the flows that the target holds."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import CONTACT_S, CannotRun, run_case, summary  # noqa: E402

ROUTE, SERVICE = ("127.198.0.1", 8080), "live1"
CLOCK_STEP_S, KILLED_AFTER_S, AGENT_DOWN_S = 2.0, 1.8, 0.2


def case(bed):
    target = bed.targets[0]
    bed.start_all(bed.manifest(5, [(ROUTE, SERVICE)], [SERVICE]), later=[target])
    time.sleep(4)
    # Only the target's `born` shows that the clock was ahead; it is back before the agent is killed.
    target.clock_ahead_s = CLOCK_STEP_S if bed.trouble else 0.0
    target.start_boot()
    started = time.monotonic()
    flows = bed.open_flows(ROUTE, KILLED_AFTER_S, most=150)
    time.sleep(max(0.0, started + KILLED_AFTER_S - time.monotonic()))
    on_target = sum(f.host == target.host for f in flows)
    if on_target == 0:
        raise CannotRun(f"{len(flows)} flows were opened and answered, none of them on the target")
    if bed.trouble:
        bed.signal(target.host, signal.SIGKILL)
        bed.wait_end(target.host)
        time.sleep(AGENT_DOWN_S)
        bed.start(target.host)
    time.sleep(CONTACT_S + 2)
    outcomes = bed.use_flows(flows)
    print(f"{len(flows)} flows, {on_target} on the target whose agent was killed; second request: {summary(outcomes)}")
    return list(filter(None, map(bed.wrongly_reset, flows)))


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case, services={SERVICE: 7}))
