"""Starts the platform's programs as processes on loopback addresses, and plays the operator.

Only the behaviour that the users' pages describe is used: settings from the template's fields, `PUT` and `GET` of the
manifest with redirects, retries with another machine after a failure.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = ROOT / "target" / "platform"
TEMPLATE = ROOT / "deploy" / "settings.template"
# A case that has no result by then could not run; a run may take 120 s.
TIME_LIMIT_S = 115


class Unavailable(Exception):
    """The case cannot run on this machine."""


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def lookup(values, name):
    for part in name.split("."):
        if isinstance(values, list):
            values = values[int(part)] if int(part) < len(values) else None
        else:
            values = values.get(part) if isinstance(values, dict) else None
        if values is None:
            return None
    return values


def render(template, values):
    """Renders the placeholders and the inverted sections that `deploy/settings.template` uses."""
    def section(match):
        return "" if lookup(values, match[1]) else match[2]

    def placeholder(match):
        value = lookup(values, match[1])
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", placeholder, text)


def free_network(rng, ports):
    """Returns the first two bytes of a loopback network in which `ports` are free."""
    for _ in range(50):
        network = f"127.{rng.randint(64, 250)}"
        try:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                for port in ports:
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{network}.1.1", port))
            return network
        except OSError:
            continue
    raise Unavailable("no free loopback network")


class Deployment:
    """The machines of one run. All processes that it starts are ended by `close`."""

    def __init__(self, record, bounds, machines_lost, heartbeat_ms=770, seed=None):
        for role in ("core", "front", "side"):
            if not os.access(PROGRAMS / f"peridotcleat-{role}", os.X_OK):
                raise Unavailable("the programs of the deploy file are not built")
        self.rng = random.Random(seed)
        first = self.rng.randint(7000, 8900)
        self.message_port, self.http_port, self.data_port = first, first + 50, first + 60
        self.outbound_port, self.app_port, self.metrics_port = first + 70, first + 80, 9464
        self.network = free_network(self.rng, [first, first + 50, first + 60, first + 70, first + 80, 9464])
        self.record, self.bounds, self.machines_lost, self.heartbeat_ms = record, bounds, machines_lost, heartbeat_ms
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="peridotcleat-review-"))
        self.template = TEMPLATE.read_text()
        self.processes, self.settings, self.core_list = {}, {}, []
        self.lock = threading.Lock()

    # ---- machines ------------------------------------------------------------------------------------

    def seeds(self, hosts=None):
        return [f"{h}:{self.http_port}" for h in (hosts or self.core_list)[:3]]

    def write_settings(self, node, role, host, zone, seeds, bootstrap, **more):
        listen = {"DatagramAddr": f"{host}:{self.data_port}", "Ready": f"{host}:{self.http_port}"}
        if role == "side":
            listen = {"DatagramAddr": f"{host}:{self.data_port}", "Control": f"{host}:{self.http_port}",
                      "outbound": f"{host}:{self.outbound_port}"}
        elif role == "core":
            listen = {"Control": f"{host}:{self.http_port}"}
        values = {"Node": node, "Ip": host, "Zone": zone, "InternalPortRange": [self.message_port, self.message_port + 15],
                  "Seeds": seeds, "Bootstrap": bootstrap, "ListenAddrs": listen, "Bounds": self.bounds,
                  "HeartbeatIntervalMs": self.heartbeat_ms, "FaultTolerance": {"Machines": self.machines_lost},
                  "Limits": {"LinkMbps": 1000.0}, **more}
        path = self.folder / f"{node}.settings"
        path.write_text(render(self.template, values))
        self.settings[node] = (role, path)

    def launch(self, node):
        role, path = self.settings[node]
        with open(self.folder / f"{node}.log", "a") as log:
            self.processes[node] = subprocess.Popen(
                [str(PROGRAMS / f"peridotcleat-{role}")], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT,
                env={"PERIDOTCLEAT_SETTINGS": str(path), "PATH": os.environ["PATH"]})
        self.record.line(f"platform: start {node}")

    def start_core(self, node, host, zone, seeds, bootstrap):
        data = self.folder / f"data-{node}"
        data.mkdir(exist_ok=True)
        self.write_settings(node, "core", host, zone, seeds, bootstrap, DataDir=str(data))
        self.launch(node)

    def start_front(self, node, host, zone, seeds):
        self.write_settings(node, "front", host, zone, seeds, True)
        self.launch(node)

    def start_side(self, node, host, zone, seeds, service):
        self.write_settings(node, "side", host, zone, seeds, True, Service=service, app=f"{host}:{self.app_port}")
        self.launch(node)

    def stop(self, node, signal_number=signal.SIGTERM, grace=6.0):
        """Stops a process as the platform does: SIGTERM, then SIGKILL after the grace period."""
        self.record.line(f"platform: {signal.Signals(signal_number).name} to {node}")
        process = self.processes.pop(node)
        process.send_signal(signal_number)
        try:
            process.wait(grace)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait(5)
        self.record.line(f"platform: {node} has ended with {process.returncode}")

    def signal(self, node, signal_number):
        self.record.line(f"platform: {signal.Signals(signal_number).name} to {node}")
        self.processes[node].send_signal(signal_number)

    def ended(self):
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(5)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # ---- the operator --------------------------------------------------------------------------------

    def call(self, method, host, body=None, timeout=1.0):
        """One call of the operator's API at one machine; follows two redirects. Status 0: no response."""
        address = (host, self.http_port)
        path = "/api/config"
        for _ in range(3):
            connection = http.client.HTTPConnection(*address, timeout=timeout)
            try:
                connection.request(method, path, body, {"Content-Type": "application/json"})
                response = connection.getresponse()
                status, text = response.status, response.read().decode()
            except (OSError, http.client.HTTPException):
                return 0, ""
            finally:
                connection.close()
            if status != 307:
                return status, text
            location = re.fullmatch(r"http://([\d.]+):(\d+)(/.*)", response.headers["Location"])
            address, path = (location[1], int(location[2])), location[3]
        return 0, ""

    def order(self, body, limit, label):
        """Sends a manifest until it is acknowledged or refused, to one machine after the other, as the operator does.
        Returns the time of the ack, or None."""
        end = time.monotonic() + limit
        pause = 0.05
        self.record.line(f"operator: sends {label}")
        while time.monotonic() < end:
            host = self.rng.choice(self.core_list)
            status, _ = self.call("PUT", host, body)
            if status == 200:
                self.record.line(f"operator: {label} is acknowledged by way of {host}")
                return time.monotonic()
            if status in (400, 409, 412, 413, 422):
                self.record.line(f"operator: {label} is refused with {status} by way of {host}")
                return None
            time.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        self.record.line(f"operator: {label} has no ack after {limit} s")
        return None

    def read_back(self, limit, label):
        """Requests the manifest for `limit` seconds at all machines. Returns the answers with status 200, and the
        number of answers by status."""
        end = time.monotonic() + limit
        documents, statuses = [], {}
        self.record.line(f"operator: reads back ({label})")
        while time.monotonic() < end:
            status, text = self.call("GET", self.rng.choice(self.core_list))
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200:
                documents.append(text)
                if len(documents) == 5:
                    break
            time.sleep(0.1)
        versions = sorted({json.loads(d)["Version"] for d in documents})
        self.record.line(f"operator: read back ({label}): versions {versions}, answers by status {statuses}")
        return documents, statuses


