"""A host has forgotten an idle connection when the placer sends the cut of a task on it; its owner starts the task anew."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import ANSWER, CANCELLED, NOTE, RELEASE, Bus, CannotRun, Host, Owner, Placer, play  # noqa: E402

FORGETS_AFTER_S = 3.0  # a connection that has been at rest for so long is forgotten
QUIET_S = 5.0  # of the task; its use changes each 8 s (change_s = [4, 15])
AGAIN_S = 1.5  # the owner stops a service and asks for its tasks again (reconnect: within 3 to 0.2 s)
FIGURES = 'cores:1;memory:2;service:00000000000000bb'  # the service that its owner stops: one of the two that run
OTHER_FIGURES = 'cores:1;memory:2;service:00000000000000aa'


class ForgetfulHost(Host):
    """Holds its tasks, which belong to no connection, and answers bytes on a connection that it has forgotten by a reset."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.forgotten, self.cut = set(), {}

    def forget_idle(self):
        for peer in self.peers:
            if self.record.now() - peer.used >= FORGETS_AFTER_S:
                self.forgotten.add(peer)
                self.note(f'{peer.label} has been at rest for {self.record.now() - peer.used:.1f} s and is forgotten')

    def on_open(self, peer):
        peer.used = self.record.now()
        super().on_open(peer)

    def on_message(self, peer, message):
        if peer not in self.forgotten:
            peer.used = self.record.now()
            return super().on_message(peer, message)
        self.note(f'{peer.label}: bytes on a connection that is not known here; it is reset')
        self.peers.remove(peer)
        peer.reset()
        return None

    def accept(self, held):
        super().accept(held)
        if held.stands:
            peer = held.peer
            peer.used = self.record.now()
            self.note(f'{peer.label} -> notes id={held.id:016x} cores, memory')
            peer.send(NOTE, held.id, _121='cores', _136='0.5')
            peer.send(NOTE, held.id, _121='memory', _136='1.2')

    def on_release(self, peer, message):
        self.cut.setdefault(message.task, self.record.now())
        super().on_release(peer, message)


async def case(record, trouble, temporary, started):
    breaches = []
    bus = await Bus(record).listen()
    hosts = [await ForgetfulHost(record, name, 'std', block=3, start_s=0.2).listen() for name in ('h1', 'h2')]
    bus.tell([host.entry() for host in hosts], whole=True)
    placer = Placer(record, bus, temporary, family_info__kind_by_class=[-1, -1, -1],
                    family_info__class_spread=['off', 'off', 'off'])
    started.append(placer)
    await placer.start()
    owner = await Owner(record, 'owner').connect(placer.address)

    async def place(task, name, class_name='once', figures=FIGURES):
        owner.set_up(task, class_name, name, figures=figures)
        word = await owner.wait_for(lambda m: m.task == task and m.kind in (ANSWER, RELEASE), 6)
        if not word or word[1].kind != ANSWER:
            raise CannotRun(f'{name} was not placed')
        return next((host, host.find(task)) for host in hosts if host.find(task))

    other_host, stays = await place(0xa1b2c3d4000000ff, 'ff' * 8, 'free', OTHER_FIGURES)
    name = '0000000000000001'
    host, first = await place(0xa1b2c3d400000001, name)
    await asyncio.sleep(QUIET_S)
    if trouble:
        host.forget_idle()
    owner.release(first.id, CANCELLED)
    await asyncio.sleep(AGAIN_S)
    other, second = await place(0xa1b2c3d400000101, name)
    if first in host.held:
        breaches.append(f'{name} (class once) runs twice: its owner ended it {AGAIN_S} s before it asked for it again; it '
                        f'still stands at {host.name}, and the new one at {other.name}')
        record('!!', breaches[-1])
    await asyncio.sleep(8)
    if first in host.held:  # no page bounds the time of a cut, so this is no breach, only seen
        record('seen', f'{name}: {host.name} has not been told to cut it, though its owner ended it 9 s ago')
    if stays not in other_host.held:
        raise CannotRun('the task of the other service was cut')
    return breaches


play(HERE, case)
