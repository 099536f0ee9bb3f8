"""Stand-ins for a target beside an agent and for a consumer, by the users' protocol page."""

import http.client
import http.server
import json
import random
import socket
import struct
import threading
import time

BOUNCED, FIN, ACK, SYN, RST = 1, 2, 4, 16, 64
HEADER = struct.Struct(">B3sHIIIH4s4sHI")


def make_packet(flags, source, destination, seq, ack, data=b""):
    """The sum is 0 only in a reset of the system's own; the stand-ins use a constant that the system cannot check."""
    return HEADER.pack(flags, b"\0\0\0", len(data), seq & 0xffffffff, ack & 0xffffffff, 0, destination[1],
                       socket.inet_aton(destination[0]), socket.inet_aton(source[0]), source[1], 0x5eed) + data


def parse_packet(raw):
    flags, _, length, seq, ack, _, dport, dst, src, sport, _ = HEADER.unpack(raw[:HEADER.size])
    if len(raw) != HEADER.size + length:
        raise ValueError("wrong length")
    return flags, (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport), seq, ack, raw[HEADER.size:]


class Health(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


class Target(threading.Thread):
    """A target: holds flows, answers each request (one packet) with one packet, sends its pings to the agent beside it,
    and gives back what it does not hold."""

    def __init__(self, d, name, host, service, zone, slots=2):
        super().__init__(daemon=True)
        self.d, self.name, self.host, self.service, self.zone, self.slots = d, name, host, service, zone, slots
        self.record, self.port, self.outbound = d.record, d.app_port, (host, d.outbound_port)
        self.rng = random.Random(hash((name, time.time())))
        self.born = int(time.time() * 1000)
        self.state, self.sequence, self.flows, self.runs = "ready", 0, {}, []
        self.stopped = threading.Event()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, self.port))
        self.socket.settimeout(0.05)
        self.health = http.server.ThreadingHTTPServer((host, self.port), Health)
        threading.Thread(target=self.health.serve_forever, daemon=True).start()
        threading.Thread(target=self.ping, daemon=True).start()

    def ping(self):
        while not self.stopped.is_set():
            self.sequence += 1
            body = {"Service": self.service, "Address": f"{self.host}:{self.port}", "Zone": self.zone, "Version": "v1",
                    "MaxConcurrency": self.slots, "State": self.state, "WarmupRemainingMs": 0,
                    "Sequence": self.sequence, "born": self.born}
            try:
                connection = http.client.HTTPConnection(self.host, self.d.http_port, timeout=1)
                connection.request("PUT", f"/api/instances/{self.name}", json.dumps(body),
                                   {"Content-Type": "application/json"})
                connection.getresponse().read()
                connection.close()
            except (OSError, http.client.HTTPException):
                pass
            self.stopped.wait(self.d.heartbeat_ms / 1000)

    def run(self):
        while not self.stopped.is_set():
            try:
                raw, _ = self.socket.recvfrom(2000)
            except socket.timeout:
                continue
            self.on_packet(raw)

    def on_packet(self, raw):
        flags, source, to, seq, ack, data = parse_packet(raw)
        key = (source, to)
        flow = self.flows.get(key)
        if flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"seq": self.rng.getrandbits(32), "received": seq + 1, "open": False}
                self.record.line(f"target {self.name}: takes the opening packet of {source[0]}:{source[1]} to "
                                 f"{to[0]}:{to[1]}")
            self.send(make_packet(SYN | ACK, to, source, flow["seq"], flow["received"]))
            return
        if flow is None or (ack - flow["seq"] - 1) & 0xffffffff > 1 << 24:
            self.send(bytes([raw[0] | BOUNCED]) + raw[1:])
            return
        flow["open"] = True
        if flags & RST:
            del self.flows[key]
        elif data and seq == flow["received"] & 0xffffffff:
            flow["received"] = seq + len(data)
            request = data.split(b"X-Peridotcleat-Request-Id: ")[1].split(b"\r\n")[0].decode()
            self.runs.append((time.monotonic(), request, source))
            self.record.line(f"target {self.name}: runs {request} of {source[0]}:{source[1]} to {to[0]}:{to[1]}")
            answer = (f"HTTP/1.1 200 OK\r\nX-Peridotcleat-Response-Signature: {request}-{self.name}\r\n"
                      f"Content-Length: {len(self.name)}\r\n\r\n{self.name}").encode()
            flow["answer"] = (flow["seq"] + 1, answer)
            self.send(make_packet(ACK, to, source, flow["seq"] + 1, flow["received"], answer))
        elif data and "answer" in flow:
            self.send(make_packet(ACK, to, source, flow["answer"][0], flow["received"], flow["answer"][1]))

    def send(self, packet):
        self.socket.sendto(packet, self.outbound)

    def close(self):
        self.stopped.set()
        self.health.shutdown()
        self.health.server_close()


