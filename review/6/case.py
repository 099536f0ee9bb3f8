"""Two control machines are replaced at once, and a third one 20 s later. See claim.txt.

With the argument `planned` the deployment is a small one, which bears the loss of one machine: all successors run before
the first machine is stopped, and the second one is stopped 2 s after the first.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import platform2  # noqa: E402

BOUNDS = {"CatchUpS": 6, "ContactMs": 5000, "AckMs": 6000, "ConfigApplyMs": 4000, "DrainMs": 4000, "GraceS": 6,
          "RecoveryS": 15, "MaxFlowS": 60}
ZONES = ["recife-a", "fortaleza-b", "salvador-c"]
PLANNED = sys.argv[1:] == ["planned"]
MACHINES_LOST = 1 if PLANNED else 2
CORE_MACHINES = 5 if PLANNED else 9
SERVICES = ["calendar-live", "chart-render"]


def case(record, trouble):
    d = platform2.Deployment(record, BOUNDS, MACHINES_LOST)
    routes = {(f"{d.network}.9.1", 8080): SERVICES[0]}

    def body(version):
        return platform2.manifest(version, routes, SERVICES, timeout_ms=600 + version)

    def start_new(numbers):
        """Empty machines come at other addresses."""
        for n in numbers:
            d.start_core(f"core-{n}", f"{d.network}.1.{n}", ZONES[n % 3], d.seeds(), False)
            d.core_list.append(f"{d.network}.1.{n}")

    def replace(gone, new):
        """The machines `gone` are removed for good; `new`, as many, come 1 s later unless they run already."""
        for n in gone:
            d.stop(f"core-{n}")
            d.core_list.remove(f"{d.network}.1.{n}")
            if PLANNED and n != gone[-1]:
                time.sleep(2)
        if not PLANNED:
            time.sleep(1)
            start_new(new)

    try:
        hosts = [f"{d.network}.1.{n}" for n in range(1, CORE_MACHINES + 1)]
        d.core_list = list(hosts)
        for n, host in enumerate(hosts, 1):
            d.start_core(f"core-{n}", host, ZONES[n % 3], d.seeds(hosts), True)
        if d.order(body(3), 20, "version 3") is None:
            raise platform2.Unavailable("the first manifest was not acknowledged")
        if PLANNED:
            start_new([11, 12, 13])
        time.sleep(10)
        if trouble:
            replace([1, 2], [11, 12])
        time.sleep(20)
        # Both successors have run for more than three times CatchUpS: nothing counts as lost any more.
        if d.order(body(7), 15, "version 7") is None:
            return False
        if trouble:
            replace([3], [13])
        time.sleep(20)
        # One machine was lost, and its successor has run for more than RecoveryS.
        acknowledged = d.order(body(12), 15, "version 12") is not None
        documents, _ = d.read_back(10, "end of the day")
        return acknowledged and bool(documents) and all(t == body(12) for t in documents)
    finally:
        d.close()


sys.exit(platform2.main(case, FOLDER))
