"""The node that steers a roll-out restarts while the store turns it away; then the new version turns bad."""
import asyncio
import json
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import BOUNDS, Target, TROUBLE, main, now

MACHINES = [("side-1", "cafe", "v1"), ("side-2", "payouts", "v1"), ("side-3", "payouts", "v1"),
            ("side-4", "payouts", "v2"), ("side-5", "payouts", "v2"), ("side-6", "cafe", "v1")]
REJECTED_S = 5.0      # platform_down (nodes) of the site file: up to 9 s, for up to .35 of the machines
BAD_AFTER_S = 2.5     # the version turns bad so long after the restart
BAD_SHARE = 0.5       # rollout_bad (late): share .5 of its requests fail
PER_S = 60


async def play(case):
    await case.deploy([(name, service, "z1") for name, service, _ in MACHINES])
    case.put_configuration(7, [("refund", "pay.example", "/refund/", "non_idempotent", "payouts"),
                               ("menu", "cafe.example", "/menu/", "idempotent", "cafe")])
    for index, (node, (_, _, version)) in enumerate(zip(case.nodes, MACHINES)):
        node.start()
        node.target = Target(case, node, f"i-{index + 1}", version=version, work_s=0.05)
        if version == "v1":
            await node.target.start()
    for node in case.nodes:
        await case.wait_until(node.is_ready, 20, f"{node.name} is ready")
    steering_node, client_node = case.nodes[1], case.nodes[5]
    new_targets = [case.nodes[3].target, case.nodes[4].target]
    await asyncio.sleep(1)
    case.keep_sending(client_node, "POST", "pay.example", "/refund/1", PER_S)
    await asyncio.sleep(BOUNDS["StableWindowS"])
    case.store.put("op", "rollout/payouts", json.dumps({"Service": "payouts", "To": "v2", "DurationS": 16}))
    case.say("operator: roll-out of payouts to v2 ordered")
    for target in new_targets:
        await target.start()

    def recorded():
        row = case.store.value("peridot", "rollout/payouts")
        return json.loads(row) if row else {}

    await case.wait_until(lambda: recorded().get("share", 0) >= 0.25, 20, "a quarter of the requests goes to v2")
    case.say(f"a quarter of the requests goes to v2; the step was written by {steering_node.name}")
    store_whole_at = now()
    if TROUBLE:
        case.store.reject([steering_node.ip])
        rejected_at = now()
        case.say(f"store: turns {steering_node.name} away with 503, serves the others and the operator")
        steering_node.kill(signal.SIGKILL)
        await steering_node.wait_for_exit(2)
        await asyncio.sleep(0.3)
        steering_node.start()
        case.say(f"{steering_node.name}: killed and started again")
    await asyncio.sleep(BAD_AFTER_S if TROUBLE else 0)
    for target in new_targets:
        target.is_failing = lambda: random.random() < BAD_SHARE
    case.say(f"v2 turns bad; {recorded()['share']:.0%} of the requests go to it")
    if TROUBLE:
        await asyncio.sleep(max(0, rejected_at + REJECTED_S - now()))
        case.store.reject([])
        store_whole_at = now()
        case.say(f"store: serves {steering_node.name} again")
    # From here on the core is stable and all machines are in touch.
    stable_at = store_whole_at + (BOUNDS["StableWindowS"] if TROUBLE else 0)
    await asyncio.sleep(max(0, stable_at - now()) + 20)

    bad = sorted(at for target in new_targets for at in target.bad if at > stable_at)
    runs = [run for target in new_targets for run in target.runs]
    late = [run for run in runs
            if len(bad) >= 50 and case.sent[run["attempt"]]["at"] > bad[49] + BOUNDS["RollbackS"]]
    case.say(f"bad answers since the core was stable: {len(bad)}; requests sent later than RollbackS after the 50th "
             f"that reached v2: {len(late)}; status: {case.store.value('status', 'rollout/payouts')}")
    return len(late) > 0


main(os.path.dirname(os.path.abspath(__file__)), play)
