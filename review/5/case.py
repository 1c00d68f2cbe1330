"""The operator's next version is a time in milliseconds; all processes are killed right after its acknowledgement."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import BOUNDS, CannotRun, Target, TROUBLE, main, now

FIRST_VERSION = 7
NEXT_VERSION = 1_796_490_000_000 if TROUBLE else 8    # "Versions increase in uneven steps"
DOWN_S = 0.7                                          # closing kill_all of the site's days: 0.84 s
MEASURED_S = 6
ROUTES = [("refund", "pay.example", "/refund/", "non_idempotent", "payouts"),
          ("menu", "cafe.example", "/menu/", "idempotent", "cafe")]


async def play(case):
    await case.deploy([("side-1", "cafe", "z1"), ("side-2", "payouts", "z1"), ("side-3", "payouts", "z1")])
    case.put_configuration(FIRST_VERSION, ROUTES)
    for index, node in enumerate(case.nodes):
        node.start()
        node.target = Target(case, node, f"i-{index + 1}", work_s=0.05)
        await node.target.start()
    for node in case.nodes:
        await case.wait_until(node.is_ready, 20, f"{node.name} is ready")
    await asyncio.sleep(1)
    case.keep_sending(case.nodes[0], "POST", "pay.example", "/refund/1", 20)
    await asyncio.sleep(MEASURED_S)
    acknowledged_at = case.put_configuration(NEXT_VERSION, ROUTES)
    await asyncio.sleep(0.05)
    for node in case.nodes:
        node.kill(signal.SIGKILL)
    for node in case.nodes:
        await node.wait_for_exit(2)
    case.say("platform: all processes of the system are killed")
    await asyncio.sleep(DOWN_S)
    for node in case.nodes:
        node.start()
    back_at = now()
    case.say("platform: all processes are started again")
    await asyncio.sleep(BOUNDS["RecoveryS"] + MEASURED_S)
    until = now() - 2.5

    def share(of, served):
        return len(served) / len(of) if of else 0

    before = [sent for sent in case.sent.values() if sent["at"] < acknowledged_at - 0.5]
    after = {attempt: sent for attempt, sent in case.sent.items()
             if back_at + BOUNDS["RecoveryS"] < sent["at"] < until}
    ran = {run["attempt"] for node in case.nodes for run in node.target.runs}
    share_before = share(before, [sent for sent in before if sent["status"] == 200])
    share_after = share(after, [sent for sent in after.values() if sent["status"] == 200])
    if not after or share_before < 0.25:
        raise CannotRun("too few requests were served before the fault")
    statuses = {sent["status"] for sent in after.values()}
    case.say(f"served before the final fault: {share_before:.0%} of {len(before)}; later than RecoveryS after the "
             f"machines are back: {share_after:.0%} of {len(after)}; statuses then: {statuses}; of these run at an "
             f"endpoint: {sum(1 for attempt in after if attempt in ran)}")
    return share_after < 0.25


main(os.path.dirname(os.path.abspath(__file__)), play)
