#!/usr/bin/env python3
"""Tests with real processes on loopback: invalid settings, invalid input on every port, kills, frozen processes and
planned stops.

Arguments: folder of the programs, then unittest arguments.
"""

import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import local_cluster  # noqa: E402

BINARIES = sys.argv.pop(1) if len(sys.argv) > 1 else "build/src"


class Settings(unittest.TestCase):
    def run_program(self, name, *arguments):
        cluster = local_cluster.LocalCluster(BINARIES)
        try:
            result = subprocess.run([cluster.program(name), *arguments], capture_output=True, text=True, timeout=20,
                                    check=False)
        finally:
            cluster.shut_down()
        return result.returncode, result.stderr

    def test_all_bad_settings_are_reported_at_once(self):
        """Guards against a program that reports only the first invalid setting, or starts in spite of it."""
        code, text = self.run_program("peridotcleat-balancer", "--name", "x" * 65, "--zone", "z", "--listen", "nowhere",
                                      "--data", "127.0.0.1:0", "--admin", "127.0.0.1:1", "--parents", "a,b",
                                      "--workers", "65", "--check")
        self.assertEqual(code, 2)
        for setting in ["--name", "--listen", "--data", "--parents", "--workers"]:
            self.assertIn(f"setting={setting} ", text)
        self.assertIn("error=100 name=invalid_setting", text)
        self.assertIn('permitted="1 to 64"', text)

    def test_check_accepts_good_settings_and_starts_nothing(self):
        """Guards against a --check that binds addresses or rejects valid settings."""
        code, text = self.run_program("peridotcleat-balancer", "--name", "b", "--zone", "z", "--listen",
                                      "127.0.0.1:1", "--data", "127.0.0.1:2", "--admin", "127.0.0.1:3",
                                      "--parents", "127.0.0.1:4", "--check")
        self.assertEqual((code, text), (0, ""))

    def test_data_folder_of_another_node_or_not_writable(self):
        """Guards against two processes that use the same log, and against a crash without a numbered error.

        A second process starts on a folder that is in use, on the folder of a node with another name, and on a path
        below a file.
        """
        cluster = local_cluster.LocalCluster(BINARIES, net=11)
        folder = cluster.folder / "data"
        folder.mkdir()
        (folder / "file").write_text("")
        try:
            def start(name, data):
                return subprocess.run(
                    [cluster.program("peridotcleat-control"), "--name", name, "--zone", "z", "--listen",
                     "127.11.1.1:7000", "--admin", "127.11.1.1:7100", "--peers", f"{name}=127.11.1.1:7000",
                     "--data-folder", str(data), "--bootstrap"], capture_output=True, text=True, timeout=20, check=False)
            cluster.launch("first", "peridotcleat-control", "--name", "first", "--zone", "z", "--listen",
                           "127.11.1.2:7000", "--admin", "127.11.1.2:7100", "--peers", "first=127.11.1.2:7000",
                           "--data-folder", str(cluster.folder / "d1"), "--bootstrap")
            self.assertIsNotNone(cluster.wait_until(10, lambda: (cluster.folder / "d1" / "identity").exists()))
            in_use = start("first", cluster.folder / "d1")
            self.assertIn("error=200 name=folder_not_writable", in_use.stderr)
            cluster.stop("first")
            other = start("second", cluster.folder / "d1")
            self.assertEqual(other.returncode, 1)
            self.assertIn("error=201 name=folder_of_other_node", other.stderr)
            blocked = start("third", folder / "file")
            self.assertIn("error=200 name=folder_not_writable", blocked.stderr)
        finally:
            cluster.shut_down()


