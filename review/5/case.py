"""Three clients send bodies that the operator's limits allow; the process grows over its memory and ends."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import BOUNDS, Target, TROUBLE, main, now

MEMORY_MB = 260                          # Limits.MemoryMb of the settings
LARGE_BYTES = 60 * 1024 * 1024           # MaxBodyBytes of the configuration is 64 MiB
SMALL_BYTES = 64 * 1024
UPLOADS = 3
KEPT_CONNECTIONS = 30


def memory_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


async def play(case):
    await case.deploy([("side-1", "payouts", "z1"), ("side-2", "payouts", "z1"), ("side-3", "cafe", "z1")])
    client_node = case.nodes[2]
    case.put_configuration(7, [("refund", "pay.example", "/refund/", "non_idempotent", "payouts")])
    for index, node in enumerate(case.nodes):
        node.start()
        node.target = Target(case, node, f"i-{index + 1}", work_s=0.6)
        await node.target.start()
    for node in case.nodes:
        await case.wait_until(node.is_ready, 20, f"{node.name} is ready")
    await asyncio.sleep(1)
    for _ in range(KEPT_CONNECTIONS):
        case.keep_connection(client_node, "POST", "pay.example", "/refund/1")
    await asyncio.sleep(BOUNDS["StableWindowS"] + 2)

    peaks = {node.name: 0.0 for node in case.nodes}
    ends = []

    async def watch_memory():
        """The platform kills a process that exceeds MemoryMb, and starts it again after a short delay."""
        while True:
            for node in case.nodes:
                used = memory_mb(node.process)
                peaks[node.name] = max(peaks[node.name], used)
                if used > MEMORY_MB:
                    ends.append(now())
                    node.kill(signal.SIGKILL)
                    case.say(f"platform: {node.name} uses {used:.0f} MB of {MEMORY_MB} MB, killed")
                    await node.wait_for_exit(2)
                    await asyncio.sleep(0.3)
                    node.start()
            await asyncio.sleep(0.002)
    case.tasks.append(asyncio.create_task(watch_memory()))

    size = LARGE_BYTES if TROUBLE else SMALL_BYTES
    case.say(f"{UPLOADS} clients send a body of {size} bytes each")

    async def upload():
        connection = await asyncio.open_connection(*client_node.calls_address)
        await case.send_on(connection, client_node, "POST", "pay.example", "/refund/2", 4.0, b"x" * size)
        connection[1].close()
    await asyncio.gather(*[upload() for _ in range(UPLOADS)])
    await asyncio.sleep(4)

    ran = {run["attempt"] for node in case.nodes for run in node.target.runs}
    lost = [attempt for attempt, sent in case.sent.items()
            if attempt in ran and sent["end"] == "closed" and sent["path"] == "/refund/1"]
    case.say("memory at its peak: " + ", ".join(f"{name} {peak:.0f} MB" for name, peak in peaks.items()))
    case.say(f"refunds that an endpoint had run or was running when their kept connection was closed without "
             f"an answer: {len(lost)}; processes that ended: {len(ends)}")
    return len(lost) > 3


main(os.path.dirname(os.path.abspath(__file__)), play)
