import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import parts2 as p

MOST = 1          # of one service on one machine, for wallet-api
LOOK_S = 0.1      # until a host has looked at an ask: others wait before it
SHORT_S = 0.4     # how long one container runs; its answer is the one that never arrives
LIFE_S = 18.0     # how long the others run (16 to 24 s on average)
LOST = 5          # which answer never arrives, of ten and more (0.1 to 0.35 of them)
WAIT_S = 8.0
ASKS_S = 16.0     # so long the owner keeps the number of its containers


async def body(run):
    # One machine of the kind that wallet-api needs.
    big = p.Host(run, 's-00000000', site='hall-a', kind='node-big', block=1, cores=56, memory=120)
    hosts = [big] + [p.Host(run, f's-{i:08x}', site='hall-b', block=2) for i in (1, 2)]
    bus = p.Bus(run)
    await bus.start()
    for host in hosts:
        await host.start()
    bus.tell([host.entry() for host in hosts], whole=True)
    settings = p.settings(['hall-a', 'hall-b'],
                          [p.group('ledger-worker', 'guarded', 600, 6000, key_scope='cell', repeat_window_us=5000000),
                           p.group('wallet-api', 'free', 4000, 8000)],
                          [('node-std', 28, 60), ('node-big', 56, 120)],
                          class_spread=['machine', 'machine'], class_most=[2, MOST], kind_by_class=[-1, 1], pushes_out=True)
    placer = await p.two_placers(run, bus, settings)
    await asyncio.sleep(1)

    service_of = {}
    accepted = []
    answered = set()  # ids whose copy was answered: those count as placed beyond doubt

    def on_setup(host, link, message):
        service = service_of[message.task]
        beside = [task for task in host.standing if task != message.task and service_of[task] == service and task in answered]
        if len(beside) + 1 > MOST:
            run.break_rule(f'{host.name} is sent {message.task:016x} of service {service} while ' +
                           ' '.join(f'{task:016x}' for task in beside) + f' of that service stands there: {len(beside) + 1}, most {MOST}')

        async def look():
            await asyncio.sleep(LOOK_S)
            if not link.open or link.useless or message.task in host.standing:
                return
            accepted.append(message.task)
            short = len(accepted) == LOST
            if short and p.TROUBLE:
                host.standing[message.task] = link
                link.useless = True
                run.say(f'{host.name}: {message.task:016x} stands; its answer never arrives, and nothing more on that connection')
            else:
                answered.add(message.task)
                host.accept(link, message)
            await asyncio.sleep(SHORT_S if short else LIFE_S)
            answered.discard(message.task)
            host.end(message.task)
        asyncio.ensure_future(look())

    for host in hosts:
        host.on_setup = on_setup
    owner = p.Owner(run, 'owner', placer)
    await owner.connect()

    def ask(service):
        task = int.from_bytes(os.urandom(8), 'big') | 1
        service_of[task] = service
        return owner.ask('wallet-api', f'cores:1;memory:2;service:{service}', WAIT_S, task=task)

    started = time.time()
    asked, seen = [], set()
    for i in range(10):
        asked.append(ask(f'{0xb4d65521 + i:016x}'))
        if i != 1:  # the second and the third come together, so the placer opens a second connection
            await asyncio.sleep(0.7)
    while time.time() - started < ASKS_S:
        await asyncio.sleep(0.1)
        for request in list(asked):  # what is over is followed by another container of its service
            told = request.released()
            if not told or request.task in seen:
                continue
            seen.add(request.task)
            run.say(f'{request.task:016x} was released with cause {told[1]}; ' +
                    ('it stands' if request.task in big.standing else 'it has ended') + f' at {big.name}')
            asked.append(ask(service_of[request.task]))
    await asyncio.sleep(2)


p.main(__file__, body)
