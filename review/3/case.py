"""A target crashes and starts again at once. The agent forgets the flows that the new boot accepts before its first
announcement when that announcement arrives, and then reports them as certainly not held."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import CONTACT_S, HEARTBEAT_S, CannotRun, run_case, summary  # noqa: E402

ROUTE, SERVICE = ("127.198.0.1", 8080), "live1"
# The new boot sends its first announcement half a heartbeat interval after its start.
DOWN_S, FIRST_PING_S, OPENING_S = 0.15, HEARTBEAT_S / 2, 0.5


def case(bed):
    bed.start_all(bed.manifest(5, [(ROUTE, SERVICE)], [SERVICE]))
    time.sleep(4)
    target = bed.targets[0]
    if bed.trouble:
        target.crash()
        time.sleep(DOWN_S)
        target.start_boot(first_ping_s=FIRST_PING_S)
    restarted = time.monotonic()
    flows = bed.open_flows(ROUTE, OPENING_S)
    on_target = sum(f.host == target.host for f in flows)
    if on_target == 0:
        raise CannotRun(f"{len(flows)} flows were opened and answered, none of them on the target")
    # The consumers pause until the target and its machine have been undisturbed for longer than the contact time.
    time.sleep(max(0.0, restarted + CONTACT_S + 1.5 - time.monotonic()))
    outcomes = bed.use_flows(flows)
    print(f"{len(flows)} flows, {on_target} on the target that started again; second request: {summary(outcomes)}")
    return list(filter(None, map(bed.wrongly_reset, flows)))


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case, services={SERVICE: 7}))
