"""The small deployment of case 3: an owner with two tasks that stand, and what it must be told of them.

The fleet has two `std` machines and one `big` one. `web` (class `free`, bound to `big`, at most one of its service on one
machine) and `pay` (class `once`, on either `std`) stand until they come to their end at their hosts.
"""
import asyncio

from standins import ANSWER, MOVE, NAME, RELEASE, Bus, CannotRun, Host, Owner, Placer

FIGURES = {'web': 'cores:1;memory:2;service:00000000000000aa', 'pay': 'cores:1;memory:2;service:00000000000000bb'}
CLASSES = {'web': 'free', 'pay': 'once'}
NAMES = {'web': '00000000000000e1', 'pay': '00000000000000e2'}
IDS = {'web': 0xa1b2c3d400000001, 'pay': 0xa1b2c3d400000002}
AGAIN_S, MAKE_SURE_S = 0.5, 3.0  # move_ms and make_sure_us: how long the owner waits after a loss


class WatchedHost(Host):
    """Sees whether a set-up brings more of a service to this machine than the class allows (rule five, one here)."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.breaches, self.ended, self.limited = [], {}, {NAMES['web']}

    def on_setup(self, peer, message):
        name = message.text(NAME)
        standing = [held for held in self.held if held.stands and held.name == name]
        if standing and name in self.limited:
            self.breaches.append(f'spread: a second task of the service of {name} was sent to {self.name}, where one stands '
                                 'that has had no end; the class allows one on a machine')
            self.note('!! ' + self.breaches[-1])
        super().on_setup(peer, message)

    def finish(self, held):
        super().finish(held)
        self.ended[held] = self.record.now()


class Deployment:
    def __init__(self, record, temporary, started, **settings):
        self.record, self.temporary, self.started, self.breaches = record, temporary, started, []
        self.settings, self.jobs, self.over, self.where, self.held = settings, [], {}, {}, {}
        self.labels = {task: label for label, task in IDS.items()}  # of each id under which a task was set up or handed over

    async def start(self):
        self.bus = await Bus(self.record).listen()
        self.hosts = [WatchedHost(self.record, 'h1', 'std', block=3, start_s=0.2),
                      WatchedHost(self.record, 'h2', 'std', block=3, start_s=0.2),
                      WatchedHost(self.record, 'h3', 'big', block=4, start_s=0.2)]
        for host in self.hosts:
            await host.listen()
        self.bus.tell([host.entry() for host in self.hosts], whole=True)
        self.placer = Placer(self.record, self.bus, self.temporary, family_info__kind_by_class=[1, -1, 0],
                             family_info__class_spread=['machine', 'off', 'off'], family_info__class_most=[1, 2, 3],
                             family_info__says_pressure=False, **self.settings)
        self.started.append(self.placer)
        await self.placer.start()
        self.owner = await Owner(self.record, 'owner').connect(self.placer.address)

    async def place(self):
        for label, task in IDS.items():
            self.owner.set_up(task, CLASSES[label], NAMES[label], figures=FIGURES[label])
            word = await self.owner.wait_for(lambda m: m.task == task and m.kind in (ANSWER, RELEASE), 6)
            if not word or word[1].kind != ANSWER:
                raise CannotRun(f'{label} was not placed')
            self.where[label] = next(host for host in self.hosts if host.find(task))
            self.held[label] = self.where[label].find(task)

    def new_id(self, label):
        """PROTOCOL: every set-up gets a new id."""
        task = IDS[label] + 0x100 * len(self.labels)
        self.labels[task] = label
        return task

    def hand_over(self, label):
        """A set-up with `at`: the task is held by that host already, which knows it by the new id from then on."""
        task = self.held[label].id = self.new_id(label)
        figures = f'{FIGURES[label]};at:{self.where[label].name}'
        self.owner.set_up(task, CLASSES[label], NAMES[label], figures=figures)

    def stands(self, label):
        return self.held[label] in self.where[label].held

    def watch(self):
        """Judges each release that the owner gets, and lets the owner act on it as the pages say."""
        seen = len(self.owner.got)

        async def run():
            nonlocal seen
            while True:
                await asyncio.sleep(0.01)
                entries, seen = self.owner.got[seen:], len(self.owner.got)
                for at, message in entries:
                    if message.kind in (RELEASE, MOVE) and message.task in self.labels:
                        self.on_release(self.labels[message.task], at, message)

        self.jobs.append(asyncio.create_task(run()))

    def on_release(self, label, at, message):
        self.over.setdefault(label, []).append(at)
        if not self.stands(label):
            return
        self.breaches.append(f'{label} (class {CLASSES[label]}): its owner was sent a release with cause {message.cause} at '
                             f'{at:.3f} while it stands at {self.where[label].name}, which has sent no end of it')
        self.record('!!', self.breaches[-1])
        self.jobs.append(asyncio.create_task(self.come_again(label)))

    async def come_again(self, label):
        """After a loss the owner of a free task asks again soon; that of one that must not run twice makes sure first."""
        if CLASSES[label] == 'free':
            await asyncio.sleep(AGAIN_S)
            self.owner.set_up(IDS[label] + 0xf0000, 'free', NAMES[label], figures=FIGURES[label])
            return
        await asyncio.sleep(MAKE_SURE_S)
        if self.stands(label):
            self.hand_over(label)

    async def end_tasks(self):
        """Both tasks come to their end; each end is to be released towards the owner within 1 s (and 50 ms)."""
        for label in IDS:
            if not self.stands(label):
                raise CannotRun(f'{label} does not stand any more')
            self.where[label].finish(self.held[label])
        await asyncio.sleep(2)
        for label in IDS:
            ended = self.where[label].ended[self.held[label]]
            if not any(ended <= at <= ended + 1.05 for at in self.over.get(label, [])):
                self.breaches.append(f'{label} came to its end at {ended:.3f} and {self.where[label].name} released it; its '
                                     'owner was sent no release within 1 s')
                self.record('!!', self.breaches[-1])

    def close(self):
        for job in self.jobs:
            job.cancel()
        return self.breaches + [breach for host in self.hosts for breach in host.breaches]
