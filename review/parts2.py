"""Stand-ins and a small harness for the cases 6 to 10: hosts, the event bus, owners, and placers as processes.

Everything runs in one asyncio loop, on 127.0.0.1 and on ports that the system hands out. The stand-ins follow the page
PROTOCOL: hosts answer set-ups, keep standing tasks over a break of their connections, send notes and releases on the
connection of the set-up or else on any open one, and once more on the next connection opened.
"""
import asyncio
import atexit
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

SETUP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 6, 9, 12, 16, 44, 51, 52, 53
NAMES = {1: 'set-up', 6: 'progress', 9: 'answer', 12: 'release', 16: 'heard', 44: 'note', 51: 'move', 52: 'test', 53: 'tested'}
CLASS, WAIT, RETRY, TASK, FIGURES, AWAY, WHAT, REPORT, VALUE, KEY, CAUSE, TEXT = (
    100, 103, 109, 112, 115, 118, 121, 127, 136, 139, 142, 145)
OK, CANCELLED, FULL, RESET, ERROR = 16, 31, 34, 41, 47
REFUSALS = (34, 42, 102)


def encode(kind, task, **parameters):
    body = struct.pack('>BQ', kind, task)
    for code, value in parameters.items():
        code = globals()[code]
        value = bytes([value]) if code == CAUSE else str(value).encode()
        body += struct.pack('>BH', code, len(value)) + value
    return struct.pack('>H', len(body)) + body


class Message:
    def __init__(self, body):
        self.kind, self.task = struct.unpack('>BQ', body[:9])
        self.values = {}
        at = 9
        while at < len(body):
            code, size = struct.unpack('>BH', body[at:at + 3])
            value = body[at + 3:at + 3 + size]
            self.values[code] = value[0] if code == CAUSE else value.decode('latin-1')
            at += 3 + size

    def get(self, code, default=None):
        return self.values.get(code, default)

    def __str__(self):
        words = [NAMES.get(self.kind, str(self.kind)), f'{self.task:016x}']
        if self.get(CAUSE) is not None:
            words.append(f'cause {self.get(CAUSE)}')
        for code, name in ((CLASS, 'class'), (WAIT, 'wait'), (TASK, 'task'), (FIGURES, 'figures'), (WHAT, 'what'), (VALUE, 'value')):
            if self.get(code) is not None:
                words.append(f'{name} {self.get(code)}')
        return ' '.join(words)


class Run:
    """One run of a case: its record, its temporary folder, and all that it has started."""

    def __init__(self, case):
        self.folder = os.path.dirname(os.path.abspath(case))
        self.record = open(os.path.join(self.folder, 'record.txt'), 'w')
        self.temporary = tempfile.mkdtemp(prefix='review-')
        self.started = time.time()
        self.placers = []
        self.closing = []
        self.links = []
        self.broken = []
        atexit.register(self.end_placers)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.say(f'TROUBLE={int(TROUBLE)}')

    def end_placers(self):
        for placer in self.placers:
            placer.end()

    def now(self):
        return time.time() - self.started

    def say(self, text):
        self.record.write(f'{self.now():9.3f} {text}\n')
        self.record.flush()

    def break_rule(self, text):
        self.broken.append(text)
        self.say('RULE BROKEN: ' + text)

    async def finish(self):
        self.end_placers()
        for server in self.closing:
            server.close()
        await asyncio.sleep(0.2)  # the ends of the connections arrive
        for task in asyncio.all_tasks():
            if task is not asyncio.current_task():
                task.cancel()
        await asyncio.sleep(0)
        for link in self.links:
            link.close()
        await asyncio.sleep(0)
        for placer in self.placers:
            with open(placer.log_path, errors='replace') as log:
                lines = log.read().splitlines()
            self.record.write(f'--- log of {placer.name}, {len(lines)} lines, the last 400\n')
            self.record.write('\n'.join(lines[-400:]) + '\n')
        self.record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


class CannotRun(Exception):
    pass


