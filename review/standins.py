"""Stand-ins for the platform: hosts, owners, the front's test and the event bus, and a placer process.

They speak the binary protocol of the users' page PROTOCOL.md on loopback addresses. One asyncio loop plays all of them,
so that the times in the record come from one clock. Standard library only.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

SETUP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 6, 9, 12, 16, 44, 51, 52, 53
NAMES = {1: 'set-up', 6: 'progress', 9: 'answer', 12: 'release', 16: 'release-heard', 44: 'note', 51: 'move',
         52: 'test', 53: 'test-result'}
CLASS, WAIT, RETRY, NAME, FIGURES, AWAY, DETAIL, REPORT, FIGURE, KEY, CAUSE, TEXT = \
    100, 103, 109, 112, 115, 118, 121, 127, 136, 139, 142, 145
OK, GIVEN_UP, CANCELLED, FULL, RESET, TRY_LATER, ERROR, MOOT = 16, 16, 31, 34, 41, 42, 47, 102

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def encode(kind, task, **parameters):
    body = struct.pack('>BQ', kind, task)
    for code, value in ((int(k[1:]), v) for k, v in parameters.items()):
        raw = bytes([value]) if code == CAUSE else value if isinstance(value, bytes) else str(value).encode()
        body += struct.pack('>BH', code, len(raw)) + raw
    return struct.pack('>H', len(body)) + body


class Message:
    def __init__(self, body):
        self.kind, self.task = struct.unpack('>BQ', body[:9])
        self.parameters, at = {}, 9
        while at < len(body):
            code, length = struct.unpack('>BH', body[at:at + 3])
            self.parameters[code] = body[at + 3:at + 3 + length]
            at += 3 + length

    @property
    def cause(self):
        return self.parameters[CAUSE][0] if CAUSE in self.parameters else None

    def text(self, code):
        return self.parameters.get(code, b'').decode()

    def __str__(self):
        more = '' if self.cause is None else f' cause={self.cause}'
        for code, label in ((NAME, 'name'), (CLASS, 'class'), (WAIT, 'wait_ms'), (DETAIL, 'detail')):
            if code in self.parameters:
                more += f' {label}={self.text(code)}'
        if FIGURES in self.parameters and 'at:' in self.text(FIGURES):
            more += ' at=' + self.text(FIGURES).split('at:')[1].split(';')[0]
        return f'{NAMES.get(self.kind, self.kind)} id={self.task:016x}{more}'


class Record:
    """What was sent, answered and run, one line each, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, who, text):
        line = f'{self.now():8.3f}  {who:<10} {text}'
        print(line, file=self.file, flush=True)
        return self.now()


class Peer(asyncio.Protocol):
    """One end of a connection: splits the bytes into messages and hands them to its owner."""

    def __init__(self, owner, label):
        self.owner, self.label, self.buffer, self.open = owner, label, b'', False

    def connection_made(self, transport):
        self.transport, self.open = transport, True
        transport.get_extra_info('socket').setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.owner.on_open(self)

    def data_received(self, data):
        self.buffer += data
        while len(self.buffer) >= 2:
            length = struct.unpack('>H', self.buffer[:2])[0]
            if len(self.buffer) < 2 + length:
                return
            message, self.buffer = Message(self.buffer[2:2 + length]), self.buffer[2 + length:]
            if self.open:
                self.owner.on_message(self, message)

    def connection_lost(self, error):
        if self.open:
            self.open = False
            self.owner.on_lost(self, error)

    def send(self, kind, task, **parameters):
        self.transport.write(encode(kind, task, **parameters))

    def reset(self):
        self.open = False
        self.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        self.transport.abort()


class Standing:
    """A set-up that a host holds: open until answered, then it stands until its end."""

    def __init__(self, message, peer):
        self.id, self.name, self.class_name = message.task, message.text(NAME), message.text(CLASS)
        self.text, self.peer, self.stands = message.parameters.get(TEXT, b''), peer, False


