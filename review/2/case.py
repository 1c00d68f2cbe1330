"""An endpoint leaves while the store is down; its node acknowledges that and is then restarted."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import BOUNDS, CannotRun, Target, TROUBLE, main, now

OUTAGE_S = 8.0     # the longest platform_down of the site file
LINGER_S = 14.0    # "it continues serving for DrainS after the acknowledgement and a little longer (at times many seconds)"


async def play(case):
    await case.deploy([("side-1", "payouts", "z1"), ("side-2", "payouts", "z1"), ("side-3", "cafe", "z1")])
    leaving_node, other_node, client_node = case.nodes
    case.put_configuration(7, [("refund", "pay.example", "/refund/", "non_idempotent", "payouts"),
                               ("menu", "cafe.example", "/menu/", "idempotent", "cafe")])
    for index, node in enumerate(case.nodes):
        node.start()
        node.target = Target(case, node, f"i-{index + 1}", work_s=0.2)
        await node.target.start()
    for node in case.nodes:
        await case.wait_until(node.is_ready, 20, f"{node.name} is ready")
    leaving = leaving_node.target
    await asyncio.sleep(1)
    case.keep_sending(client_node, "POST", "pay.example", "/refund/1", 20)
    await case.wait_until(lambda: len(leaving.runs) > 5 and len(other_node.target.runs) > 5, 10,
                          "both endpoints get requests")
    await asyncio.sleep(BOUNDS["StableWindowS"])

    store_back = now()
    if TROUBLE:
        case.store.set_silent(True)
        down_at = now()
        case.say("store: down")
        await asyncio.sleep(0.3)
    leaving_told_at = now()
    acknowledged_at = await leaving.deregister()
    case.say(f"{leaving.identity}: deregister acknowledged by {leaving_node.name} "
             f"after {acknowledged_at - leaving_told_at:.2f} s")
    await asyncio.sleep(0.1)
    leaving_node.kill(signal.SIGTERM)
    case.say(f"platform: SIGTERM to {leaving_node.name}")
    if not await leaving_node.wait_for_exit(BOUNDS["GraceS"]):
        leaving_node.kill(signal.SIGKILL)
        await leaving_node.wait_for_exit(1)
    case.say(f"{leaving_node.name}: its process has ended")
    await asyncio.sleep(0.3)
    leaving_node.start()
    started_at = now()
    case.say(f"{leaving_node.name}: started again")
    if TROUBLE:
        await asyncio.sleep(max(0, down_at + OUTAGE_S - now()))
        case.store.set_silent(False)
        store_back = now()
        case.say("store: back")
    # From here on all machines are in touch: their processes ran, and the store was there, for StableWindowS.
    in_touch_at = max(store_back, started_at) + BOUNDS["StableWindowS"]
    await asyncio.sleep(max(0, acknowledged_at + LINGER_S - now()))
    leaving.exit()
    case.say(f"{leaving.identity}: the endpoint has ended")
    await asyncio.sleep(3)

    late = [run for run in leaving.runs
            if run["at"] > acknowledged_at + BOUNDS["DrainS"] and
            case.sent[run["attempt"]]["at"] > in_touch_at]
    any_late = [run for run in leaving.runs if run["at"] > acknowledged_at + BOUNDS["DrainS"]]
    lost = [run["attempt"] for run in any_late if case.sent[run["attempt"]]["status"] != 200]
    if now() < in_touch_at + 1:
        raise CannotRun("the machines were not in touch for long enough")
    case.say(f"requests that reached {leaving.identity} later than DrainS after the acknowledgement: "
             f"{len(any_late)}, of them sent by machines in touch: {len(late)}, without a good answer: {len(lost)}")
    return len(late) > 0


main(os.path.dirname(os.path.abspath(__file__)), play)
