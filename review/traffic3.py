"""Stand-ins for the targets, the consumers and the routers of the platform, as PROTOCOL.md describes them."""
import heapq
import http.client
import json
import multiprocessing
import random
import selectors
import signal
import socket
import struct
import threading
import time

from platform3 import APP, DATA, HTTP, OUTBOUND, READY

SYN, ACK, FIN, RST, BOUNCED = 16, 4, 2, 64, 1
HEADER = struct.Struct(">B3sHIIIH4s4sHI")
NO_PAD = b"\0\0\0"
MASK = 0xffffffff
# Marks the packets that a sender has written itself; the key of the real sum is not known to the system either.
SUM = 0x5eed5eed


def pack(flags, source, destination, seq, ack, data=b"", checksum=SUM):
    return HEADER.pack(flags, NO_PAD, len(data), seq & MASK, ack & MASK, 0, destination[1], destination[0], source[0],
                       source[1], checksum) + data


def unpack(raw):
    """Returns flags, source, destination, seq, ack, data and sum; addresses as (4 bytes, port)."""
    flags, _, length, seq, ack, _, dport, dst, src, sport, checksum = HEADER.unpack_from(raw)
    return flags, (src, sport), (dst, dport), seq, ack, raw[HEADER.size:HEADER.size + length], checksum


def udp_socket(host, port):
    s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    s.bind((host, port))
    s.setblocking(False)
    return s


class Target:
    """One target beside an agent. `offer_delay` is the time after which it answers an opening packet."""

    def __init__(self, world, host, service, slots):
        self.world, self.host, self.service, self.slots = world, host, service, slots
        self.udp = udp_socket(host, world.ports[APP])
        self.listener = socket.create_server((host, world.ports[APP]))
        self.listener.setblocking(False)
        self.outbound = (host, world.ports[OUTBOUND])
        self.flows = {}
        self.offer_delay, self.state, self.sequence, self.born = 0.0, "ready", 0, int(time.time() * 1000)
        self.acked_draining = False
        self.sent_resets = set()

    def send(self, packet):
        self.udp.sendto(packet, self.outbound)

    def on_packet(self, raw, now):
        flags, source, destination, seq, ack, data, _ = unpack(raw)
        flow = self.flows.get((source, destination))
        if flags & SYN:
            if flow is None:
                flow = self.flows[(source, destination)] = {
                    "first": random.getrandbits(32), "peer": seq + 1, "state": "offered", "next": 0, "fin": False}
                self.offer(now, (source, destination), flow,
                           pack(SYN | ACK, destination, source, flow["first"], flow["peer"]))
            elif flow["state"] == "offered" and "sent" in flow:
                self.send(pack(SYN | ACK, destination, source, flow["first"], flow["peer"]))
            return
        if flow is None or (flow["state"] == "offered" and ack != (flow["first"] + 1) & MASK):
            self.world.log(("returned", self.host, source, destination, time.monotonic()))
            self.send(bytes([raw[0] | BOUNCED]) + raw[1:])
            return
        if flow["state"] == "offered":
            flow["state"], flow["next"] = "open", flow["first"] + 1
            self.world.log(("opened", self.host, source, destination, time.monotonic()))
        if flags & RST:
            flow["state"] = "ended"
            return
        if flow["state"] == "ended":
            if data:
                self.sent_resets.add((source, destination))
                self.world.log(("reset", self.host, source, destination, time.monotonic()))
                self.send(pack(RST, destination, source, flow["next"], seq))
            elif flags & FIN:
                self.send(pack(ACK, destination, source, flow["next"], seq + 1))
            return
        if data and flow["fin"]:
            # The target has closed its side. It reads on, without running anything, until the consumer closes too
            # (RFC 9112, 9.6), so that the consumer does not lose what it has not read yet.
            flow["peer"] = max(flow["peer"], seq + len(data))
            self.send(pack(ACK, destination, source, flow["next"], flow["peer"]))
            if not flags & FIN:
                return
        elif data and seq == flow["peer"] & MASK:
            flow["peer"] += len(data)
            self.world.log(("ran", self.host, source, destination, data))
            answer = b"200 " + data
            closing = self.state == "draining" and not flow["fin"]
            flow["answer"] = (seq, pack(ACK | (FIN if closing else 0), destination, source, flow["next"], flow["peer"], answer))
            flow["next"] += len(answer) + (1 if closing else 0)
            flow["fin"] = flow["fin"] or closing
            self.send(flow["answer"][1])
        elif data and flow.get("answer", (None,))[0] == seq:
            self.send(flow["answer"][1])
        if flags & FIN:
            flow["state"] = "ended"
            self.send(pack(ACK | (0 if flow["fin"] else FIN), destination, source, flow["next"], seq + len(data) + 1))
            flow["next"] += 0 if flow["fin"] else 1

    def offer(self, now, key, flow, packet):
        """Answers an opening packet, and sends the answer again until the flow opens, as any missing packet."""
        def again(left, interval):
            if flow["state"] == "offered":
                flow["sent"] = True
                self.send(packet)
                if left:
                    self.world.at(time.monotonic() + interval, lambda: again(left - 1, min(interval * 2, 1.6)))
                else:
                    del self.flows[key]
        if self.offer_delay:
            self.world.at(now + self.offer_delay, lambda: again(8, 0.2))
        else:
            again(8, 0.2)

    def ping(self):
        self.sequence += 1
        body = {"Service": self.service, "Address": f"{self.host}:{self.world.ports[APP]}", "Zone": "z", "Version": "v1",
                "MaxConcurrency": self.slots, "State": self.state, "WarmupRemainingMs": 0, "Sequence": self.sequence,
                "born": self.born}
        connection = http.client.HTTPConnection(f"{self.host}:{self.world.ports[HTTP]}", timeout=1)
        try:
            connection.request("PUT", f"/api/instances/i-{self.host}", json.dumps(body), {"Content-Type": "application/json"})
            acked = connection.getresponse().status // 100 == 2
            if acked and body["State"] == "draining" and not self.acked_draining:
                self.acked_draining = True
                self.world.log(("draining", self.host, None, None, time.monotonic()))
            return acked
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Targets(multiprocessing.Process):
    """All targets, in a process of their own. `commands` takes (host, field, value); `events` gives what happened."""

    def __init__(self, ports, targets):
        super().__init__(daemon=True)
        self.ports, self.specs = ports, targets
        self.commands, self.events = multiprocessing.Queue(), multiprocessing.Queue()

    def log(self, event):
        self.buffer.append(event)

    def at(self, when, action):
        heapq.heappush(self.timers, (when, id(action), action))

    def ping_loop(self, target):
        while True:
            state = target.state
            target.ping()
            until = time.monotonic() + 1.2
            while time.monotonic() < until and target.state == state:
                time.sleep(0.02)

    def run(self):
        signal.signal(signal.SIGTERM, signal.SIG_DFL)
        self.timers, self.buffer = [], []
        targets = {host: Target(self, host, service, slots) for host, service, slots in self.specs}
        selector = selectors.DefaultSelector()
        for t in targets.values():
            selector.register(t.udp, selectors.EVENT_READ, t)
            selector.register(t.listener, selectors.EVENT_READ, None)
            threading.Thread(target=self.ping_loop, args=(t,), daemon=True).start()
        flushed = 0.0
        while True:
            for key, _ in selector.select(0.005):
                if key.data is None:
                    try:
                        key.fileobj.accept()[0].close()
                    except OSError:
                        pass
                    continue
                for _ in range(64):
                    try:
                        raw = key.data.udp.recv(2000)
                    except BlockingIOError:
                        break
                    key.data.on_packet(raw, time.monotonic())
            now = time.monotonic()
            while self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2]()
            if now - flushed > 0.1:
                flushed = now
                if self.buffer:
                    self.events.put(self.buffer)
                    self.buffer = []
                while not self.commands.empty():
                    host, field, value = self.commands.get()
                    setattr(targets[host], field, value)


