import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import parts2 as p

STALL_S = 1.9    # within 300 to 2,000 ms
GRACE_S = 0.25   # colombo-boards
SLACK_S = 0.05   # 'Each time limit is 50 ms longer'
REQUESTS = 24
EARLIER = 24


async def body(run):
    hosts = [p.Host(run, f's-{i:08x}', site='room-a', kind='common', block=1 + i // 2, cores=36, memory=80) for i in range(4)]
    bus = p.Bus(run)
    await bus.start()
    for host in hosts:
        await host.start()
    bus.tell([host.entry() for host in hosts], whole=True)
    settings = p.settings(['room-a', 'room-b', 'room-c'],
                          [p.group('board-web', 'free', 800, 8000),
                           p.group('digest-run', 'guarded', 600, 5000, key_scope='cell', repeat_window_us=6000000)],
                          [('common', 36, 80), ('jumbo', 60, 130)], drain_grace_ms=250,
                          class_spread=['cell', 'off'], class_most=[3, 2], kind_by_class=[-1, 1])
    placer = await p.two_placers(run, bus, settings)
    await asyncio.sleep(1)

    earlier = p.Owner(run, 'earlier', placer)  # tasks that stand, and some of which come to their end meanwhile
    await earlier.connect()
    for i in range(EARLIER):
        earlier.ask('board-web', f'cores:1;memory:2;service:{0xb4d65521 + i % 8:016x}', 8)
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    owners = [p.Owner(run, f'owner{i}', placer) for i in range(REQUESTS)]
    for owner in owners:
        await owner.connect()
    await asyncio.sleep(0.2)
    stall = None
    if p.TROUBLE:
        stall = asyncio.ensure_future(placer.stall(STALL_S))
        await asyncio.sleep(0.1)
    draining = hosts[:2]  # one rack is drained, as in a rolling deploy
    for host in draining:
        host.health = 'leaving'

        def refuse(host, link, message):
            host.say(link, p.encode(p.RELEASE, message.task, CAUSE=p.FULL, WHAT='not_here'), f'release {message.task:016x} cause 34')
        host.on_setup = refuse
    bus.tell([host.entry() for host in draining])
    told = bus.told_at[len(bus.events)]
    await asyncio.sleep(0.5)
    for host in hosts:
        for task in list(host.standing)[:2]:
            host.end(task)
    await asyncio.sleep(0.5)
    for i, owner in enumerate(owners):
        owner.ask('board-web', f'cores:1;memory:2;service:{0xb4d65521 + i % 8:016x}', 8)
    if stall:
        await stall
    await asyncio.sleep(3)
    for host in draining:
        for at, task, _ in host.received:
            if at - told > GRACE_S + SLACK_S:
                run.break_rule(f'set-up {task:016x} was sent to {host.name} {at - told:.3f} s after the bus had told that it drains')


p.main(__file__, body)
