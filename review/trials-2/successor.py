import asyncio
import os
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import parts2 as p

SUCCESSOR_S = 2.0    # how long after the machine has vanished another one has its address
ADDED_S = 1.0        # how late the list tells of that one: add_s = [0.2, 2.2]
NOTICE_S = 10.0      # how late the list tells that the first one is gone: silent_notice_s = [7.2, 13]
RELEASE_S = 8.05     # 'within 8 s of its end if no release could be sent', and the slack of 50 ms
WAIT_S = 8.0


class Gone:
    """The address of a machine that has vanished: open connections stay open and silent, new ones never come up."""

    def __init__(self, host):
        self.host = host
        self.old = list(host.links)
        for link in self.old:
            link.writer.transport.pause_reading()
        host.server.close()
        self.port = int(host.address.split(':')[1])
        self.full = socket.socket()  # its queue of connections is full and nobody accepts any
        self.full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.full.bind(('127.0.0.1', self.port))
        self.full.listen(0)
        self.waiting = []
        for _ in range(3):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(('127.0.0.1', self.port))
            self.waiting.append(connection)

    async def hand_over(self, successor):
        """Another machine has the address now: it accepts new connections, and resets one that it doesn't know as soon as
        something arrives on it."""
        for connection in self.waiting + [self.full]:
            connection.close()
        successor.server = await asyncio.start_server(successor.serve, '127.0.0.1', self.port)
        successor.address = self.host.address
        successor.run.closing.append(successor.server)
        for link in self.old:
            def reset(data, link=link):
                link.writer.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
                link.writer.transport.abort()
                successor.run.say(f'{successor.name} resets a connection that it does not know')
            link.reader.feed_data = reset
            link.writer.transport.resume_reading()


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

    owner = p.Owner(run, 'owner', placer)
    await owner.connect()
    asked = []
    for i in range(12):
        asked.append(owner.ask('split-api', f'cores:1;memory:2;service:{0xb4d65521 + i:016x}', WAIT_S))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    if not all(request.final and request.final[1] == 'stands' for request in asked):
        raise p.CannotRun('not all containers stand')
    lost = max(hosts, key=lambda host: len(host.standing))
    mine = [request for request in asked if request.task in lost.standing]
    vanished = []

    async def notes(host):
        while host not in vanished:
            for task in list(host.standing):
                host.note(task, 'cores', 0.5)
            await asyncio.sleep(1)

    for host in hosts:
        asyncio.ensure_future(notes(host))
    await asyncio.sleep(6)
    if p.TROUBLE:
        run.say(f'{lost.name} vanishes, with {len(mine)} containers')
        vanished.append(lost)
        ended = time.time()
        gone = Gone(lost)
        await asyncio.sleep(SUCCESSOR_S)
        successor = p.Host(run, 's-0000000b', block=lost.block)
        await gone.hand_over(successor)
        run.say(f'{successor.name} has the address of {lost.name}')
        await asyncio.sleep(ADDED_S)
        bus.tell([dict(successor.entry(), born_ms=int((ended + SUCCESSOR_S) * 1000))])
        await asyncio.sleep(NOTICE_S - SUCCESSOR_S - ADDED_S)
        lost.health = 'left'
        bus.tell([lost.entry()])
    else:
        await asyncio.sleep(NOTICE_S)
        ended = time.time()
        for request in mine:
            lost.end(request.task)
    await asyncio.sleep(9)
    for request in mine:
        told = request.released()
        if not told or told[0] - ended > RELEASE_S:
            run.break_rule(f'{request.task:016x}: ' + (f'released {told[0] - ended:.2f} s after its end' if told else 'never released'))


p.main(__file__, body)
