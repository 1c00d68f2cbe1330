"""Clients send further requests before the first has been answered, and three in ten leave early."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import BOUNDS, Target, TROUBLE, main, now, read_message

CLIENTS = 100
DEPTH = 16         # requests that a client sends before the first has been answered
LEAVE_SHARE = 0.3        # give_up: share .3 of the clients
LEAVE_WITHIN_S = 0.3     # give_up: within half of the objective
DEADLINE_S = 2.0
THINK_S = 0.1            # a client's pause; it honours a longer Retry-After
KEPT_CONNECTIONS = 20
PLAY_S = 60


async def lookups(case, node):
    """A client with a kept connection, on which it always has several lookups under way."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*node.calls_address)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        try:
            stays = True
            while stays:
                text = ""
                attempts = []
                for _ in range(DEPTH):
                    case.attempts += 1
                    attempts.append(f"{case.attempts:08x}")
                    case.note("sent", attempt=attempts[-1], node=node.name, request="GET /menu/")
                    text += (f"GET /menu/{case.attempts} HTTP/1.1\r\nHost: cafe.example\r\n"
                             f"X-Attempt-Id: {case.attempts:08x}\r\nX-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n")
                writer.write(text.encode())
                pause = THINK_S
                leaves = TROUBLE and random.random() < LEAVE_SHARE
                try:
                    async with asyncio.timeout(random.uniform(0, LEAVE_WITHIN_S) if leaves else DEADLINE_S):
                        for attempt in attempts:
                            answer = await read_message(reader)
                            if answer is None:
                                case.note("closed", attempt=attempt)
                                stays = False
                                break
                            case.note("answered", attempt=attempt, status=answer[0].split(" ")[1])
                            pause = max(pause, float(answer[1].get("retry-after", "0")))
                except TimeoutError:
                    case.note("left", first_unanswered=attempt)
                    stays = False
                if stays:
                    await asyncio.sleep(pause)
        except OSError:
            pass
        # What is unread is lost; the kernel tells the node so.
        writer.close()
        await asyncio.sleep(THINK_S)


async def play(case):
    await case.deploy([("side-1", "cafe", "z1"), ("side-2", "payouts", "z1"), ("side-3", "front", "z1")])
    client_node = case.nodes[2]
    case.put_configuration(7, [("menu", "cafe.example", "/menu/", "idempotent", "cafe"),
                               ("refund", "pay.example", "/refund/", "non_idempotent", "payouts")])
    for index, node in enumerate(case.nodes):
        node.start()
        node.target = Target(case, node, f"i-{index + 1}", work_s=0.4 if node.service == "payouts" else 0.2)
        await node.target.start()
    for node in case.nodes:
        await case.wait_until(node.is_ready, 20, f"{node.name} is ready")
    await asyncio.sleep(2)
    for _ in range(KEPT_CONNECTIONS):
        case.keep_connection(client_node, "POST", "pay.example", "/refund/1")
    await asyncio.sleep(BOUNDS["StableWindowS"])
    case.say(f"{CLIENTS} clients send {DEPTH} lookups at a time")
    for _ in range(CLIENTS):
        case.tasks.append(asyncio.create_task(lookups(case, client_node)))
    ends = []
    until = now() + PLAY_S
    while now() < until and len(ends) < 3:
        await asyncio.sleep(0.05)
        if client_node.process.poll() is not None:
            ends.append(client_node.process.returncode)
            case.say(f"{client_node.name}: its process ended by itself with {client_node.process.returncode}")
            await asyncio.sleep(0.3)
            client_node.start()
    ran = {run["attempt"] for run in case.nodes[1].target.runs}
    lost = [attempt for attempt, sent in case.sent.items() if attempt in ran and sent["end"] == "closed"]
    case.say(f"processes that ended by themselves: {len(ends)}; refunds that an endpoint had run or was running "
             f"when their kept connection was closed without an answer: {len(lost)}")
    return len(lost) > 3


main(os.path.dirname(os.path.abspath(__file__)), play)
