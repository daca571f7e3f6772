import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import parts2 as p

MOST = 1           # of one service in one box, for split-api
HANDED_S = 0.2     # what is handed with `at` counts for the rules so long afterwards
LIFE_S = 20.0      # 16 to 24 s
BACK_S = 0.5       # how long the placer is gone
WAIT_S = 8.0
SERVICES = ['00000000b4d65521', '00000000b4d65522']
# A box tells of a container when its use changes. Most of these change often; the first one, every five seconds.
NOTE_EVERY_S = [5.0, 0.7, 0.8, 0.7, 0.8, 0.7, 0.8, 0.7]


async def body(run):
    hosts = [p.Host(run, f's-{i:08x}', kind='node-big', block=1 + i // 2, cores=56, memory=120) for i in range(4)]
    bus = p.Bus(run)
    await bus.start()
    for host in hosts:
        await host.start()
    bus.tell([host.entry() for host in hosts], whole=True)
    settings = p.settings(['room-1', 'room-2'],
                          [p.group('ledger-worker', 'guarded', 600, 6000, key_scope='cell', repeat_window_us=5000000),
                           p.group('split-api', 'free', 4000, 8000)],
                          [('node-std', 28, 60), ('node-big', 56, 120)],
                          class_spread=['machine', 'machine'], class_most=[2, MOST], kind_by_class=[-1, 1])
    placer = await p.two_placers(run, bus, settings)
    await asyncio.sleep(1)

    service_of = {}   # by the id of the set-up
    handed_at = {}    # by id: when this placer has held it for HANDED_S, or placed it

    def on_setup(host, link, message):
        service = service_of[message.task]
        now = time.time()
        beside = [task for task in host.standing if service_of[task] == service and handed_at.get(task, now) <= now]
        if len(beside) + 1 > MOST:
            run.break_rule(f'{host.name} is sent {message.task:016x} of service {service} while ' +
                           ' '.join(f'{task:016x}' for task in beside) + f' of that service stands there: {len(beside) + 1}, most {MOST}')
        handed_at[message.task] = now
        host.accept(link, message)

    for host in hosts:
        host.on_setup = on_setup

    def ask(owner, service, name=None):
        task = int.from_bytes(os.urandom(8), 'big') | 1
        service_of[task] = service
        return owner.ask('split-api', f'cores:1;memory:2;service:{service}', WAIT_S, task=task, name=name)

    owner = p.Owner(run, 'owner', placer)
    await owner.connect()
    asked = []
    for i in range(8):  # as many of each service as its spread leaves room for: one in each box
        asked.append(ask(owner, SERVICES[i // 4]))
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)
    if not all(request.final and request.final[1] == 'stands' for request in asked):
        raise p.CannotRun('not all containers stand')
    held = {request.task: host for request in asked for host in hosts if request.task in host.standing}

    id_of = {request.task: request.task for request in asked}  # the id by which its box knows a container now

    async def live(host, task, every):
        ends = time.time() + LIFE_S
        value = 0.5
        while time.time() + every < ends:
            await asyncio.sleep(every)
            value = 1.2 - value
            host.note(id_of[task], 'cores', value)
        await asyncio.sleep(max(0, ends - time.time()))
        host.end(id_of[task])

    lives = [asyncio.ensure_future(live(held[request.task], request.task, every)) for request, every in zip(asked, NOTE_EVERY_S)]
    await asyncio.sleep(5.5)
    reports = asked
    if p.TROUBLE:
        placer.signal(signal.SIGKILL)
        placer.process.wait()
        handed_at.clear()
        await asyncio.sleep(BACK_S)
        placer.config['known'] = bus.known()
        placer.start()
        await placer.ready()
        owner = p.Owner(run, 'owner again', placer)
        await owner.connect()
        reports = []
        for request in asked:
            new = int.from_bytes(os.urandom(8), 'big') | 1
            host = held[new] = held[request.task]
            id_of[request.task], service_of[new] = new, service_of[request.task]
            host.known_as(request.task, new)
            reports.append(owner.ask('split-api', f'cores:1;memory:2;service:{service_of[new]};at:{host.name}', task=new,
                                     name=request.name))
            handed_at[new] = time.time() + HANDED_S
    again = set()
    for _ in range(100):  # an owner whose container is lost asks again soon
        await asyncio.sleep(0.1)
        for request in reports:
            told = request.released()
            if told and told[1] != p.OK and request.task not in again:
                again.add(request.task)
                standing = request.task in held[request.task].standing
                run.say(f'{request.task:016x} was released with cause {told[1]}; ' +
                        ('it still stands' if standing else 'it had ended') + f' at {held[request.task].name}')
                ask(owner, service_of[request.task], request.name)
    for task in lives:
        task.cancel()


p.main(__file__, body)