def main(case, body):
    """Runs body(run) and exits with 1 if it recorded a broken rule, 0 if not, 2 if it could not run."""
    async def everything():
        run = Run(case)
        status = 2
        try:
            await asyncio.wait_for(body(run), 110)
            status = 1 if run.broken else 0
        except CannotRun as problem:
            run.say(f'could not run: {problem}')
            print(f'could not run: {problem}')
        except Exception as problem:  # a fault of the case itself, never a finding
            run.say(f'could not run: {type(problem).__name__} {problem}')
            print(f'could not run: {type(problem).__name__} {problem}')
        for line in run.broken[:10]:
            print('rule broken: ' + line)
        if status == 0:
            print('rule held')
        run.say(f'exit status {status}')
        await run.finish()
        return status
    sys.exit(asyncio.run(everything()))


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Link:
    """One connection that carries messages, either side."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.open = True
        self.useless = False  # left open, but a host neither reads nor writes on it any more

    def send(self, bytes_):
        if self.open:
            try:
                self.writer.write(bytes_)
            except Exception:
                self.open = False
        return self.open

    async def messages(self):
        """Yields each message that arrives, and ends with the connection."""
        try:
            while True:
                size = struct.unpack('>H', await self.reader.readexactly(2))[0]
                yield Message(await self.reader.readexactly(size))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.open = False

    def close(self):
        self.open = False
        try:
            self.writer.close()
        except Exception:
            pass


class Host:
    """A host. `on_setup(host, link, message)` decides what is done with a set-up; the default accepts it at once."""

    def __init__(self, run, name, site='room-1', kind='node-std', block=1, cores=28, memory=60, free=0.4):
        self.run, self.name, self.site, self.kind, self.block = run, name, site, kind, block
        self.cores, self.memory = cores, memory
        self.free = [round(cores * free, 2), round(memory * free, 2)]  # what nobody has asked for
        self.links = []
        self.standing = {}   # id -> link of its set-up, or None
        self.received = []   # (time, id, task name)
        self.ended = {}      # id -> (time, cause)
        self.again = []      # releases to be said once more on the next connection
        self.on_setup = None
        self.health = 'active'
        self.set_up = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]
        self.run.closing.append(self.server)

    def entry(self):
        return {'host': self.name, 'dial': self.address, 'site': self.site, 'class': self.kind, 'block': self.block,
                'health': self.health, 'share': 1, 'born_ms': 0, 'free': self.free}

    async def serve(self, reader, writer):
        link = Link(reader, writer)
        self.links.append(link)
        self.run.links.append(link)
        for task, cause in self.again:
            self.say(link, encode(RELEASE, task, CAUSE=cause), f'release {task:016x} cause {cause}, once more')
        self.again = []
        async for message in link.messages():
            if link.useless:
                continue
            if message.kind == TEST:
                link.send(encode(TESTED, message.task, CAUSE=1, REPORT=f'x0:{self.free[0]};x1:{self.free[1]}'))
            elif message.kind == SETUP:
                self.run.say(f'{self.name} < {message}')
                self.received.append((time.time(), message.task, message.get(TASK)))
                self.set_up.add(message.task)
                if self.on_setup:
                    self.on_setup(self, link, message)
                else:
                    self.accept(link, message)
            elif message.kind == RELEASE:
                self.run.say(f'{self.name} < {message}')
                if message.task in self.standing:
                    self.end(message.task, CANCELLED)
        if link in self.links:
            self.links.remove(link)
        for task, own in list(self.standing.items()):
            if own is link:
                self.standing[task] = None

    def say(self, link, bytes_, text):
        self.run.say(f'{self.name} > {text}')
        link.send(bytes_)

    def accept(self, link, message):
        self.standing[message.task] = link
        self.say(link, encode(ANSWER, message.task, TEXT=f'{self.name}/{message.task:016x}'), f'answer {message.task:016x}')

    def known_as(self, old, new):
        """A set-up with `at` has a new id, as every set-up; the host knows the task by that one from then on."""
        if old in self.standing:
            self.standing[new] = self.standing.pop(old)
            self.run.say(f'{self.name}: knows {old:016x} as {new:016x}')

    def link_of(self, task):
        own = self.standing.get(task)
        if own and own.open and not own.useless:
            return own
        return next((link for link in self.links if link.open and not link.useless), None)

    def note(self, task, what, value):
        link = self.link_of(task)
        if link:
            self.say(link, encode(NOTE, task, WHAT=what, VALUE=value), f'note {task:016x} {what} {value}')

    def end(self, task, cause=OK):
        if task not in self.standing:
            return
        link = self.link_of(task)
        del self.standing[task]
        self.ended[task] = (time.time(), cause)
        if link:
            self.say(link, encode(RELEASE, task, CAUSE=cause), f'release {task:016x} cause {cause}')
        self.again.append((task, cause))


class Bus:
    """The event bus: tells numbered events to every reader, and a comment each second."""

    def __init__(self, run):
        self.run = run
        self.events = []
        self.told_at = {}
        self.readers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]
        self.run.closing.append(self.server)

    def tell(self, hosts, whole=False):
        number = len(self.events) + 1
        event = {'offset': number, 'topology': {'seq': number, 'whole': whole, 'hosts': hosts}}
        self.events.append(event)
        self.told_at[number] = time.time()
        self.run.say(f'bus: event {number} ' + ' '.join(f'{host["host"]}={host["health"]}' for host in hosts))
        for writer in self.readers:
            self.write(writer, event)

    def known(self):
        return {'offset': len(self.events), 'batch': list(self.events)}

    @staticmethod
    def write(writer, event):
        try:
            writer.write(f'id: {event["offset"]}\ndata: {json.dumps(event)}\n\n'.encode())
        except Exception:
            pass

    async def serve(self, reader, writer):
        try:
            request = (await reader.readuntil(b'\r\n\r\n')).decode()
            after = int(re.search(r'(?i)last-event-id: *(\d+)', request).group(1))
            self.run.say(f'bus: a reader asks for what follows {after}')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n')
            for event in self.events[after:]:
                self.write(writer, event)
            self.readers.append(writer)
            while True:
                await asyncio.sleep(1)
                writer.write(b': still here\n\n')
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            if writer in self.readers:
                self.readers.remove(writer)
            writer.close()


class Placer:
    """A real placer, started by the line `run` of the deploy file."""

    def __init__(self, run, name, config):
        self.run, self.name, self.config = run, name, config
        self.listen = config['listen']
        self.config_path = os.path.join(run.temporary, name + '.json')
        self.log_path = os.path.join(run.temporary, name + '.log')
        self.process = None
        run.placers.append(self)

    def start(self):
        with open(os.path.join(ROOT, 'deploy', 'balancer.toml')) as deploy:
            command = re.search(r'(?m)^run = "([^"]*)"', deploy.read()).group(1)
        with open(self.config_path, 'w') as file:
            json.dump(self.config, file)
        if not os.access(os.path.join(ROOT, 'build/apps/whinpost'), os.X_OK):
            raise CannotRun('build/apps/whinpost is missing: run the build of the deploy file first')
        environment = dict(os.environ, GW_NAME=self.name, GW_LISTEN=self.listen, GW_CONFIG=self.config_path,
                           TMPDIR=self.run.temporary)
        if 'REVIEW_LOG' in os.environ:  # for reading a run, not used by run.sh
            command += ' --log ' + os.environ['REVIEW_LOG']
        with open(self.log_path, 'a') as log:
            self.process = subprocess.Popen(['/bin/sh', '-c', command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.run.say(f'{self.name} started')

    async def ready(self):
        """Waits until the placer passes a test, as the front does."""
        for _ in range(300):
            if self.process.poll() is not None:
                raise CannotRun(f'{self.name} ended with {self.process.returncode}')
            try:
                reader, writer = await asyncio.open_connection(*self.listen.split(':'))
                link = Link(reader, writer)
                link.send(encode(TEST, 1, CAUSE=0))
                async for message in link.messages():
                    if message.kind == TESTED and message.get(CAUSE) == 1:
                        link.close()
                        self.run.say(f'{self.name} passed a test')
                        return
                    break
                link.close()
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready after 30 s')

    def signal(self, number):
        self.run.say(f'{self.name}: {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def stall(self, seconds):
        """Stands still for so long, and then finds all that came meanwhile."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    def end(self):
        if not self.process or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


