"""Starts the project's programs on loopback addresses and plays the platform around them: routers, targets,
consumers and the operator, as the platform's pages describe them.

Every process is started with the command and the settings template of the deploy file. All stand-ins run in this
Python process. Nothing is sent to an address outside 127.0.0.0/8.
"""

import concurrent.futures
import hashlib
import http.client
import itertools
import json
import os
import pathlib
import random
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = struct.Struct(">B3sHIIIH4s4sHI")
BOUNCED, FIN, ACK, SYN, RST = 1, 2, 4, 16, 64
# Bounds of the platform's small deployments.
CONTACT_S, APPLY_S, DRAIN_S, MAX_FLOW_S, IDLE_S = 4.0, 3.0, 3.0, 60, 15.0
HEARTBEAT_S = 1.2
METRICS_PORT = 9464
RETRANSMIT_S, MAX_RETRANSMIT_S, MAX_RETRANSMISSIONS = 0.2, 1.6, 8
RESET_WINDOW = 76_800


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def pack(flags, source, destination, seq=0, ack=0, data=b"", checksum=7):
    return HEADER.pack(flags, b"\0\0\0", len(data), seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 0, destination[1],
                       socket.inet_aton(destination[0]), socket.inet_aton(source[0]), source[1], checksum) + data


class Packet:
    def __init__(self, raw):
        flags, _, _, self.seq, self.ack, _, dport, dst, src, sport, self.checksum = HEADER.unpack(raw[:HEADER.size])
        self.raw, self.flags, self.data = raw, flags, raw[HEADER.size:]
        self.source = (socket.inet_ntoa(src), sport)
        self.destination = (socket.inet_ntoa(dst), dport)

    def names(self):
        return "+".join(n for n, bit in (("SYN", SYN), ("ACK", ACK), ("FIN", FIN), ("RST", RST), ("BOUNCED", BOUNCED))
                        if self.flags & bit) or "none"


class Record:
    """The events of a run, one JSON object a line in `record.txt`."""

    def __init__(self, path):
        self.start, self.lock, self.file = time.monotonic(), threading.Lock(), open(path, "w")

    def now(self):
        return round(time.monotonic() - self.start, 3)

    def add(self, event, **fields):
        with self.lock:
            self.file.write(json.dumps({"t": self.now(), "event": event, **fields}) + "\n")
            self.file.flush()


def render(template, fields):
    """Fills in the placeholders of a settings template, as the deployment page describes them."""

    def look_up(path):
        v = fields
        for key in path.split("."):
            if isinstance(v, list):
                v = v[int(key)] if int(key) < len(v) else None
            else:
                v = v.get(key) if isinstance(v, dict) else None
        return v

    def text(v):
        if v is None:
            return ""
        if isinstance(v, bool):
            return "true" if v else "false"
        return ",".join(map(str, v)) if isinstance(v, list) else str(v)

    template = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: "" if look_up(m[1]) else m[2], template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(look_up(m[1])), template)