class Host:
    """A sound host. `start_s`: from the set-up to the answer. It sends no notes unless a case does."""

    def __init__(self, record, name, kind='std', zone='a', block=1, start_s=0.02):
        self.record, self.name, self.kind, self.zone, self.block = record, name, kind, zone, block
        self.start_s, self.peers, self.held, self.last_words = start_s, [], [], []
        self.setups, self.count, self.server = [], 0, None

    async def listen(self):
        loop = asyncio.get_running_loop()
        port = int(self.address.split(':')[1]) if hasattr(self, 'address') else 0
        self.server = await loop.create_server(lambda: Peer(self, ''), '127.0.0.1', port, reuse_address=True)
        self.address = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, health='active', **more):
        return {'host': self.name, 'dial': self.address, 'site': self.zone, 'class': self.kind, 'block': self.block,
                'health': health, 'share': 1, 'born_ms': 0, 'free': [16, 32], **more}

    def note(self, text):
        return self.record(self.name, text)

    def on_open(self, peer):
        self.count += 1
        peer.label = f'c{self.count}'
        self.peers.append(peer)
        self.note(f'{peer.label} accepted')
        for kind, task, cause in self.last_words:
            self.say(peer, kind, task, cause)
        self.last_words = []

    def on_lost(self, peer, error):
        self.peers.remove(peer)
        self.note(f'{peer.label} closed by the placer')
        self.held = [held for held in self.held if held.stands or held.peer is not peer]

    def say(self, peer, kind, task, cause):
        self.note(f'{peer.label} -> {NAMES[kind]} id={task:016x} cause={cause}')
        peer.send(kind, task, _142=cause)

    def find(self, task):
        return next((held for held in self.held if held.id == task), None)

    def on_message(self, peer, message):
        self.note(f'{peer.label} <- {message}')
        if message.kind == TEST:
            self.note(f'{peer.label} -> test-result id={message.task:016x}')
            peer.send(TESTED, message.task, _142=1, _127='x0:12;x1:24')
        elif message.kind == SETUP:
            self.on_setup(peer, message)
        elif message.kind == RELEASE:
            self.on_release(peer, message)

    def on_setup(self, peer, message):
        held = Standing(message, peer)
        held.arrived = self.record.now()
        self.setups.append(held)
        self.held.append(held)
        asyncio.get_running_loop().call_later(self.start_s, self.accept, held)

    def accept(self, held):
        if held not in self.held or held.stands:
            return
        held.stands = True
        self.note(f'{held.peer.label} -> answer id={held.id:016x} (it stands)')
        held.peer.send(ANSWER, held.id, _145=held.text)

    def on_release(self, peer, message):
        held = self.find(message.task)
        if not held:
            return
        self.held.remove(held)
        if held.stands:
            self.note(f'{held.name} was cut by the placer')
            self.end_words(held, CANCELLED)

    def end_words(self, held, cause):
        """PROTOCOL: on the connection of its set-up; failing that, on any open one; and on the next one opened."""
        peer = held.peer if held.peer.open else self.peers[-1] if self.peers else None
        if peer:
            self.say(peer, RELEASE, held.id, cause)
        self.last_words.append((RELEASE, held.id, cause))

    def finish(self, held):
        if held in self.held:
            self.held.remove(held)
            self.note(f'{held.name} has come to its end')
            self.end_words(held, OK)

    def stop_listening(self):
        self.server.close()


class Owner:
    """An owner's connection to the placer. It says "release heard" to each release."""

    def __init__(self, record, name):
        self.record, self.name, self.got, self.wake = record, name, [], asyncio.Event()

    async def connect(self, address):
        host, port = address.split(':')
        _, self.peer = await asyncio.get_running_loop().create_connection(lambda: Peer(self, 'c'), host, int(port))
        return self

    def on_open(self, peer):
        self.record(self.name, 'connected')

    def on_lost(self, peer, error):
        self.record(self.name, f'connection ended ({error or "closed"})')
        self.wake.set()

    def on_message(self, peer, message):
        at = self.record(self.name, f'<- {message}')
        self.got.append((at, message))
        if message.kind == RELEASE:
            peer.send(HEARD, message.task)
        self.wake.set()

    def set_up(self, task, class_name, name, wait_ms=5000, figures='cores:1;memory:2;service:00000000b4d65521', key=None):
        self.record(self.name, f'-> set-up id={task:016x} class={class_name} name={name} wait_ms={wait_ms} {figures}')
        more = {'_139': key} if key else {}
        self.peer.send(SETUP, task, _100=class_name, _103=wait_ms, _112=name, **more, _115=figures, _145=b'do ' + name.encode())
        return self.record.now()

    def release(self, task, cause=GIVEN_UP):
        self.record(self.name, f'-> release id={task:016x} cause={cause}')
        self.peer.send(RELEASE, task, _142=cause)

    def test(self):
        self.peer.send(TEST, 7, _142=0)

    async def wait_for(self, wanted, timeout):
        """The first message for which `wanted` holds, as (time, message); None if none comes in time."""
        end = time.monotonic() + timeout
        while True:
            for entry in self.got:
                if wanted(entry[1]):
                    return entry
            left = end - time.monotonic()
            if left <= 0:
                return None
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def first_word(self, task, timeout):
        return await self.wait_for(lambda m: m.task == task and m.kind in (ANSWER, RELEASE), timeout)

    async def release_of(self, task, timeout):
        return await self.wait_for(lambda m: m.task == task and m.kind in (RELEASE, MOVE), timeout)


