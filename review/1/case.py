"""A manifest moves a route to another service and no longer lists the former one, whose targets still hold open
flows of the route. Then one front is stopped as planned, and its flows reach the other front."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import APPLY_S, CONTACT_S, CannotRun, run_case, summary  # noqa: E402

ROUTE, OTHER_ROUTE = ("127.198.0.1", 8080), ("127.198.0.2", 8443)
FORMER, NEXT = "live1", "live2"
FLOWS = 60


def case(bed):
    bed.start_all(bed.manifest(5, [(ROUTE, FORMER), (OTHER_ROUTE, NEXT)], [FORMER, NEXT]))
    time.sleep(3)
    flows = bed.open_flows(ROUTE, 5, most=FLOWS)
    if len(flows) < FLOWS * 0.9:
        raise CannotRun(f"only {len(flows)} of {FLOWS} flows were opened and answered")
    if bed.trouble:
        status, text = bed.put_manifest(bed.manifest(9, [(ROUTE, NEXT), (OTHER_ROUTE, NEXT)], [NEXT]))
        if status != 200:
            raise CannotRun(f"the manifest got {status}: {text}")
    time.sleep(max(APPLY_S, CONTACT_S) + 0.5)
    bed.signal(bed.front_hosts[0], signal.SIGTERM)
    if not bed.wait_until(4, lambda: not bed.in_rotation[bed.front_hosts[0]]):
        raise CannotRun("the front that was stopped stayed in rotation")
    outcomes = bed.use_flows(flows)
    print(f"{len(flows)} flows; second request: {summary(outcomes)}")
    return list(filter(None, map(bed.wrongly_reset, flows)))


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case, services={FORMER: 4, NEXT: 3}))