def manifest(version, routes, services, timeout_ms=600, idle_ms=15000):
    """`routes` maps (host, port) to a service, or to a list of (service, weight)."""
    out = []
    for n, ((host, port), service) in enumerate(sorted(routes.items())):
        route = {"Name": f"r-{n}", "Host": host, "PathPrefix": f"/{port}/", "Type": "safe", "TimeoutMs": timeout_ms,
                 "TargetLatencyMs": 150, "Priority": 1, "MaxAttempts": 2}
        if isinstance(service, str):
            route["Service"] = service
        else:
            route["Backends"] = [{"Service": s, "Weight": w} for s, w in service]
        out.append(route)
    return json.dumps({"Version": version, "Routes": out, "Services": [
        {"Name": s, "HealthCheckPath": "/health", "MaxConnections": 2000, "Protocol": "h1", "Tls": False}
        for s in services], "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                                       "IdleTimeoutMs": idle_ms}})


def main(case, folder):
    """Runs `case(record, trouble)`, which returns true if the rule held. Returns the exit code."""
    record = Record(pathlib.Path(folder) / "record.txt")

    def give_up(number, _):
        # `Deployment.close` then ends the processes that were started.
        record.line(f"could not run: {signal.Signals(number).name}")
        sys.exit(2)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(TIME_LIMIT_S)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = case(record, trouble)
    except Unavailable as e:
        record.line(f"could not run: {e}")
        print(f"could not run: {e}")
        return 2
    record.line("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