class Bus:
    """The event bus: numbered events, server-sent, with a comment every second."""

    def __init__(self, record):
        self.record, self.events, self.writers = record, [], set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]
        return self

    def tell(self, hosts, whole=False):
        number = len(self.events) + 1
        self.events.append({'offset': number, 'topology': {'seq': number, 'whole': whole, 'hosts': hosts}})
        self.record('bus', f'event {number}: ' + ' '.join(f'{h["host"]}={h.get("health", "-")}' for h in hosts))

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            known = next((int(line.split(':')[1]) for line in head.split('\r\n')
                          if line.lower().startswith('last-event-id:')), 0)
            self.record('bus', f'read after {known}')
            await self.before_reply()
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n')
            last = time.monotonic()
            while not writer.is_closing() and not reader.at_eof():
                while known < len(self.events):
                    event, known = self.events[known], known + 1
                    writer.write(b'id: %d\ndata: %s\n\n' % (known, json.dumps(event).encode()))
                    self.record('bus', f'event {known} was written to the placer')
                if time.monotonic() - last >= 1:
                    last = time.monotonic()
                    writer.write(b': still here\n\n')
                await writer.drain()
                await asyncio.sleep(0.05)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def before_reply(self):
        pass


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Placer:
    """One real placer, started with the line `run` of the deploy file."""

    def __init__(self, record, bus, folder, **settings):
        self.record, self.bus, self.folder, self.process, self.starts = record, bus, folder, None, 0
        self.address = f'127.0.0.1:{free_port()}'
        with open(os.path.join(ROOT, 'deploy/balancer.toml'), 'rb') as file:
            self.command = tomllib.load(file)['run']
        with open(os.path.join(ROOT, 'tests/fixtures/platform.json')) as file:
            self.config = json.load(file)
        for path, value in settings.items():
            at = self.config['settings']
            *parents, last = path.split('__')
            for parent in parents:
                at = at[int(parent)] if isinstance(at, list) else at[parent]
            at[last] = value

    async def start(self):
        self.starts += 1
        self.config.update(name='n0', listen=self.address, bus=self.bus.address, seed=f'{0x5eed + self.starts:x}',
                           limits={'cores': 1.0, 'memory_mb': 128, 'sockets': 512},
                           known={'offset': len(self.bus.events), 'batch': self.bus.events})
        path = os.path.join(self.folder, 'config.json')
        with open(path, 'w') as file:
            json.dump(self.config, file)
        log = open(os.path.join(self.folder, f'placer-{self.starts}.log'), 'w')
        environment = dict(os.environ, GW_NAME='n0', GW_LISTEN=self.address, GW_CONFIG=path, TMPDIR=self.folder)
        self.process = await asyncio.create_subprocess_exec(
            '/bin/sh', '-c', self.command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.record('placer', f'started (start {self.starts}), clients at {self.address}')
        for _ in range(100):
            await asyncio.sleep(0.1)
            if self.process.returncode is not None:
                raise CannotRun(f'the placer ended at once with {self.process.returncode}')
            try:
                front = await Owner(self.record, 'front').connect(self.address)
            except OSError:
                continue
            front.test()
            passed = await front.wait_for(lambda m: m.kind == TESTED and m.cause == 1, 1)
            front.peer.transport.close()
            if passed:
                return self
        raise CannotRun('the placer did not pass a test within 10 s')

    def signal(self, number):
        self.record('placer', f'gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def ended(self, timeout):
        try:
            status = await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            return None
        self.record('placer', f'ended with {status}')
        return status

    def log_lines(self, *words):
        lines = []
        for start in range(1, self.starts + 1):
            with open(os.path.join(self.folder, f'placer-{start}.log')) as file:
                lines += [line.rstrip() for line in file if any(word in line for word in words)]
        return lines


class CannotRun(Exception):
    pass


def play(folder, case):
    """Plays `case(record, trouble, temporary folder, started)`; exit status 1: broken, 0: held, 2: could not run.

    The case returns a list of sentences, one for each breach. `started` lists its placers, which are ended here.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record, started, temporary = Record(folder), [], tempfile.mkdtemp(prefix='whinpost-review-')
    record('case', f'TROUBLE={int(trouble)}')
    status = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # `bounded` then ends the placers
    try:
        breaches = asyncio.run(bounded(case, record, trouble, temporary, started))
        for breach in breaches:
            record('BROKEN', breach)
            print('broken:', breach)
        status = 1 if breaches else 0
    except Exception as error:  # the case could not run
        record('case', f'could not run: {type(error).__name__}: {error}')
        print('could not run:', error)
    finally:
        for placer in started:
            for line in placer.log_lines('event=') if placer.starts else []:
                print('          placer log', line, file=record.file)
        shutil.rmtree(temporary, ignore_errors=True)
    record('case', {0: 'the rule held', 1: 'the rule was broken', 2: 'could not run'}[status])
    sys.exit(status)


async def bounded(case, record, trouble, temporary, started):
    try:
        return await asyncio.wait_for(case(record, trouble, temporary, started), 100)
    finally:
        for placer in started:
            if placer.process and placer.process.returncode is None:
                placer.process.kill()
                await placer.process.wait()