class Target(threading.Thread):
    """A target on the machine `host`: one boot at a time, which announces itself and serves flows."""

    def __init__(self, bed, host, service, zone, slots=7):
        super().__init__(daemon=True)
        self.bed, self.host, self.service, self.zone, self.slots = bed, host, service, zone, slots
        self.lock = threading.Lock()
        self.boot = 0
        self.up, self.ended = False, False
        self.socket = None
        self.resets_sent, self.ran, self.opened_at = {}, {}, {}
        self.clock_ahead_s = 0.0
        self.acked_pings = self.refused_pings = 0
        # When the target last started or crashed after the set-up.
        self.disturbed_at = None

    # A boot starts with no flows. `first_ping_s` is the time from its start to its first announcement.
    def start_boot(self, first_ping_s=0.0):
        with self.lock:
            self.boot += 1
            self.instance = f"i-{self.boot}-{self.host}"
            self.born = int((time.time() + self.clock_ahead_s) * 1000)
            self.sequence, self.state = 0, "ready"
            self.disturbed_at = time.monotonic()
            self.flows, self.closed = {}, {}
            self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind((self.host, self.bed.target_port))
            self.next_ping = time.monotonic() + first_ping_s
            self.up = True
        self.bed.record.add("target_start", host=self.host, boot=self.boot, born=self.born)
        threading.Thread(target=self.ping_loop, args=(self.boot,), daemon=True).start()

    def crash(self):
        with self.lock:
            self.up = False
            self.disturbed_at = time.monotonic()
            self.socket.close()
        self.bed.record.add("target_crash", host=self.host, boot=self.boot)

    def ping_loop(self, boot):
        while not self.ended and self.up and self.boot == boot:
            delay = self.next_ping - time.monotonic()
            if delay > 0:
                time.sleep(min(delay, 0.02))
                continue
            self.next_ping = time.monotonic() + HEARTBEAT_S
            self.sequence += 1
            body = {"Service": self.service, "Address": f"{self.host}:{self.bed.target_port}", "Zone": self.zone,
                    "Version": "v1", "MaxConcurrency": self.slots, "State": self.state, "WarmupRemainingMs": 0,
                    "Sequence": self.sequence, "born": self.born}
            status = self.bed.http("PUT", self.host, f"/api/instances/{self.instance}", json.dumps(body), 1.0)[0]
            if self.up and self.boot == boot:
                self.acked_pings += status == 200
                self.refused_pings += status == 409
                self.bed.record.add("ping", host=self.host, boot=boot, sequence=self.sequence, status=status)

    def send(self, flags, flow, seq, ack, data=b""):
        packet = pack(flags, flow["local"], flow["remote"], seq, ack, data)
        if flags & RST:
            self.resets_sent[flow["remote"]] = self.bed.record.now()
        self.socket.sendto(packet, (self.host, self.bed.outbound_port))

    def run(self):
        while not self.ended:
            with self.lock:
                current = self.socket if self.up else None
            if current is None:
                time.sleep(0.005)
                continue
            try:
                ready, _, _ = select.select([current], [], [], 0.01)
                with self.lock:
                    if not self.up or self.socket is not current:
                        continue
                    if ready:
                        self.on_packet(Packet(current.recv(4096)))
                    self.on_timers()
            except (OSError, ValueError):
                continue

    def on_packet(self, p):
        key = (p.source, p.destination)
        flow = self.flows.get(key)
        if p.flags & SYN:
            if flow is None:
                flow = {"local": p.destination, "remote": p.source, "iss": random.getrandbits(32), "open": False,
                        "received": (p.seq + 1) & 0xFFFFFFFF, "unacked": [], "work": [], "boot": self.boot}
                flow["next"] = (flow["iss"] + 1) & 0xFFFFFFFF
                self.flows[key] = flow
                self.closed.pop(key, None)
                flow["syn_retries"], flow["syn_due"] = 0, time.monotonic() + RETRANSMIT_S
            self.send(SYN | ACK, flow, flow["iss"], flow["received"])
            return
        if flow is None and key in self.closed:
            ended = self.closed[key]
            if p.flags & FIN:
                self.send(ACK, ended, ended["next"], (p.seq + len(p.data) + 1) & 0xFFFFFFFF)
            elif p.data:
                self.send(RST, ended, ended["next"], ended["received"])
            return
        if flow is None or not 1 <= (p.ack - flow["iss"]) & 0xFFFFFFFF < 1 << 24:
            self.bed.record.add("bounced", host=self.host, flow=p.source[1], packet=p.names())
            self.socket.sendto(bytes([p.raw[0] | BOUNCED]) + b"\0\0\0" + p.raw[4:], (self.host, self.bed.outbound_port))
            return
        if not flow["open"]:
            flow["open"] = True
            self.opened_at[p.source] = self.bed.record.now()
            self.bed.record.add("flow_open", host=self.host, boot=self.boot, flow=p.source[1])
        if p.flags & RST:
            del self.flows[key]
            return
        flow["unacked"] = [u for u in flow["unacked"] if (u["end"] - p.ack) & 0xFFFFFFFF < 1 << 31 and u["end"] != p.ack]
        if p.data:
            if p.seq == flow["received"]:
                flow["received"] = (p.seq + len(p.data)) & 0xFFFFFFFF
                request = p.data.decode(errors="replace")
                id_line = re.search(r"X-Peridotcleat-Request-Id: (\S+)", request)
                identity = id_line[1] if id_line else "?"
                self.ran[identity] = self.ran.get(identity, 0) + 1
                self.bed.record.add("run", host=self.host, boot=self.boot, flow=p.source[1], request=identity)
                flow["work"].append((time.monotonic() + 0.05, identity))
            else:
                self.send(ACK, flow, flow["next"], flow["received"])
        if p.flags & FIN:
            flow["received"] = (flow["received"] + 1) & 0xFFFFFFFF
            self.send(FIN | ACK, flow, flow["next"], flow["received"])
            flow["next"] = (flow["next"] + 1) & 0xFFFFFFFF
            self.closed[key] = flow
            del self.flows[key]

    def on_timers(self):
        now = time.monotonic()
        for key, flow in list(self.flows.items()):
            if not flow["open"] and now >= flow["syn_due"]:
                flow["syn_retries"] += 1
                if flow["syn_retries"] > MAX_RETRANSMISSIONS:
                    del self.flows[key]
                    continue
                flow["syn_due"] = now + min(RETRANSMIT_S * 2 ** flow["syn_retries"], MAX_RETRANSMIT_S)
                self.send(SYN | ACK, flow, flow["iss"], flow["received"])
            while flow["work"] and flow["work"][0][0] <= now:
                _, identity = flow["work"].pop(0)
                body = f"{self.host}/{identity}"
                answer = (f"HTTP/1.1 200 OK\r\nX-Peridotcleat-Response-Signature: {identity}@{self.host}\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
                unacked = {"seq": flow["next"], "data": answer, "tries": 0, "due": now + RETRANSMIT_S,
                           "end": (flow["next"] + len(answer)) & 0xFFFFFFFF}
                flow["next"] = unacked["end"]
                flow["unacked"].append(unacked)
                self.send(ACK, flow, unacked["seq"], flow["received"], answer)
            for u in flow["unacked"]:
                if now >= u["due"] and u["tries"] < MAX_RETRANSMISSIONS:
                    u["tries"] += 1
                    u["due"] = now + min(RETRANSMIT_S * 2 ** u["tries"], MAX_RETRANSMIT_S)
                    self.send(ACK, flow, u["seq"], flow["received"], u["data"])


class Flow:
    """A consumer's end of one flow."""

    def __init__(self, bed, port, route):
        self.bed, self.port, self.route = bed, port, route
        self.source = (bed.consumer, port)
        self.seq, self.acked = random.getrandbits(32), None
        self.condition = threading.Condition()
        self.state, self.answer, self.reset = "opening", None, None
        self.last_used = self.last_used_before = time.monotonic()
        self.opened = None
        self.host = None

    def transmit(self, flags, seq, ack, data=b""):
        front = self.bed.front_for(self.source, self.route)
        if front is not None:
            self.bed.consumer_socket.sendto(pack(flags, self.source, self.route, seq, ack, data),
                                            (front, self.bed.data_port))

    def on_packet(self, p):
        with self.condition:
            if p.flags & RST:
                near = self.acked is not None and min((p.seq - self.acked) & 0xFFFFFFFF,
                                                      (self.acked - p.seq) & 0xFFFFFFFF) <= RESET_WINDOW
                valid = self.state == "opening" or near
                self.bed.record.add("consumer_reset", flow=self.port, state=self.state, valid=valid, sum=p.checksum)
                if valid and self.state in ("opening", "open"):
                    self.reset = {"t": self.bed.record.now(), "state": self.state, "sum": p.checksum}
                    self.state = "reset"
            elif p.flags & SYN and self.state == "opening":
                self.acked, self.state, self.opened = (p.seq + 1) & 0xFFFFFFFF, "open", time.monotonic()
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.transmit(ACK, self.seq, self.acked)
            elif p.flags & SYN and self.state == "open":
                if (p.seq + 1) & 0xFFFFFFFF == self.acked:
                    self.transmit(ACK, self.seq, self.acked)
            elif p.data and self.state == "open":
                if p.seq == self.acked:
                    self.acked = (p.seq + len(p.data)) & 0xFFFFFFFF
                    self.answer = p.data.decode()
                self.transmit(ACK, self.seq if self.answer is None else self.sent_end, self.acked)
            self.condition.notify_all()

    def open(self):
        """Opens the flow; the copies of the opening packet are sent after 200 and 600 ms."""
        start = time.monotonic()
        for copies, due in enumerate((0.0, 0.2, 0.6)):
            with self.condition:
                self.condition.wait_for(lambda: self.state != "opening", max(0, start + due - time.monotonic()))
                if self.state != "opening":
                    break
                self.transmit(SYN, self.seq, copies)
        with self.condition:
            self.condition.wait_for(lambda: self.state != "opening", max(0, start + 1.4 - time.monotonic()))
            if self.state == "opening":
                self.state = "failed"
            self.last_used = time.monotonic()
            self.bed.record.add("consumer_open", flow=self.port, state=self.state)
            return self.state == "open"

    def request(self, identity, limit_s=2.0):
        """Sends one request and waits for its answer. Returns the body, "reset" or "none"."""
        with self.condition:
            if self.state != "open":
                return self.state
            self.answer = None
            self.last_used_before = self.last_used
            data = (f"POST /x HTTP/1.1\r\nHost: {self.route[0]}\r\nX-Peridotcleat-Request-Id: {identity}\r\n"
                    f"Content-Length: 0\r\n\r\n").encode()
            self.sent_end = (self.seq + len(data)) & 0xFFFFFFFF
            self.bed.record.add("request", flow=self.port, request=identity)
            end, interval = time.monotonic() + limit_s, RETRANSMIT_S
            while time.monotonic() < end and self.answer is None and self.state == "open":
                self.transmit(ACK, self.seq, self.acked, data)
                self.condition.wait_for(lambda: self.answer is not None or self.state != "open",
                                        min(interval, max(0.0, end - time.monotonic())))
                interval = min(interval * 2, MAX_RETRANSMIT_S)
            self.seq = self.sent_end
            self.last_used = time.monotonic()
            outcome = "reset" if self.state == "reset" else "none"
            if self.answer is not None:
                outcome = self.answer.split("\r\n\r\n", 1)[1]
                self.host = outcome.split("/")[0]
            self.bed.record.add("answer", flow=self.port, request=identity, outcome=outcome)
            return outcome


class TestBed:
    def __init__(self, folder, cores=5, fronts=4, services=None):
        self.folder = pathlib.Path(folder).resolve()
        self.record = Record(self.folder / "record.txt")
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="peridotcleat-review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.template = (ROOT / "deploy/settings.template").read_text()
        self.choose_addresses()
        self.zones = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"}
        names = list(self.zones)
        self.core_hosts = [f"{self.prefix}.1.{i + 1}" for i in range(cores)]
        self.front_hosts = [f"{self.prefix}.2.{i + 1}" for i in range(fronts)]
        self.machines = {}
        for i, host in enumerate(self.core_hosts):
            self.machines[host] = ("core", names[i % 3], None)
        for host in self.front_hosts:
            self.machines[host] = ("front", "zone-a", None)
        self.targets, n = [], 0
        for service, count in (services or {}).items():
            for _ in range(count):
                n += 1
                host = f"{self.prefix}.3.{n}"
                self.machines[host] = ("side", names[n % 3], service)
                self.targets.append(Target(self, host, service, names[n % 3]))
        self.consumer = f"{self.prefix}.4.1"
        self.consumer_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.consumer_socket.bind((self.consumer, self.data_port))
        self.processes, self.flows, self.next_port = {}, {}, 40000
        self.in_rotation = {host: False for host in self.front_hosts}
        self.ended = False
        self.disturbed = {}

    def choose_addresses(self):
        """Picks a part of 127.0.0.0/8 and ports that nothing uses at present."""
        chooser = random.Random(os.getpid() * 1000003 + int(time.time()))
        for _ in range(50):
            self.prefix = f"127.{chooser.randint(20, 250)}"
            base = chooser.randint(20000, 29000) // 20 * 20
            self.http_port, self.target_port, self.outbound_port, self.data_port = base, base + 1, base + 2, base + 3
            self.internal_port = base + 4
            try:
                # The settings template has the port of the metrics.
                for port in (*range(base, base + 5), METRICS_PORT):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as s:
                            s.bind((f"{self.prefix}.1.1", port))
                return
            except OSError:
                continue
        raise CannotRun("no free ports")

    # Processes.

    def settings(self, host, bootstrap):
        role, zone, service = self.machines[host]
        listen = {"core": {"Control": f"{host}:{self.http_port}"},
                  "front": {"DatagramAddr": f"{host}:{self.data_port}", "Ready": f"{host}:{self.http_port}"},
                  "side": {"DatagramAddr": f"{host}:{self.data_port}", "Control": f"{host}:{self.http_port}",
                           "Ready": f"{host}:{self.http_port}", "outbound": f"{host}:{self.outbound_port}"}}[role]
        fields = {"Node": f"{role}-{host}", "Role": role, "Ip": host, "Zone": zone, "Region": self.zones[zone],
                  "InternalPortRange": [self.internal_port, self.internal_port + 15],
                  "Seeds": [f"{h}:{self.http_port}" for h in self.core_hosts[:3]], "Bootstrap": bootstrap,
                  "HeartbeatIntervalMs": int(HEARTBEAT_S * 1000), "ListenAddrs": listen,
                  "Limits": {"LinkMbps": "1000.0", "MemoryMb": 256},
                  "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
                  "Bounds": {"ConfigApplyMs": int(APPLY_S * 1000), "MaxFlowS": MAX_FLOW_S, "GraceS": 6,
                             "ContactMs": int(CONTACT_S * 1000), "DrainMs": int(DRAIN_S * 1000)}}
        if role == "core":
            fields["DataDir"] = str(self.temporary / f"data-{host}")
            (self.temporary / f"data-{host}").mkdir(exist_ok=True)
        if role == "side":
            fields["Service"], fields["app"] = service, f"{host}:{self.target_port}"
        return render(self.template, fields)

    def start(self, host, bootstrap=False):
        role = self.machines[host][0]
        if not bootstrap:
            self.disturbed[host] = time.monotonic()
        path = self.temporary / f"{host}.settings"
        path.write_text(self.settings(host, bootstrap))
        with open(self.temporary / f"{host}.log", "a") as log:
            self.processes[host] = subprocess.Popen(
                self.deploy["roles"][role]["run"].split(), cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PERIDOTCLEAT_SETTINGS": str(path), "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                     "HOME": str(self.temporary), "LANG": "C"})
        self.record.add("process_start", host=host, role=role)

    def signal(self, host, number):
        self.disturbed[host] = time.monotonic()
        self.record.add("signal", host=host, role=self.machines[host][0], signal=signal.Signals(number).name)
        self.processes[host].send_signal(number)

    def wait_end(self, host, limit_s=8):
        try:
            code = self.processes[host].wait(limit_s)
        except subprocess.TimeoutExpired:
            code = None
        self.record.add("process_end", host=host, code=code)
        return code

    # HTTP.

    def http(self, method, host, path, body=None, timeout=2.0):
        for _ in range(3):
            connection = http.client.HTTPConnection(host, self.http_port, timeout=timeout)
            try:
                connection.request(method, path, body, {"Content-Type": "application/json", "Connection": "close"})
                response = connection.getresponse()
                text = response.read().decode()
                if response.status != 307:
                    return response.status, text
                location = re.match(r"http://([\d.]+):(\d+)(/.*)", response.getheader("Location", ""))
                if location is None:
                    return 0, ""
                host, path = location[1], location[3]
            except (OSError, http.client.HTTPException):
                return 0, ""
            finally:
                connection.close()
        return 0, ""

    def put_once(self, body, n):
        """Sends a manifest to the `n`th control process. Returns the status of the response, and its body."""
        host = self.core_hosts[n % len(self.core_hosts)]
        status, text = self.http("PUT", host, "/api/config", body, 1.0)
        self.record.add("put_config", version=json.loads(body)["Version"], status=status, host=host, answer=text[:200])
        return status, text

    def put_manifest(self, manifest, limit_s=15):
        """Sends a manifest as the operator does, until there is a clear response. Returns its status."""
        body, end, n = json.dumps(manifest), time.monotonic() + limit_s, 0
        while time.monotonic() < end:
            status, text = self.put_once(body, n)
            if status == 200 or 400 <= status < 500 and status not in (408, 421, 429):
                return status, text
            n += 1
            time.sleep(min(0.1 * n, 1.0))
        return 0, ""

    def manifest(self, version, routes, services, timeout_ms=2000):
        return {"Version": version, "Routes": [
            {"Name": f"r-{i}", "Host": route[0], "PathPrefix": f"/{route[1]}/", "Type": "unsafe", "TimeoutMs": timeout_ms,
             "TargetLatencyMs": 300, "Priority": 1, "Service": service, "MaxAttempts": 2}
            for i, (route, service) in enumerate(routes)], "Services": [
                {"Name": s, "HealthCheckPath": "/health", "MaxConnections": 2000, "Protocol": "h1", "Tls": False}
                for s in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": int(IDLE_S * 1000)}}

    # The routers and the consumers.

    def route_loop(self, host):
        misses = 0
        while not self.ended:
            ready = self.http("GET", host, "/api/readiness", None, 0.5)[0] == 200
            misses = 0 if ready else misses + 1
            if ready or misses >= 2:
                if self.in_rotation[host] != ready:
                    self.record.add("rotation", host=host, ready=ready)
                self.in_rotation[host] = ready
            time.sleep(0.5)

    def front_for(self, source, route):
        """The front that the routers choose for a flow with the hash `steady`."""
        hosts = [h for h, ready in self.in_rotation.items() if ready] or self.front_hosts
        return max(hosts, key=lambda h: hashlib.sha256(f"{source}{route}{h}".encode()).digest())

    def consumer_loop(self):
        while not self.ended:
            ready, _, _ = select.select([self.consumer_socket], [], [], 0.05)
            if ready:
                p = Packet(self.consumer_socket.recv(4096))
                flow = self.flows.get(p.destination[1])
                if flow is not None:
                    flow.on_packet(p)

    def new_flow(self, route):
        self.next_port += 1
        flow = Flow(self, self.next_port, route)
        self.flows[self.next_port] = flow
        return flow

    def wrongly_reset(self, flow):
        """Returns why the rule FLOW (a) is broken for `flow`, or None: the flow was open and its consumer got a reset
        that the flow's target did not send, and no excuse of the rule holds."""
        if flow.reset is None or flow.reset["state"] != "open":
            return None
        target = next((t for t in self.targets if t.host == flow.host), None)
        if target is None or flow.source not in target.opened_at or flow.source in target.resets_sent:
            return None
        held = [f for key, f in target.flows.items() if key[0] == flow.source]
        reset_at = self.record.start + flow.reset["t"]
        age, idle = reset_at - flow.opened, reset_at - flow.last_used_before
        undisturbed = min((reset_at - t for t in (self.disturbed.get(target.host), target.disturbed_at) if t), default=1e9)
        if not held or held[0]["boot"] != target.boot or undisturbed < CONTACT_S or age > MAX_FLOW_S or idle > IDLE_S:
            return None
        return (f"FLOW: flow {flow.port}, open for {age:.1f} s and idle for {idle:.1f} s, got a reset at {flow.reset['t']} "
                f"that its target {flow.host} did not send; the target holds the flow and its machine has been "
                f"undisturbed for {undisturbed:.1f} s")

    def open_flows(self, route, limit_s, most=None, workers=12):
        """Opens flows for `limit_s`, at most `most`, from several consumers at once, with one request each. Returns
        those that were answered."""
        end, answered, count, lock = time.monotonic() + limit_s, [], itertools.count(), threading.Lock()

        def consumer():
            while time.monotonic() < end and (most is None or next(count) < most):
                with lock:
                    flow = self.new_flow(route)
                if flow.open() and "/" in flow.request(f"first-{flow.port}"):
                    answered.append(flow)

        threads = [threading.Thread(target=consumer, daemon=True) for _ in range(workers)]
        for t in threads:
            t.start()
        for t in threads:
            t.join(limit_s + 5)
        return answered

    def use_flows(self, flows):
        """Sends one more request on each flow, on all at once. Returns the outcomes."""
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            return list(pool.map(lambda f: f.request(f"second-{f.port}"), flows))

    # The run.

    def wait_until(self, limit_s, condition):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def start_all(self, manifest, later=()):
        """Starts everything except for the boots of the targets `later`, and sends the first manifest."""
        for host in self.machines:
            self.start(host, bootstrap=True)
        self.start_stand_ins(later)
        if self.put_manifest(manifest)[0] != 200:
            raise CannotRun("the first manifest was not acknowledged")
        if not self.wait_until(15, lambda: all(self.in_rotation.values()) and
                               all(t.acked_pings for t in self.targets if t not in later)):
            raise CannotRun("the fronts or the targets are not ready")

    def start_stand_ins(self, later=()):
        threading.Thread(target=self.consumer_loop, daemon=True).start()
        for host in self.front_hosts:
            threading.Thread(target=self.route_loop, args=(host,), daemon=True).start()
        for target in self.targets:
            target.start()
            if target not in later:
                target.start_boot()

    def close(self):
        self.ended = True
        for target in self.targets:
            target.ended = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(5)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.temporary}")
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def summary(outcomes):
    """Counts the outcomes of requests."""
    return (f"{sum('/' in o for o in outcomes)} answered, {sum(o == 'reset' for o in outcomes)} reset, "
            f"{sum(o not in ('reset',) and '/' not in o for o in outcomes)} unanswered")


def run_case(folder, case, **arguments):
    """Runs `case(bed)`, which returns a list of broken rules. Returns the exit code."""
    bed = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        bed = TestBed(folder, **arguments)
        broken = case(bed)
        for b in broken:
            bed.record.add("broken", what=b)
            print("BROKEN " + b)
        result = 1 if broken else 0
    except CannotRun as e:
        print(f"cannot run: {e}")
        result = 2
    except Exception as e:  # A fault of the script is no verdict.
        print(f"cannot run: {type(e).__name__}: {e}")
        result = 2
    finally:
        if bed is not None:
            bed.close()
    if bed is not None:
        bed.record.add("result", code=result, trouble=bed.trouble)
    print(f"result={result}")
    return result