class Router:
    """Selects the front of a flow: rendezvous hash over the fronts in rotation (`steady`). A front that misses two
    readiness checks, of two a second, is out of rotation until it answers again."""

    def __init__(self, platform, fronts, record):
        self.platform, self.fronts, self.record = platform, fronts, record
        self.misses, self.rotation, self.stopped = {f: 2 for f in fronts}, [], False
        self.since = {}
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.stopped:
            started = time.monotonic()
            for f in self.fronts:
                ready = self.platform.call(f, "GET", "/api/readiness", timeout=0.4, follow=0, port=READY)[0] == 200
                self.misses[f] = 0 if ready else self.misses[f] + 1
            rotation = [f for f in self.fronts if self.misses[f] < 2]
            if rotation != self.rotation:
                self.record(f"in rotation: {rotation}")
                self.rotation = rotation
            time.sleep(max(0.0, 0.5 - (time.monotonic() - started)))

    def front_of(self, key):
        return max(self.rotation or self.fronts, key=lambda f: hash((f, key)))


class Consumer:
    """Consumers behind one address: open flows, send requests on them, retransmit and close them."""
    RESENDS = (0.2, 0.6)
    GIVE_UP = 1.4

    def __init__(self, host, ports, router, record, route):
        self.host, self.ports, self.router, self.record = socket.inet_aton(host), ports, router, record
        self.route = (socket.inet_aton(route[0]), route[1])
        self.udp = udp_socket(host, ports[DATA])
        self.flows, self.timers, self.next_port, self.counter = {}, [], 1024, 0
        self.resets, self.odd_packets, self.opened, self.refused, self.answered, self.unanswered = [], [], 0, 0, 0, 0

    def at(self, when, action, *arguments):
        self.counter += 1
        heapq.heappush(self.timers, (when, self.counter, action, arguments))

    def send(self, flow, packet):
        try:
            self.udp.sendto(packet, (self.router.front_of(flow["port"]), self.ports[DATA]))
        except BlockingIOError:
            pass

    def open(self, now, on_open=None):
        self.next_port += 1
        flow = {"port": self.next_port, "state": "opening", "seq": random.getrandbits(32), "started": now,
                "source": (self.host, self.next_port), "copies": 0, "on_open": on_open, "pending": None, "received": False}
        self.flows[self.next_port] = flow
        self.send_syn(flow)
        for n, delay in enumerate(self.RESENDS):
            self.at(now + delay, self.resend_syn, flow, n + 1)
        self.at(now + self.GIVE_UP, self.give_up, flow)
        return flow

    def send_syn(self, flow):
        self.send(flow, pack(SYN, flow["source"], self.route, flow["seq"], flow["copies"]))

    def resend_syn(self, now, flow, copies):
        if flow["state"] == "opening":
            flow["copies"] = copies
            self.send_syn(flow)

    def give_up(self, now, flow):
        if flow["state"] == "opening":
            flow["state"] = "failed"
            self.refused += 1

    def request(self, now, flow, data, on_answer=None):
        """Sends a request on an open flow without a pending one, and retransmits it until it is answered."""
        flow["pending"], flow["on_answer"], flow["interval"] = data, on_answer, 0.2
        flow["sent_at"] = now
        self.transmit(now, flow, data)

    def transmit(self, now, flow, data):
        if flow["pending"] is not data or flow["state"] not in ("open", "half"):
            return
        if now - flow["sent_at"] > 4.0:
            self.unanswered += 1
            flow["pending"], flow["state"] = None, "failed"
            return
        self.send(flow, pack(ACK, flow["source"], self.route, flow["next"], flow["ack"], data))
        self.at(now + flow["interval"], self.transmit, flow, data)
        flow["interval"] = min(flow["interval"] * 2, 1.6)

    def close(self, now, flow):
        if flow["state"] in ("open", "half"):
            flow["state"] = "closing"
            self.send(flow, pack(ACK | FIN, flow["source"], self.route, flow["next"], flow["ack"]))

    def on_packet(self, now, raw):
        flags, source, destination, seq, ack, data, checksum = unpack(raw)
        flow = self.flows.get(destination[1])
        if flow is None or source != self.route or destination[0] != self.host:
            self.odd_packets.append(raw)
            return
        if flags & RST:
            if flow["state"] == "opening":
                flow["state"] = "failed"
                self.refused += 1
            elif flow["state"] in ("open", "half"):
                flow["state"] = "reset"
                flow["reset_at"] = now
                self.resets.append((flow, checksum == 0, (seq - flow["ack"]) & MASK))
        elif flags & SYN:
            if flow["state"] == "opening":
                flow.update(state="open", next=flow["seq"] + 1, ack=seq + 1, opened=now)
                self.opened += 1
                self.send(flow, pack(ACK, flow["source"], self.route, flow["next"], flow["ack"]))
                if flow["on_open"]:
                    flow["on_open"](now, flow)
        elif flow["state"] in ("open", "half"):
            if flow["state"] == "half" and flow["pending"] is not None and not data and \
                    ack == (flow["next"] + len(flow["pending"])) & MASK:
                flow["next"] += len(flow["pending"])
                flow["pending"] = None
                flow["received"] = True
            if data and seq == flow["ack"] & MASK:
                flow["ack"] += len(data)
                if flow["pending"] is not None:
                    flow["next"] += len(flow["pending"])
                    flow["pending"] = None
                    self.answered += 1
                    if flow["on_answer"]:
                        self.at(now, flow["on_answer"], flow, data)
                else:
                    self.send(flow, pack(ACK, flow["source"], self.route, flow["next"], flow["ack"]))
            if flags & FIN and flow["state"] == "open":
                flow["ack"] += 1
                flow["state"], flow["half_at"] = "half", now
                self.send(flow, pack(ACK, flow["source"], self.route, flow["next"], flow["ack"]))

    def run_until(self, end):
        with selectors.DefaultSelector() as selector:
            selector.register(self.udp, selectors.EVENT_READ)
            while (now := time.monotonic()) < end:
                while self.timers and self.timers[0][0] <= now:
                    _, _, action, arguments = heapq.heappop(self.timers)
                    action(now, *arguments)
                wait = min(end, self.timers[0][0] if self.timers else end) - time.monotonic()
                if selector.select(max(wait, 0)):
                    for _ in range(256):
                        try:
                            raw = self.udp.recv(2000)
                        except BlockingIOError:
                            break
                        self.on_packet(time.monotonic(), raw)


def text(key):
    return f"{socket.inet_ntoa(key[0])}:{key[1]}"
