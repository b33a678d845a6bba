"""A replica leaves, every core process is killed, and an edge that was frozen meanwhile goes on sending to it."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "4"))

from harness import BOUNDS, TOUCH_S, Replica, configuration, identity, now, play, put, request

FREEZE_S = 2.0          # of one edge
CORE_AWAY_S = 0.5       # "every process of the core may be killed at once and return within a second"
SERVES_ON_S = 8.0       # drain_timeout_ms and "a little longer (at times many seconds)"
WORK_S = 0.3            # the site's vouchers take 0.104 s on average, 0.8 s at most
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000


async def client(tier, edge, until, answered):
    """Twelve vouchers a second through one edge."""
    async def one():
        request_id = identity()
        answer = await request(tier, edge, "POST", "/voucher/2f", request_id, 3000, body=b"one voucher")
        if answer and answer.status == 200:
            answered.add(request_id)

    pending = set()
    while now() < until:
        task = asyncio.create_task(one())
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / 12)
    if pending:
        await asyncio.wait(pending, timeout=4)


async def case(tier, record, trouble):
    stays = [Replica(tier, f"i-stays-{number}", "shop", work_s=WORK_S) for number in range(2)]
    model = Replica(tier, "i-model", "model")
    leaves = Replica(tier, "i-leaves", "shop", work_s=WORK_S)
    for replica in (*stays, model, leaves):
        await replica.start()
    if await put(tier, 0, configuration(1), 20) is None:
        return None
    await tier.until_ready()
    end = now() + 18
    answered = set()
    clients = [asyncio.create_task(client(tier, edge, end, answered)) for edge in tier.edges]
    await asyncio.sleep(TOUCH_S + 1)

    frozen = tier.edges[0]
    if trouble:
        frozen.signal(signal.SIGSTOP)
        frozen_at = now()
        await asyncio.sleep(0.3)
    leaves.stop_beats()
    acknowledged = await leaves.tell("DELETE")
    left_at = now()
    record.line(f"i-leaves has left, acknowledged: {acknowledged}")
    calm_from = 0.0
    if trouble:
        await asyncio.sleep(0.2)
        for machine in tier.core:
            machine.kill()
        await asyncio.sleep(CORE_AWAY_S)
        for machine in tier.core:
            machine.start()
        calm_from = now()
        await asyncio.sleep(max(0, frozen_at + FREEZE_S - now()))
        frozen.signal(signal.SIGCONT)
        calm_from = max(calm_from, now())
    in_touch_from = calm_from + TOUCH_S
    record.line(f"all machines are in touch from {in_touch_from:.3f} on")
    await asyncio.sleep(max(0, left_at + SERVES_ON_S - now()))
    await leaves.stop()
    record.line("i-leaves has ended")
    await asyncio.gather(*clients)
    for replica in (*stays, model):
        await replica.stop()
    late = [run for run in leaves.runs if run[0] > max(left_at + DRAIN_S, in_touch_from)]
    for at, request_id, _ in late:
        ended = "answered" if request_id in answered else "cut when it ended, not answered"
        record.line(f"too late: {request_id} reached i-leaves {at - left_at:.3f} s after the acknowledgement; {ended}")
    cut = sum(request_id not in answered for _, request_id, _ in late)
    text = f"{len(late)} requests reached i-leaves too late, {cut} of them were cut when it ended"
    record.line(text)
    print(text)
    return acknowledged and not late


if __name__ == "__main__":
    play(case, pathlib.Path(__file__).parent)
