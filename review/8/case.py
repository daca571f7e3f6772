import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import parts2 as p

AWAY_S = 0.3      # how long an owner is gone
LIFE_S = 6.0      # how long a container runs on after that
RELEASE_S = 1.05  # 'within 1 s of the release by the host', and the slack of 50 ms
WAIT_S = 8.0
FRONTS = ['127.0.0.1', '127.0.0.2']  # the front layer's two addresses; an owner that comes again may come through either


async def body(run):
    hosts = [p.Host(run, f's-{i:08x}', block=1 + i // 2) for i in range(4)]
    bus = p.Bus(run)
    await bus.start()
    for host in hosts:
        await host.start()
    bus.tell([host.entry() for host in hosts], whole=True)
    settings = p.settings(['room-1', 'room-2'],
                          [p.group('ledger-worker', 'guarded', 600, 6000, key_scope='cell', repeat_window_us=5000000),
                           p.group('split-api', 'free', 4000, 8000)],
                          [('node-std', 28, 60), ('node-big', 56, 120)])
    placer = await p.two_placers(run, bus, settings)
    await asyncio.sleep(1)

    owners = [p.Owner(run, f'owner{i}', placer, FRONTS[i % 2]) for i in range(10)]
    asked, held = [], []
    for i, owner in enumerate(owners):
        await owner.connect()
        asked.append(owner.ask('split-api', f'cores:1;memory:2;service:{0xb4d65521 + i:016x}', WAIT_S))
    await asyncio.sleep(1)
    if not all(request.final and request.final[1] == 'stands' for request in asked):
        raise p.CannotRun('not all containers stand')
    for request in asked:
        held.append(next(host for host in hosts if request.task in host.standing))
    waits = list(zip(owners, asked, held))
    if p.TROUBLE:
        for i in range(4):  # 4 of 10 drop and come again; two of them through the front's other address
            owner, request, host = waits[i]
            run.say(f'{owner.name} drops its connection')
            owner.link.writer.transport.abort()
            await asyncio.sleep(AWAY_S)
            again = p.Owner(run, f'{owner.name} again', placer, FRONTS[(i + i // 2) % 2])
            await again.connect()
            report = again.ask('split-api', f'cores:1;memory:2;service:{0xb4d65521 + i:016x};at:{host.name}', task=request.task,
                               name=request.name)
            again.ask('split-api', f'cores:1;memory:2;service:{0xb4d65521 + i:016x}', WAIT_S)  # and goes on with its work
            waits[i] = (again, report, host)
    for _ in range(int(LIFE_S)):
        await asyncio.sleep(1)
        for _, request, host in waits:
            host.note(request.task, 'cores', 0.5)
    for _, request, host in waits:
        host.end(request.task)
    await asyncio.sleep(9)
    for owner, request, host in waits:
        ended, _ = host.ended[request.task]
        told = request.released()
        if not told:
            run.break_rule(f'{request.task:016x} of {owner.name}: no release in {time.time() - ended:.1f} s after its end')
        elif told[0] - ended > RELEASE_S:
            run.break_rule(f'{request.task:016x} of {owner.name}: released {told[0] - ended:.2f} s after its end')


p.main(__file__, body)
