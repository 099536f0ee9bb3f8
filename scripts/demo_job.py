#!/usr/bin/env python3
"""Runs the whole path as separate processes on loopback and counts what callers and upstreams saw.

While flows are open, one balancer is killed and one is added, one upstream is drained, the leading control
process is killed, and patches are accepted, resent and refused. The last line gives the result; the exit code
is 0 only for result=pass.
"""

import argparse
import collections
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

CONTROL_COUNT = 3
SERVICES = {
    "calendar-sync": "127.0.10.1:5000",
    "chart-rendering": "127.0.10.2:5000",
}
UPSTREAMS = [
    # name, service, zone, slots
    ("calendar-a", "calendar-sync", "recife", 7),
    ("calendar-b", "calendar-sync", "fortaleza", 7),
    ("calendar-c", "calendar-sync", "recife", 7),
    ("chart-a", "chart-rendering", "recife", 7),
    ("chart-b", "chart-rendering", "fortaleza", 7),
]
ZONES = ["recife", "fortaleza"]


class Job:
    def __init__(self, options):
        self.bin = pathlib.Path(options.bin)
        self.seed = options.seed
        self.seconds = options.seconds
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="peridotcleat-demo-"))
        self.processes = {}
        self.failures = []
        self.controls = [f"127.0.1.{i + 1}:7100" for i in range(CONTROL_COUNT)]
        self.balancers = []

    def say(self, text):
        print(f"[{time.monotonic() - self.start:6.2f}] {text}", flush=True)

    def check(self, what, good):
        if not good:
            self.failures.append(what)
        self.say(f"{'ok' if good else 'FAILED'}: {what}")

    def launch(self, name, program, *arguments):
        log = open(self.folder / f"{name}.log", "a")
        path = next(p for p in [self.bin / program.removeprefix("peridotcleat-") / program,
                                self.bin / "standin" / program] if p.exists())
        self.processes[name] = subprocess.Popen(
            [str(path), *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self.processes[name]

    def command(self, *arguments, control=None):
        done = subprocess.run(
            [str(self.bin / "peridotcleat" / "peridotcleat"), *arguments,
             "--control", control or ",".join(self.controls)],
            capture_output=True, text=True, timeout=40, check=False)
        return done.returncode, done.stdout.strip() or done.stderr.strip()

    def stop(self, name, how):
        p = self.processes.pop(name)
        p.send_signal(how)
        if how == signal.SIGKILL:
            p.wait(10)
        return p

    # ---- starting --------------------------------------------------------------------------------------

    def start_control(self, i):
        peers = ",".join(f"control-{n}=127.0.1.{n + 1}:7000" for n in range(CONTROL_COUNT))
        data = self.folder / f"control-{i}"
        data.mkdir(exist_ok=True)
        self.launch(f"control-{i}", "peridotcleat-control", "--name", f"control-{i}", "--zone", ZONES[i % 2],
                    "--listen", f"127.0.1.{i + 1}:7000", "--admin", f"127.0.1.{i + 1}:7100", "--peers", peers,
                    "--data-folder", str(data), "--bootstrap", "--seed", str(self.seed + i))

    def start_balancer(self, i):
        parents = ",".join(f"127.0.1.{n + 1}:7000" for n in range(CONTROL_COUNT))
        self.launch(f"balancer-{i}", "peridotcleat-balancer", "--name", f"balancer-{i}", "--zone", ZONES[i % 2],
                    "--listen", f"127.0.2.{i + 1}:7000", "--data", f"127.0.2.{i + 1}:7001",
                    "--admin", f"127.0.2.{i + 1}:7100", "--parents", parents, "--seed", str(self.seed + 10 + i))
        self.balancers.append(f"127.0.2.{i + 1}:7001")

    def start_upstream(self, i):
        name, service, zone, slots = UPSTREAMS[i]
        # Agents take the table from the balancers of their zone; the others are a fallback.
        order = sorted(range(4), key=lambda n: ZONES[n % 2] != zone)
        parents = ",".join(f"127.0.2.{n + 1}:7000" for n in order)
        self.launch(f"agent-{name}", "peridotcleat-agent", "--name", name, "--zone", zone,
                    "--listen", f"127.0.3.{i + 1}:7000", "--admin", f"127.0.3.{i + 1}:7100",
                    "--parents", parents, "--fabric", "127.0.4.1:7300", "--ramp-ms", "1000",
                    "--seed", str(self.seed + 20 + i))
        self.launch(f"upstream-{name}", "peridotcleat-upstream", "--service", service,
                    "--listen", f"127.0.3.{i + 1}:7200", "--agent", f"127.0.3.{i + 1}:7100",
                    "--applied", str(self.folder / f"applied-{name}"), "--slots", str(slots),
                    "--cold-ms", "500", "--shed-every", "97")

    def start_fabric(self):
        self.launch("fabric", "peridotcleat-fabric", "--services", ",".join(SERVICES.values()),
                    "--balancers", ",".join(self.balancers), "--returns", "127.0.4.1:7300",
                    "--admin", "127.0.4.1:7400", "--seed", str(self.seed))

    def tell_fabric(self):
        request = urllib.request.Request("http://127.0.4.1:7400/balancers", method="POST",
                                         data=json.dumps({"balancers": self.balancers}).encode())
        urllib.request.urlopen(request, timeout=5).read()

    def start_callers(self):
        for n, (service, address) in enumerate(SERVICES.items()):
            self.launch(f"caller-{service}", "peridotcleat-caller", "--service", address, "--name", service,
                        "--local", f"127.0.{5 + n}.1:10000", "--summary", str(self.folder / f"summary-{service}"),
                        "--callers", "40", "--seconds", str(self.seconds), "--interval-ms", "200",
                        "--seed", str(self.seed + n))

    # ---- waiting ---------------------------------------------------------------------------------------

    def wait(self, what, limit, condition):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                self.say(f"ok: {what}")
                return True
            time.sleep(0.1)
        self.failures.append(what)
        self.say(f"FAILED: {what} within {limit} s")
        return False

    def upstreams(self):
        code, text = self.command("upstreams", "--json")
        return json.loads(text)["upstreams"] if code == 0 else []

    def patch(self, patch_id, base, operations):
        file = self.folder / f"{patch_id}.json"
        file.write_text(json.dumps({"patch_id": patch_id, "base": base, "operations": operations}))
        code, text = self.command("patch", str(file))
        try:
            return code, json.loads(text.splitlines()[0])
        except (ValueError, IndexError):
            return code, {"status": text}

    def in_force(self, version):
        return self.command("status", str(version))[0] == 0

    # ---- the job ---------------------------------------------------------------------------------------

    def bring_up(self):
        for i in range(CONTROL_COUNT):
            self.start_control(i)
        self.wait("control has a leader", 15, lambda: self.command("describe", "--timeout", "1")[0] == 0)
        for i in range(3):
            self.start_balancer(i)
        self.start_fabric()
        for i in range(len(UPSTREAMS)):
            self.start_upstream(i)
        code, answer = self.patch("first-services", 0, [
            {"add": {"name": name, "addresses": [address]}} for name, address in SERVICES.items()])
        self.check(f"patch accepted: {answer}", code == 0 and answer["status"] == "accepted")
        self.wait("version 1 is in force everywhere", 15, lambda: self.in_force(1))
        self.wait("all upstreams have announced themselves", 15, lambda: len(self.upstreams()) == len(UPSTREAMS))

    def disturb(self):
        time.sleep(2)
        self.stop("balancer-2", signal.SIGKILL)
        self.balancers.remove("127.0.2.3:7001")
        self.say("killed balancer-2")
        time.sleep(0.5)
        self.tell_fabric()
        self.start_balancer(3)
        added = self.balancers.pop()
        time.sleep(1.5)
        self.balancers.append(added)
        self.tell_fabric()
        self.say("added balancer-3")
        code, text = self.command("drain", "calendar-b")
        self.check(f"drain accepted: {text}", code == 0)
        change = [{"change": {"name": "calendar-sync", "addresses": [SERVICES["calendar-sync"]],
                              "queue_per_slot": 6}}]
        code, answer = self.patch("longer-queue", 1, change)
        self.check(f"patch accepted: {answer}", code == 0 and answer["status"] == "accepted")
        code, answer = self.patch("longer-queue", 1, change)
        self.check(f"resend: {answer}", answer["status"] == "already_accepted" and answer["version"] == 2)
        code, answer = self.patch("late-operator", 1, change)
        self.check(f"racing patch: {answer}", answer["status"] == "conflict" and answer["version"] == 2)
        self.wait("version 2 is in force everywhere", 14, lambda: self.in_force(2))
        leader = self.leader()
        self.stop(leader, signal.SIGKILL)
        self.say(f"killed {leader}, the leading control process")
        code, answer = self.patch("after-failover", 2, [
            {"change": {"name": "chart-rendering", "addresses": [SERVICES["chart-rendering"]],
                        "queue_per_slot": 8}}])
        self.check(f"patch after failover: {answer}", code == 0 and answer["status"] == "accepted")
        self.start_control(int(leader[-1]))
        self.wait("version 3 is in force everywhere", 14, lambda: self.in_force(3))

    def leader(self):
        for i, control in enumerate(self.controls):
            code, text = self.command("members", "--json", "--timeout", "2", control=control)
            if code == 0 and json.loads(text).get("leading"):
                return f"control-{i}"
        return "control-0"

    def finish(self):
        for service in SERVICES:
            p = self.processes.pop(f"caller-{service}")
            try:
                self.check(f"callers of {service} ended", p.wait(30) == 0)
            except subprocess.TimeoutExpired:
                p.kill()
                self.check(f"callers of {service} ended", False)
        code, text = self.command("status")
        self.say(f"status: {text}")

    def totals(self):
        applied = collections.Counter()
        wrong_service = 0
        for name, service, _, _ in UPSTREAMS:
            file = self.folder / f"applied-{name}"
            for line in file.read_text().splitlines() if file.exists() else []:
                _, method, body = line.split(" ", 2)
                wrong_service += 0 if body.startswith(service + ":") else 1
                if method == "note":
                    applied[body] += 1
        total = collections.Counter()
        for service in SERVICES:
            file = self.folder / f"summary-{service}"
            seen = json.loads(file.read_text()) if file.exists() else {}
            total.update({k: v for k, v in seen.items() if isinstance(v, int)})
            total["lost"] += sum(1 for body in seen.get("answered_notes", []) if applied[body] == 0)
            total["false_not_run"] += sum(1 for body in seen.get("refused_notes", []) if applied[body] > 0)
            shown = " ".join(f"{k}={v}" for k, v in seen.items() if isinstance(v, int))
            print(f"service={service} {shown} reasons={json.dumps(seen.get('reasons', {}))}")
        total["wrong_service"] = wrong_service
        total["applied_twice"] = sum(1 for n in applied.values() if n > 1)
        return total

    def end_processes(self):
        for name in sorted(self.processes, key=lambda n: not n.startswith("upstream")):
            self.processes[name].send_signal(signal.SIGTERM)
        end = time.monotonic() + 8
        for p in self.processes.values():
            try:
                p.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                p.kill()

    def run(self):
        self.start = time.monotonic()
        versions = 0
        try:
            self.bring_up()
            if not self.failures:
                self.start_callers()
                self.disturb()
                self.finish()
            code, text = self.command("describe")
            versions = json.loads(text)["version"] if code == 0 else 0
        finally:
            self.end_processes()
        total = self.totals()
        zero = ["broken_flows", "wrong_service", "applied_twice", "short_answers", "lost", "false_not_run"]
        for name in zero:
            if total[name]:
                self.failures.append(f"{name}={total[name]}")
        if total["answered"] < 0.95 * total["requests"] or total["requests"] == 0:
            self.failures.append("fewer than 95 % of the requests were answered")
        for failure in self.failures:
            print(f"failure: {failure}")
        result = "fail" if self.failures else "pass"
        if self.failures:
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder)
        print(f"result={result} requests={total['requests']} answered={total['answered']} "
              f"broken_flows={total['broken_flows']} wrong_service={total['wrong_service']} "
              f"applied_twice={total['applied_twice']} short_answers={total['short_answers']} "
              f"versions={versions} seed={self.seed}")
        return 1 if self.failures else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/src")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=22)
    return Job(parser.parse_args()).run()


if __name__ == "__main__":
    os.environ["LC_ALL"] = "C"
    sys.exit(main())