async def two_placers(run, bus, settings_):
    """Two placers, so that no more than half of them are disturbed; only the first one gets requests."""
    placers = []
    for me in range(2):
        settings_ = dict(settings_, balancers=2, me=me)
        placers.append(Placer(run, f'n{me}', configuration(run, f'n{me}', bus, settings_)))
        placers[me].start()
    for placer in placers:
        await placer.ready()
    return placers[0]


class Request:
    """What an owner asked, and what it was told."""

    def __init__(self, task, name, sent, wait_s):
        self.task, self.name, self.sent, self.wait_s = task, name, sent, wait_s
        self.final = None    # (time, 'stands' | 'refused' | 'failed')
        self.told = []       # (time, what, cause) of all that came for it
        self.given_up = False
        self.cut = None      # when its connection ended without a final answer

    def released(self):
        """The first release after the answer, or after the report: (time, cause)."""
        return next(((at, cause) for at, what, cause in self.told if what == 'release'), None)


class Owner:
    """An owner's connection to one placer. Acknowledges releases of standing tasks."""

    def __init__(self, run, name, placer, source='127.0.0.1'):
        self.run, self.name, self.placer, self.source = run, name, placer, source
        self.requests = {}
        self.ended_at = None

    async def connect(self):
        reader, writer = await asyncio.open_connection(*self.placer.listen.split(':'), local_addr=(self.source, 0))
        self.link = Link(reader, writer)
        self.run.links.append(self.link)
        self.connected = time.time()
        self.run.say(f'{self.name}: connected to {self.placer.name} from {self.source}')
        self.reading = asyncio.ensure_future(self.read())

    def ask(self, group, figures, wait_s=None, key=None, task=None, name=None):
        task = task or int.from_bytes(os.urandom(8), 'big') | 1
        name = name or os.urandom(8).hex()
        parameters = {'CLASS': group}
        if wait_s is not None:
            parameters['WAIT'] = int(wait_s * 1000)
        parameters['TASK'] = name
        parameters['FIGURES'] = figures
        if key:
            parameters['KEY'] = key
        if wait_s is not None:
            parameters['TEXT'] = f'offer/{name}'
        request = Request(task, name, time.time(), wait_s)
        self.requests[task] = request
        self.run.say(f'{self.name} > set-up {task:016x} class {group} wait {wait_s} task {name} {figures}')
        self.link.send(encode(SETUP, task, **parameters))
        return request

    def give_up(self, request):
        self.run.say(f'{self.name} > gives up {request.task:016x}')
        request.given_up = True
        self.link.send(encode(RELEASE, request.task, CAUSE=OK))

    async def read(self):
        async for message in self.link.messages():
            self.run.say(f'{self.name} < {message}')
            request = self.requests.get(message.task)
            if not request:
                continue
            request.told.append((time.time(), NAMES.get(message.kind), message.get(CAUSE)))
            stands = request.wait_s is None or (request.final and request.final[1] == 'stands')
            if message.kind == ANSWER and not request.final:
                request.final = (time.time(), 'stands')
            elif message.kind == RELEASE and stands:
                self.link.send(encode(HEARD, message.task))
            elif message.kind == RELEASE and not request.final:
                request.final = (time.time(), 'refused' if message.get(CAUSE) in REFUSALS else 'failed')
        self.ended_at = time.time()
        self.run.say(f'{self.name}: the connection has ended')
        for request in self.requests.values():
            if request.wait_s is not None and not request.final:
                request.cut = self.ended_at
        self.link.close()


