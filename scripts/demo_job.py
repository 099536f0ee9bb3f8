#!/usr/bin/env python3
"""Runs the whole path as separate processes on loopback and counts what callers and upstreams saw.

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
        self.start = time.monotonic()

    def say(self, text):
        print(f"[{time.monotonic() - self.start:6.2f}] {text}", flush=True)

    def check(self, what, good):
        if not good:
            self.failures.append(what)
        self.say(f"{'ok' if good else 'FAILED'}: {what}")

    def expect(self, what, limit, condition):
        self.check(f"{what} (limit {limit} s)", self.wait(limit, condition) is not None)

    def bring_up(self):
        for i in range(local_cluster.CONTROL_COUNT):
            self.start_control(i)
        self.expect("control has a leader", 15, lambda: self.command("describe", "--timeout", "1")[0] == 0)
        for i in range(3):
            self.start_balancer(i)
        self.start_fabric()
        for i in range(len(local_cluster.UPSTREAMS)):
            self.start_upstream(i)
        code, answer = self.patch("first-services", 0, [
            {"add": {"name": name, "addresses": [address]}} for name, address in self.services.items()])
        self.check(f"patch accepted: {answer}", code == 0 and answer["status"] == "accepted")
        self.expect("version 1 is in force everywhere", 14, lambda: self.in_force(1))
        self.expect("all upstreams have announced themselves", 15,
                    lambda: len(self.upstreams()) == len(local_cluster.UPSTREAMS))

    def replace_balancer(self):
        self.stop("balancer-2", signal.SIGKILL)
        self.balancers.remove(f"{self.net}.2.3:7001")
        self.say("killed balancer-2")
        time.sleep(0.5)
        self.tell_fabric()
        self.start_balancer(3)
        added = self.balancers.pop()
        status = lambda: self.http("GET", f"{self.net}.2.4:7100", "/status")[1]
        time.sleep(0.5)
        self.expect("balancer-3 is ready", 10, lambda: '"ready":true' in status())
        self.balancers.append(added)
        self.tell_fabric()

    def disturb(self):
        time.sleep(2)
        self.replace_balancer()
        code, text = self.command("drain", "calendar-b")
        self.check(f"drain accepted: {text}", code == 0)
        change = self.change("calendar-sync", queue_per_slot=6)
        code, answer = self.patch("longer-queue", 1, change)
        self.check(f"patch accepted: {answer}", code == 0 and answer["status"] == "accepted")
        code, answer = self.patch("longer-queue", 1, change)
        self.check(f"resend: {answer}", answer["status"] == "already_accepted" and answer["version"] == 2)
        code, answer = self.patch("late-operator", 1, change)
        self.check(f"racing patch: {answer}", answer["status"] == "conflict" and answer["version"] == 2)
        self.expect("version 2 is in force everywhere", 14, lambda: self.in_force(2))
        leader = self.leader()
        self.stop(leader, signal.SIGKILL)
        self.say(f"killed {leader}, the leading control process")
        code, answer = self.patch("after-failover", 2, self.change("chart-rendering", queue_per_slot=8))
        self.check(f"patch after failover: {answer}", code == 0 and answer["status"] == "accepted")
        self.start_control(int(leader[-1]))
        self.expect("version 3 is in force everywhere", 14, lambda: self.in_force(3))

    def finish(self):
        for service in self.services:
            p = self.processes.pop(f"caller-{service}")
            try:
                self.check(f"callers of {service} ended", p.wait(30) == 0)
            except subprocess.TimeoutExpired:
                p.kill()
                self.check(f"callers of {service} ended", False)
        self.say(f"status: {self.command('status')[1]}")

    def run(self):
        versions = 0
        try:
            self.bring_up()
            if not self.failures:
                self.start_callers(self.seconds)
                self.disturb()
                self.finish()
            code, text = self.command("describe")
            versions = json.loads(text)["version"] if code == 0 else 0
        finally:
            total = self.totals(show=True)
            self.failures += self.broken_promises(total)
            if total["answered"] < 0.95 * total["requests"] or total["requests"] == 0:
                self.failures.append("fewer than 95 % of the requests were answered")
            self.end(keep_logs=bool(self.failures))
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
