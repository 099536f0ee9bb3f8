"""Runs a small cluster of real processes on loopback, for the demo and for processes_test."""

import collections
import json
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

CONTROL_COUNT = 3
ZONES = ["recife", "fortaleza"]
UPSTREAMS = [
    # name, service, zone, slots
    ("calendar-a", "calendar-sync", "recife", 7),
    ("calendar-b", "calendar-sync", "fortaleza", 7),
    ("calendar-c", "calendar-sync", "recife", 7),
    ("chart-a", "chart-rendering", "recife", 7),
    ("chart-b", "chart-rendering", "fortaleza", 7),
]


class LocalCluster:
    """Starts, signals and stops processes by name.

    All addresses are in 127.<net>.0.0/16, so that clusters with different `net` can run at the same time.
    """

    def __init__(self, binaries, seed=1, net=0):
        self.binaries = pathlib.Path(binaries)
        self.seed = seed
        self.net = f"127.{net}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="peridotcleat-"))
        self.processes = {}
        self.services = {"calendar-sync": f"{self.net}.10.1:5000", "chart-rendering": f"{self.net}.10.2:5000"}
        self.controls = [f"{self.net}.1.{i + 1}:7100" for i in range(CONTROL_COUNT)]
        self.balancers = []

    # ---- processes -----------------------------------------------------------------------------------

    def program(self, name):
        folders = [self.binaries / name.removeprefix("peridotcleat-"), self.binaries / "standin"]
        return str(next(f / name for f in folders if (f / name).exists()))

    def launch(self, name, program, *arguments):
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(
                [self.program(program), *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self.processes[name]

    def stop(self, name, signal_number=signal.SIGTERM, limit=10):
        """Sends a signal and waits for the process to end.

        Returns its exit code. Kills a process that does not end within `limit` seconds and returns None.
        """
        p = self.processes.pop(name)
        p.send_signal(signal_number)
        try:
            return p.wait(limit)
        except subprocess.TimeoutExpired:
            p.kill()
            p.wait(5)
            return None

    def signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def is_running(self, name):
        return self.processes[name].poll() is None

    def shut_down(self, keep_logs=False):
        """Stops all processes, upstreams first, and removes the folder of logs and data unless `keep_logs` is set.

        SIGCONT resumes stopped processes, so that they can handle SIGTERM; what is left after 8 s is killed.
        """
        for name in sorted(self.processes, key=lambda n: not n.startswith("upstream")):
            self.processes[name].send_signal(signal.SIGCONT)
            self.processes[name].send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 8
        for p in self.processes.values():
            try:
                p.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                p.kill()
                p.wait(5)
        if not keep_logs:
            shutil.rmtree(self.folder)

    def start_control(self, i):
        peers = ",".join(f"control-{n}={self.net}.1.{n + 1}:7000" for n in range(CONTROL_COUNT))
        data = self.folder / f"control-{i}"
        data.mkdir(exist_ok=True)
        self.launch(f"control-{i}", "peridotcleat-control", "--name", f"control-{i}", "--zone", ZONES[i % 2],
                    "--listen", f"{self.net}.1.{i + 1}:7000", "--admin", f"{self.net}.1.{i + 1}:7100",
                    "--peers", peers, "--data-folder", str(data), "--bootstrap", "--snapshot-after", "64")

    def start_balancer(self, i):
        parents = ",".join(f"{self.net}.1.{n + 1}:7000" for n in range(CONTROL_COUNT))
        self.launch(f"balancer-{i}", "peridotcleat-balancer", "--name", f"balancer-{i}", "--zone", ZONES[i % 2],
                    "--listen", f"{self.net}.2.{i + 1}:7000", "--data", f"{self.net}.2.{i + 1}:7001",
                    "--admin", f"{self.net}.2.{i + 1}:7100", "--parents", parents)
        self.balancers.append(f"{self.net}.2.{i + 1}:7001")

    def start_upstream(self, i, *agent_options):
        name, service, zone, slots = UPSTREAMS[i]
        # Agents pull the table from the balancers of their zone; the other balancers are a fallback.
        order = sorted(range(4), key=lambda n: ZONES[n % 2] != zone)
        parents = ",".join(f"{self.net}.2.{n + 1}:7000" for n in order)
        self.launch(f"agent-{name}", "peridotcleat-agent", "--name", name, "--zone", zone,
                    "--listen", f"{self.net}.3.{i + 1}:7000", "--admin", f"{self.net}.3.{i + 1}:7100",
                    "--parents", parents, "--fabric", f"{self.net}.4.1:7300", "--ramp-ms", "1000", *agent_options)
        self.launch(f"upstream-{name}", "peridotcleat-upstream", "--service", service,
                    "--listen", f"{self.net}.3.{i + 1}:7200", "--agent", f"{self.net}.3.{i + 1}:7100",
                    "--applied", str(self.folder / f"applied-{name}"), "--slots", str(slots),
                    "--cold-ms", "500", "--shed-every", "97")

    def start_fabric(self):
        self.launch("fabric", "peridotcleat-fabric", "--services", ",".join(self.services.values()),
                    "--balancers", ",".join(self.balancers), "--returns", f"{self.net}.4.1:7300",
                    "--admin", f"{self.net}.4.1:7400", "--seed", str(self.seed))

    def update_fabric(self):
        """Sends the current list of balancers to the fabric."""
        self.http("POST", f"{self.net}.4.1:7400", "/balancers", json.dumps({"balancers": self.balancers}))

    def start_callers(self, seconds, callers=40, interval_ms=200):
        for n, (service, address) in enumerate(self.services.items()):
            self.launch(f"caller-{service}", "peridotcleat-caller", "--service", address, "--name", service,
                        "--local", f"{self.net}.{5 + n}.1:10000",
                        "--summary", str(self.folder / f"summary-{service}"), "--callers", str(callers),
                        "--seconds", str(seconds), "--interval-ms", str(interval_ms),
                        "--seed", str(self.seed + n))

    # ---- requests of operators -----------------------------------------------------------------------

    def command(self, *arguments, control=None):
        """Runs the operators' command peridotcleat. Returns its exit code and its output, or else its errors."""
        result = subprocess.run([self.program("peridotcleat"), *arguments,
                                 "--control", control or ",".join(self.controls)],
                                capture_output=True, text=True, timeout=60, check=False)
        return result.returncode, result.stdout.strip() or result.stderr.strip()

    @staticmethod
    def http(method, address, path, body=""):
        """Sends one HTTP request; returns status and body."""
        request = urllib.request.Request(f"http://{address}{path}", method=method,
                                         data=body.encode() if isinstance(body, str) else body)
        try:
            with urllib.request.urlopen(request, timeout=10) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as e:
            return e.code, e.read().decode()

    def patch(self, patch_id, base, operations, control=None):
        """Submits a patch with the command; returns its exit code and the answer."""
        file = self.folder / f"{patch_id}.json"
        file.write_text(json.dumps({"patch_id": patch_id, "base": base, "operations": operations}))
        code, text = self.command("patch", str(file), control=control)
        try:
            return code, json.loads(text.splitlines()[0])
        except (ValueError, IndexError):
            return code, {"status": text}

    def change_operations(self, service, **fields):
        """Returns the operations of a patch that changes one service."""
        return [{"change": {"name": service, "addresses": [self.services[service]], **fields}}]

    def in_force(self, version):
        """Returns whether the version is in force on all nodes."""
        return self.command("status", str(version))[0] == 0

    def upstreams(self):
        code, text = self.command("upstreams", "--json")
        return json.loads(text)["upstreams"] if code == 0 else []

    def leader(self):
        """Returns the name of the leading control process, or None."""
        for i, control in enumerate(self.controls):
            if f"control-{i}" not in self.processes:
                continue
            code, text = self.command("members", "--json", "--timeout", "2", control=control)
            if code == 0 and json.loads(text).get("leading"):
                return f"control-{i}"
        return None

    @staticmethod
    def wait_until(limit, condition):
        """Waits until the condition holds. Returns the time in seconds, or None if it does not hold within `limit`."""
        start = time.monotonic()
        while time.monotonic() < start + limit:
            if condition():
                return time.monotonic() - start
            time.sleep(0.05)
        return None

    # ---- results of callers and upstreams ------------------------------------------------------------

    def totals(self, show=False):
        """Adds up the summaries of the callers and compares them with the requests that the upstreams applied.

        `lost` counts answered notes that no upstream applied, `false_not_run` counts notes that were reported as not
        run although an upstream applied them. `show` prints the summary of each service.
        """
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
        for service in self.services:
            file = self.folder / f"summary-{service}"
            summary = json.loads(file.read_text()) if file.exists() else {}
            total.update({key: value for key, value in summary.items() if isinstance(value, int)})
            total["lost"] += sum(1 for body in summary.get("answered_notes", []) if applied[body] == 0)
            total["false_not_run"] += sum(1 for body in summary.get("refused_notes", []) if applied[body] > 0)
            if show:
                figures = " ".join(f"{key}={value}" for key, value in summary.items() if isinstance(value, int))
                print(f"service={service} {figures} reasons={json.dumps(summary.get('reasons', {}))}")
        total["wrong_service"] = wrong_service
        total["applied_twice"] = sum(1 for n in applied.values() if n > 1)
        return total

    def violated_guarantees(self, total):
        """Returns `name=value` of the figures that must be zero and are not."""
        must_be_zero = ["broken_flows", "wrong_service", "applied_twice", "short_answers", "lost", "false_not_run"]
        return [f"{name}={total[name]}" for name in must_be_zero if total[name]]
