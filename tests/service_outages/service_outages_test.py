"""Tests meta/service-outages: which stretches it finds, and which members it counts as unused."""
import json
import os
import subprocess
import tempfile
import unittest

SCRIPT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../meta/service-outages")


def line(at_ms, program, event, **fields):
    return json.dumps({"time_ms": at_ms, "level": "info", "program": program, "event": event, **fields},
                      separators=(",", ":"))


def member(name, version="v1"):
    return [line(0, name, "node_started", instance=name, service="deposits"),
            line(10, name, "target_changed", target="i-" + name, version=version, state="ready", sequence=1)]


def requests(status, reason, begin_ms=5000, count=40):
    event = "request_answered" if status < 500 else "request_not_answered"
    return [line(begin_ms + 50 * number, "caller", event, service="deposits", instance="dead", status=status,
                 reason=reason, sends=int(status < 500)) for number in range(count)]


def refusal(at_ms, name, reason, in_use=0):
    return line(at_ms, name, "gate_refused", reason=reason, in_use=in_use, slots=12)


class ServiceOutages(unittest.TestCase):
    def check(self, lines, exit_code):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
            log.write("\n".join(lines) + "\n")
            log.flush()
            run = subprocess.run([SCRIPT, log.name], capture_output=True, text=True)
        self.assertEqual(run.returncode, exit_code, run.stdout + run.stderr)
        return run.stdout

    # Guards against a service that is out beside a ready target and is not noticed (CONFIG on kcg-mesh).
    def test_ready_target_without_requests_is_unused(self):
        dead = refusal(5100, "dead", "request_connect_failed")
        out = self.check(member("dead") + member("idle") + [dead] + requests(503, "request_connect_failed"), 1)
        self.assertIn("0 of 40 answered", out)
        self.assertIn("unused: idle", out)

    # Guards against outages that are allowed and reported as a fault: full, stopping and condemned targets.
    def test_targets_that_cannot_serve_are_not_unused(self):
        failed = requests(503, "request_overloaded")
        full = [refusal(5000 + 100 * number, "full", "request_overloaded", 12) for number in range(20)]
        self.check(member("full") + full + failed, 0)
        self.check(member("stopping") + [line(4000, "stopping", "node_draining")] + failed, 0)
        status = json.dumps({"Service": "deposits", "To": "v2", "State": "rolled_back"})
        step = line(3000, "full", "rollout_step", service="deposits", version="v2", status=status)
        self.check(member("full") + member("bad", "v2") + [step] + full + failed, 0)

    # Guards against targets that refuse requests themselves and are reported as unused.
    def test_target_that_refuses_is_not_unused(self):
        refused = [line(5000 + 100 * number, "caller", "target_refused", instance="grey", status=503)
                   for number in range(20)]
        self.check(member("grey") + refused + requests(503, "request_overloaded"), 0)

    # Guards against stretches that are no outage: answered, short, or with few requests.
    def test_served_and_short_stretches_are_left_out(self):
        self.assertEqual("", self.check(member("idle") + requests(200, "ok"), 0))
        self.assertEqual("", self.check(member("idle") + requests(503, "request_draining", count=10), 0))

    # Guards against a file without log lines that passes for one without outages.
    def test_file_without_lines_is_refused(self):
        self.check(["no log"], 2)


unittest.main()