class Consumer(threading.Thread):
    """Consumers of one zone at one address; each request gets a flow of its own, from a new port."""

    def __init__(self, d, host):
        super().__init__(daemon=True)
        self.record, self.host, self.port = d.record, host, 20000
        self.rng = random.Random()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, d.data_port))
        self.socket.settimeout(0.05)
        self.lock, self.flows, self.stopped = threading.Lock(), {}, threading.Event()

    def run(self):
        while not self.stopped.is_set():
            try:
                raw, _ = self.socket.recvfrom(2000)
            except socket.timeout:
                continue
            flags, source, to, seq, ack, data = parse_packet(raw)
            with self.lock:
                flow = self.flows.get(to[1])
            if flow is None or flow["outcome"]:
                continue
            if flags & RST:
                self.end(flow, "reset")
            elif flags & SYN and not flow["open"]:
                flow["open"] = True
                self.record.line(f"consumer: the flow from port {to[1]} opens, sends {flow['request']}")
                text = (f"GET / HTTP/1.1\r\nHost: {flow['route'][0]}\r\n"
                        f"X-Peridotcleat-Request-Id: {flow['request']}\r\n\r\n").encode()
                flow["packet"] = make_packet(ACK, to, source, flow["seq"] + 1, seq + 1, text)
                self.socket.sendto(flow["packet"], flow["front"])
            elif data:
                self.socket.sendto(make_packet(ACK, to, source, ack, seq + len(data)), flow["front"])
                self.end(flow, data.decode().split("\r\n\r\n")[1])

    def end(self, flow, outcome):
        flow["outcome"] = outcome
        self.record.line(f"consumer: {flow['request']} ends: {outcome}")

    def ask(self, front, route, limit=1.4):
        """Opens a flow at the balancer `front` for one request, in the background, and returns its record."""
        with self.lock:
            self.port += 1
            flow = {"request": f"q{self.port}", "route": route, "front": front, "open": False, "outcome": None,
                    "seq": self.rng.getrandbits(32), "sent": time.monotonic(), "port": self.port}
            self.flows[self.port] = flow
        threading.Thread(target=self.attempt, args=(flow, limit), daemon=True).start()
        return flow

    def attempt(self, flow, limit):
        self.record.line(f"consumer: opening packet from port {flow['port']} to {flow['route'][0]}:{flow['route'][1]} "
                         f"by way of {flow['front'][0]}")
        source = (self.host, flow["port"])
        for copies, pause in enumerate((0.2, 0.4, limit - 0.6)):
            if flow["open"] or flow["outcome"]:
                break
            self.socket.sendto(make_packet(SYN, source, flow["route"], flow["seq"], copies), flow["front"])
            time.sleep(pause)
        for pause in (0.2, 0.4, 0.8):
            if not flow["open"] or flow["outcome"]:
                break
            time.sleep(pause)
            if not flow["outcome"]:
                self.socket.sendto(flow["packet"], flow["front"])
        if not flow["outcome"]:
            self.end(flow, "no answer")

    def close(self):
        self.stopped.set()