class Cluster(unittest.TestCase):
    """All cases use one cluster and depend on its state, so they must run in the order of their names."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = local_cluster.LocalCluster(BINARIES, seed=5, net=12)
        # tearDownClass does not run if this method fails; the next run would meet the processes of this one.
        cls.addClassCleanup(cls.cluster.shut_down)
        for i in range(local_cluster.CONTROL_COUNT):
            cls.cluster.start_control(i)
        assert cls.cluster.wait_until(
            15, lambda: cls.cluster.command("describe", "--timeout", "1")[0] == 0) is not None
        for i in range(2):
            cls.cluster.start_balancer(i)
        cls.cluster.start_fabric()
        for i in range(len(local_cluster.UPSTREAMS)):
            cls.cluster.start_upstream(i, "--stop-ms", "8000")
        cls.version = 0
        cls.accept([{"add": {"name": n, "addresses": [a]}} for n, a in cls.cluster.services.items()])
        assert cls.cluster.wait_until(
            20, lambda: len(cls.cluster.upstreams()) == len(local_cluster.UPSTREAMS)) is not None

    @classmethod
    def accept(cls, operations):
        code, answer = cls.cluster.patch(f"patch-{cls.version}", cls.version, operations)
        assert code == 0 and answer["status"] == "accepted", answer
        assert answer["version"] == cls.version + 1, answer
        cls.version += 1

    def assert_all_running(self):
        for name in self.cluster.processes:
            self.assertTrue(self.cluster.is_running(name), name)

    def test_1_bad_datagrams_on_every_port(self):
        """Guards against datagrams that crash a process, make it unresponsive or are not counted as refused.

        The datagrams are truncated, oversized or random, and none of them is a message of this protocol.
        """
        net = self.cluster.net
        ports = [f"{net}.1.1:7000", f"{net}.2.1:7000", f"{net}.2.1:7001", f"{net}.3.1:7000", f"{net}.4.1:7300",
                 f"{net}.10.1:5000"]
        random_generator = random.Random(1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for port in ports:
                host, number = port.split(":")
                for length in [0, 1, 2, 5, 40, 200, 1400, 65000] * 5:
                    sender.sendto(random_generator.randbytes(length), (host, int(number)))
        time.sleep(0.5)
        self.assert_all_running()
        for admin_address in [f"{net}.1.1:7100", f"{net}.2.1:7100", f"{net}.3.1:7100"]:
            counted = json.loads(self.cluster.http("GET", admin_address, "/counters")[1])
            refused = sum(n for name, n in counted.items() if name.startswith("refused_message_"))
            self.assertGreater(refused, 10, admin_address)

    def test_2_bad_requests_of_operators(self):
        """Guards against invalid patches that are partly applied, and against errors without their number and field."""
        leader_address = f"{self.cluster.net}.1.{int(self.cluster.leader()[-1]) + 1}:7100"
        add = {"name": "x", "addresses": [f"{self.cluster.net}.10.9:1"]}
        cases = [
            ("{", 400),
            (json.dumps({"patch_id": "a", "base": self.version, "operations": []}), 409),
            (json.dumps({"patch_id": "a", "base": self.version, "operations": [{"add": {**add, "colour": 1}}]}), 401),
            (json.dumps({"patch_id": "a", "base": self.version,
                         "operations": [{"add": {**add, "queue_per_slot": -1}}]}), 402),
            (json.dumps({"patch_id": "a", "base": self.version,
                         "operations": [
                             {"add": {**add, "addresses": [self.cluster.services["calendar-sync"]]}}]}), 403),
            (json.dumps({"patch_id": "a", "base": self.version,
                         "operations": [{"remove": "no-such-service"}]}), 406),
            ("[" * 100000, 400),
        ]
        for body, code in cases:
            status, text = self.cluster.http("POST", leader_address, "/v1/patches", body)
            self.assertEqual(json.loads(text).get("code"), code, text)
            self.assertNotEqual(status, 200)
        status, _ = self.cluster.http("POST", leader_address, "/v1/patches", b"x" * (5 << 20))
        self.assertEqual(status, 413)
        self.assertEqual(self.cluster.http("GET", leader_address, "/v1/nothing")[0], 404)
        self.assert_all_running()
        self.assertEqual(json.loads(self.cluster.command("describe")[1])["version"], self.version)

    def test_3_racing_operators_have_one_winner(self):
        """Guards against two concurrent patches that are both accepted on the same base version."""
        answers = []
        operations = [self.cluster.change_operations("calendar-sync", queue_per_slot=n) for n in range(5, 11)]
        threads = [threading.Thread(target=lambda i=i: answers.append(
            self.cluster.patch(f"race-{i}", self.version, operations[i])[1])) for i in range(len(operations))]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        states = sorted(a["status"] for a in answers)
        self.assertEqual(states, ["accepted"] + ["conflict"] * 5, answers)
        self.assertTrue(all(a["version"] == self.version + 1 for a in answers), answers)
        type(self).version += 1

    def test_4_frozen_leader_accepts_nothing_afterwards(self):
        """Guards against a leader that accepts a patch on an old base version.

        The leader is stopped until its lease has expired and another leader has accepted a patch; then it continues and
        gets a patch on the version before.
        """
        leader = self.cluster.leader()
        self.cluster.signal(leader, signal.SIGSTOP)
        try:
            self.accept(self.cluster.change_operations("calendar-sync", queue_per_slot=6))
        finally:
            self.cluster.signal(leader, signal.SIGCONT)
        leader_address = f"{self.cluster.net}.1.{int(leader[-1]) + 1}:7100"
        late_patch = json.dumps({"patch_id": "late", "base": self.version - 1,
                                 "operations": self.cluster.change_operations("calendar-sync", queue_per_slot=9)})
        status, text = self.cluster.http("POST", leader_address, "/v1/patches", late_patch)
        # A patch that waited for a quorum when the leadership ended was not proposed, but an earlier attempt of it may
        # have been. The answer is then `outcome_unknown`.
        if status != 200 or json.loads(text)["status"] != "outcome_unknown":
            self.assertIn(status, [409, 421, 503], text)
        code, answer = self.cluster.patch("late", self.version - 1,
                                          self.cluster.change_operations("calendar-sync", queue_per_slot=9))
        self.assertEqual((code, answer["status"]), (1, "conflict"), answer)
        self.assertEqual(json.loads(self.cluster.command("describe")[1])["version"], self.version)

    def test_5_accepted_versions_survive_a_kill_and_a_lost_disk(self):
        """Guards against accepted versions that are lost when the leader is killed or its disk is lost as well.

        An empty data folder at the next start stands for a lost disk.
        """
        for lose_disk in [False, True]:
            leader = self.cluster.leader()
            self.cluster.stop(leader, signal.SIGKILL)
            if lose_disk:
                for file in (self.cluster.folder / leader).iterdir():
                    file.unlink()
            self.accept(self.cluster.change_operations("chart-rendering", queue_per_slot=7 + int(lose_disk)))
            self.cluster.start_control(int(leader[-1]))

            def all_voters():
                code, text = self.cluster.command("members", "--json")
                members = json.loads(text)["members"] if code == 0 else []
                return len(members) == 3 and all(m["voter"] for m in members)
            self.assertIsNotNone(self.cluster.wait_until(20, all_voters))
            time.sleep(1)
        history = json.loads(self.cluster.command("history", "--json")[1])["patches"]
        self.assertEqual([p["version"] for p in history], list(range(1, self.version + 1)))
        self.assertIsNotNone(self.cluster.wait_until(14, lambda: self.cluster.in_force(self.version)))

    def test_6_restarted_agent_is_a_new_incarnation(self):
        """Guards against a restarted agent that is taken for its former process, whose request records are lost."""
        def incarnation():
            return {u["name"]: u["incarnation"] for u in self.cluster.upstreams()}.get("chart-b")
        before = incarnation()
        self.cluster.stop("agent-chart-b", signal.SIGKILL)
        self.cluster.stop("upstream-chart-b", signal.SIGKILL)
        self.cluster.start_upstream(4, "--stop-ms", "8000")
        elapsed = self.cluster.wait_until(20, lambda: incarnation() not in (None, before))
        self.assertIsNotNone(elapsed)
        self.assertGreater(incarnation(), before)

    def test_7_planned_stops_lose_no_requests(self):
        """Guards against requests that get no answer or run twice because an agent or a balancer stops as planned."""
        self.cluster.start_callers(seconds=14, callers=20)
        time.sleep(3)
        self.assertEqual(self.cluster.stop("agent-calendar-c", signal.SIGTERM, limit=12), 0)
        self.cluster.balancers.remove(f"{self.cluster.net}.2.1:7001")
        self.cluster.update_fabric()
        self.assertEqual(self.cluster.stop("balancer-0", signal.SIGTERM, limit=12), 0)
        for service in self.cluster.services:
            self.assertEqual(self.cluster.processes.pop(f"caller-{service}").wait(40), 0)
        total = self.cluster.totals(show=True)
        self.assertEqual(self.cluster.violated_guarantees(total), [])
        self.assertEqual(total["outcome_unknown"], 0)
        self.assertGreater(total["answered"], 0.9 * total["requests"])


if __name__ == "__main__":
    unittest.main(verbosity=2)
