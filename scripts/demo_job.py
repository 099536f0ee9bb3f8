#!/usr/bin/env python3
"""Runs all programs as separate processes on loopback and checks the results of callers and upstreams.

While flows are open, one balancer is killed and one is added, one upstream is drained, the leading control
process is killed, and patches are accepted, resent and refused. The last line gives the result; the exit code
is 0 only for result=pass.
"""

import argparse
import json
import signal
import subprocess
import sys
import time

import local_cluster


class Job(local_cluster.LocalCluster):
    def __init__(self, options):
        super().__init__(options.bin, options.seed, options.net)
        self.seconds = options.seconds
        self.failures = []
        self.start_time = time.monotonic()

    def log(self, text):
        print(f"[{time.monotonic() - self.start_time:6.2f}] {text}", flush=True)

    def check(self, description, passed):
        if not passed:
            self.failures.append(description)
        self.log(f"{'ok' if passed else 'FAILED'}: {description}")

    def expect_within(self, description, limit, condition):
        self.check(f"{description} (limit {limit} s)", self.wait_until(limit, condition) is not None)

    def start_cluster(self):
        for i in range(local_cluster.CONTROL_COUNT):
            self.start_control(i)
        self.expect_within("control processes have a leader", 15,
                           lambda: self.command("describe", "--timeout", "1")[0] == 0)
        for i in range(3):
            self.start_balancer(i)
        self.start_fabric()
        for i in range(len(local_cluster.UPSTREAMS)):
            self.start_upstream(i)
        code, answer = self.patch("first-services", 0, [
            {"add": {"name": name, "addresses": [address]}} for name, address in self.services.items()])
        self.check(f"patch accepted: {answer}", code == 0 and answer["status"] == "accepted")
        self.expect_within("version 1 is in force everywhere", 14, lambda: self.in_force(1))
        self.expect_within("all upstreams have announced themselves", 15,
                           lambda: len(self.upstreams()) == len(local_cluster.UPSTREAMS))

    def replace_balancer(self):
        """Kills balancer-2 and adds balancer-3, which the fabric uses only once it is ready."""
        self.stop("balancer-2", signal.SIGKILL)
        self.balancers.remove(f"{self.net}.2.3:7001")
        self.log("killed balancer-2")
        time.sleep(0.5)
        self.update_fabric()
        self.start_balancer(3)
        added_address = self.balancers.pop()
        status = lambda: self.http("GET", f"{self.net}.2.4:7100", "/status")[1]
        time.sleep(0.5)
        self.expect_within("balancer-3 is ready", 10, lambda: '"ready":true' in status())
        self.balancers.append(added_address)
        self.update_fabric()

    def run_failures_and_changes(self):
        """Kills and replaces processes, drains an upstream and submits patches while the callers send requests."""
        time.sleep(2)
        self.replace_balancer()
        code, text = self.command("drain", "calendar-b")
        self.check(f"drain accepted: {text}", code == 0)
        operations = self.change_operations("calendar-sync", queue_per_slot=6)
        code, answer = self.patch("longer-queue", 1, operations)
        self.check(f"patch accepted: {answer}", code == 0 and answer["status"] == "accepted")
        code, answer = self.patch("longer-queue", 1, operations)
        self.check(f"resent patch not applied again: {answer}",
                   answer["status"] == "already_accepted" and answer["version"] == 2)
        code, answer = self.patch("late-operator", 1, operations)
        self.check(f"patch on an old base version refused: {answer}",
                   answer["status"] == "conflict" and answer["version"] == 2)
        self.expect_within("version 2 is in force everywhere", 14, lambda: self.in_force(2))
        leader = self.leader()
        self.stop(leader, signal.SIGKILL)
        self.log(f"killed {leader}, the leading control process")
        code, answer = self.patch("after-failover", 2, self.change_operations("chart-rendering", queue_per_slot=8))
        self.check(f"patch accepted after the failover: {answer}", code == 0 and answer["status"] == "accepted")
        self.start_control(int(leader[-1]))
        self.expect_within("version 3 is in force everywhere", 14, lambda: self.in_force(3))

    def await_callers(self):
        for service in self.services:
            p = self.processes.pop(f"caller-{service}")
            try:
                self.check(f"callers of {service} ended", p.wait(30) == 0)
            except subprocess.TimeoutExpired:
                p.kill()
                self.check(f"callers of {service} ended", False)
        self.log(f"status: {self.command('status')[1]}")

    def run(self):
        versions = 0
        try:
            self.start_cluster()
            if not self.failures:
                self.start_callers(self.seconds)
                self.run_failures_and_changes()
                self.await_callers()
            code, text = self.command("describe")
            versions = json.loads(text)["version"] if code == 0 else 0
        finally:
            total = self.totals(show=True)
            self.failures += self.violated_guarantees(total)
            if total["answered"] < 0.95 * total["requests"] or total["requests"] == 0:
                self.failures.append("fewer than 95 % of the requests were answered")
            self.shut_down(keep_logs=bool(self.failures))
        for failure in self.failures:
            print(f"failure: {failure}")
        if self.failures:
            print(f"logs: {self.folder}")
        print(f"result={'fail' if self.failures else 'pass'} requests={total['requests']} "
              f"answered={total['answered']} broken_flows={total['broken_flows']} "
              f"wrong_service={total['wrong_service']} applied_twice={total['applied_twice']} "
              f"short_answers={total['short_answers']} versions={versions} seed={self.seed}")
        return 1 if self.failures else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/src", help="folder of the programs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=22, help="time during which callers send requests")
    parser.add_argument("--net", type=int, default=0, help="second byte of the loopback addresses")
    return Job(parser.parse_args()).run()


if __name__ == "__main__":
    sys.exit(main())
