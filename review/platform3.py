"""Starts the programs of the deploy file on loopback addresses, with settings made from its template, and plays the
parts of the platform, the operator and the targets that the cases need."""
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
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
MESSAGE, HTTP, DATA, OUTBOUND, APP, READY = "message", "http", "data", "outbound", "app", "ready"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def render(template, values):
    """Fills in the placeholders that the settings template uses: values, and sections for absent values."""
    def find(name):
        v = values
        for part in name.split("."):
            if isinstance(v, list):
                v = v[int(part)] if int(part) < len(v) else None
            else:
                v = v.get(part) if isinstance(v, dict) else None
        return v

    def text(v):
        if v is None:
            return ""
        if isinstance(v, bool):
            return "true" if v else "false"
        return ",".join(str(x) for x in v) if isinstance(v, list) else str(v)
    out = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: "" if find(m[1]) else m[2], template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(find(m[1])), out)


def deploy_commands():
    text = (ROOT / "deploy/system.toml").read_text()
    return {m[1]: m[2] for m in re.finditer(r'\[roles\.(\w+)\]\s*run = "([^"]+)"', text)}


def run_case(main):
    """Ends with 2 if the case could not run: after an error of its own, or when it is stopped."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        result = main()
    except Exception:
        traceback.print_exc()
        result = 2
    sys.exit(result)


class Record:
    def __init__(self, path):
        self.file, self.start, self.lock = open(path, "w"), time.monotonic(), threading.Lock()

    def __call__(self, line):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f} {line}\n")
            self.file.flush()


class Platform:
    """The machines of a small deployment. A host is one loopback address; ports are the same on all of them."""

    def __init__(self, record, losses=1, settings=None, bounds=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="peridotcleat-review-"))
        self.prefix, self.ports = self._free_network()
        self.commands, self.processes, self.settings = deploy_commands(), {}, {}
        self.template = (ROOT / "deploy/settings.template").read_text()
        self.losses, self.extra, self.seeds = losses, settings or {}, []
        self.bounds = {"ConfigApplyMs": 3000, "MaxFlowS": 60, "GraceS": 6, **(bounds or {})}

    @staticmethod
    def _free_network():
        for _ in range(50):
            prefix, base = f"127.{random.randint(2, 250)}", random.randint(20000, 30000)
            ports = {name: base + n for n, name in enumerate((MESSAGE, HTTP, DATA, OUTBOUND, APP, READY))}
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for port in ports.values():
                        with socket.socket(socket.AF_INET, kind) as s:
                            s.bind((f"{prefix}.1.1", port))
                return prefix, ports
            except OSError:
                continue
        raise OSError("no free ports")

    def host(self, group, number):
        return f"{self.prefix}.{group}.{number}"

    def configure(self, role, host, zone, service=None, bootstrap=False):
        p = self.ports
        listen = {"core": {"Control": HTTP}, "front": {"DatagramAddr": DATA, "Ready": READY},
                  "side": {"DatagramAddr": DATA, "outbound": OUTBOUND, "Control": HTTP}}[role]
        values = {"Node": f"{role}-{host}", "Zone": zone, "Ip": host, "InternalPortRange": [p[MESSAGE], p[MESSAGE] + 15],
                  "Seeds": self.seeds, "Bootstrap": bootstrap, "Bounds": self.bounds, "HeartbeatIntervalMs": 1200,
                  "FaultTolerance": {"Machines": self.losses}, "Limits": {"LinkMbps": 1000.0},
                  "ListenAddrs": {k: f"{host}:{p[v]}" for k, v in listen.items()}, **self.extra}
        if role == "core":
            values["DataDir"] = str(self.folder / f"data-{host}")
        if role == "side":
            values.update(Service=service, app=f"{host}:{p[APP]}")
        self.settings[host] = (role, values)

    def start(self, host):
        role, values = self.settings[host]
        if "DataDir" in values:
            pathlib.Path(values["DataDir"]).mkdir(exist_ok=True)
        path = self.folder / f"{host}.settings"
        text = render(self.template, values)
        # The metrics address of the template has a fixed port, which the programs do not need here.
        path.write_text(re.sub(r"(?m)^metrics=.*$", "", text))
        with open(self.folder / f"{host}.log", "a") as log:
            self.processes[host] = subprocess.Popen(
                self.commands[role].split(), cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PERIDOTCLEAT_SETTINGS": str(path), "PATH": os.environ["PATH"]})
        self.record(f"start {role} {host}")

    def signal(self, host, number):
        self.record(f"{signal.Signals(number).name} {host}")
        self.processes[host].send_signal(number)

    def kill(self, host):
        self.signal(host, signal.SIGKILL)
        self.processes.pop(host).wait(5)

    def terminate(self, host, grace=6.0):
        """SIGTERM, and SIGKILL after the grace period."""
        self.signal(host, signal.SIGTERM)
        process = self.processes.pop(host)
        try:
            process.wait(grace)
        except subprocess.TimeoutExpired:
            self.record(f"SIGKILL {host} after the grace period")
            process.kill()
            process.wait(5)

    def wipe(self, host):
        self.record(f"the disk of {host} is lost")
        shutil.rmtree(self.settings[host][1]["DataDir"], ignore_errors=True)
        self.settings[host][1]["Bootstrap"] = False

    def log_of(self, host):
        return (self.folder / f"{host}.log").read_text(errors="replace")

    def stop_all(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(5)
        self.processes.clear()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, host, method, path, body=None, timeout=1.0, follow=2, port=HTTP):
        """One HTTP call that follows up to two redirections. Status 0 means that there was no response."""
        address = f"{host}:{self.ports[port]}"
        for _ in range(follow + 1):
            connection = http.client.HTTPConnection(address, timeout=timeout)
            try:
                connection.request(method, path, body, {"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read().decode(errors="replace")
                if response.status != 307:
                    return response.status, text
                address, path = re.match(r"http://([^/]+)(/.*)", response.getheader("Location")).groups()
            except (OSError, http.client.HTTPException):
                return 0, ""
            finally:
                connection.close()
        return 307, ""


def manifest(version, routes, services, extra_routes=0, prefix="127"):
    """`routes`: list of (host, port, service or [(service, weight)], type)."""
    out = []
    for n, (host, port, target, kind) in enumerate(routes):
        r = {"Name": f"r-{n}", "Host": host, "PathPrefix": f"/{port}/", "Type": kind, "TimeoutMs": 2000,
             "TargetLatencyMs": 300, "Priority": 1, "MaxAttempts": 2}
        if isinstance(target, str):
            r["Service"] = target
        else:
            r["Backends"] = [{"Service": s, "Weight": w} for s, w in target]
        out.append(r)
    for n in range(extra_routes):
        out.append({"Name": f"x-{n}", "Host": f"127.200.{n // 250}.{n % 250 + 1}", "PathPrefix": "/80/", "Type": "safe",
                    "TimeoutMs": 600 + version % 7, "TargetLatencyMs": 150, "Priority": 2, "MaxAttempts": 2, "Service": services[0]})
    return json.dumps({"Version": version, "Routes": out, "Services": [
        {"Name": s, "HealthCheckPath": "/health", "MaxConnections": 2000, "Protocol": "h1", "Tls": False} for s in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