# ---------------------------------------------------------------- settings

def settings(zones, groups, kinds, drain_grace_ms=2000, balancers=1, **family):
    """The settings of a small deployment. groups: dicts of the simulator's class fields; kinds: (name, cores, memory)."""
    info = {
        'cpu_of_kind': [cores for _, cores, _ in kinds], 'size_memory': [memory for _, _, memory in kinds],
        'class_start_s': [8 for _ in groups], 'calm_level': [1.0 for _ in groups], 'class_fade': [1.0 for _ in groups],
        'kind_by_class': [-1 for _ in groups], 'class_most': [2 for _ in groups], 'class_priority': [0 for _ in groups],
        'class_spread': ['off' for _ in groups], 'accepts_cores': 2.5, 'memory_multiple': 1.5, 'free_by': 'asked',
        'yes_at': 'accepted', 'pushes_out': False, 'use_notes': True, 'says_pressure': False, 'young_limit': 20,
        'make_sure_us': 3000000, 'lists_free': True, 'turned_down_price': 0.02}
    info.update(family)
    return {
        'balancers': balancers, 'me': 0, 'zones': zones, 'zone': 0, 'flavors': [name for name, _, _ in kinds],
        'classes': groups, 'discovery': 'pushed', 'family': 'place', 'family_info': info,
        'contract': {'drain_grace_us': drain_grace_ms * 1000, 'cold_from': 0.17, 'cold_us': 14000000, 'fall_multiple': 2,
                     'fall_us': 1000000, 'ask_every_us': 10000000, 'grace_to_answer_us': 8000},
        'limits': {'probes': True, 'send_cap': 4, 'cancelling': True, 'dial_timeout_us': 250000, 'conn_idle_us': 15000000,
                   'may_duplicate': False, 'retry_after': True, 'max_retry_after_us': 3000000, 'peers': False},
        'report': {'via': 'off', 'fields': []},
        'penalties': {'fleet': 0.25, 'moves': 0.048, 'waste': 0.03, 'probe': 0.0035, 'cross_zone': 0, 'discovery': 0}}


def group(name, semantics, aim_ms, deadline_ms, **more):
    made = {'name': name, 'semantics': semantics, 'aim_us': aim_ms * 1000, 'deadline_us': deadline_ms * 1000, 'importance': 3,
            'runs_on': True, 'late_worth': 0.1}
    made.update(more)
    return made


def configuration(run, name, bus, settings_, sockets=512):
    return {'name': name, 'listen': f'127.0.0.1:{free_port()}', 'seed': os.environ.get('SEED', '8c1f30d27a5be964'),
            'limits': {'cores': 1.0, 'memory_mb': 128, 'sockets': sockets}, 'bus': bus.address, 'known': bus.known(),
            'settings': settings_}
